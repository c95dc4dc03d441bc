package snapshot

import (
	"reflect"
	"testing"
)

// Guards against reusing the ranking of the previous snapshot after the groups or
// weights have changed, and against recomputing it when they have not.
func TestRanksAreReused(t *testing.T) {
	build := func(previous *Snapshot, slots ...int) *Snapshot {
		in := Input{Domains: []Domain{{ID: 1}}, Services: []Service{{ID: 7}}, GroupSize: 2}
		for i, n := range slots {
			in.Hosts = append(in.Hosts, Host{ID: HostID(i + 1), Domain: 1, Service: 7, Slots: n})
		}
		s, err := New(in, previous)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := build(nil, 2, 2, 2, 2)
	for _, c := range []struct {
		name  string
		slots []int
		reuse bool
	}{
		{"no change", []int{2, 2, 2, 2}, true},
		{"changed weight", []int{2, 2, 2, 9}, false},
		{"fewer groups", []int{2, 2}, false},
		{"more groups", []int{2, 2, 2, 2, 2}, false},
		{"no hosts", nil, false},
	} {
		next, fresh := build(first, c.slots...), build(nil, c.slots...)
		if !reflect.DeepEqual(next.Services[7].ranks, fresh.Services[7].ranks) {
			t.Errorf("%s: the ranking differs from one computed without a previous snapshot", c.name)
		}
		if reused := len(next.Services[7].ranks) > 0 && &next.Services[7].ranks[0] == &first.Services[7].ranks[0]; reused != c.reuse {
			t.Errorf("%s: ranking reused is %v, want %v", c.name, reused, c.reuse)
		}
	}
}
