package published_test

import (
	"errors"
	"strings"
	"testing"

	"egrettack.example/settings/document"
	"egrettack.example/settings/published"
)

// Guards against an error of a list that is not found, or that names the
// wrong place.
func TestListErrors(t *testing.T) {
	const hosts, instances = "hosts/north/west.register", "instances/north"
	for _, c := range []struct {
		name, key, old, text string // old "" replaces the whole value
		want                 string // start of the only error
	}{
		{"unknown field", hosts, `"state"`, `"status"`, hosts + `:2: hosts[0].status: unknown field; known are id,`},
		{"unknown state", hosts, `"draining"`, `"gone"`, hosts + `:2: hosts[0].state: "gone" is not one of ready, draining`},
		{"wrong unit", hosts, `"slots": 4`, `"warm_up": 30`, hosts + `:3: hosts[1].warm_up: wrong unit`},
		{"missing tunnel", hosts, `"tunnel": "127.0.0.1:5002",`, ``, hosts + `:3: hosts[1].tunnel: missing value`},
		{"bad tunnel", hosts, `"127.0.0.1:5002"`, `"127.0.0.1"`, hosts + `:3: hosts[1].tunnel: bad address`},
		{"bad health", hosts, `"slots": 4`, `"health": "127.0.0.1:80"`, hosts + `:3: hosts[1].health: bad address`},
		{"host number twice", hosts, `"id": 2`, `"id": 1`, hosts + `:3: hosts[1].id: host number 1 is already used by r1 in ` + hosts},
		{"host without number", hosts, `"id": 2,`, ``, hosts + `:3: hosts[1].id: missing value`},
		{"unknown domain in via", hosts, `"via": {"south"`, `"via": {"east"`, hosts + `:2: hosts[0].via.east: unknown domain "east"`},
		{"unknown domain of hosts", "hosts/east/west.register", "", `{"hosts": []}`, `hosts/east/west.register:1: .: unknown domain "east"`},
		{"unknown service", "hosts/north/west.intake", "", `{"hosts": []}`, `hosts/north/west.intake:1: .: unknown service "west.intake"`},
		{"missing list", hosts, "", `{}`, hosts + `:1: hosts: missing value`},
		{"syntax of hosts", hosts, "", "{\n\"hosts\" []}", hosts + `:2: .: syntax:`},
		{"instance number 0", instances, `"id": 1`, `"id": 0`, instances + `:1: instances[0].id: 0 is below the least value 1`},
		{"missing rpc in via", instances, `, "rpc": "127.0.0.1:3"`, ``, instances + `:2: instances[0].via.south.rpc: missing value`},
		{"unknown domain in instance via", instances, `"south"`, `"east"`, instances + `:2: instances[0].via.east: unknown domain "east"`},
		{"unknown domain of instances", "instances/east", "", `{"instances": []}`, `instances/east:1: .: unknown domain "east"`},
		{"instance number twice", "instances/south", "", `{"instances": [{"id": 1, "name": "s1", "data": "127.0.0.1:1", "control": "127.0.0.1:2", "rpc": "127.0.0.1:3"}]}`, `instances/south:1: instances[0].id: instance number 1 is already used by n1 in instances/north`},
		{"syntax of instances", instances, "", `{`, instances + `:1: .: syntax:`},
		{"unknown key", "notes/x", "", `{}`, `notes/x:1: .: unknown key`},
		{"error in the tree", "settings/west", `"queue": 3`, `"queue": "3"`, `settings/west:1: host.queue: wrong unit`},
	} {
		v := small()
		if c.old == "" {
			v.Values[c.key] = c.text
		} else {
			v.Values[c.key] = strings.Replace(v.Values[c.key], c.old, c.text, 1)
		}
		_, err := published.Build(v, nil)
		var problems document.Problems
		if !errors.As(err, &problems) || len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.name, err, c.want)
		}
	}
}
