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
// directories and files of other kinds are passed over.
func ReadDir(dir string) ([]Source, error) {
	var sources []Source
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
		if e.IsDir() || filepath.Ext(path) != Extension {
			return nil
		}
		text, err := document.ReadFile(path)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		rel = filepath.ToSlash(rel)
		sources = append(sources, Source{Path: strings.TrimSuffix(rel, Extension), File: rel, Text: string(text)})
		return nil
	})
	if err == nil && len(sources) == 0 {
		err = trace.Wrap(os.ErrNotExist, "no %s files", Extension)
	}
	return sources, trace.Wrap(err, "reading the tree of settings in %s", dir)
}

// Load reads and checks the tree in a directory. The error holds a
// document.Problems when the text is wrong.
func Load(dir string) (*Tree, error) {
	sources, err := ReadDir(dir)
	if err != nil {
		return nil, err
	}
	t, problems := Parse(sources)
	if err := problems.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return t, nil
}
