package catalog

import "time"

// Since returns the changes after a position and a version, for a peer. The
// change is full if the position is of another epoch, or not all removals after it
// are known: a full list tells which servers are missing, but not since which revision.
// With diff set the configuration is a difference from the version, where that is
// known and smaller.
func (c *Catalog) Since(now time.Duration, after Position, version Version, diff bool) *Change {
	ch := &Change{
		Epoch: c.epoch, Revision: c.revision,
		Full: after.Epoch != c.epoch || after.Revision < c.forgottenRevision,
	}
	if c.config != nil && c.config.Version > version {
		c.addConfig(ch, version, diff)
	}
	for id, s := range c.servers {
		switch {
		case !s.Published():
			if !ch.Full && s.removedRevision > after.Revision {
				ch.Removed = append(ch.Removed, Removal{ID: id, Revision: s.removedRevision})
				if s.Revision > after.Revision {
					// It came and went since, and may be running.
					ch.Servers = append(ch.Servers, s.shared(now))
				}
			}
		case ch.Full || s.Revision > after.Revision:
			ch.Servers = append(ch.Servers, s.shared(now))
		}
	}
	for id, r := range c.unknownRemoved {
		if !ch.Full && r.revision > after.Revision {
			ch.Removed = append(ch.Removed, Removal{ID: id, Revision: r.revision})
		}
	}
	c.evacuations.since(ch, after.Revision)
	ch.ListsEvacuations = c.passesOn(ch, after.Revision)
	ch.MoreEvacuations = c.ignoredUpTo > 0 && (ch.Full || c.ignoredUpTo > after.Revision)
	return ch
}

// shared returns the entry of a server for a peer, which counts the warm-up from when it
// first sees the server.
func (s *Server) shared(now time.Duration) Server {
	entry := *s
	entry.WarmUp = max(0, s.FirstSeen+s.WarmUp-now)
	return entry
}

// addConfig adds the configuration to a change, for a peer that has a version.
func (c *Catalog) addConfig(ch *Change, version Version, diff bool) {
	if diff && version > 0 {
		if d := c.routes.diff(c.config, version); d != nil && len(d.Changed)+len(d.Removed) < len(c.config.Routes) {
			ch.ConfigDiff = d
			return
		}
	}
	ch.Config = c.config
}

// Age returns the time since the catalog was known to be current, and how long
// the store had been healthy then.
func (c *Catalog) Age(now time.Duration) (age, healthy time.Duration) {
	return now - c.asOf, c.asOf - c.healthySince
}
