package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Since returns the changes after a revision and a version, for a peer. The
// change is full if removals after that revision may have been dropped.
func (c *Catalog) Since(now time.Duration, after Revision, version Version) *Change {
	ch := &Change{Revision: c.revision, Full: after < c.forgottenRevision}
	if c.config != nil && c.config.Version > version {
		ch.Config = c.config
	}
	for id, s := range c.servers {
		switch {
		case !s.Published():
			if !ch.Full && s.removedRevision > after {
				ch.Removed = append(ch.Removed, Removal{ID: id, Revision: s.removedRevision})
			}
		case ch.Full || s.Revision > after:
			entry := *s
			// The receiver counts the warm-up from when it first sees the server.
			entry.WarmUp = max(0, s.FirstSeen+s.WarmUp-now)
			ch.Servers = append(ch.Servers, entry)
		}
	}
	return ch
}

// Age returns the time since the catalog was known to be current, and how long
// the store had been healthy then.
func (c *Catalog) Age(now time.Duration) (age, healthy time.Duration) {
	return now - c.asOf, c.asOf - c.healthySince
}

// Split splits the change into parts of at most n servers and removals, except
// that entries of one revision stay together. Parts are ordered by revision, and
// each is complete up to its own. A full change, or one with a configuration, is
// not split.
func (c *Change) Split(n int) []*Change {
	if c.Full || c.Config != nil || len(c.Servers)+len(c.Removed) <= n {
		return []*Change{c}
	}
	type entry struct {
		revision Revision
		server   *Server
		removal  *Removal
	}
	entries := make([]entry, 0, len(c.Servers)+len(c.Removed))
	for i := range c.Servers {
		entries = append(entries, entry{revision: c.Servers[i].Revision, server: &c.Servers[i]})
	}
	for i := range c.Removed {
		entries = append(entries, entry{revision: c.Removed[i].Revision, removal: &c.Removed[i]})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.revision, b.revision) })
	var parts []*Change
	for at := 0; at < len(entries); {
		end := min(at+n, len(entries))
		// Entries of one revision stay together. A full list that is applied
		// after missed changes gives all removals the same revision.
		for end < len(entries) && entries[end].revision == entries[end-1].revision {
			end++
		}
		part := &Change{Revision: entries[end-1].revision}
		for _, e := range entries[at:end] {
			if e.server != nil {
				part.Servers = append(part.Servers, *e.server)
			} else {
				part.Removed = append(part.Removed, *e.removal)
			}
		}
		parts = append(parts, part)
		at = end
	}
	parts[len(parts)-1].Revision = c.Revision
	return parts
}
