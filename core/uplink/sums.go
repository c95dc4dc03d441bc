package uplink

import (
	"math"
	"time"
)

// sums are running sums over the flows in progress. Bytes are integers, so that what is
// added and taken off again leaves nothing.
type sums struct {
	bytes   int64 // that the flows may put into the queue of the link at once
	likely  int64 // the same without what flows may send beyond the mean of their routes
	groups  int   // with active routes
	weights float64
}

// group is the routes of one share, or a single route without shares.
type group struct {
	bytes  int64 // that its flows may put into the queue of the link at once
	routes int   // active ones: with flows in progress or waiting
	weight float64
}

// use is what a flow counts in the sums.
type use struct{ bytes, likely int64 }

// flowList is a list of flows by the time of their last packets, the latest at the end.
type flowList struct{ first, last *flow }

func (l *flowList) remove(f *flow) {
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		l.first = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		l.last = f.prev
	}
	f.prev, f.next = nil, nil
}

func (l *flowList) append(f *flow) {
	f.prev = l.last
	if l.last != nil {
		l.last.next = f
	} else {
		l.first = f
	}
	l.last = f
}

func (a *Account) listOf(f *flow) *flowList {
	if f.stalled {
		return &a.stalled
	}
	return &a.using
}

// add adds a flow.
func (a *Account) add(f *flow) {
	a.flows[f.key] = f
	a.using.append(f)
	a.count(f, f.outstanding())
}

// touch notes that a flow has a packet now.
func (a *Account) touch(now time.Duration, f *flow) {
	a.listOf(f).remove(f)
	f.lastPacket, f.stalled = now, false
	a.using.append(f)
	a.count(f, f.outstanding())
}

func (a *Account) remove(f *flow) {
	a.listOf(f).remove(f)
	a.count(f, use{})
	delete(a.flows, f.key)
}

// stall takes the flows out of the sums that use the link no more.
func (a *Account) stall(now time.Duration) {
	for f := a.using.first; f != nil && now-f.lastPacket > stalledAfter; f = a.using.first {
		a.using.remove(f)
		f.stalled = true
		a.stalled.append(f)
		a.count(f, use{})
	}
}

// count replaces what a flow counts in the sums.
func (a *Account) count(f *flow, u use) {
	if u == f.counted {
		return
	}
	x, change := f.route, u.bytes-f.counted.bytes
	a.sums.likely += u.likely - f.counted.likely
	f.counted = u
	x.bytes += change
	x.group.bytes += change
	a.sums.bytes += change
	a.update(x)
}

// update counts a route among the active ones of its group, or no more.
func (a *Account) update(x *route) {
	if active := x.bytes > 0 || x.waiting > 0; active != x.active {
		x.active = active
		a.activate(x.group, active)
	}
}

func (a *Account) activate(g *group, active bool) {
	s := &a.sums
	if active {
		if g.routes++; g.routes == 1 {
			s.groups++
			s.weights += g.weight
		}
		return
	}
	if g.routes--; g.routes == 0 {
		s.weights -= g.weight
		if s.groups--; s.groups == 0 {
			s.weights = 0 // without what rounding has left
		}
	}
}

// regroup moves a route to the group of its kind and priority.
func (a *Account) regroup(x *route) {
	if g := x.group; g != nil {
		g.bytes -= x.bytes
		if x.active {
			a.activate(g, false)
		}
	}
	x.group = a.groupOf(x)
	x.group.bytes += x.bytes
	if x.active {
		a.activate(x.group, true)
	}
}

func (a *Account) groupOf(x *route) *group {
	if a.share == nil {
		return &group{weight: 1 / float64(1+max(x.priority, 0))}
	}
	n, guarantee, _ := a.share(x.kind, x.priority)
	g := a.groups[n]
	if g == nil {
		g = &group{weight: guarantee}
		a.groups[n] = g
	}
	return g
}

// outstanding returns the bytes that the flow may put into the queue of the link at once. One
// that sends full packets may go on beyond the mean of its route.
func (f *flow) outstanding() use {
	sent := wireBytes(float64(f.sent))
	rest := int64(math.Ceil(min(f.route.expected-sent, windowBytes)))
	switch {
	case !f.more && (sent > f.route.expected*minRequestPart || rest <= 0):
		return use{}
	case rest <= 0:
		return use{windowBytes, windowBytes}
	case f.more:
		return use{windowBytes, rest}
	}
	return use{rest, rest}
}
