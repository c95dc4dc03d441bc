package group

import (
	"slices"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/core/table"
)

const defaultHostSeed uint64 = 0x64656661756c74

// defaultHost returns the default host of a flow: the host of a base list with
// the highest hash (rendezvous hashing with equal weights). When a host leaves
// the list, only its own flows get another default host. All instances compute
// the same result.
func defaultHost(k flow.Key, list []snapshot.HostID) (snapshot.HostID, bool) {
	if len(list) == 0 {
		return 0, false
	}
	best, most, h := list[0], uint64(0), uint64(table.HashOf(k))^defaultHostSeed
	for _, id := range list {
		if x := mix(h ^ mix(uint64(id))); x > most {
			best, most = id, x
		}
	}
	return best, true
}

// mix is the finalizer of splitmix64. Hashing the whole key again for each
// host would take most of the time of a new flow.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// baseLists are the base lists of a group. A base list is the host list from
// which default hosts are computed. Flows on their default host are not copied
// to the backup. The base list follows the host list with a delay, since the
// backup must first have copies of all flows that are not on their default host
// of the next list.
type baseLists struct {
	// initial is the list with which the table was created. Flows without an
	// entry are older than the table, so they are on their default host of this
	// list.
	initial  []snapshot.HostID
	current  []snapshot.HostID // the list that the backup has confirmed
	next     []snapshot.HostID // nil if the host list is the base list
	nextSent bool              // next has been sent to the backup but is not confirmed
}

func newBaseLists(base []snapshot.HostID, g *snapshot.Group) baseLists {
	list := hostIDs(g)
	if base == nil {
		base = list
	}
	b := baseLists{initial: slices.Clone(base), current: slices.Clone(base)}
	if !slices.Equal(b.current, list) {
		b.next = list
	}
	return b
}

func hostIDs(g *snapshot.Group) []snapshot.HostID {
	ids := make([]snapshot.HostID, len(g.Hosts))
	for i, h := range g.Hosts {
		ids[i] = h.ID
	}
	return ids
}

// placementList returns the list whose default hosts are preferred for new flows.
// This is the next list if there is one, so that these flows need no copy once
// it is the base list.
func (b *baseLists) placementList() []snapshot.HostID {
	if b.next != nil {
		return b.next
	}
	return b.current
}

// impliesHost reports whether the backup can derive the flow's host without a
// copy.
func (b *baseLists) impliesHost(k flow.Key, h snapshot.HostID) bool {
	if d, ok := defaultHost(k, b.current); !ok || d != h {
		return false
	}
	if b.next == nil {
		return true
	}
	d, ok := defaultHost(k, b.next)
	return ok && d == h
}
