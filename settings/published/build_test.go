package published_test

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/settings/published"
)

func small() published.Values {
	return published.Values{Revision: 3, Full: true, Values: map[string]string{
		"settings/root": `{"level": "root", // the whole city
			"domains": {"north": {"number": 1, "region": "west"}, "south": {"number": 2, "region": "west"}},
			"work": {"deadline": "2s"}, "host": {"slots": 2}}`,
		"settings/west":                 `{"level": "district", "host": {"queue": 3}}`,
		"settings/west/register":        `{"level": "service", "number": 7, "work": {"occupies": "slot", "share": 0.4}}`,
		"settings/west/register/lookup": `{"level": "kind", "number": 2, "addresses": ["10.9.0.1:7002/tcp"], "work": {"class": 0}}`,
		"hosts/north/west.register": `{"hosts": [
			{"id": 1, "name": "r1", "tunnel": "127.0.0.1:5001", "state": "draining", "via": {"south": "127.0.0.1:7001"}},
			{"id": 2, "name": "r2", "tunnel": "127.0.0.1:5002", "slots": 4}]}`,
		"instances/north": `{"instances": [{"id": 1, "name": "n1", "data": "127.0.0.1:6001", "control": "127.0.0.1:6002",
			"rpc": "127.0.0.1:6003", "via": {"south": {"data": "127.0.0.1:1", "control": "127.0.0.1:2", "rpc": "127.0.0.1:3"}}}]}`,
	}}
}

// Guards against values of the tree or the lists that do not reach the snapshot.
func TestBuild(t *testing.T) {
	s, err := published.Build(small(), nil)
	if err != nil {
		t.Fatal(err)
	}
	b, ok := s.Lookup(snapshot.Endpoint{Addr: flow.Addr(10<<24 | 9<<16 | 1), Port: 7002, Proto: flow.TCP})
	if !ok || b.Service.ID != 7 || b.Kind.ID != 2 || b.Kind.Share != 0.4 || b.Kind.Deadline != 2*time.Second ||
		b.Kind.Occupies != snapshot.OccupiesSlot || b.Kind.Class != 0 || b.Kind.Ceiling != 1 {
		t.Errorf("endpoint leads to %+v %+v", b.Service, b.Kind)
	}
	h := s.Hosts[1]
	if h.State != snapshot.HostDraining || h.QueueLimit != 3 || h.Slots != 2 || h.Service != 7 || h.WarmUp != 30*time.Second ||
		h.TunnelFrom(2).Port() != 7001 || h.TunnelFrom(1).Port() != 5001 {
		t.Errorf("host 1 is %+v", h)
	}
	if s.Hosts[2].Slots != 4 || s.Hosts[2].Capacity != 4 {
		t.Errorf("host 2 is %+v", s.Hosts[2])
	}
	if i := s.Instances[1]; i.AddressesFrom(2).RPC.Port() != 3 || i.AddressesFrom(1).RPC.Port() != 6003 || s.Version != 3 {
		t.Errorf("instance 1 is %+v, version %d", i, s.Version)
	}
}
