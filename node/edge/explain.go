package edge

import (
	"context"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/steer"
)

const methodExplain = "edge.explain"

type explainParams struct {
	Dest   netip.AddrPort `json:"dest"`
	Caller netip.AddrPort `json:"caller,omitzero"`
}

// Explanation is where a flow to a destination would go now by way of an instance, and why,
// or where the caller's flow is open.
type Explanation struct {
	Instance string          `json:"instance"`
	Domain   string          `json:"domain"`
	Route    string          `json:"route,omitempty"` // "" if there is none to the destination
	Version  catalog.Version `json:"version"`         // of the configuration
	// Source is where the instance learns changes from, and AgeMS the time since what it
	// knows was known to be current.
	Source string `json:"source"`
	AgeMS  int64  `json:"age_ms"`
	// OpenAt is the server of the caller's open flow, OpenBy the evidence of that, and
	// OpenForMS its age.
	OpenAt    string               `json:"open_at,omitempty"`
	OpenBy    string               `json:"open_by,omitempty"`
	OpenForMS int64                `json:"open_for_ms,omitempty"`
	Services  []ServiceExplanation `json:"services,omitempty"`
}

// ServiceExplanation is the decision on a new flow to one target service of the route.
type ServiceExplanation struct {
	Service    string      `json:"service"`
	Weight     int         `json:"weight"`
	Action     string      `json:"action"`
	Reason     string      `json:"reason"`
	Server     string      `json:"server,omitempty"`
	OwnRoom    bool        `json:"own_room"`   // at the servers of the own domain
	SpillRoom  bool        `json:"spill_room"` // for flows that go to other domains
	Waiting    int         `json:"waiting"`    // flows that wait at the instance, for all services
	Share      *ShareUse   `json:"share,omitempty"`
	Candidates []Candidate `json:"candidates"` // in the order of the choice, those left out last
}

// ShareUse is the state of the share of a kind of request that decided on a flow.
type ShareUse struct {
	Name       string  `json:"name"`
	InFlight   int     `json:"in_flight"` // requests at the servers that decide on its room
	Guarantee  float64 `json:"guarantee"`
	Ceiling    float64 `json:"ceiling"`
	BeyondSpan bool    `json:"beyond_span,omitempty"` // the server is one that the ceiling keeps from the share
}

// Candidate is a server as the choice sees it.
type Candidate struct {
	Server       string  `json:"server"`
	Domain       string  `json:"domain"`
	Cost         float64 `json:"cost"`
	OpenFlows    int     `json:"open_flows"`
	InFlight     int     `json:"in_flight"`
	WarmUpMS     int64   `json:"warm_up_ms,omitempty"`
	Unresponsive bool    `json:"unresponsive,omitempty"`
	Excess       float64 `json:"excess_failure_rate,omitempty"`
	LeftOut      string  `json:"left_out,omitempty"`
}

// FetchExplanation asks the instance at addr where a flow to dest would go now. caller may
// be the zero address.
func FetchExplanation(ctx context.Context, addr, dest, caller netip.AddrPort) (x Explanation, err error) {
	err = call(ctx, addr, methodExplain, explainParams{dest, caller}, &x)
	return x, err
}

// explain answers a call. It sends nothing and changes nothing.
func (i *Instance) explain(p explainParams) Explanation {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.now()
	age, _ := i.catalog.Age(now)
	out := Explanation{
		Instance: i.settings.Name, Domain: i.settings.Domain, Version: i.catalog.Version(),
		Source: sourceName(i.peers.fleet.Source()), AgeMS: age.Milliseconds(),
	}
	syn := steer.Packet{Caller: p.Caller, Dest: p.Dest, SYN: true}
	x := i.engine.Explain(now, &syn)
	if x.Route != nil {
		out.Route = x.Route.Name
	}
	if x.Open != nil {
		out.OpenAt, out.OpenBy, out.OpenForMS = x.Open.Name, x.OpenBy.String(), x.OpenFor.Milliseconds()
	}
	waitsForLink := len(x.Services) > 0 && i.engine.HasServers(x.Route) && !i.uplink.account.Admit(now, x.Route, false).Admitted
	waitsForProcessor := i.processor.backlog.Waiting() > 0
	for _, s := range x.Services {
		switch {
		case waitsForLink:
			s.Verdict = steer.Verdict{Action: steer.Queue, Reason: steer.NoLinkRoom}
		case s.Verdict.Action == steer.Queue:
			i.refuseToQueue(&s.Verdict, &syn)
		}
		if waitsForProcessor {
			s.Verdict = steer.Verdict{Action: steer.Queue, Reason: steer.NoProcessor}
		}
		out.Services = append(out.Services, i.explainService(&s))
	}
	return out
}

func (i *Instance) explainService(s *steer.ServiceExplanation) ServiceExplanation {
	out := ServiceExplanation{
		Service: s.Service, Weight: s.Weight, Action: s.Verdict.Action.String(), Reason: s.Verdict.Reason.String(),
		OwnRoom: s.OwnRoom, SpillRoom: s.SpillRoom, Waiting: i.waiting.Len(), Candidates: []Candidate{},
	}
	if s.Verdict.Server != nil {
		out.Server = s.Verdict.Server.Name
	}
	if u := s.Verdict.Share; u != nil {
		out.Share = &ShareUse{u.Name, u.InFlight, u.Guarantee, u.Ceiling, u.BeyondSpan}
	}
	for _, c := range s.Candidates {
		out.Candidates = append(out.Candidates, Candidate{
			Server: c.Server.Name, Domain: c.Server.Domain, Cost: c.Cost, OpenFlows: c.Load.OpenFlows, InFlight: c.Load.InFlight,
			WarmUpMS: int64(c.WarmUp / time.Millisecond), Unresponsive: c.Load.Unresponsive, Excess: c.Load.ExcessFailureRate,
			LeftOut: c.LeftOut,
		})
	}
	return out
}
