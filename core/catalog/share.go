package catalog

import "time"

// Since returns what changed after a revision and a version, for a peer. It is
// whole when removals may have been forgotten since.
func (c *Catalog) Since(now time.Duration, after Revision, version Version) *Change {
	ch := &Change{Revision: c.revision, Whole: after < c.floor}
	if c.config != nil && c.config.Version > version {
		ch.Config = c.config
	}
	for id, s := range c.servers {
		switch {
		case !s.Published():
			if !ch.Whole && s.removed > after {
				ch.Removed = append(ch.Removed, Removal{ID: id, Revision: s.removed})
			}
		case ch.Whole || s.Revision > after:
			told := *s
			// The receiver counts the time from when it first sees the server.
			told.Cold = max(0, s.FirstSeen+s.Cold-now)
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
