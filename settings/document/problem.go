// Package document reads JSON with comments strictly into Go structs and
// keeps the line of every value, so that each error names file, line and path.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Path string `json:"path"` // of the value within the file, empty for the whole
	Text string `json:"text"`
}

func (p Problem) Error() string {
	path := p.Path
	if path == "" {
		path = "."
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, path, p.Text)
}

// Problems are all errors of one or more documents.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by file and line and returns them as an error, or
// nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return p
}
