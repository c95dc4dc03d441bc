package catalog

import (
	"cmp"
	"slices"
	"time"
)

// maxEvacuations limits the evacuations that are kept, those that have ended included.
// More are kept only of domains that have servers, so that items of another writer do not
// displace them.
const maxEvacuations = 256

// Evacuation is the operator's request that the servers of a failure domain get no new
// flows. Open flows stay where they are.
type Evacuation struct {
	Domain   string   `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"` // at which it was requested last

	// The fields below are local to this instance and not sent to peers.

	Since  time.Duration `cbor:"-"` // when this instance first learned of it
	Source string        `cbor:"-"` // from whom it did: Source of the Change
}

// EvacuationEnd is the end of the evacuation of a failure domain.
type EvacuationEnd struct {
	Domain   string   `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
}

// evacuation is what is known of the evacuation of a failure domain.
type evacuation struct {
	Evacuation
	active  bool
	ended   Revision      // of the last known end, 0 if none is known
	endedAt time.Duration // when this instance learned of it
}

// evacuations are the evacuations by domain. An end is kept for missingRetention, for
// followers that may have the evacuation.
type evacuations map[string]*evacuation

// Evacuated reports whether the servers of a failure domain get no new flows.
func (c *Catalog) Evacuated(domain string) bool {
	e := c.evacuations[domain]
	return e != nil && e.active
}

// EvacuationEnded returns when this instance learned that the last evacuation of a failure
// domain had ended. It reports false if none has ended lately.
func (c *Catalog) EvacuationEnded(domain string) (at time.Duration, ok bool) {
	e := c.evacuations[domain]
	if e == nil || e.active || e.ended == 0 {
		return 0, false
	}
	return e.endedAt, true
}

// HasEvacuations reports whether domains are evacuated, or were lately.
func (c *Catalog) HasEvacuations() bool { return len(c.evacuations) > 0 }

// Evacuations returns the evacuations that are in force, by domain.
func (c *Catalog) Evacuations() []Evacuation {
	var list []Evacuation
	for _, e := range c.evacuations {
		if e.active {
			list = append(list, e.Evacuation)
		}
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

// applyEvacuations merges the evacuations of a change. A full list ends those that it
// lacks, except those that were requested after it.
func (c *Catalog) applyEvacuations(now time.Duration, ch *Change, result *ApplyResult) {
	if ch.Full && ch.isWhole() {
		listed := make(map[string]bool, len(ch.Evacuations))
		for i := range ch.Evacuations {
			listed[ch.Evacuations[i].Domain] = true
		}
		for domain, e := range c.evacuations {
			if e.active && e.Revision <= ch.Revision && !listed[domain] {
				e.end(now, ch.Revision, result)
			}
		}
	}
	var servers map[string]int
	if len(c.evacuations)+len(ch.Evacuations) > maxEvacuations {
		servers = c.serversByDomain()
	}
	for _, x := range ch.Evacuations {
		if x.Revision <= c.listedAt && ch.Revision < c.listedAt {
			continue // the list has shown whether it is in force
		}
		x.Since, x.Source = now, ch.Source
		c.putEvacuation(x, servers, result)
	}
	for _, x := range ch.EvacuationsEnded {
		c.endEvacuation(now, x, result)
	}
}

// putEvacuation adds an evacuation unless a later request or end is known. servers is needed
// only from maxEvacuations on.
func (c *Catalog) putEvacuation(x Evacuation, servers map[string]int, result *ApplyResult) {
	e := c.evacuations[x.Domain]
	switch {
	case e == nil && len(c.evacuations) >= maxEvacuations && servers[x.Domain] == 0:
		result.EvacuationsIgnored++
	case e == nil:
		c.evacuations[x.Domain] = &evacuation{Evacuation: x, active: true}
		result.Evacuated = append(result.Evacuated, x)
	case x.Revision <= max(e.Revision, e.ended):
	case e.active:
		e.Revision = x.Revision
	default:
		e.Evacuation, e.active = x, true
		result.Evacuated = append(result.Evacuated, x)
	}
}

// serversByDomain returns the number of known servers of each failure domain.
func (c *Catalog) serversByDomain() map[string]int {
	n := make(map[string]int)
	for _, s := range c.servers {
		n[s.Domain]++
	}
	return n
}

// endEvacuation ends the evacuation of a domain unless it was requested again since.
func (c *Catalog) endEvacuation(now time.Duration, x EvacuationEnd, result *ApplyResult) {
	e := c.evacuations[x.Domain]
	switch {
	case e == nil && len(c.evacuations) >= maxEvacuations:
		return
	case e == nil:
		e = &evacuation{Evacuation: Evacuation{Domain: x.Domain}}
		c.evacuations[x.Domain] = e
	case e.active && x.Revision < e.Revision:
		return
	}
	if x.Revision > e.ended {
		e.end(now, x.Revision, result)
	}
}

// end ends the evacuation at a revision.
func (e *evacuation) end(now time.Duration, rev Revision, result *ApplyResult) {
	if e.active {
		result.EvacuationsEnded = append(result.EvacuationsEnded, e.Evacuation)
	}
	e.active, e.ended, e.endedAt = false, rev, now
}

// beginEpoch prepares the evacuations for the first list of a later epoch, which tells
// whether they are in force. Those that are known are until then.
func (m evacuations) beginEpoch() {
	for domain, e := range m {
		if !e.active {
			delete(m, domain)
		}
		e.Revision, e.ended = 0, 0
	}
}

// since adds to a change what happened after a revision.
func (m evacuations) since(ch *Change, after Revision) {
	for domain, e := range m {
		switch {
		case e.active && (ch.Full || e.Revision > after):
			ch.Evacuations = append(ch.Evacuations, e.Evacuation)
		case !e.active && !ch.Full && e.ended > after:
			ch.EvacuationsEnded = append(ch.EvacuationsEnded, EvacuationEnd{domain, e.ended})
		}
	}
}

// expire drops the ends that are older than missingRetention, and returns the highest
// revision of them.
func (m evacuations) expire(now time.Duration) (forgotten Revision) {
	for domain, e := range m {
		if !e.active && now-e.endedAt >= missingRetention {
			delete(m, domain)
			forgotten = max(forgotten, e.ended)
		}
	}
	return forgotten
}
