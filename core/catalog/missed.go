package catalog

import "time"

// Missed is what a catalog may lack since it took changes from a peer that does not pass on the
// operator's evacuations and warm-up limits, as one of the former release.
type Missed struct {
	Evacuations bool          // some that began or ended in the span
	After, UpTo Revision      // the span, without After
	Limits      bool          // the warm-up limits of the present configuration
	Since       time.Duration // when the catalog was last known to lack nothing, 0 for never
}

// Missed returns what the catalog may lack, and reports false if that is nothing.
func (c *Catalog) Missed() (m Missed, ok bool) { return c.missed, c.missed.any() }

func (m *Missed) any() bool { return m.Evacuations || m.Limits }

// isWhole reports whether a change has all evacuations of its span, and the warm-up limits
// of its configuration.
func (ch *Change) isWhole() bool { return ch.FromStore || ch.ListsEvacuations }

// missEvacuations records that the evacuations of a span may be lacking. The catalog was last
// known to be current at the time asOf.
func (m *Missed) missEvacuations(after, upTo Revision, asOf time.Duration) {
	if !m.any() {
		m.Since = asOf
	}
	if !m.Evacuations {
		m.Evacuations, m.After, m.UpTo = true, after, upTo
	}
	m.UpTo = max(m.UpTo, upTo)
}

// missLimits records that the configuration came without its warm-up limits.
func (m *Missed) missLimits(asOf time.Duration) {
	if !m.any() {
		m.Since = asOf
	}
	m.Limits = true
}

// found records that all evacuations at a revision are known, which the store had at the time at.
func (m *Missed) found(rev Revision, at time.Duration) {
	if rev >= m.UpTo {
		m.Evacuations, m.After, m.UpTo = false, 0, 0
		return
	}
	m.After, m.Since = max(m.After, rev), at
}

// noteMissed records what the catalog lacks after a change that is applied at a position. asOf is
// the time at which the catalog was last known to be current.
func (c *Catalog) noteMissed(ch *Change, at Position, asOf time.Duration) {
	if ch.Epoch > at.Epoch {
		c.missed.found(c.missed.UpTo, asOf) // the span is of the earlier epoch
		at.Revision = 0
	}
	switch {
	case ch.isWhole() && ch.Full:
		c.missed.found(ch.Revision, asOf)
	case !ch.isWhole() && at.Before(ch.Position()):
		c.missed.missEvacuations(at.Revision, ch.Revision, asOf)
	}
}

// noteIgnored records that evacuations of a change were not kept, here or by the sender, since there are too
// many and their domains have no servers. They are missed once a domain gets its first server.
func (c *Catalog) noteIgnored(ch *Change, result *ApplyResult) {
	listsAll := ch.Full && ch.isWhole() // also those of all domains that have servers
	if listsAll {
		c.ignoredUpTo = 0
	}
	if result.EvacuationsIgnored > 0 || ch.MoreEvacuations {
		c.ignoredUpTo = max(c.ignoredUpTo, ch.Revision)
	}
	if listsAll || c.ignoredUpTo == 0 || len(result.Added) == 0 {
		return
	}
	servers := c.serversByDomain()
	for _, s := range result.Added {
		if servers[s.Domain]--; servers[s.Domain] <= 0 && c.evacuations[s.Domain] == nil {
			c.missed.missEvacuations(0, c.ignoredUpTo, 0)
			return
		}
	}
}

// passesOn reports whether a change for a peer has all evacuations after a revision, and the limits
// of its configuration. Otherwise the peer reads them for itself.
func (c *Catalog) passesOn(ch *Change, after Revision) bool {
	lacks := c.missed.Evacuations && (ch.Full || after < c.missed.UpTo)
	hasConfig := ch.Config != nil || ch.ConfigDiff != nil
	return !lacks && !(c.missed.Limits && hasConfig)
}

// AddMissed merges a list of all evacuations that was read from the store at the time at, withConfig
// together with the configuration. The result is stale if the list is of another epoch, or late.
func (c *Catalog) AddMissed(now, at time.Duration, ch *Change, withConfig bool) ApplyResult {
	var result ApplyResult
	if ch.Epoch != c.epoch || !c.loaded || ch.Revision < c.listedAt {
		result.Stale = true
		return result
	}
	list := &Change{
		Epoch: ch.Epoch, Revision: ch.Revision, Full: true, FromStore: true, Source: ch.Source, Evacuations: ch.Evacuations,
	}
	result.ConfigChanged = c.applyConfig(ch.Config, list)
	if withConfig && ch.Revision >= c.revision {
		c.missed.Limits = false // a store that was restored lacks the version of the present configuration
	}
	c.applyEvacuations(now, list, &result)
	c.listedAt = ch.Revision
	c.missed.found(ch.Revision, at)
	c.noteIgnored(list, &result)
	if result.changesPlacement() {
		c.rebuildIndex()
	}
	return result
}
