package document

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// MaxBytes is the size limit of one document. The platform holds values up to
// this size.
const MaxBytes = 1 << 20

// maxDepth limits nesting, since the parser recurses on every opening bracket.
const maxDepth = 200

// Document is one parsed text.
type Document struct {
	File  string
	root  hujson.Value
	text  []byte
	lines map[string]int
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column \d+: (.*)$`)

// Parse reads the syntax of a text. file stands in errors only.
func Parse(file string, text []byte) (*Document, Problems) {
	if len(text) > MaxBytes {
		return nil, Problems{{File: file, Line: 1, Text: fmt.Sprintf(
			"%d bytes are over the limit of %d bytes for one value", len(text), MaxBytes)}}
	}
	if line := tooDeep(text); line > 0 {
		return nil, Problems{{File: file, Line: line, Text: fmt.Sprintf("nested deeper than %d levels", maxDepth)}}
	}
	// hujson takes a comment at the end only when a line break ends it.
	last := lineAt(text, len(text))
	text = append(slices.Clip(text), '\n')
	root, err := hujson.Parse(text)
	if err != nil {
		p := Problem{File: file, Line: 1, Text: "syntax: " + err.Error()}
		if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
			p.Line, _ = strconv.Atoi(m[1])
			p.Line = min(p.Line, last)
			p.Text = "syntax: " + m[2]
		}
		return nil, Problems{p}
	}
	return &Document{File: file, root: root, text: text, lines: make(map[string]int)}, nil
}

// Load reads a file with the parser of its type.
func Load[S any](path string, parse func(file string, text []byte) (*S, error)) (*S, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading the settings file")
	}
	s, err := parse(path, text)
	return s, trace.Wrap(err)
}

// ReadFile returns the text of a file without reading far beyond MaxBytes.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxBytes+1))
}

// tooDeep returns the line where nesting exceeds the limit, or 0. It counts
// brackets in strings and comments too, which no sensible document has in
// such numbers.
func tooDeep(text []byte) int {
	depth := 0
	for i, c := range text {
		switch c {
		case '{', '[':
			if depth++; depth > maxDepth {
				return lineAt(text, i)
			}
		case '}', ']':
			depth--
		}
	}
	return 0
}

func lineAt(text []byte, offset int) int { return 1 + bytes.Count(text[:offset], []byte("\n")) }

// Line returns the line of the value at path, or of its nearest enclosing
// value that was given. It is valid after Decode.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		if path == "" {
			return 1
		}
		path = parent(path)
	}
}

// Has reports whether the document gives a value at path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Problem returns an error about the value at path.
func (d *Document) Problem(path, format string, args ...any) Problem {
	return Problem{File: d.File, Line: d.Line(path), Path: path, Text: fmt.Sprintf(format, args...)}
}

// Member returns the text of a member of the outermost object, or "" when it
// is not there or not text.
func (d *Document) Member(name string) string {
	obj, ok := d.root.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, m := range obj.Members {
		if m.Name.Value.(hujson.Literal).String() != name {
			continue
		}
		if lit, ok := m.Value.Value.(hujson.Literal); ok && lit.Kind() == '"' {
			return lit.String()
		}
	}
	return ""
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
