package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/warmup"
)

// SetDomainMembers sets the known instances of the instance's own failure domain, this
// one included. They divide the new flows of servers that warm up with a limit.
func (e *Engine) SetDomainMembers(members []netip.Addr) {
	slices.SortFunc(members, netip.Addr.Compare)
	if slices.Equal(members, e.domainMembers) {
		return
	}
	e.domainMembers = members
	e.updateWarmUpQuotas()
}

func (e *Engine) updateWarmUpQuotas() {
	if !e.catalog.HasWarmUpLimits() {
		return
	}
	for _, p := range e.pools {
		for i := range p.sameDomain {
			if c := &p.sameDomain[i]; c.warmUpLimited {
				limit, _ := e.catalog.WarmUpLimit(c.server.Service)
				c.warmUpQuota = e.warmUpQuota(c.server, limit.FlowsPerSecond)
				c.state.place.touch()
			}
		}
	}
}

// warmUpQuota returns the number of new flows that this instance may send to a server while
// it warms up. Only instances of the server's domain have one, and none before it knows the
// others: all of a domain would take themselves for owners.
func (e *Engine) warmUpQuota(s *catalog.Server, perSecond float64) warmup.Quota {
	if s.Domain != e.cfg.Domain || !e.allInstancesKnown {
		return warmup.Quota{}
	}
	return warmup.QuotaOf(uint64(s.ID), perSecond, e.cfg.Addr, e.domainMembers)
}

// warmUpUntil returns when a server has warmed up, its limit until then, and whether it has one.
func (e *Engine) warmUpUntil(s *catalog.Server) (until time.Duration, limit catalog.WarmUpLimit, ok bool) {
	until = s.FirstSeen + s.WarmUp
	limit, ok = e.catalog.WarmUpLimit(s.Service)
	if ok && limit.Duration > 0 {
		until = min(until, s.WarmUpStated+limit.Duration)
	}
	return until, limit, ok
}

// WarmUp is a server that warms up with a limit of new flows, as this instance keeps it.
type WarmUp struct {
	Server    *catalog.Server
	PerSecond float64       // new flows of all instances
	Quota     warmup.Quota  // of them those of this instance
	Members   int           // known instances of the server's domain, if that is the own one
	Remaining time.Duration // until the limit ends
	Sent      int           // new flows that this instance has sent since it noted the limit
}

// WarmUp returns the limit of a server, and whether it has one now.
func (e *Engine) WarmUp(now time.Duration, s *catalog.Server) (WarmUp, bool) {
	if now >= s.FirstSeen+s.WarmUp {
		return WarmUp{}, false
	}
	until, limit, ok := e.warmUpUntil(s)
	if !ok || now >= until {
		return WarmUp{}, false
	}
	x := WarmUp{Server: s, PerSecond: limit.FlowsPerSecond, Quota: e.warmUpQuota(s, limit.FlowsPerSecond), Remaining: until - now}
	if s.Domain == e.cfg.Domain {
		x.Members = len(e.domainMembers)
	}
	if n := e.warmUps[s]; n != nil {
		x.Sent = n.sent
	}
	return x, true
}

// notedWarmUp is what was told of a server that warms up with a limit.
type notedWarmUp struct {
	told warmup.Quota
	sent int
}

// countWarmUp counts a new flow towards the limit of a server that warms up.
func (e *Engine) countWarmUp(now time.Duration, s *catalog.Server) {
	x, ok := e.WarmUp(now, s)
	if !ok {
		return
	}
	st := e.state(s)
	st.warmUpLog.Add(now, x.Quota)
	st.place.touch()
	e.noteWarmUp(s).sent++
	e.warmUpFlows++
}

func (e *Engine) noteWarmUp(s *catalog.Server) *notedWarmUp {
	n := e.warmUps[s]
	if n == nil {
		n = &notedWarmUp{}
		e.warmUps[s] = n
	}
	return n
}

// WarmUpFlows returns the number of new flows that were sent to servers within their limits.
func (e *Engine) WarmUpFlows() uint64 { return e.warmUpFlows }

// WarmUpEvent is a server of whose limit this instance has got another quota than before, or
// whose limit has ended.
type WarmUpEvent struct {
	WarmUp
	Ended bool
}

// WarmUpEvents returns what has changed since it last did, by server. It looks at
// detectionInterval.
func (e *Engine) WarmUpEvents(now time.Duration) (events []WarmUpEvent) {
	if now < e.warmUpsDue || !e.catalog.HasWarmUpLimits() && len(e.warmUps) == 0 {
		return nil
	}
	e.warmUpsDue = now + detectionInterval
	for s, n := range e.warmUps {
		if _, ok := e.WarmUp(now, s); !ok || e.catalog.Latest(s) != s {
			delete(e.warmUps, s)
			events = append(events, WarmUpEvent{WarmUp{Server: s, Quota: n.told, Sent: n.sent}, true})
		}
	}
	e.catalog.EachServer(func(s *catalog.Server) {
		x, ok := e.WarmUp(now, s)
		if n := e.warmUps[s]; !ok || n == nil && x.Quota.Flows == 0 || n != nil && n.told == x.Quota {
			return
		}
		e.noteWarmUp(s).told = x.Quota
		events = append(events, WarmUpEvent{WarmUp: x})
	})
	slices.SortFunc(events, func(a, b WarmUpEvent) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return events
}
