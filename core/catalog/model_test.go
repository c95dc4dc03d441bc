package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storeModel is a settings store with its history of server entries.
type storeModel struct {
	revision  Revision
	entries   map[ServerID]Server
	history   []storeEvent
	compacted Revision // the history up to it is discarded
}

// storeEvent is a change of one entry.
type storeEvent struct {
	revision Revision
	id       ServerID
	entry    *Server // nil if the entry was removed
}

func (s *storeModel) put(e Server) {
	s.revision++
	e.Revision = s.revision
	s.entries[e.ID] = e
	s.history = append(s.history, storeEvent{s.revision, e.ID, &e})
}

func (s *storeModel) remove(id ServerID) {
	s.revision++
	delete(s.entries, id)
	s.history = append(s.history, storeEvent{s.revision, id, nil})
}

// since returns up to limit events after a revision, nil if they are discarded.
func (s *storeModel) since(after Revision, limit int) *Change {
	if after < s.compacted {
		return nil
	}
	ch := &Change{Revision: s.revision}
	for _, e := range s.history {
		if e.revision <= after {
			continue
		}
		if limit == 0 {
			break
		}
		limit--
		ch.Revision = e.revision
		if e.entry != nil {
			ch.Servers = append(ch.Servers, *e.entry)
		} else {
			ch.Removed = append(ch.Removed, Removal{ID: e.id, Revision: e.revision})
		}
	}
	return ch
}

func (s *storeModel) full() *Change {
	ch := &Change{Revision: s.revision, Full: true, Config: config(1)}
	for _, e := range s.entries {
		ch.Servers = append(ch.Servers, e)
	}
	return ch
}

// lastEvent returns the last event of a server up to a revision.
func (s *storeModel) lastEvent(id ServerID, upTo Revision) (last *storeEvent) {
	for i, e := range s.history {
		if e.id == id && e.revision <= upTo {
			last = &s.history[i]
		}
	}
	return last
}

// check fails if a catalog that claims to be complete up to a revision has a
// state of a server from before the server's last event up to that revision.
func (s *storeModel) check(t *rapid.T, name string, c *Catalog) {
	if !c.Loaded() {
		return
	}
	for id := ServerID(1); id <= modelServers; id++ {
		e, have := s.lastEvent(id, c.Revision()), c.servers[id]
		switch {
		case e == nil:
		case e.entry == nil && have != nil && have.Published() && have.Revision < e.revision:
			t.Fatalf("%s at revision %d has server %d of revision %d, which was removed at revision %d", name, c.Revision(), id, have.Revision, e.revision)
		case e.entry != nil && have == nil:
			t.Fatalf("%s at revision %d lacks server %d of revision %d", name, c.Revision(), id, e.revision)
		case e.entry != nil && have.Published() && have.Revision < e.revision:
			t.Fatalf("%s at revision %d has revision %d of server %d instead of %d", name, c.Revision(), have.Revision, id, e.revision)
		case e.entry != nil && !have.Published() && have.removedRevision <= e.revision:
			t.Fatalf("%s at revision %d lost server %d, which was published at revision %d", name, c.Revision(), id, e.revision)
		}
	}
}

const (
	modelServers  = 6
	modelMembers  = 4
	modelPageSize = 3 // events in one answer of the store
)

// Guards against removed servers that come back or stay in use, and against
// servers that are lost, in a fleet whose members read the store and each other
// in any order: in pages, in full, from compacted histories, after restarts and
// from changing sources.
func TestMembersAreCompleteUpToTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{entries: make(map[ServerID]Server)}
		store.put(server(1, 0))
		members := make([]*Catalog, modelMembers)
		for i := range members {
			members[i] = New()
		}
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, modelMembers-1).Draw(t, "member")
			c := members[i]
			id := ServerID(rapid.IntRange(1, modelServers).Draw(t, "server"))
			switch step := rapid.SampledFrom([]string{
				"put", "put", "remove", "lapse", "compact", "read", "read", "read all", "pull", "pull", "pull", "expire", "restart",
			}).Draw(t, "step"); step {
			case "put":
				s := server(id, 0)
				s.Draining = rapid.Bool().Draw(t, "draining")
				s.Started += int64(rapid.IntRange(0, 1).Draw(t, "incarnation"))
				store.put(s)
			case "remove":
				if _, ok := store.entries[id]; ok {
					store.remove(id)
				}
			case "lapse":
				for id := range store.entries {
					store.remove(id)
				}
			case "compact":
				store.compacted = store.revision
			case "read":
				if c.Loaded() {
					if ch := store.since(c.Revision(), modelPageSize); ch != nil {
						c.Apply(now, now, now, ch)
					}
				}
			case "read all":
				c.Apply(now, now, now, store.full())
			case "pull":
				source := members[rapid.IntRange(0, modelMembers-1).Draw(t, "source")]
				if source == c || !source.Complete() {
					break
				}
				after := c.Revision()
				if !c.Loaded() {
					after = 0
				}
				ch := source.Since(now, after, 0, false)
				if c.Loaded() || ch.Full {
					c.Apply(now, now, now, ch)
				}
			case "expire":
				c.Expire(now)
			case "restart":
				members[i] = New()
			}
			for k, c := range members {
				store.check(t, fmt.Sprint("member ", k), c)
			}
		}
	})
}
