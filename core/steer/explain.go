package steer

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/catalog"
)

// Explanation is where a new flow would go now, and why, or where an open one is.
type Explanation struct {
	Route *catalog.Route // of the destination, nil if there is none
	// Open is the server at which the caller's flow is open, as far as this instance knows,
	// and OpenBy the evidence. Open is nil for a new flow.
	Open    *catalog.Server
	OpenBy  OpeningEvidence
	OpenFor time.Duration // since the evidence was seen
	// Services are the decisions for a new flow, one for each target of the route.
	Services []ServiceExplanation
}

// OpeningEvidence is what shows where a flow is open.
type OpeningEvidence uint8

// Kinds of evidence.
const (
	NoEvidence OpeningEvidence = iota
	SeenHere                   // this instance has seen its first packet
	ToldByPeer                 // a peer has
)

var evidenceNames = [...]string{"", "seen_here", "told_by_peer"}

func (v OpeningEvidence) String() string { return evidenceNames[v] }

// ServiceExplanation is the decision on a new flow that goes to a service.
type ServiceExplanation struct {
	Service string
	Weight  int // of the target in the route
	Verdict Verdict
	// OwnRoom and SpillRoom report room at the servers of the instance's own domain, and for
	// flows that go to other domains.
	OwnRoom, SpillRoom bool
	Candidates         []CandidateExplanation // in the order of the choice, those left out last
}

// CandidateExplanation is what the choice of a server depends on.
type CandidateExplanation struct {
	Server  *catalog.Server
	Load    ServerLoad
	Cost    float64       // of one more flow, penalties included
	WarmUp  time.Duration // remaining, 0 once it is over
	LeftOut string        // why it gets no new flows, "" if it may
}

// Explain tells where a flow would go now. syn is the packet that would begin it; its
// caller may be the zero address. It changes nothing that later decisions depend on.
func (e *Engine) Explain(now time.Duration, syn *Packet) Explanation {
	x := Explanation{Route: e.catalog.Route(syn.Dest)}
	if f := e.flows[syn.Key()]; f != nil && f.established {
		x.Open, x.OpenBy, x.OpenFor = f.server, SeenHere, now-f.opening.at
	} else if o := e.reported[syn.Key()]; o != nil {
		if s := e.catalog.ByToken(o.server); s != nil {
			x.Open, x.OpenBy, x.OpenFor = s, ToldByPeer, now-o.at
		}
	}
	if x.Route == nil || x.Open != nil {
		return x
	}
	source := *e.source
	for _, t := range x.Route.Targets {
		e.chooseService(x.Route) // the decision draws a service first
		x.Services = append(x.Services, e.explainService(now, t, e.shares.find(x.Route.Kind, x.Route.Priority)))
		*e.source = source
	}
	return x
}

func (e *Engine) explainService(now time.Duration, t catalog.Target, share int) ServiceExplanation {
	x := ServiceExplanation{
		Service: t.Service, Weight: t.Weight,
		OwnRoom: e.hasOwnRoom(now, t.Service), SpillRoom: e.hasSpillRoom(now, t.Service),
	}
	at := e.place(now, t.Service, share, nil)
	x.Verdict = e.placementVerdict(at, t.Service, share)
	p := e.pool(t.Service)
	considered := make(map[*catalog.Server]bool)
	for _, list := range [][]candidate{p.sameDomain, p.otherDomains} {
		for i := range list {
			considered[list[i].server] = true
			x.Candidates = append(x.Candidates, e.explainCandidate(now, &list[i], share))
		}
	}
	for _, s := range e.catalog.ServersOf(t.Service) {
		if !considered[s] {
			c := e.candidate(s)
			left := e.explainCandidate(now, &c, share)
			left.LeftOut = e.whyLeftOut(s)
			x.Candidates = append(x.Candidates, left)
		}
	}
	slices.SortStableFunc(x.Candidates, func(a, b CandidateExplanation) int {
		return cmp.Or(-compareBool(a.Server == at.server, b.Server == at.server), compareBool(a.LeftOut != "", b.LeftOut != ""),
			compareBool(a.Server.Domain != e.cfg.Domain, b.Server.Domain != e.cfg.Domain),
			cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	return x
}

// whyLeftOut returns why a server is not among the candidates of its service.
func (e *Engine) whyLeftOut(s *catalog.Server) string {
	switch {
	case s.Draining:
		return "draining"
	case e.catalog.Evacuated(s.Domain):
		return "evacuated"
	}
	return "not usable"
}

func (e *Engine) explainCandidate(now time.Duration, c *candidate, share int) CandidateExplanation {
	x := CandidateExplanation{Server: c.server, Load: e.ServerLoad(now, c.server), Cost: c.cost(now), WarmUp: max(0, c.warmUpUntil-now)}
	switch {
	case !c.canTakeFlow(now):
		x.LeftOut = "warm-up limit reached"
	case e.shares.active() && !e.shares.spans[share].has(c):
		x.LeftOut = "beyond the ceiling of the share"
	}
	return x
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
