package steer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrettack.example/core/catalog"
	"egrettack.example/core/pacing"
)

const (
	// minSpanServers is the number of servers of a service in a failure domain from which
	// on a ceiling keeps a share from some of them. A part of fewer is coarse, and one that
	// fails takes much of it.
	minSpanServers = 8
	// sharedServerPenalty is the cost added to servers that shares with lower ceilings use
	// too: an instance sees few of the requests there.
	sharedServerPenalty = maxLoad
)

// span is the servers of a service at which a share opens flows, in each failure domain, by
// their positions. All instances compute them alike, and the span of a lower ceiling is part of
// that of a higher one.
type span struct {
	shared float32 // servers below this position belong to shares with lower ceilings too
	end    float32 // servers from this position on are kept from the share
}

// wholeSpan is all servers alike.
var wholeSpan = span{0, 1}

// has reports whether the share opens flows at a server. The first one is in every span.
func (s span) has(c *candidate) bool { return c.position < s.end || c.position == 0 }

// penalty returns the cost added to a server of the span.
func (s span) penalty(c *candidate) float64 {
	if c.position < s.shared {
		return sharedServerPenalty
	}
	return 0
}

// spansOf returns the spans of shares, and last that of all kinds without one.
func spansOf(list []Share) []span {
	spans := make([]span, 0, len(list)+1)
	for i := range len(list) + 1 {
		ceiling := otherShare.Ceiling
		if i < len(list) {
			ceiling = list[i].Ceiling
		}
		s := span{0, float32(ceiling)}
		for j := range list {
			if list[j].Ceiling < ceiling {
				s.shared = max(s.shared, float32(list[j].Ceiling))
			}
		}
		spans = append(spans, s)
	}
	return spans
}

// positionServers gives the candidates of each failure domain their positions: the part of the
// domain's slots before them in an order that is the same at all instances. A server that
// comes or goes moves the others by its slots at most. It sorts the list by domain and position, so
// that a scan meets the servers of a span in one run for each domain.
func positionServers(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.server.Domain, b.server.Domain),
			cmp.Compare(orderOf(a.server.ID), orderOf(b.server.ID)), cmp.Compare(a.server.ID, b.server.ID))
	})
	for len(list) > 0 {
		n, slots := 0, 0
		for ; n < len(list) && list[n].server.Domain == list[0].server.Domain; n++ {
			slots += max(list[n].server.Slots, 1)
		}
		if n >= minSpanServers {
			before := 0
			for i := range list[:n] {
				list[i].position = float32(before) / float32(slots)
				before += max(list[i].server.Slots, 1)
			}
		}
		list = list[n:]
	}
}

// orderOf returns the place of a server in the order: a hash, since servers with successive IDs
// often share a rack.
func orderOf(id catalog.ServerID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:])
}

// sharePart is what a share has of the servers that can take a flow.
type sharePart struct {
	share     int
	span      span
	requests  int     // of the share, in flight
	usable    ownLoad // of the servers in the span
	exclusive ownLoad // of those that no share with a lower ceiling uses
}

func (p *sharePart) add(c *candidate) {
	if c.state.byShare != nil {
		p.requests += c.state.byShare[p.share]
	}
	if !p.span.has(c) {
		return
	}
	p.usable.slots += c.server.Slots
	p.usable.inFlight += c.state.inFlight
	if c.position >= p.span.shared {
		p.exclusive.slots += c.server.Slots
		p.exclusive.inFlight += c.state.inFlight
	}
}

// shareLoad is the load of the servers of a service as a share sees it. Without shares it is
// the ownLoad alone.
type shareLoad struct {
	ownLoad
	sharePart
}

// shareLoad returns the load as a share sees it.
func (e *Engine) shareLoad(now time.Duration, service string, share int) shareLoad {
	if !e.shares.active() {
		return shareLoad{ownLoad: e.ownLoad(now, service, nil)}
	}
	parts := [1]sharePart{{share: share, span: e.shares.spans[share]}}
	own := e.ownLoad(now, service, parts[:])
	return newShareLoad(own, parts[0])
}

// newShareLoad returns the load as the share of part sees it.
func newShareLoad(own ownLoad, part sharePart) shareLoad {
	l := shareLoad{own, part}
	l.usable.complete(&l.ownLoad, &l.ownLoad)
	l.exclusive.complete(&l.ownLoad, &l.usable)
	return l
}

// complete sets the limit of some servers by their part of the slots of all. If none of them can
// take a flow, l becomes the load of others instead.
func (l *ownLoad) complete(all, instead *ownLoad) {
	if l.slots == 0 {
		*l = *instead
		return
	}
	l.residence, l.limit = all.residence, all.limit*float64(l.slots)/float64(all.slots)
}

// perSlot returns the requests of the instance for each slot that it has a share of.
func (l *ownLoad) perSlot() float64 {
	if l.limit == 0 {
		return 0
	}
	return float64(l.inFlight) * l.residence * maxLoad / l.limit
}

// preferred returns the span for a new flow. The servers that the share has alone come first
// while they have a free slot or no more load than the others.
func (l *shareLoad) preferred() span {
	rest := ownLoad{
		inFlight: l.usable.inFlight - l.exclusive.inFlight, residence: l.residence,
		limit: l.usable.limit - l.exclusive.limit,
	}
	if own := l.exclusive.perSlot(); own >= 1 && own > rest.perSlot() {
		return span{0, l.span.end}
	}
	return l.span
}

// leastCostInSpan is leastCost for a span that does not treat all servers alike. The cost has no
// penalty of the span.
func (e *Engine) leastCostInSpan(now time.Duration, list []candidate, f *flowEntry, in span) (*catalog.Server, float64, bool) {
	best, least := e.scanSpan(now, list, f, in)
	if in.end < 1 && (best == nil || least >= unresponsivePenalty || best.state.failing && !in.hasSound(now, list)) {
		if c, x := e.scanSpan(now, list, f, wholeSpan); c != nil && (best == nil || x < least && (x < unresponsivePenalty || least >= triedPenalty)) {
			return c.server, x, !in.has(c)
		}
	}
	if best == nil {
		return nil, 0, false
	}
	return best.server, least - in.penalty(best), false
}

// scanSpan returns the candidate of a span with the lowest cost, and that cost with the penalty
// of the span. Among equal ones it chooses at random.
func (e *Engine) scanSpan(now time.Duration, list []candidate, f *flowEntry, in span) (best *candidate, least float64) {
	ties := 0
	for i := range list {
		c := &list[i]
		if !in.has(c) || !c.canTakeFlow(now) {
			continue
		}
		cost := c.cost(now) + in.penalty(c)
		if f != nil && slices.Contains(f.tried, c.server) {
			cost += triedPenalty
		}
		switch {
		case best == nil || cost < least:
			best, least, ties = c, cost, 1
		case cost == least:
			if ties++; e.random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, least
}

// hasSound reports whether a server of the span responds, can take a flow, and is not failing.
func (s span) hasSound(now time.Duration, list []candidate) bool {
	for i := range list {
		c := &list[i]
		if s.has(c) && !c.state.failing && c.state.isResponsive(now) && c.canTakeFlow(now) {
			return true
		}
	}
	return false
}

// placeShare is place for a SYN of a share.
func (e *Engine) placeShare(now time.Duration, service string, share int, f *flowEntry) (at placement) {
	p := e.pool(service)
	if f != nil {
		at.server, at.cost, at.beyond = e.chooseServer(now, p, f, e.shares.spans[share])
		if at.beyond {
			at.requests = e.shareLoad(now, service, share).requests
		}
		return at
	}
	l := e.shareLoad(now, service, share)
	rank, atCeiling := e.rank(share, &l)
	in := l.preferred()
	at.requests = l.requests
	switch {
	case !atCeiling && e.usesOtherDomains(now, p, service):
		at.server, at.cost, at.beyond = e.leastCost(now, p.others, nil, in)
	case rank != pacing.NoRoom:
		at.server, at.cost, at.beyond = e.chooseServer(now, p, nil, in)
		at.guaranteed = rank == pacing.GuaranteedRoom && !l.hasRoom()
	case !atCeiling && e.hasSpillRoom(now, service):
		at.server, at.cost, at.beyond = e.leastCost(now, p.others, nil, in)
		at.spilled = true
	default:
		at.wait, at.atCeiling = true, atCeiling
	}
	return at
}
