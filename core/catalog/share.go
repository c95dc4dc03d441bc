package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Since returns what changed after a revision and a version, for a peer. It is
// whole when removals may have been forgotten since.
func (c *Catalog) Since(now time.Duration, after Revision, version Version) *Change {
	ch := &Change{Revision: c.revision, Full: after < c.floor}
	if c.config != nil && c.config.Version > version {
		ch.Config = c.config
	}
	for id, s := range c.servers {
		switch {
		case !s.Published():
			if !ch.Full && s.removed > after {
				ch.Removed = append(ch.Removed, Removal{ID: id, Revision: s.removed})
			}
		case ch.Full || s.Revision > after:
			told := *s
			// The receiver counts the time from when it first sees the server.
			told.WarmUp = max(0, s.FirstSeen+s.WarmUp-now)
			ch.Servers = append(ch.Servers, told)
		}
	}
	return ch
}

// Age returns how long ago the catalog was known to be current, and for how
// long before that the store was in good state.
func (c *Catalog) Age(now time.Duration) (age, good time.Duration) {
	return now - c.asOf, c.asOf - c.goodSince
}

// Split returns the change in parts of at most n servers and removals, in the
// order of their revisions, so that each part is complete up to its own. A
// whole change, or one with a configuration, is not split.
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
		// Entries of one revision stay together: a list read after a gap gives
		// all removals in it the same one.
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
