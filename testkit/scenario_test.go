package testkit

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"egrettack.example/testkit/scenario"
)

// TestScenarios runs the scripts of scenarios/ against real processes. It
// guards the requirements of docs/design.md, section 2.2, under planned changes
// and failures. It needs the built binaries and runs for minutes, hence only
// with SCENARIOS set (make scenarios). The logs of a scenario that fails go to a
// directory in SCENARIO_DIR, which is scenarios in the directory of the binaries
// unless it is set.
func TestScenarios(t *testing.T) {
	if os.Getenv("SCENARIOS") == "" {
		t.Skip("SCENARIOS is not set")
	}
	seed := rand.Uint64N(1 << 32)
	if s := os.Getenv("SEED"); s != "" {
		var err error
		if seed, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("SEED=%d", seed)
	dir := os.Getenv("BIN")
	if dir == "" {
		dir = "../.bin"
	}
	bin, err := filepath.Abs(dir)
	if err != nil {
		t.Fatal(err)
	}
	tree, err := filepath.Abs("demo/tree")
	if err != nil {
		t.Fatal(err)
	}
	scripts, err := filepath.Glob("scenarios/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	keep := os.Getenv("SCENARIO_DIR")
	if keep == "" {
		keep = filepath.Join(bin, "scenarios")
	}
	if keep, err = filepath.Abs(keep); err != nil {
		t.Fatal(err)
	}
	p := scenario.Params(scenario.Config{Bin: bin, Tree: tree, Keep: keep, Seed: seed}, scripts)
	if p.WorkdirRoot = os.Getenv("KEEP"); p.WorkdirRoot != "" {
		// The logs of all processes stay in this directory.
		p.TestWork = true
	}
	testscript.Run(t, p)
}
