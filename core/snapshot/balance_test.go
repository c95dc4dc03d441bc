package snapshot

import "testing"

func newTestService(t *testing.T, id ServiceID, sizes ...int) *Service {
	t.Helper()
	in := Input{Services: []Service{{ID: id}}}
	for d, n := range sizes {
		in.Domains = append(in.Domains, Domain{ID: DomainID(d + 1)})
		for i := range n {
			in.Hosts = append(in.Hosts, Host{ID: HostID(d*100 + i + 1), Domain: DomainID(d + 1), Service: id, Slots: 2})
		}
	}
	s, err := New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s.Services[id]
}

// Guards against groups that receive more than their share of the flows, and against
// balancing that moves most flows when one host is removed.
func TestGroupsGetTheirShare(t *testing.T) {
	for id := ServiceID(1); id <= 5; id++ {
		for _, sizes := range [][]int{{4, 4, 4, 3}, {15}, {10, 10, 10, 10}} {
			s := newTestService(t, id, sizes...)
			counts, total := make([]float64, len(s.Groups)), 0.0
			for _, r := range s.ranks {
				counts[r[0]]++
			}
			for _, g := range s.Groups {
				total += g.Weight
			}
			for i, g := range s.Groups {
				if share := counts[i] / RankBuckets * total / g.Weight; share > 1.015 {
					t.Errorf("service %d %v: group %s gets %.3f times its share", id, sizes, g.ID, share)
				}
			}
			sizes[len(sizes)-1]--
			after, moved := newTestService(t, id, sizes...), 0
			for b := range s.ranks {
				if s.Groups[s.ranks[b][0]].ID != after.Groups[after.ranks[b][0]].ID {
					moved++
				}
			}
			if moved > RankBuckets*8/100 {
				t.Errorf("service %d %v: removing one host moves %d buckets", id, sizes, moved)
			}
		}
	}
}
