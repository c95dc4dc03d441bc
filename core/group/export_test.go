package group

import (
	"fmt"

	"egrettack.example/core/snapshot"
	"egrettack.example/core/table"
)

// CheckCounts compares all counts with those derived from the entries.
func (t *Table) CheckCounts() error {
	type counts struct{ conns, slots int }
	want := map[snapshot.HostID]*counts{}
	use := map[snapshot.HostID]map[snapshot.KindID]int{}
	entries := 0
	t.flows.Walk(0, 1<<30, func(e *table.Entry) bool {
		entries++
		if !e.Has(table.CountedConnection) {
			if e.Has(table.CountedSlot) {
				panic("entry is counted as a slot but not as a connection")
			}
			return true
		}
		if want[e.Host()] == nil {
			want[e.Host()], use[e.Host()] = &counts{}, map[snapshot.KindID]int{}
		}
		want[e.Host()].conns++
		use[e.Host()][e.Kind]++
		if e.Has(table.CountedSlot) {
			want[e.Host()].slots++
		}
		return true
	})
	if entries != t.flows.Len() {
		return fmt.Errorf("the walk found %d entries, Len returned %d", entries, t.flows.Len())
	}
	inUse := map[snapshot.KindID]int{}
	for _, h := range t.hosts.All() {
		w := want[h.ID]
		if w == nil {
			w = &counts{}
		}
		delete(want, h.ID)
		if h.Connections != w.conns || h.InProgress != w.slots {
			return fmt.Errorf("host %d: %d connections and %d slots, entries say %d and %d",
				h.ID, h.Connections, h.InProgress, w.conns, w.slots)
		}
		for k := range 256 {
			if int(h.InUseByKind[k]) != use[h.ID][snapshot.KindID(k)] {
				return fmt.Errorf("host %d kind %d: %d, entries say %d", h.ID, k, h.InUseByKind[k], use[h.ID][snapshot.KindID(k)])
			}
			if h.Usable() {
				inUse[snapshot.KindID(k)] += int(h.InUseByKind[k])
			}
		}
	}
	for h, w := range want {
		return fmt.Errorf("host %d is not known but has %d entries", h, w.conns)
	}
	for k := range 256 {
		if id := snapshot.KindID(k); t.admission.InUse(id) != inUse[id] {
			return fmt.Errorf("kind %d: %d in use, hosts say %d", id, t.admission.InUse(id), inUse[id])
		}
	}
	return nil
}

// InUse returns the number of flows of a kind on the usable hosts, which
// CheckCounts verifies.
func (t *Table) InUse(k snapshot.KindID) int { return t.admission.InUse(k) }

// CopiesSettled reports whether the backup has confirmed all copies and the
// base list is the host list.
func (t *Table) CopiesSettled() bool {
	return t.bases.next == nil && !t.copies.scanning && t.copies.backlog() == 0
}

// BaseSettled reports whether the base list is the host list.
func (t *Table) BaseSettled() bool { return t.bases.next == nil }
