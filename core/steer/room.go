package steer

import (
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// maxLoad is the load of the servers of a service, in requests at the servers for
	// each slot, above which new flows go to other failure domains or wait at the instances.
	// It keeps all slots at work when the requests are spread unevenly, and leaves
	// room in the queues of the servers, which refuse what exceeds them.
	maxLoad = 2.5
	// minRoom is the number of requests that an instance may have in flight in any
	// case: with few requests an instance its share says little of the load.
	minRoom = 3
	// spillGrowth is the number by which the window of a service grows with a
	// response in time, and spillShrink the factor by which a late one shrinks it.
	spillGrowth = 1
	spillShrink = 0.5
	// lateFactor is the multiple of a route's typical latency above which a
	// response shows that the servers have requests waiting.
	lateFactor = 2
)

// spillWindow limits the requests in flight to servers of other failure domains
// that go there because those of the own one have no room. What load the others
// have is not known, and after an outage of all domains it is as high as here.
// Therefore the window grows only while responses are in time.
type spillWindow struct {
	limit    float64
	inFlight int
}

// adjust adapts the window to a response from another domain.
func (w *spillWindow) adjust(inTime bool) {
	if inTime {
		w.limit += spillGrowth / w.limit
	} else {
		w.limit = max(1, w.limit*spillShrink)
	}
}

// SetInstances sets the number of known instances of the instance's own failure
// domain, this one included, and whether these are all. They have equal shares of the
// servers. While others may be unknown, as after the start of a fleet, there are taken
// to be as many as servers.
func (e *Engine) SetInstances(n int, all bool) {
	known := e.allInstancesKnown
	e.instances, e.allInstancesKnown = n, all
	if all != known {
		e.updateWarmUpQuotas()
	}
}

// share returns the share of this instance of the slots of a number of servers.
func (e *Engine) share(slots, servers int) float64 {
	n := max(e.instances, 1)
	if !e.allInstancesKnown {
		n = max(n, servers)
	}
	return float64(slots) / float64(n)
}

// ownLoad is the load of the servers of a service that the instances of the own domain use,
// as far as this instance's share of them tells. Servers that do not respond do not count.
type ownLoad struct {
	slots     int     // of the servers
	inFlight  int     // requests of this instance at the servers or on their way
	residence float64 // see residenceShare
	limit     float64 // requests at the servers above which there is no room
}

// ownLoad returns the load of the servers of the own domain, or of the others while the own
// one is evacuated, or returns and its servers can take no flow. It adds what shares have of it to
// parts.
func (e *Engine) ownLoad(now time.Duration, service string, parts []sharePart) ownLoad {
	p := e.pool(service)
	if e.isDisplaced(p) {
		return e.otherLoad(now, p, service, parts)
	}
	slots, servers, inFlight := p.same.inUse(now, parts)
	returning := e.isReturning(now, p)
	if returning && slots == 0 {
		return e.otherLoad(now, p, service, parts)
	}
	l := ownLoad{slots, inFlight, e.residenceShare(service), maxLoad * e.share(slots, servers)}
	if returning {
		l.limit *= warmUpSpeed
	}
	return l
}

func (l *ownLoad) hasRoom() bool {
	return l.slots == 0 || l.inFlight < minRoom || float64(l.inFlight)*l.residence < l.limit
}

// hasOwnRoom reports whether the servers of a service in the instance's own domain
// can take a new flow, as far as this instance's share of them tells: it answers
// peaks that all instances of a domain see alike.
func (e *Engine) hasOwnRoom(now time.Duration, service string) bool {
	l := e.ownLoad(now, service, nil)
	return l.hasRoom()
}

// hasSpillRoom reports whether a new flow of a service may go to another domain.
func (e *Engine) hasSpillRoom(now time.Duration, service string) bool {
	w, p := e.spillWindow(service), e.pool(service)
	canTake := func(c candidate) bool { return c.canTakeFlow(now) }
	return float64(w.inFlight) < w.limit && !e.isDisplaced(p) && slices.ContainsFunc(p.otherDomains, canTake)
}

func (e *Engine) spillWindow(service string) *spillWindow {
	w := e.spills[service]
	if w == nil {
		w = &spillWindow{limit: 1}
		e.spills[service] = w
	}
	return w
}

// spill is a request of a flow that was sent to another domain for lack of room.
type spill struct {
	window   *spillWindow // nil if there is none, or its outcome is known
	inFlight bool         // the window counts the request
}

// beginSpill counts a request that is sent to another domain.
func (e *Engine) beginSpill(f *flowEntry, service string) {
	f.spill = spill{e.spillWindow(service), true}
	f.spill.window.inFlight++
}

// endSpill ends the count of the flow's request if it is such a one.
func (f *flowEntry) endSpill() {
	if f.spill.inFlight {
		f.spill.window.inFlight--
		f.spill.inFlight = false
	}
}

// judgeSpill adapts the window to the outcome of the flow's request if it is such a
// one. A refusal of a full server comes as soon as a response in time.
func (f *flowEntry) judgeSpill(p *outlier.ResponseProfile, score float64, responseTime time.Duration) {
	if f.spill.window == nil {
		return
	}
	f.endSpill()
	typical, known := p.TypicalLatency()
	f.spill.window.adjust(known && score == 0 && responseTime <= lateFactor*typical)
	f.spill.window = nil
}

// placement is the server for a new flow.
type placement struct {
	server  *catalog.Server // nil if there is none
	cost    float64         // of the server
	spilled bool            // it is in another domain for lack of room
	wait    bool            // the flow has to wait for room

	guaranteed bool // there was room only by the guarantee of the flow's share
	atCeiling  bool // the flow has to wait since its share is at its ceiling
	beyond     bool // the server is outside of the share's span, where none can take the flow
	requests   int  // in flight of the share, which decided
}

// place chooses the server for a SYN of a share. A new flow goes where there is room: to
// the instance's own domain, or else to another one within the window. A flow that
// was placed before, f, goes to another server in any case.
func (e *Engine) place(now time.Duration, service string, share int, f *flowEntry) placement {
	if e.shares.active() {
		return e.placeShare(now, service, share, f)
	}
	in, p := wholeSpan, e.pool(service)
	var at placement
	if f != nil {
		at.server, at.cost, _ = e.chooseServer(now, p, f, in)
		return at
	}
	switch {
	case e.usesOtherDomains(now, p, service):
		at.server, at.cost, _ = e.leastCost(now, p.others, nil, in)
	case e.hasOwnRoom(now, service):
		at.server, at.cost, _ = e.chooseServer(now, p, nil, in)
	case e.hasSpillRoom(now, service):
		at.server, at.cost, _ = e.leastCost(now, p.others, nil, in)
		at.spilled = true
	default:
		at.wait = true
	}
	return at
}
