package tree

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"egrettack.example/settings/document"
)

// Extension is the extension of the files of a tree in version control.
const Extension = ".jsonc"

// ReadDir reads the files of a tree: root.jsonc, west.jsonc,
// west/register.jsonc, west/register/lookup.jsonc. Hidden files and
// directories and files of other kinds are passed over; JSON files with
// another extension are problems, since a node would be missed silently.
func ReadDir(dir string) ([]Source, document.Problems, error) {
	var sources []Source
	var problems document.Problems
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if path != dir && strings.HasPrefix(e.Name(), ".") {
			if e.IsDir() {
				return fs.SkipDir
			}
			return nil
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		rel = filepath.ToSlash(rel)
		switch ext := filepath.Ext(path); {
		case e.IsDir():
			return nil
		case ext == ".json" || ext == ".hujson":
			problems = append(problems, document.Problem{File: rel, Line: 1, Text: "bad file name: the file of a node ends in " + Extension})
			return nil
		case ext != Extension:
			return nil
		}
		text, err := document.ReadFile(path)
		if err != nil {
			return err
		}
		sources = append(sources, Source{Path: strings.TrimSuffix(rel, Extension), File: rel, Text: string(text)})
		return nil
	})
	if err == nil && len(sources)+len(problems) == 0 {
		err = trace.Wrap(os.ErrNotExist, "no %s files", Extension)
	}
	return sources, problems, trace.Wrap(err, "reading the tree of settings in %s", dir)
}

// Load reads and checks the tree in a directory. The error holds a
// document.Problems when the text is wrong.
func Load(dir string) (*Tree, error) {
	sources, misnamed, err := ReadDir(dir)
	if err != nil {
		return nil, err
	}
	t, problems := Parse(sources)
	if err := append(problems, misnamed...).Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return t, nil
}
