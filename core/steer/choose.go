package steer

import (
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// unresponsiveAfter is how long an opening packet may stay unanswered, with no
	// other sign of life from its server, before the server is avoided. A
	// handshake takes 15 ms to the farthest failure domain.
	unresponsiveAfter = 60 * time.Millisecond
	// trialInterval is the interval at which an avoided server gets a new flow to
	// see whether it is back.
	trialInterval = time.Second
	// crossDomainPenalty is by how much, in loads of a whole server, a server of the
	// own failure domain may be busier than one elsewhere and still be taken:
	// bytes between domains are dear, each exchange takes longer, and the load
	// elsewhere is hardly known. Two requests that wait for each slot delay one
	// by 30 to 60 ms.
	crossDomainPenalty = 3
	// unresponsivePenalty puts avoided servers behind all others.
	unresponsivePenalty = 100
	// failurePenalty is by how much, in loads of a whole server, a server that
	// fails all its requests may be less busy than another one and still be
	// passed over: a failed request is worth the wait behind several others.
	failurePenalty = 6
	// openFlowWeight is the part of a request that an open flow counts as: it may
	// start one at any time.
	openFlowWeight = 0.05
	// coldSpeed is the speed of a server that has just started.
	coldSpeed = 0.5
)

// serverState is what an instance knows of the work at a server.
type serverState struct {
	openFlows, inFlight int
	unansweredSince     time.Duration // of the first opening packet since the last sign of life, 0 for none
	lastSYN             time.Duration // of the last opening packet

	history        outlier.History
	excess         float64       // share of failures beyond the usual, at the last review
	excessOverAll  float64       // the same where servers that were not asked count as good
	reportedExcess float64       // the same as another instance saw it
	reportedAt     time.Duration // when it did
	penalty        float64       // for failures, in loads of a whole server
	failing        bool          // a Finding said so

	reportHops int // instances that the suspicion passed
}

func (e *Engine) state(s *catalog.Server) *serverState {
	l := e.states[s]
	if l == nil {
		l = &serverState{}
		e.states[s] = l
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
	l := e.state(s)
	return ServerLoad{OpenFlows: l.openFlows, InFlight: l.inFlight, Unresponsive: l.unresponsive(now), Excess: l.effectiveExcess(now)}
}

// candidate is a server that may get new flows, with what the choice needs of
// it: a list of thousands is looked through for each new flow.
type candidate struct {
	server         *catalog.Server
	state          *serverState
	loadPerRequest float64       // load of a request, 1 for all slots
	coldUntil      time.Duration // until when it runs at coldSpeed
}

func (e *Engine) candidate(s *catalog.Server) candidate {
	return candidate{s, e.state(s), 1 / float64(max(s.Slots, 1)), s.FirstSeen + s.Cold}
}

// pool is the candidates of one service, those of the own failure domain apart.
type pool struct{ sameDomain, otherDomains []candidate }

// pool returns the candidates of a service. They are collected again when the
// catalog has changed.
func (e *Engine) pool(service string) *pool {
	if rev := e.catalog.Changes(); rev != e.poolsRevision {
		clear(e.pools)
		e.poolsRevision = rev
	}
	p := e.pools[service]
	if p != nil {
		return p
	}
	p = &pool{}
	for _, s := range e.catalog.Service(service) {
		switch {
		case s.Draining:
		case s.Domain == e.cfg.Domain:
			p.sameDomain = append(p.sameDomain, e.candidate(s))
		default:
			p.otherDomains = append(p.otherDomains, e.candidate(s))
		}
	}
	e.pools[service] = p
	return p
}

func (l *serverState) synSent(now time.Duration) {
	if l.unansweredSince == 0 {
		l.unansweredSince = max(now, 1)
	}
	l.lastSYN = now
}

func (l *serverState) responded() { l.unansweredSince = 0 }

// unresponsive reports whether the server is avoided.
func (l *serverState) unresponsive(now time.Duration) bool {
	return l.unansweredSince > 0 && now-l.unansweredSince > unresponsiveAfter && now-l.lastSYN < trialInterval
}

// cost is the load that one more request gives a server, 1 for all slots.
func (c *candidate) cost(now time.Duration) float64 {
	l := c.state
	x := (float64(l.inFlight+1) + openFlowWeight*float64(l.openFlows)) * c.loadPerRequest
	if now < c.coldUntil {
		x /= coldSpeed
	}
	x += l.penalty
	if l.unresponsive(now) {
		x += unresponsivePenalty
	}
	return x
}

// chooseServer returns the least loaded server for a new flow of the route, nil if
// there is none. Servers that f has tried come last.
func (e *Engine) chooseServer(now time.Duration, r *catalog.Route, f *flowEntry) (*catalog.Server, float64) {
	p := e.pool(e.chooseService(r))
	best, least := e.leastCost(now, p.sameDomain, f)
	if best != nil && least <= crossDomainPenalty {
		return best, least
	}
	if far, x := e.leastCost(now, p.otherDomains, f); far != nil && (best == nil || x+crossDomainPenalty < least) {
		return far, x
	}
	return best, least
}

// leastCost returns the candidate with the lowest level, a random one of equals.
func (e *Engine) leastCost(now time.Duration, list []candidate, f *flowEntry) (best *catalog.Server, least float64) {
	ties := 0
	for i := range list {
		c := &list[i]
		x := c.cost(now)
		if f != nil && slices.Contains(f.tried, c.server) {
			x += 2 * unresponsivePenalty
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

// chooseService draws one of the route's services by weight.
func (e *Engine) chooseService(r *catalog.Route) string {
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
