package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// fakeT runs scripts whose failure is not one of the test.
type fakeT struct {
	testing.TB
	failed *bool
	log    *[]string
}

func (f fakeT) Parallel()     {}
func (f fakeT) Verbose() bool { return false }
func (f fakeT) Failed() bool  { return *f.failed }
func (f fakeT) Log(args ...any) {
	for _, a := range args {
		if s, ok := a.(string); ok {
			*f.log = append(*f.log, s)
		}
	}
}

func (f fakeT) FailNow() {
	*f.failed = true
	panic(f.failed)
}

func (f fakeT) Run(_ string, do func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != any(f.failed) {
			panic(r)
		}
	}()
	do(f)
}

// TestKeep guards against the loss of the logs of a failed script, and against
// keeping those of a script that passed.
func TestKeep(t *testing.T) {
	for _, c := range []struct {
		name, script string
		kept         int
	}{
		{"failed", "cp note n1.log\npause nonsense\n-- note --\nstarted\n", 1},
		{"passed", "cp note n1.log\npause 1ms\n-- note --\nstarted\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "script.txtar")
			if err := os.WriteFile(file, []byte(c.script), 0o644); err != nil {
				t.Fatal(err)
			}
			keep := filepath.Join(t.TempDir(), "keep")
			var failed bool
			var log []string
			testscript.RunT(fakeT{t, &failed, &log}, Params(Config{Keep: keep}, []string{file}))
			if failed != (c.kept == 1) {
				t.Fatalf("failed is %t, log: %s", failed, log)
			}
			logs, err := filepath.Glob(filepath.Join(keep, "*", "n1.log"))
			if err != nil || len(logs) != c.kept {
				t.Fatalf("%d logs were kept, want %d (%v)", len(logs), c.kept, err)
			}
			for _, l := range logs {
				if all := strings.Join(log, " "); !strings.Contains(all, filepath.Dir(l)) {
					t.Errorf("the log does not say where the logs are, in %s: %s", filepath.Dir(l), all)
				}
			}
		})
	}
}
