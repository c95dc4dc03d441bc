package layout

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/daemon"
	"egrettack.example/settings/published"
	"egrettack.example/testkit/platform"
)

// A sample tree or a generated list that the instances refuse would stop the
// demo and all scenarios.
func TestGeneratedFilesAreAccepted(t *testing.T) {
	dir := t.TempDir()
	w, err := Generate(Spec{
		Tree: "../demo/tree", Out: dir, Domains: []string{"north", "south"}, Instances: 3, Spare: 1,
		Hosts:      map[string]int{"prairie/register": 3, "agni/evidence": 2},
		SpareHosts: map[string]int{"prairie/register": 1},
		Links:      true, StopTimeout: "10s", LogLevel: "info",
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range w.Instances {
		if _, err := daemon.Load(i.Settings); err != nil {
			t.Errorf("settings of %s: %v", i.Name, err)
		}
	}
	b, err := os.ReadFile(filepath.Join(dir, ValuesFile))
	if err != nil {
		t.Fatal(err)
	}
	var c platform.Change
	if err := json.Unmarshal(b, &c); err != nil {
		t.Fatal(err)
	}
	s, err := published.Build(published.Values{Revision: 1, Values: c.Set, Full: true}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Hosts) != 5 || len(s.Instances) != 3 {
		t.Errorf("%d hosts and %d instances are published, want 5 and 3 without the spare ones", len(s.Hosts), len(s.Instances))
	}
	for _, h := range s.Hosts {
		other := snapshot.DomainID(3 - h.Domain)
		if h.TunnelFrom(h.Domain) != h.Tunnel || h.TunnelFrom(other) == h.Tunnel {
			t.Errorf("host %s: traffic of domain %d does not lead over a link", h.Name, other)
		}
	}
}
