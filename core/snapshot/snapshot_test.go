package snapshot

import (
	"strings"
	"testing"

	"egrettack.example/core/flow"
)

func testInput(hosts int) Input {
	in := Input{
		Version: 1,
		Domains: []Domain{{ID: 1, Name: "north"}, {ID: 2, Name: "south"}},
		Services: []Service{{ID: 7, Name: "register", Kinds: []*Kind{
			{ID: 1, Endpoints: []Endpoint{{Addr: 1, Port: 80, Proto: flow.TCP}}},
		}}},
		Instances: []Instance{{ID: 1, Domain: 1}, {ID: 2, Domain: 2}},
	}
	for i := range hosts {
		in.Hosts = append(in.Hosts, Host{ID: HostID(i + 1), Domain: DomainID(i%2 + 1), Service: 7, Slots: 2})
	}
	return in
}

func mustNew(t *testing.T, in Input, previous *Snapshot) *Snapshot {
	t.Helper()
	s, err := New(in, previous)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func flowKey(i int) flow.Key {
	return flow.Key{Src: flow.Addr(i * 7919), SrcPort: uint16(i), Dst: 1, DstPort: 80, Proto: flow.TCP}
}

// Guards against a group that spans domains, loses a host or grows over its size.
func TestGroupsCoverAllHosts(t *testing.T) {
	for hosts := 1; hosts < 40; hosts++ {
		s := mustNew(t, testInput(hosts), nil)
		seen := 0
		for id, g := range s.Groups {
			if len(g.Hosts) == 0 || len(g.Hosts) > DefaultGroupSize {
				t.Fatalf("%d hosts: group %s has %d", hosts, id, len(g.Hosts))
			}
			for _, h := range g.Hosts {
				if h.Domain != id.Domain {
					t.Fatalf("group %s holds host %d of domain %d", id, h.ID, h.Domain)
				}
				seen++
			}
		}
		if seen != hosts {
			t.Fatalf("%d of %d hosts are in a group", seen, hosts)
		}
	}
}

// Guards against a ranking in which a new group takes flows from one group to
// another that was there before: the flow's old first group must stay first or
// become second.
func TestRankMovesFlowsOnlyToTheNewGroup(t *testing.T) {
	before := mustNew(t, testInput(20), nil).Services[7]
	after := mustNew(t, testInput(22), nil).Services[7]
	if len(after.Groups) == len(before.Groups) {
		t.Fatal("the host list was meant to add a group")
	}
	old := make(map[GroupID]bool)
	for _, g := range before.Groups {
		old[g.ID] = true
	}
	moved := 0
	for i := range 2000 {
		was := before.Groups[before.Rank(flowKey(i))[0]].ID
		now := after.Rank(flowKey(i))
		first, second := after.Groups[now[0]].ID, after.Groups[now[1]].ID
		if first != was && old[first] && old[second] {
			moved++
		}
	}
	// Weights of old groups shift as hosts spread over one more group, so a
	// few flows may move between old groups.
	if moved > 200 {
		t.Fatalf("%d of 2000 flows moved between groups that both existed before", moved)
	}
}

// Guards against lists that contradict themselves being taken into force.
func TestNewRefusesContradictions(t *testing.T) {
	cases := map[string]struct {
		change func(*Input)
		want   string
	}{
		"domain twice":      {func(in *Input) { in.Domains[1].ID = 1 }, "used twice"},
		"instance twice":    {func(in *Input) { in.Instances[1].ID = 1 }, "used twice"},
		"host twice":        {func(in *Input) { in.Hosts[1].ID = 1 }, "used twice"},
		"instance nowhere":  {func(in *Input) { in.Instances[0].Domain = 9 }, "not defined"},
		"host nowhere":      {func(in *Input) { in.Hosts[0].Domain = 9 }, "not defined"},
		"host of nothing":   {func(in *Input) { in.Hosts[0].Service = 9 }, "not defined"},
		"service number 0":  {func(in *Input) { in.Services[0].ID = 0 }, "not between"},
		"service too large": {func(in *Input) { in.Services[0].ID = MaxServiceID + 1 }, "not between"},
		"address twice": {func(in *Input) {
			in.Services = append(in.Services, Service{ID: 8, Name: "intake", Kinds: in.Services[0].Kinds})
		}, "already used"},
	}
	for name, c := range cases {
		in := testInput(4)
		c.change(&in)
		if _, err := New(in, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
}

// Guards against an address that changes its service without being marked,
// which would let misses reach the default host of the new service.
func TestMovedEndpointIsMarked(t *testing.T) {
	first := mustNew(t, testInput(4), nil)
	in := testInput(4)
	in.Version = 2
	in.Services = append(in.Services, Service{ID: 8, Name: "intake", Kinds: in.Services[0].Kinds})
	in.Services[0].Kinds = nil
	second := mustNew(t, in, first)
	in.Version = 3
	third := mustNew(t, in, second)
	e := Endpoint{Addr: 1, Port: 80, Proto: flow.TCP}
	if b, _ := first.Lookup(e); b.MovedIn != 0 {
		t.Errorf("version 1: moved in %d", b.MovedIn)
	}
	for _, s := range []*Snapshot{second, third} {
		if b, _ := s.Lookup(e); b.Service.ID != 8 || b.MovedIn != 2 {
			t.Errorf("version %d: service %d moved in %d", s.Version, b.Service.ID, b.MovedIn)
		}
	}
}
