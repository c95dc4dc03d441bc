package steer

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
	"egrettack.example/core/warmup"
)

const (
	// unresponsiveAfter is how long a SYN may stay unanswered, without any other
	// response from its server, before the server is avoided. A handshake with the
	// farthest failure domain takes 15 ms.
	unresponsiveAfter = 60 * time.Millisecond
	// trialInterval is the interval at which an unresponsive server gets a new
	// flow, to find out whether it responds again.
	trialInterval = time.Second
	// crossDomainPenalty is the cost added to servers of other failure domains:
	// traffic between domains is expensive, each exchange takes longer, and the
	// load elsewhere is hardly known. Other domains are not considered while a
	// server of the instance's own domain has at most this cost, which without
	// other penalties means two requests waiting for each slot, a delay of 30 to
	// 60 ms.
	crossDomainPenalty = 3
	// unresponsivePenalty exceeds the cost of any responsive server.
	unresponsivePenalty = 100
	// triedPenalty is the cost added to a server that the flow has tried: it exceeds that of
	// an unresponsive one.
	triedPenalty = 2 * unresponsivePenalty
	// failurePenalty is the cost added to a server that fails all its requests.
	// Others are chosen before it although they have more load: a failed request
	// costs as much as waiting behind several others.
	failurePenalty = 6
	// openFlowWeight is the fraction of a request that an open flow counts as,
	// since it may start a request at any time.
	openFlowWeight = 0.05
	// warmUpSpeed is the relative speed of a server that has just started.
	warmUpSpeed = 0.5
)

// serverState is what an instance knows of the load and the failures of a
// server.
type serverState struct {
	openFlows, inFlight int           // flows, and requests without a response
	byShare             []int         // of inFlight, nil if no kind has a share
	unansweredSince     time.Duration // first SYN since the server's last response, 0 if there was none
	lastSYN             time.Duration
	silent              bool // a caller has sent a packet again since the server's last response

	slowness      decayedMean // times of requests at the server, as multiples of the usual one
	history       outlier.History
	heard         []heardEvidence // of the neighbours
	excess        float64         // by which its failure rate exceeds the baseline of the servers with recent requests
	excessOverAll float64         // the same with the baseline of all servers, those without requests included
	penalty       float64         // cost added for failures
	failing       bool            // by the last OutlierEvent
	warmUpLog     warmup.Log      // new flows while it warms up with a limit

	place indexPlace // told of changes of the fields that the cost depends on
}

func (e *Engine) state(s *catalog.Server) *serverState {
	st := e.states[s]
	if st == nil {
		st = &serverState{}
		e.states[s] = st
	}
	return st
}

// ServerLoad is what an instance knows of the load and the failures of a server.
type ServerLoad struct {
	OpenFlows, InFlight int     // flows, and requests without a response, that this instance has seen
	Unresponsive        bool    // it gets no new flows except for trials
	ExcessFailureRate   float64 // by which its failure rate (0 to 1) at the instances of the domain exceeds the baseline
}

// ServerLoad returns what is known of the load and the failures of a server.
func (e *Engine) ServerLoad(now time.Duration, s *catalog.Server) ServerLoad {
	st := e.state(s)
	return ServerLoad{
		OpenFlows: st.openFlows, InFlight: st.inFlight, Unresponsive: st.unresponsive(now), ExcessFailureRate: st.excess,
	}
}

// candidate is a server that may get new flows. It holds all that the choice
// depends on.
type candidate struct {
	server         *catalog.Server
	state          *serverState
	loadPerRequest float64       // fraction of the server's slots that a request takes
	warmUpUntil    time.Duration // the server runs at warmUpSpeed until then
	warmUpLimited  bool          // it gets warmUpQuota of new flows until then
	position       float32       // among the servers of its domain: see span
	warmUpQuota    warmup.Quota
}

// canTakeFlow reports whether a limit for servers that warm up leaves room for a new flow.
func (c *candidate) canTakeFlow(now time.Duration) bool {
	return !c.warmUpLimited || now >= c.warmUpUntil || c.state.warmUpLog.Allows(now, c.warmUpQuota)
}

func (e *Engine) candidate(s *catalog.Server) candidate {
	until, limit, ok := e.warmUpUntil(s)
	c := candidate{server: s, state: e.state(s), loadPerRequest: 1 / float64(max(s.Slots, 1)), warmUpUntil: until}
	if ok && e.lastCall < until {
		c.warmUpLimited, c.warmUpQuota = true, e.warmUpQuota(s, limit.FlowsPerSecond)
	}
	return c
}

// pool is the candidates of one service, in the instance's own failure domain
// and in the others, in a fixed order (by ID, or see positionServers): with the same seed the
// same ones are chosen.
type pool struct {
	sameDomain, otherDomains []candidate
	same, others             *index // of these
	displacement             displacement
}

// pool returns the candidates of a service. All pools are rebuilt after a change
// of the catalog.
func (e *Engine) pool(service string) *pool {
	gen := e.catalog.ChangeCount()
	due := func(at time.Duration) bool { return at > 0 && e.lastCall >= at }
	if gen != e.poolsGeneration || due(e.poolsUntil) || due(e.limitedPartsUntil) {
		clear(e.pools)
		e.poolsGeneration, e.poolsUntil, e.limitedPartsUntil = gen, 0, 0
	}
	p := e.pools[service]
	if p != nil {
		return p
	}
	p = &pool{}
	for _, s := range e.catalog.ServersOf(service) {
		if st := e.states[s]; st != nil {
			st.place = indexPlace{}
		}
		switch {
		case s.Draining:
		case e.catalog.Evacuated(s.Domain):
			p.displacement.addEvacuated(s.Domain)
		case s.Domain == e.cfg.Domain:
			p.sameDomain = append(p.sameDomain, e.candidate(s))
		default:
			p.otherDomains = append(p.otherDomains, e.candidate(s))
		}
	}
	byID := func(a, b candidate) int { return cmp.Compare(a.server.ID, b.server.ID) }
	slices.SortFunc(p.sameDomain, byID)
	slices.SortFunc(p.otherDomains, byID)
	if e.shares.active() {
		positionServers(p.sameDomain)
		positionServers(p.otherDomains)
	}
	p.same, p.others = newIndex(p.sameDomain), newIndex(p.otherDomains)
	e.completeDisplacement(p)
	e.pools[service] = p
	return p
}

func (st *serverState) synSent(now time.Duration) {
	if st.unansweredSince == 0 {
		st.unansweredSince = max(now, 1)
	}
	st.lastSYN = now
	st.place.touch()
}

// unresponsive reports whether the server is to be avoided: a SYN has been
// unanswered for too long, and no trial is due.
func (st *serverState) unresponsive(now time.Duration) bool {
	return st.unansweredSince > 0 && now-st.unansweredSince > unresponsiveAfter && now-st.lastSYN < trialInterval
}

// isResponsive reports whether the server counts as one that responds.
func (st *serverState) isResponsive(now time.Duration) bool {
	return !st.silent && !st.unresponsive(now)
}

// cost returns the load of the server with one more request, as a multiple of
// its slots, plus penalties.
func (c *candidate) cost(now time.Duration) float64 {
	st := c.state
	x := (float64(st.inFlight+1) + openFlowWeight*float64(st.openFlows)) * c.loadPerRequest
	if now < c.warmUpUntil {
		x /= warmUpSpeed
	}
	x += st.penalty
	if st.unresponsive(now) {
		x += unresponsivePenalty
	}
	return x
}

// chooseServer returns the server of a span with the lowest cost for a new
// flow, or the better of two by their speeds if these are uneven, and its cost.
// The server is nil if there is none. Servers that f has already tried come last.
// beyond is set if the server is outside of the span.
func (e *Engine) chooseServer(now time.Duration, p *pool, f *flowEntry, in span) (best *catalog.Server, least float64, beyond bool) {
	if e.unevenSpeeds && f == nil && len(p.sameDomain) > 0 && !e.shares.active() {
		if c := e.betterOfTwo(now, p.sameDomain); c != nil && c.cost(now) <= crossDomainPenalty {
			return c.server, c.cost(now), false
		}
	}
	best, least, beyond = e.leastCost(now, p.same, f, in)
	if in.shared > 0 && least > crossDomainPenalty {
		// Any server of the span goes before other domains.
		best, least, beyond = e.leastCost(now, p.same, f, span{0, in.end})
	}
	if best != nil && least <= crossDomainPenalty {
		return best, least, beyond
	}
	if remote, x, far := e.leastCost(now, p.others, f, in); remote != nil && (best == nil || x+crossDomainPenalty < least) {
		return remote, x, far
	}
	return best, least, beyond
}

// leastCost returns the candidate of a span with the lowest cost, and that cost. Among
// equal ones it chooses at random. beyond is set if the candidate is outside of the span, since
// none there responds, can take a flow and does not fail.
func (e *Engine) leastCost(now time.Duration, x *index, f *flowEntry, in span) (best *catalog.Server, least float64, beyond bool) {
	if e.shares.active() {
		return e.leastCostInSpan(now, x.list, f, in)
	}
	var tried []*catalog.Server
	if f != nil {
		tried = f.tried
	}
	best, least = x.least(now, tried, e.random)
	return best, least, false
}

// chooseService chooses one of the route's services at random, by weight.
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
