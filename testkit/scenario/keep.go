package scenario

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"
)

// keepIfFailed copies the work directory of a failed script, which has the logs
// of all its processes, and logs where the copy is. testscript deletes the work
// directory at the end of the script.
func (r *run) keepIfFailed(t testscript.T) {
	if f, ok := t.(interface{ Failed() bool }); r.cfg.Keep == "" || !ok || !f.Failed() {
		return
	}
	dir, err := r.keep()
	if err != nil {
		t.Log("logs are lost:", err)
		return
	}
	t.Log("logs are in", dir)
}

// keep copies the work directory to a new directory in Config.Keep.
func (r *run) keep() (string, error) {
	if err := os.MkdirAll(r.cfg.Keep, 0o755); err != nil {
		return "", trace.Wrap(err, "keep work directory")
	}
	dir, err := os.MkdirTemp(r.cfg.Keep, filepath.Base(r.dir)+"-")
	if err != nil {
		return "", trace.Wrap(err, "keep work directory")
	}
	return dir, trace.Wrap(os.CopyFS(dir, os.DirFS(r.dir)), "keep work directory %s", r.dir)
}
