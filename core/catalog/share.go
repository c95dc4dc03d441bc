package catalog

import "time"

// Since returns the changes after a revision and a version, for a peer. The
// change is full if not all removals after that revision are known: a full list
// tells which servers are missing, but not since which revision.
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
