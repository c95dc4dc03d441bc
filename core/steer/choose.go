package steer

import (
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// silentAfter is how long an opening packet may stay unanswered, with no
	// other sign of life from its server, before the server is avoided. A
	// handshake takes 15 ms to the farthest failure domain.
	silentAfter = 60 * time.Millisecond
	// trialEvery is the interval at which an avoided server gets a new flow to
	// see whether it is back.
	trialEvery = time.Second
	// crossPenalty is by how much, in loads of a whole server, a server of the
	// own failure domain may be busier than one elsewhere and still be taken:
	// bytes between domains are dear, each exchange takes longer, and the load
	// elsewhere is hardly known. Two requests that wait for each slot delay one
	// by 30 to 60 ms.
	crossPenalty = 3
	// silentPenalty puts avoided servers behind all others.
	silentPenalty = 100
	// failurePenalty is by how much, in loads of a whole server, a server that
	// fails all its requests may be less busy than another one and still be
	// passed over: a failed request is worth the wait behind several others.
	failurePenalty = 6
	// openWeight is the part of a request that an open flow counts as: it may
	// start one at any time.
	openWeight = 0.05
	// coldSpeed is the speed of a server that has just started.
	coldSpeed = 0.5
)

// load is what an instance knows of the work at a server.
type load struct {
	open, busy int
	waiting    time.Duration // of the first opening packet since the last sign of life, 0 for none
	trial      time.Duration // of the last opening packet

	outcomes outlier.History
	excess   float64       // share of failures beyond the usual, at the last review
	risk     float64       // the same where servers that were not asked count as good
	heard    float64       // the same as another instance saw it
	heardAt  time.Duration // when it did
	penalty  float64       // for failures, in loads of a whole server
	failing  bool          // a Finding said so

	heardHops int // instances that the suspicion passed
}

func (e *Engine) load(s *catalog.Server) *load {
	l := e.loads[s]
	if l == nil {
		l = &load{}
		e.loads[s] = l
	}
	return l
}

// ServerLoad is what an instance knows of the work at a server.
type ServerLoad struct {
	OpenFlows, InFlight int     // flows and requests that this instance has seen
	Unresponsive        bool    // it gets no new flows but for trials
	Excess              float64 // share of its requests that fail beyond the usual, here or at another instance
}

// ServerLoad returns what is known of the work at a server.
func (e *Engine) ServerLoad(now time.Duration, s *catalog.Server) ServerLoad {
	l := e.load(s)
	return ServerLoad{OpenFlows: l.open, InFlight: l.busy, Unresponsive: l.silent(now), Excess: l.suspected(now)}
}

// candidate is a server that may get new flows, with what the choice needs of
// it: a list of thousands is looked through for each new flow.
type candidate struct {
	server    *catalog.Server
	load      *load
	perSlot   float64       // load of a request, 1 for all slots
	coldUntil time.Duration // until when it runs at coldSpeed
}

func (e *Engine) candidate(s *catalog.Server) candidate {
	return candidate{s, e.load(s), 1 / float64(max(s.Slots, 1)), s.FirstSeen + s.WarmUp}
}

// pool is the candidates of one service, those of the own failure domain apart.
type pool struct{ own, other []candidate }

// pool returns the candidates of a service. They are collected again when the
// catalog has changed.
func (e *Engine) pool(service string) *pool {
	if rev := e.catalog.Generation(); rev != e.pooled {
		clear(e.pools)
		e.pooled = rev
	}
	p := e.pools[service]
	if p != nil {
		return p
	}
	p = &pool{}
	for _, s := range e.catalog.ServersOf(service) {
		switch {
		case s.Draining:
		case s.Domain == e.cfg.Domain:
			p.own = append(p.own, e.candidate(s))
		default:
			p.other = append(p.other, e.candidate(s))
		}
	}
	e.pools[service] = p
	return p
}

func (l *load) sent(now time.Duration) {
	if l.waiting == 0 {
		l.waiting = max(now, 1)
	}
	l.trial = now
}

func (l *load) alive() { l.waiting = 0 }

// silent reports whether the server is avoided.
func (l *load) silent(now time.Duration) bool {
	return l.waiting > 0 && now-l.waiting > silentAfter && now-l.trial < trialEvery
}

// level is the load that one more request gives a server, 1 for all slots.
func (c *candidate) level(now time.Duration) float64 {
	l := c.load
	x := (float64(l.busy+1) + openWeight*float64(l.open)) * c.perSlot
	if now < c.coldUntil {
		x /= coldSpeed
	}
	x += l.penalty
	if l.silent(now) {
		x += silentPenalty
	}
	return x
}

// choose returns the least loaded server for a new flow of the route, nil if
// there is none. Servers that f has tried come last.
func (e *Engine) choose(now time.Duration, r *catalog.Route, f *entry) (*catalog.Server, float64) {
	p := e.pool(e.target(r))
	best, least := e.least(now, p.own, f)
	if best != nil && least <= crossPenalty {
		return best, least
	}
	if far, x := e.least(now, p.other, f); far != nil && (best == nil || x+crossPenalty < least) {
		return far, x
	}
	return best, least
}

// least returns the candidate with the lowest level, a random one of equals.
func (e *Engine) least(now time.Duration, list []candidate, f *entry) (best *catalog.Server, least float64) {
	ties := 0
	for i := range list {
		c := &list[i]
		x := c.level(now)
		if f != nil && slices.Contains(f.tried, c.server) {
			x += 2 * silentPenalty
		}
		switch {
		case best == nil || x < least:
			best, least, ties = c.server, x, 1
		case x == least:
			if ties++; e.random.IntN(ties) == 0 {
				best = c.server
			}
		}
	}
	return best, least
}

// target draws one of the route's services by weight.
func (e *Engine) target(r *catalog.Route) string {
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	x := e.random.IntN(total)
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
