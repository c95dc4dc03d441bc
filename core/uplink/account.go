// Package uplink keeps the account of an instance's network link and decides which new
// flows may begin to use it. It has no clock and does no I/O.
//
// The link is shared by kind of request: by route. A flow counts against its kind from its
// SYN to its first response, with the bytes that it may have in flight at once.
package uplink

import (
	"math"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/steer"
)

const (
	// maxQueueTime is the time for which the packets of flows in progress may queue at the
	// link. New flows wait beyond that.
	maxQueueTime = 17 * time.Millisecond
	// segment is the payload of a full packet, headers what is sent beside the payload, both
	// in bytes, and windowPackets the number of packets that a caller has in flight at most.
	segment       = 1200
	headers       = 70
	windowPackets = 16
	windowBytes   = windowPackets * (segment + headers)
	// flowBytes is what a flow sends beside its data: the packets of its begin and its end.
	flowBytes = 3 * headers
	// moreFollows is the payload from which on a packet, if it is the largest one of its flow, is
	// taken to be followed by another one of the same request, bytes.
	moreFollows = segment * 3 / 4
	// minRequestPart is the part of the expected bytes after which a packet that is not full
	// is taken for the last one of the request.
	minRequestPart = 0.2
	// stalledAfter is the time without a packet after which a flow is not using the link:
	// its data have been sent, or its caller waits to send some again.
	stalledAfter = 60 * time.Millisecond
	// aloneAfter is the time without a use of the link by another kind after which a kind is
	// alone.
	aloneAfter = time.Second
	// repeatDelay is the least time without new data after which a packet with known data is
	// one that was sent again. Callers send again after 200 ms; others are out of order.
	repeatDelay = 150 * time.Millisecond
	// forgetAfter is the time without a packet after which a flow is removed.
	forgetAfter = 2 * time.Second
	// learningWeight is the least weight of a flow in what flows of its route are expected to
	// send.
	learningWeight = 1.0 / 8
	// Bytes that the flows of a route are expected to send before any has been seen.
	unknownBytes = 2 * segment
	uploadBytes  = windowBytes
	// maxRoutes and maxFlows limit the memory of an account.
	maxRoutes = 4096
	maxFlows  = 8192
)

// KindShare returns the number of the share to which a kind of request of a priority belongs,
// and the parts of the link, 0 to 1, that all routes of the share together are guaranteed while
// others want it, and may use at most meanwhile.
type KindShare func(kind catalog.Kind, priority int) (share int, guarantee, ceiling float64)

// Account is the account of a link. It is not safe for concurrent use.
type Account struct {
	link    link
	share   KindShare // nil for shares by priority
	routes  map[netip.AddrPort]*route
	flows   map[steer.Key]*flow
	waiting []*route       // those with flows that wait
	groups  map[int]*group // by the number of the share
	sums    sums
	// using are the flows that count in the sums, and stalled the others.
	using, stalled flowList
	// only is the route of the last use of the link, and onlySince the time since when all
	// uses have been of the same kind and priority.
	only      *route
	onlySince time.Duration
}

// route is what is known of the flows of a route.
type route struct {
	kind     catalog.Kind
	priority int
	expected float64 // bytes that a flow sends up to its first response
	seen     int     // flows of which the response was seen
	waiting  int     // flows that wait
	bytes    int64   // that its flows may put into the queue of the link at once
	group    *group
	active   bool // counted in the group
}

// flow is a flow of which no response has been seen.
type flow struct {
	key        steer.Key
	route      *route
	prev, next *flow // in the flowList
	synSeq     uint32
	sent       uint32 // payload seen
	largest    int    // payload of a packet, bytes
	more       bool   // the last data were a full packet
	stalled    bool   // in the list of those that are not counted
	counted    use    // in the sums
	lastPacket time.Duration
	lastNew    time.Duration // last packet with new data
	openedAt   time.Duration
	queued     time.Duration // expected time of its SYN in the queue of the link
	open       bool          // a packet after the SYN was seen
	repeated   bool          // its SYN was sent more than once
}

// New returns the account of a link with the given rate in bytes per second. share may be
// nil: then kinds have equal shares, weighted by priority.
func New(rate float64, share KindShare) *Account {
	a := &Account{link: newLink(rate), routes: make(map[netip.AddrPort]*route), flows: make(map[steer.Key]*flow)}
	a.SetShare(share)
	return a
}

// SetShare replaces the shares of the kinds of request, by priority if share is nil.
func (a *Account) SetShare(share KindShare) {
	a.share, a.groups = share, make(map[int]*group)
	for _, x := range a.routes {
		a.regroup(x)
	}
}

// wireBytes returns the bytes that are sent for a payload in full packets.
func wireBytes(payload float64) float64 { return payload * (segment + headers) / segment }

func (a *Account) route(r *catalog.Route) *route {
	x := a.routes[r.Dest]
	if x == nil {
		if len(a.routes) >= maxRoutes {
			a.forgetRoutes()
		}
		x = &route{expected: unknownBytes}
		if r.Kind == catalog.Upload {
			x.expected = uploadBytes
		}
		a.routes[r.Dest] = x
	}
	if x.group == nil || x.kind != r.Kind || x.priority != r.Priority {
		x.kind, x.priority = r.Kind, r.Priority
		a.regroup(x)
	}
	return x
}

// forgetRoutes removes the routes without flows.
func (a *Account) forgetRoutes() {
	used := make(map[*route]bool)
	for _, f := range a.flows {
		used[f.route] = true
	}
	for dest, x := range a.routes {
		if x.waiting == 0 && !used[x] {
			delete(a.routes, dest)
		}
	}
}

// Opened notes a SYN that was sent to a server.
func (a *Account) Opened(now time.Duration, p *steer.Packet, r *catalog.Route) {
	key := p.Key()
	f := a.flows[key]
	if f != nil && f.synSeq != p.Seq {
		a.remove(f)
		f = nil
	}
	if f != nil {
		f.repeated = true
		a.touch(now, f)
	} else {
		if len(a.flows) >= maxFlows {
			return
		}
		f = &flow{key: key, route: a.route(r), synSeq: p.Seq, repeated: p.Retransmits > 0, lastPacket: now}
		a.add(f)
	}
	f.openedAt, f.queued = now, a.link.queueTime(now)
	a.noteUse(now, f.route)
}

// noteUse notes that a route, nil if it is not known, uses the link or wants to.
func (a *Account) noteUse(now time.Duration, x *route) {
	if !x.sameKind(a.only) {
		a.onlySince = now
	}
	a.only = x
}

func (x *route) sameKind(y *route) bool {
	return x != nil && y != nil && x.kind == y.kind && x.priority == y.priority
}

// alone reports whether the kind of a route has been the only one for a time.
func (a *Account) alone(now time.Duration, x *route) bool {
	return x.sameKind(a.only) && now-a.onlySince > aloneAfter
}

// Sent notes a packet of the given size in bytes that was sent over the link.
func (a *Account) Sent(now time.Duration, bytes int) { a.link.sent(now, bytes) }

// Observe notes a packet of an open flow. answered tells whether it acknowledges the
// response to a request. It reports whether the flow uses the link no more.
func (a *Account) Observe(now time.Duration, p *steer.Packet, answered bool) (ended bool) {
	key := p.Key()
	f := a.flows[key]
	if f == nil {
		if p.Len > 0 {
			a.noteUse(now, a.routes[p.Dest])
		}
		return false
	}
	if !f.open {
		f.open = true
		if !f.repeated {
			a.link.noteHandshake(now, now-f.openedAt, f.queued)
		}
	}
	if p.Len > 0 {
		a.noteUse(now, f.route)
		end := p.Seq + uint32(p.Len) - f.synSeq - 1 // sequence numbers wrap around
		repeated := end <= f.sent && now-f.lastNew > repeatDelay
		a.link.noteData(repeated)
		if end < math.MaxInt32 && end > f.sent {
			f.sent, f.lastNew = end, now
		}
		f.largest = max(f.largest, p.Len)
		f.more = p.Len >= max(f.largest, moreFollows)
	}
	if !answered && !p.FIN && !p.RST {
		a.touch(now, f)
		return false
	}
	if f.sent > 0 {
		f.route.learn(wireBytes(float64(f.sent)) + flowBytes)
	}
	a.remove(f)
	return true
}

// learn notes the bytes that a flow has sent.
func (x *route) learn(bytes float64) {
	x.seen++
	x.expected += (bytes - x.expected) * max(learningWeight, 1/float64(x.seen))
}

// Tick removes flows that have ended unseen, and adapts the rate of the link.
func (a *Account) Tick(now time.Duration) {
	a.stall(now)
	for f := a.stalled.first; f != nil && now-f.lastPacket > forgetAfter; f = a.stalled.first {
		a.remove(f)
	}
	a.link.adapt(now)
}
