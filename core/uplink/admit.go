package uplink

import (
	"slices"
	"time"

	"egrettack.example/core/catalog"
)

// Decision is whether a new flow may go on, and its inputs.
type Decision struct {
	Admitted bool
	Rate     float64       // of the link, bytes per second
	Queue    time.Duration // time for which packets queue at the link
	InUse    float64       // bytes that the flows in progress may put into the queue at once
	OfKind   float64       // those of the route, or of all routes of its share
	Needed   float64       // those of the new flow
	Share    float64       // that the route, or its share, is guaranteed
	Flows    int           // in progress
}

// Admit decides on a new flow of a route. queued tells whether the flow has waited.
// A flow goes on while the link has room for it, and beyond that while its route uses no
// more than its guarantee.
func (a *Account) Admit(now time.Duration, r *catalog.Route, queued bool) Decision {
	limit := a.link.rate * maxQueueTime.Seconds()
	a.link.drain(now)
	d := Decision{Rate: a.link.rate, Flows: len(a.flows)}
	if len(a.waiting) == 0 && float64(len(a.flows)+1)*windowBytes+a.link.backlog <= limit {
		d.Admitted = true
		return d
	}
	a.stall(now)
	x := a.route(r)
	g := x.group
	guarantee, ceiling := a.shareOf(x)
	d.Queue, d.InUse, d.OfKind, d.Needed, d.Share = a.link.queueTime(now), float64(a.sums.bytes), float64(g.bytes), min(x.expected, windowBytes), guarantee
	switch {
	case x.waiting > 0 && !queued:
	case x.bytes == 0 || d.OfKind+d.Needed <= guarantee*limit:
		d.Admitted = true
	case d.OfKind+d.Needed > ceiling*limit && d.InUse > d.OfKind:
	default:
		inUse := d.InUse
		if a.alone(now, x) {
			inUse, limit = float64(a.sums.likely), limit+a.onPath()
		}
		d.Admitted = max(inUse, a.link.backlog)+d.Needed <= limit && !a.higherWaits(x)
	}
	return d
}

// onPath returns the bytes of a flow that are on their way or acknowledged meanwhile, and not
// in the queue of the link. A kind alone may count on them: flows then overlap and the link is
// in use during handshakes, at the risk of a longer queue, which delays no other kind.
func (a *Account) onPath() float64 {
	return min(a.link.rate*a.link.shortestHandshake().Seconds(), windowBytes)
}

// shareOf returns the guarantee and the ceiling of a route among those that share the link.
func (a *Account) shareOf(x *route) (guarantee, ceiling float64) {
	weights := a.sums.weights
	if x.group.routes == 0 {
		weights += x.group.weight
	}
	guarantee, ceiling = x.group.weight, 1
	if a.share != nil {
		_, _, ceiling = a.share(x.kind, x.priority)
		weights = max(weights, 1)
	}
	if weights > 0 {
		guarantee /= weights
	}
	return guarantee, ceiling
}

// higherWaits reports whether flows of a route with a higher priority wait.
func (a *Account) higherWaits(x *route) bool {
	for _, y := range a.waiting {
		if y.priority < x.priority {
			return true
		}
	}
	return false
}

// AddWaiting changes the number of flows of a route that wait by n.
func (a *Account) AddWaiting(r *catalog.Route, n int) {
	x := a.route(r)
	before := x.waiting
	x.waiting = max(0, x.waiting+n)
	a.update(x)
	switch {
	case before == 0 && x.waiting > 0:
		a.waiting = append(a.waiting, x)
	case before > 0 && x.waiting == 0:
		k := slices.Index(a.waiting, x)
		a.waiting = slices.Delete(a.waiting, k, k+1)
	}
}

// Status is the state of the link.
type Status struct {
	Rate           float64 // bytes per second
	BytesPerSecond float64 // sent
	Queue          time.Duration
	Flows          int // in progress
}

// Status returns the state of the link.
func (a *Account) Status(now time.Duration) Status {
	return Status{a.link.rate, a.link.bytesPerSecond(now), a.link.queueTime(now), len(a.flows)}
}
