// Package admit decides whether a kind of work may take another place of a
// host group. Each kind has a guaranteed share; what a kind leaves unused is
// lent to the others, and the least urgent ones give it back first.
package admit

import (
	"math"
	"time"

	"egrettack.example/core/snapshot"
)

const (
	// ActiveWindow is how long a kind counts as active after new demand. The
	// reserve of an active kind is not lent out.
	ActiveWindow = 10 * time.Second
	// YieldWindow is how long the refusal of a more urgent kind keeps less urgent
	// ones from borrowing.
	YieldWindow = 200 * time.Millisecond
)

// Decision says why a request is not admitted.
type Decision uint8

// Refusals.
const (
	Admitted   Decision = iota
	Full                // there is no free place
	Reserved            // the free places are reserved for other kinds
	Ceiling             // the kind has reached its ceiling
	Yielding            // a more urgent kind was refused a moment ago
	Undefined           // the kind is not configured
	numRefusal          // count of the above
)

var refusalNames = [numRefusal]string{"admitted", "full", "reserved", "ceiling", "yielding", "undefined"}

func (r Decision) String() string { return refusalNames[r] }

const kinds = math.MaxUint8 + 1

const never = time.Duration(math.MinInt64 / 2)

type kind struct {
	set       bool
	class     uint8
	occupies  snapshot.Occupancy
	share     float64
	ceiling   float64
	guarantee int // of the present capacity
	limit     int // of places in use, from the ceiling
	inUse     int
	demand    time.Duration // of the last new demand
	refused   time.Duration // of the last refusal for want of a place
}

// resource is the places or the connections of the group's usable hosts.
type resource struct{ capacity, free int }

// Controller is the admission state of one group.
type Controller struct {
	kinds  [kinds]kind
	listed []snapshot.KindID
	pools  [2]resource // by Occupancy
}

// New returns a Control for the kinds of a service.
func New(list []*snapshot.Kind) *Controller {
	c := &Controller{}
	for i := range c.kinds {
		c.kinds[i].demand, c.kinds[i].refused = never, never
	}
	c.Configure(list)
	return c
}

// Configure takes changed kinds into use. Counts and demand are kept.
func (c *Controller) Configure(list []*snapshot.Kind) {
	for _, id := range c.listed {
		c.kinds[id].set = false
	}
	c.listed = c.listed[:0]
	for _, k := range list {
		s := &c.kinds[k.ID]
		s.set, s.class, s.occupies, s.share, s.ceiling = true, k.Class, k.Occupies, k.Share, k.Ceiling
		c.listed = append(c.listed, k.ID)
	}
	c.derive()
}

// SetCapacity sets the capacity of a resource over the usable hosts.
func (c *Controller) SetCapacity(o snapshot.Occupancy, capacity int) {
	if c.pools[o].capacity != capacity {
		c.pools[o].capacity = capacity
		c.derive()
	}
}

// SetFree sets what is free of a resource on the usable hosts.
func (c *Controller) SetFree(o snapshot.Occupancy, free int) { c.pools[o].free = free }

func (c *Controller) derive() {
	for _, id := range c.listed {
		k := &c.kinds[id]
		p := float64(c.pools[k.occupies].capacity)
		// The small addends undo the error of products such as 0.3 x 10.
		k.guarantee = int(k.share*p + 1e-9)
		if k.share > 0 {
			k.guarantee = max(k.guarantee, 1)
		}
		k.limit = int(math.Ceil(k.ceiling*p - 1e-9))
	}
}

// AddInUse changes what kind id has in use on the usable hosts.
func (c *Controller) AddInUse(id snapshot.KindID, n int) { c.kinds[id].inUse += n }

// SetInUse sets what kind id has in use on the usable hosts.
func (c *Controller) SetInUse(id snapshot.KindID, n int) { c.kinds[id].inUse = n }

// InUse returns what kind id has in use on the usable hosts.
func (c *Controller) InUse(id snapshot.KindID) int { return c.kinds[id].inUse }

// Guarantee returns the places or connections that kind id is guaranteed.
func (c *Controller) Guarantee(id snapshot.KindID) int { return c.kinds[id].guarantee }

// RecordDemand notes new demand of a kind. Retransmissions are not new demand.
func (c *Controller) RecordDemand(now time.Duration, id snapshot.KindID) { c.kinds[id].demand = now }

// RecordRefusal notes that a request of a kind found no place. Less urgent kinds
// stop borrowing for a while.
func (c *Controller) RecordRefusal(now time.Duration, id snapshot.KindID) { c.kinds[id].refused = now }

// Check tells whether kind id may take one more place, without changing anything.
func (c *Controller) Check(now time.Duration, id snapshot.KindID) Decision {
	k := &c.kinds[id]
	if !k.set {
		return Undefined
	}
	free := c.pools[k.occupies].free
	switch {
	case k.inUse >= max(k.limit, k.guarantee):
		return Ceiling
	case free <= 0:
		return Full
	case k.inUse < k.guarantee:
		return Admitted
	case free-c.reserved(now, id, k.occupies) <= 0:
		return Reserved
	case c.urgentRefused(now, k):
		return Yielding
	}
	return Admitted
}

// StarvesOthers reports whether kind id was refused a moment ago and one more
// place would be borrowed, while another kind under its guarantee has demand.
func (c *Controller) StarvesOthers(now time.Duration, id snapshot.KindID) bool {
	b := &c.kinds[id]
	if b.inUse < b.guarantee || now-b.refused >= YieldWindow {
		return false
	}
	for _, other := range c.listed {
		k := &c.kinds[other]
		if other != id && k.occupies == b.occupies && k.inUse < k.guarantee && now-k.demand < ActiveWindow {
			return true
		}
	}
	return false
}

// reserved sums the reserves of the other kinds of the resource.
func (c *Controller) reserved(now time.Duration, except snapshot.KindID, o snapshot.Occupancy) int {
	sum := 0
	for _, id := range c.listed {
		k := &c.kinds[id]
		switch {
		case id == except || k.occupies != o || k.share <= 0:
		case now-k.demand < ActiveWindow:
			sum += max(0, k.guarantee-k.inUse)
		default:
			sum++
		}
	}
	return sum
}

func (c *Controller) urgentRefused(now time.Duration, than *kind) bool {
	for _, id := range c.listed {
		k := &c.kinds[id]
		if k.class < than.class && k.occupies == than.occupies && now-k.refused < YieldWindow {
			return true
		}
	}
	return false
}
