package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

// Config of an Engine.
type Config struct {
	Domain string     // the failure domain of this instance
	Seed   uint64     // of the random choices among equal servers and weighted targets
	Addr   netip.Addr // of this instance, by which the others know it
}

// Engine decides on packets. It is not safe for concurrent use.
type Engine struct {
	cfg               Config
	catalog           *catalog.Catalog
	flows             map[Key]*flowEntry
	states            map[*catalog.Server]*serverState
	pools             map[string]*pool // by service, built from poolsGeneration of the catalog
	poolsGeneration   uint64
	poolsUntil        time.Duration // the pools are rebuilt then, 0 if that is not planned
	limitedPartsUntil time.Duration // and then, since the limits of some servers of a displaced domain end
	random            *rand.Rand
	source            *rand.PCG    // of random
	sweepQueue        []Key        // flows that the current sweep has still to check
	instances         int          // see SetInstances
	domainMembers     []netip.Addr // see SetDomainMembers
	allInstancesKnown bool
	domainSizes       map[string]int // see SetDomainSizes
	warmUps           map[*catalog.Server]*notedWarmUp
	warmUpsDue        time.Duration // see WarmUpEvents
	warmUpFlows       uint64
	unevenSpeeds      bool                            // see SetUnevenSpeeds
	serverTimes       map[netip.AddrPort]*decayedMean // seconds of requests at the servers, by destination
	spills            map[string]*spillWindow         // by service
	residences        map[string]*residence           // by service
	shares            ShareAccount
	orphans           map[Key]*orphan
	inquiries         map[Key]*inquiry
	reported          map[Key]*reportedOpening
	reportOrder       []Key // of reported, in order of their creation
	openingNews       []Key // for TakeOpenings
	hedging           hedging
	dataFirst         dataFirst
	lateDataQuota     float64 // see mayAskAboutLateData
	lateDataAt        time.Duration

	profiles      map[netip.AddrPort]*outlier.ResponseProfile // by destination
	lastDetection time.Duration                               // last run of detectOutliers
	lastCall      time.Duration                               // last call of Decide or Tick
}

// New returns an engine that reads c. The caller changes c only between calls
// of the engine.
func New(cfg Config, c *catalog.Catalog) *Engine {
	source := rand.NewPCG(cfg.Seed, cfg.Seed^0x7374656572)
	return &Engine{
		cfg: cfg, catalog: c,
		flows:   make(map[Key]*flowEntry),
		states:  make(map[*catalog.Server]*serverState),
		pools:   make(map[string]*pool),
		spills:  make(map[string]*spillWindow),
		warmUps: make(map[*catalog.Server]*notedWarmUp),

		serverTimes: make(map[netip.AddrPort]*decayedMean),
		profiles:    make(map[netip.AddrPort]*outlier.ResponseProfile),

		residences: make(map[string]*residence),
		orphans:    make(map[Key]*orphan),
		inquiries:  make(map[Key]*inquiry),
		reported:   make(map[Key]*reportedOpening),

		random: rand.New(source),
		source: source,
	}
}

// Decide returns what to do with a packet, and updates the load and the
// responsiveness of servers with what the packet shows.
func (e *Engine) Decide(now time.Duration, p *Packet) Verdict {
	e.detectPause(now)
	if p.SYN && p.ValidFor() <= 0 {
		return Verdict{Action: Drop, Reason: Late}
	}
	if e.catalog.Config() == nil {
		return Verdict{Action: Hold, Reason: NotLoaded}
	}
	route := e.catalog.Route(p.Dest)
	switch {
	case route == nil && p.RST:
		return Verdict{Action: Drop, Reason: NoRoute}
	case route == nil && p.SYN:
		return Verdict{Action: Reset, Reason: NoRoute}
	case route == nil:
		// The flow may be open by a configuration that this instance lacks.
		return Verdict{Action: Hold, Reason: NoRoute}
	}
	if p.SYN {
		return e.openFlow(now, p, route, e.chooseService(route))
	}
	return e.deliver(now, p, route)
}

// DecideQueued decides again on a SYN that waited for room at a service. The
// caller decides on it only when RankRoom has room for its share.
func (e *Engine) DecideQueued(now time.Duration, p *Packet, service string) Verdict {
	route := e.catalog.Route(p.Dest)
	if route == nil || !route.HasTarget(service) {
		return e.Decide(now, p)
	}
	return e.openFlow(now, p, route, service)
}

// RefuseQueued decides on a SYN that waited for room at a service and cannot be placed
// in time. There is nothing to refuse if its flow has opened by way of another instance.
func (e *Engine) RefuseQueued(p *Packet) Verdict {
	if s := e.serverOfOpen(p); s != nil {
		return Verdict{Action: Drop, Reason: Duplicate, Server: s}
	}
	return Verdict{Action: Reset, Reason: NoRoom}
}

// serverOfOpen returns the server of the flow that a SYN begins, nil if it is not known to
// be open.
func (e *Engine) serverOfOpen(syn *Packet) *catalog.Server {
	if f := e.flows[syn.Key()]; f != nil && f.isOpen(syn) {
		return f.server
	}
	if x := e.reported[syn.Key()]; x != nil && x.covers(syn.Seq) {
		return e.catalog.ByToken(x.server)
	}
	return nil
}

// HasFlow reports whether the flow that a SYN begins has been placed by this instance, or is
// known to be open.
func (e *Engine) HasFlow(syn *Packet) bool {
	f := e.flows[syn.Key()]
	return f != nil && f.synSeq == syn.Seq || e.serverOfOpen(syn) != nil
}

// HasServers reports whether a new flow of a route may get a server, now or after a wait. It
// is true while the servers are not known.
func (e *Engine) HasServers(r *catalog.Route) bool {
	for _, t := range r.Targets {
		if p := e.pool(t.Service); len(p.sameDomain)+len(p.otherDomains) > 0 {
			return true
		}
	}
	return !e.catalog.Loaded()
}

// openFlow chooses a server for a new flow. A retransmitted SYN goes to a server
// that has not received one yet, unless the last one has just received it. This is
// safe since no server has run a request of the flow.
func (e *Engine) openFlow(now time.Duration, p *Packet, route *catalog.Route, service string) Verdict {
	key := p.Key()
	if s := e.serverOfOpen(p); s != nil {
		return Verdict{Action: Drop, Reason: Duplicate, Server: s}
	}
	f := e.flows[key]
	if f != nil && f.synSeq != p.Seq {
		// The caller reuses the address and port for a new flow.
		e.removeFlow(key, f)
		f = nil
	}
	if f != nil && now-f.lastPacket < unresponsiveAfter {
		return Verdict{Action: Drop, Reason: Duplicate, Server: f.server}
	}
	share := e.shares.find(route.Kind, route.Priority)
	at := e.place(now, service, share, f)
	v := e.placementVerdict(at, service, share)
	if v.Action != Forward {
		return v
	}
	delete(e.orphans, key)
	if f == nil {
		f = &flowEntry{synSeq: p.Seq, nextSeq: p.Seq + 1}
		e.flows[key] = f
	} else {
		e.state(f.server).setSilent()
	}
	f.lastPacket = now
	e.assign(now, key.Dest, f, at.server)
	f.tried = append(f.tried, at.server)
	f.contested = len(f.tried) > 1 || p.Retransmits > 0
	if at.spilled {
		e.beginSpill(f, service)
	}
	e.state(at.server).synSent(now)
	e.countWarmUp(now, at.server)
	return v
}

// placementVerdict returns the decision on a SYN of a share for which a server was chosen,
// or none.
func (e *Engine) placementVerdict(at placement, service string, share int) Verdict {
	switch {
	case at.wait && at.atCeiling:
		return Verdict{Action: Queue, Reason: ShareCeiling, Service: service, Share: e.shareUse(share, at.requests)}
	case at.wait:
		return Verdict{Action: Queue, Reason: NoRoom, Service: service, Share: e.shareUse(share, at.requests)}
	case at.server == nil && !e.catalog.Loaded():
		return Verdict{Action: Hold, Reason: NotLoaded}
	case at.server == nil:
		return Verdict{Action: Reset, Reason: NoServer}
	}
	v := Verdict{Action: Forward, Reason: Placed, Server: at.server, Load: at.cost, Service: service}
	if at.guaranteed || at.beyond {
		if v.Share = e.shareUse(share, at.requests); v.Share != nil {
			v.Share.BeyondSpan = at.beyond
		}
	}
	return v
}

// deliver forwards a packet of an open flow to the server that its token
// identifies, or to that where the flow was seen open if it is the token of an answer to a
// SYN.
func (e *Engine) deliver(now time.Duration, p *Packet, route *catalog.Route) Verdict {
	key := p.Key()
	f := e.flows[key]
	if f != nil && !f.covers(p.Seq) {
		// The caller uses its port again, and the new flow began at another instance.
		e.removeFlow(key, f)
		f = nil
	}
	ofToken := e.catalog.ByToken(p.Token)
	if f != nil && ofToken != nil {
		e.dataFirst.note(f, p)
	}
	s, known, ok := e.locate(now, f, ofToken, p)
	if !ok {
		e.inquire(now, key, known)
		return Verdict{Action: Ask, Reason: NotSeenOpen}
	}
	if s != nil {
		e.observeSilence(now, f, s, p)
	}
	switch {
	case p.Token == 0 && s == nil:
		return Verdict{Action: Drop, Reason: NoToken}
	case s == nil && p.RST:
		return Verdict{Action: Drop, Reason: UnknownToken}
	case s == nil:
		return Verdict{Action: Hold, Reason: UnknownToken}
	case !e.catalog.MayHaveFlows(route, s.Service):
		return Verdict{Action: Drop, Reason: WrongService}
	}
	if e.catalog.Presence(s) == catalog.AddressTaken {
		return e.dropOrReset(now, p, s)
	}
	delete(e.orphans, key)
	reason := Token
	if s != ofToken {
		reason = SeenOpen
	}
	return Verdict{Action: Forward, Reason: reason, Server: s, ResponseTime: e.observePacket(now, f, s, p, &known)}
}

// DecideHeld decides again on a held packet, after the catalog was updated.
// heldAt is the time at which the packet arrived.
func (e *Engine) DecideHeld(now, heldAt time.Duration, p *Packet) Verdict {
	v := e.Decide(now, p)
	if v.Action != Hold || p.SYN || !e.catalog.Complete() || !e.catalog.AbsenceConfirmed(heldAt) {
		return v
	}
	// The store was read since the packet arrived, and has no route to the address or
	// no server with the token. There may have been one.
	if s := e.serverSeenOpen(p); s != 0 && s.Identity() != p.Token.Identity() {
		return v // the flow is open at a server that is not known here
	}
	known := e.catalog.KnowsServerOf(now, p.Token)
	if v.Reason == NoRoute {
		known = e.catalog.RouteRemoved(p.Dest) || e.catalog.KnowsAllRoutes(now)
	}
	if !known {
		return v
	}
	e.removeFlowByKey(p.Key())
	return Verdict{Action: Reset, Reason: v.Reason}
}

// HoldTimeoutVerdict returns the verdict on a packet that was held for the
// longest time allowed.
func (e *Engine) HoldTimeoutVerdict(p *Packet) Verdict {
	if e.catalog.Route(p.Dest) == nil {
		return Verdict{Action: Drop, Reason: NoRoute}
	}
	return Verdict{Action: Drop, Reason: UnknownToken}
}
