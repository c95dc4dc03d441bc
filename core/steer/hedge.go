package steer

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/catalog"
)

const (
	// minHedgeDelay is the shortest time after which a SYN counts as slow. A handshake with
	// the farthest failure domain takes 15 ms.
	minHedgeDelay = maxHandshake
	// maxHedgeDelay is the longest: the caller sends its own copy after 200 ms, and one that
	// arrives within unresponsiveAfter of a second SYN is dropped as its duplicate.
	maxHedgeDelay = 140 * time.Millisecond
	// defaultHedgeDelay is the delay while fewer than minOpeningTimes are known.
	defaultHedgeDelay = unresponsiveAfter
	hedgeQuantile     = 0.99
	minOpeningTimes   = 50
	// maxDueShare is the share of the openings that are slow from which on the cause is taken
	// to hit all servers alike: a second SYN would meet the same.
	maxDueShare    = 0.5
	dueHalfLife    = 5 * time.Second
	minHedgeEvents = 5 // fewer events show nothing
	// minWonShare is the share of second SYNs whose server was first to open the flow below
	// which they are taken not to help. Their number decays, so that some are sent again.
	minWonShare = 0.1
	wonHalfLife = time.Minute
	// maxOpeningRoutes limits the routes and domains whose opening times are known.
	maxOpeningRoutes = 1024
)

// HedgeOutcome tells what became of a flow whose opening was due for a second SYN.
type HedgeOutcome uint8

// Outcomes.
const (
	HedgeSent      HedgeOutcome = iota
	HedgeNotNeeded              // the flow has opened or ended, or its caller has sent a copy
	HedgeLate                   // the caller's next copy is due
	HedgeOverLimit              // the share of extra openings is used up
	HedgeOutage                 // most openings are slow
	HedgeUseless                // second SYNs are rarely first to open the flow
	HedgeNoRoom                 // the servers are short of room
	HedgeNoServer               // no other server that responds has a free slot
	numHedgeOutcomes
)

var hedgeOutcomeNames = [numHedgeOutcomes]string{
	"sent", "not_needed", "late", "over_limit", "outage", "useless", "no_room", "no_server",
}

func (o HedgeOutcome) String() string { return hedgeOutcomeNames[o] }

// hedging decides on second SYNs to other servers for flows that are slow to open.
type hedging struct {
	maxShare float64 // of openings, 0 if off
	account  hedgeAccount
	openings decayingCount
	due      decayingCount
	sent     decayingCount
	won      decayingCount
	wonTotal uint64
	times    map[openingRoute]*openingTimes
}

// openingRoute is a route and the failure domain of the server.
type openingRoute struct {
	dest   netip.AddrPort
	domain string
}

// flowHedge is the part of a flow that hedging depends on.
type flowHedge struct {
	placedAt time.Duration   // of the first SYN, 0 if the flow gets no second one
	first    *catalog.Server // that got it
	second   *catalog.Server // that got the second SYN, nil if none did
}

// isHedged reports whether this instance has sent a second SYN. Both servers may have answered
// within maxHandshake, so that the token of data does not show where the flow is open.
func (f *flowEntry) isHedged() bool { return f.hedge.second != nil }

// SetHedging sets the largest share of second SYNs in the openings of this instance, 0 for
// none. Each instance keeps to it by its own openings of the last hedgeWindow, so that the
// second SYNs of any number of instances are at most this share of the openings that they have
// seen since their starts.
func (e *Engine) SetHedging(maxShare float64) {
	e.hedging.maxShare = maxShare
	if e.hedging.times == nil {
		e.hedging.times = make(map[openingRoute]*openingTimes)
	}
}

// isRepeatable reports whether requests of a kind may be repeated.
func isRepeatable(k catalog.Kind) bool { return k == catalog.Safe || k == catalog.Download }

// HedgeAt counts an opening, by the verdict on its SYN. It returns the time at which
// DecideHedge is to be called, and reports false if the flow gets no second SYN.
func (e *Engine) HedgeAt(now time.Duration, p *Packet, v *Verdict) (time.Duration, bool) {
	h := &e.hedging
	f := e.flows[p.Key()]
	if h.maxShare == 0 || !p.SYN || p.Retransmits > 0 || v.Reason != Placed || f == nil || len(f.tried) != 1 {
		return 0, false
	}
	h.account.at(now).openings++
	route := e.catalog.Route(p.Dest)
	if route == nil || !isRepeatable(route.Kind) {
		return 0, false
	}
	h.openings.add(now, dueHalfLife)
	f.hedge = flowHedge{placedAt: now, first: f.server}
	delay := h.openingTimes(p.Dest, f.server.Domain).hedgeDelay()
	if e.state(f.server).isSuspected(now) {
		delay = 0
	}
	return now + delay, delay <= maxHedgeDelay
}

// isSuspected reports whether a server that has just got a SYN may not answer it: earlier ones
// are unanswered for too long, or a caller has sent a packet again.
func (st *serverState) isSuspected(now time.Duration) bool {
	return st.silent || st.unansweredSince > 0 && now-st.unansweredSince > unresponsiveAfter
}

// DecideHedge decides whether a flow that is slow to open gets a second SYN, to a server that
// has not got one. p is its SYN, with its present age.
func (e *Engine) DecideHedge(now time.Duration, p *Packet) (Verdict, HedgeOutcome) {
	f := e.flows[p.Key()]
	route := e.catalog.Route(p.Dest)
	switch {
	case f == nil || f.synSeq != p.Seq || f.established || len(f.tried) != 1 || f.hedge.placedAt == 0:
		return Verdict{}, HedgeNotNeeded
	case e.serverOfOpen(p) != nil || e.isOpeningAsked(p):
		return Verdict{}, HedgeNotNeeded
	case route == nil || !isRepeatable(route.Kind) || !route.HasTarget(f.server.Service):
		return Verdict{}, HedgeNotNeeded
	}
	e.hedging.due.add(now, dueHalfLife)
	if p.ValidFor() <= 0 {
		return Verdict{}, HedgeLate
	}
	service := f.server.Service
	if stop, ok := e.hedging.stopReason(now); ok {
		return Verdict{}, stop
	}
	if !e.hasOwnRoom(now, service) {
		return Verdict{}, HedgeNoRoom
	}
	at := e.place(now, service, e.shares.find(route.Kind, route.Priority), f)
	if at.server == nil || at.beyond || slices.Contains(f.tried, at.server) || !e.mayHedgeTo(now, at.server) {
		return Verdict{}, HedgeNoServer
	}
	e.hedging.account.at(now).sent++
	e.hedging.sent.add(now, wonHalfLife)
	f.hedge.second = at.server
	f.tried = append(f.tried, at.server)
	f.contested = true
	f.lastPacket = now
	return Verdict{Action: Forward, Reason: Hedged, Server: at.server, Load: at.cost, Service: service}, HedgeSent
}

// isOpeningAsked reports whether the peers are asked where the flow of a SYN is open: a packet
// has shown that it is.
func (e *Engine) isOpeningAsked(syn *Packet) bool {
	q := e.inquiries[syn.Key()]
	return q != nil && q.best.covers(syn.Seq)
}

// stopReason returns why no second SYN may be sent now, and reports false if one may.
func (h *hedging) stopReason(now time.Duration) (HedgeOutcome, bool) {
	openings, due := h.openings.value(now, dueHalfLife), h.due.value(now, dueHalfLife)
	sent, won := h.sent.value(now, wonHalfLife), h.won.value(now, wonHalfLife)
	switch {
	case !h.account.allows(now, h.maxShare):
		return HedgeOverLimit, true
	case openings >= minHedgeEvents && due > maxDueShare*openings:
		return HedgeOutage, true
	case sent >= minHedgeEvents && won < minWonShare*sent:
		return HedgeUseless, true
	}
	return HedgeSent, false
}

// mayHedgeTo reports whether a server responds, is warm and has a free slot, as far as this
// instance knows.
func (e *Engine) mayHedgeTo(now time.Duration, s *catalog.Server) bool {
	st := e.state(s)
	return !st.isSuspected(now) && !st.failing && now >= s.FirstSeen+s.WarmUp && st.inFlight < s.Slots
}

// noteOpened records the time that a flow took to open, and whether its second SYN has opened
// it. The time of a flow with a second SYN is at least that of its delay, so that second SYNs
// do not make the measured times shorter.
func (e *Engine) noteOpened(now time.Duration, dest netip.AddrPort, f *flowEntry, s *catalog.Server) {
	if f.hedge.placedAt == 0 {
		return
	}
	e.hedging.openingTimes(dest, f.hedge.first.Domain).add(now - f.hedge.placedAt)
	if f.hedge.second == s {
		e.hedging.won.add(now, wonHalfLife)
		e.hedging.wonTotal++
	}
}

// HedgesWon returns the number of flows that a second SYN has opened.
func (e *Engine) HedgesWon() uint64 { return e.hedging.wonTotal }

func (h *hedging) openingTimes(dest netip.AddrPort, domain string) *openingTimes {
	key := openingRoute{dest, domain}
	t := h.times[key]
	if t == nil {
		if len(h.times) >= maxOpeningRoutes {
			clear(h.times)
		}
		t = &openingTimes{}
		h.times[key] = t
	}
	return t
}

// hedgeWindow is the time over which second SYNs are at most the allowed share of the openings,
// in steps of hedgeStep.
const (
	hedgeWindow = 10 * time.Second
	hedgeStep   = time.Second
)

// hedgeAccount counts openings and second SYNs in the steps of the last hedgeWindow.
type hedgeAccount struct {
	steps [hedgeWindow / hedgeStep]hedgeCounts
	last  int64 // number of the last step
}

type hedgeCounts struct{ openings, sent int }

// at returns the counts of the step of a time.
func (a *hedgeAccount) at(now time.Duration) *hedgeCounts {
	const n = int64(len(a.steps))
	if step := int64(now / hedgeStep); step > a.last {
		for i := max(a.last+1, step-n+1); i <= step; i++ {
			a.steps[i%n] = hedgeCounts{}
		}
		a.last = step
	}
	return &a.steps[a.last%n]
}

// allows reports whether one more second SYN stays within the share.
func (a *hedgeAccount) allows(now time.Duration, share float64) bool {
	a.at(now)
	sum := hedgeCounts{}
	for _, s := range a.steps {
		sum.openings += s.openings
		sum.sent += s.sent
	}
	return float64(sum.sent+1) <= share*float64(sum.openings)
}

const (
	// The buckets of openingTimes begin at minOpeningTime and grow by openingTimeStep, up to
	// 170 ms.
	openingTimeBuckets = 24
	minOpeningTime     = time.Millisecond
	openingTimeStep    = 1.25
	// maxOpeningTimes is the number of times after which all counts are halved.
	maxOpeningTimes = 512
)

// openingTimes is a histogram of times from a SYN to the first packet of the open flow.
type openingTimes struct {
	counts [openingTimeBuckets]float64
	total  float64
}

func (t *openingTimes) add(d time.Duration) {
	b := int(math.Ceil(math.Log(float64(d)/float64(minOpeningTime)) / math.Log(openingTimeStep)))
	t.counts[min(max(b, 0), openingTimeBuckets-1)]++
	if t.total++; t.total < maxOpeningTimes {
		return
	}
	t.total /= 2
	for i := range t.counts {
		t.counts[i] /= 2
	}
}

// hedgeDelay returns the time after which an opening counts as slow.
func (t *openingTimes) hedgeDelay() time.Duration {
	if t.total < minOpeningTimes {
		return defaultHedgeDelay
	}
	below, edge := 0.0, float64(minOpeningTime)
	for _, n := range t.counts[:openingTimeBuckets-1] {
		if below += n; below >= hedgeQuantile*t.total {
			break
		}
		edge *= openingTimeStep
	}
	return max(time.Duration(edge), minHedgeDelay)
}

// decayingCount is a number of events that halves in a given time.
type decayingCount struct {
	n  float64
	at time.Duration
}

func (c *decayingCount) value(now, halfLife time.Duration) float64 {
	return c.n * math.Exp2(-float64(max(now-c.at, 0))/float64(halfLife))
}

func (c *decayingCount) add(now, halfLife time.Duration) {
	c.n, c.at = c.value(now, halfLife)+1, max(now, c.at)
}
