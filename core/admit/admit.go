// Package admit decides whether a kind may take another unit of a host group's
// capacity. A unit is a request, running or queued, or a connection. Each kind has
// a guaranteed share. Other kinds may borrow what a kind leaves unused; under
// contention the least urgent kinds stop borrowing first.
package admit

import (
	"math"
	"time"

	"egrettack.example/core/snapshot"
)

const (
	// ActiveWindow is how long a kind is considered active after new demand. The
	// unused guarantee of an active kind cannot be borrowed.
	ActiveWindow = 10 * time.Second
	// YieldWindow is how long the refusal of a more urgent kind prevents less
	// urgent kinds from borrowing.
	YieldWindow = 200 * time.Millisecond
)

// Decision is the result of an admission check: Admitted or the reason for refusal.
type Decision uint8

// Decisions.
const (
	Admitted     Decision = iota
	Full                  // no capacity is free
	Reserved              // the free capacity is reserved for other kinds
	Ceiling               // the kind has reached its ceiling
	Yielding              // a more urgent kind was refused within YieldWindow
	Undefined             // the kind is not configured
	numDecisions          // number of decisions
)

var decisionNames = [numDecisions]string{"admitted", "full", "reserved", "ceiling", "yielding", "undefined"}

func (r Decision) String() string { return decisionNames[r] }

// numKinds is the number of possible kind IDs.
const numKinds = math.MaxUint8 + 1

// never is a time before any ActiveWindow or YieldWindow.
const never = time.Duration(math.MinInt64 / 2)

// kind is the configuration and state of one kind.
type kind struct {
	configured  bool
	class       uint8
	occupies    snapshot.Occupancy
	share       float64
	ceiling     float64
	guarantee   int // number of units guaranteed at the current capacity
	limit       int // on inUse, from the ceiling
	inUse       int
	lastDemand  time.Duration // time of the last new demand
	lastRefusal time.Duration // time of the last refusal for lack of capacity
}

// pool is the request capacity or the connection capacity of the group's usable
// hosts.
type pool struct{ capacity, free int }

// Controller is the admission control of one group.
type Controller struct {
	kinds   [numKinds]kind
	kindIDs []snapshot.KindID
	pools   [2]pool // by Occupancy
}

// New returns a Controller for the given kinds of a service.
func New(list []*snapshot.Kind) *Controller {
	c := &Controller{}
	for i := range c.kinds {
		c.kinds[i].lastDemand, c.kinds[i].lastRefusal = never, never
	}
	c.Configure(list)
	return c
}

// Configure replaces the configuration of the kinds. Counts and times are kept.
func (c *Controller) Configure(list []*snapshot.Kind) {
	for _, id := range c.kindIDs {
		c.kinds[id].configured = false
	}
	c.kindIDs = c.kindIDs[:0]
	for _, k := range list {
		s := &c.kinds[k.ID]
		s.configured, s.class, s.occupies, s.share, s.ceiling = true, k.Class, k.Occupies, k.Share, k.Ceiling
		c.kindIDs = append(c.kindIDs, k.ID)
	}
	c.recompute()
}

// SetCapacity sets the total capacity of the usable hosts.
func (c *Controller) SetCapacity(o snapshot.Occupancy, capacity int) {
	if c.pools[o].capacity != capacity {
		c.pools[o].capacity = capacity
		c.recompute()
	}
}

// SetFree sets the free capacity of the usable hosts.
func (c *Controller) SetFree(o snapshot.Occupancy, free int) { c.pools[o].free = free }

// recompute derives guarantees and limits from the shares, ceilings and capacities.
func (c *Controller) recompute() {
	for _, id := range c.kindIDs {
		k := &c.kinds[id]
		p := float64(c.pools[k.occupies].capacity)
		// 1e-9 compensates for the rounding error of products such as 0.3 x 10.
		k.guarantee = int(k.share*p + 1e-9)
		if k.share > 0 {
			k.guarantee = max(k.guarantee, 1)
		}
		k.limit = int(math.Ceil(k.ceiling*p - 1e-9))
	}
}

// AddInUse adds n to the units that kind id has in use on the usable hosts.
func (c *Controller) AddInUse(id snapshot.KindID, n int) { c.kinds[id].inUse += n }

// SetInUse sets the units that kind id has in use on the usable hosts.
func (c *Controller) SetInUse(id snapshot.KindID, n int) { c.kinds[id].inUse = n }

// InUse returns the units that kind id has in use on the usable hosts.
func (c *Controller) InUse(id snapshot.KindID) int { return c.kinds[id].inUse }

// Guarantee returns the units guaranteed to kind id.
func (c *Controller) Guarantee(id snapshot.KindID) int { return c.kinds[id].guarantee }

// RecordDemand records new demand of a kind. Retransmissions are not new demand.
func (c *Controller) RecordDemand(now time.Duration, id snapshot.KindID) {
	c.kinds[id].lastDemand = now
}

// RecordRefusal records that a request of a kind was refused for lack of capacity.
// Less urgent kinds do not borrow for YieldWindow.
func (c *Controller) RecordRefusal(now time.Duration, id snapshot.KindID) {
	c.kinds[id].lastRefusal = now
}

// Check reports whether kind id may take one more unit. It does not change the
// state.
func (c *Controller) Check(now time.Duration, id snapshot.KindID) Decision {
	k := &c.kinds[id]
	if !k.configured {
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
	case free-c.reservedByOthers(now, id, k.occupies) <= 0:
		return Reserved
	case c.moreUrgentRefused(now, k):
		return Yielding
	}
	return Admitted
}

// StarvesOthers reports whether kind id was refused within YieldWindow and would
// borrow its next unit while another kind is active below its guarantee.
func (c *Controller) StarvesOthers(now time.Duration, id snapshot.KindID) bool {
	k := &c.kinds[id]
	if k.inUse < k.guarantee || now-k.lastRefusal >= YieldWindow {
		return false
	}
	for _, otherID := range c.kindIDs {
		other := &c.kinds[otherID]
		if otherID != id && other.occupies == k.occupies && other.inUse < other.guarantee && now-other.lastDemand < ActiveWindow {
			return true
		}
	}
	return false
}

// reservedByOthers returns the free units of a pool that are reserved for the kinds
// other than except: the unused guarantee of each active kind and one unit for each
// inactive kind with a share.
func (c *Controller) reservedByOthers(now time.Duration, except snapshot.KindID, o snapshot.Occupancy) int {
	sum := 0
	for _, id := range c.kindIDs {
		k := &c.kinds[id]
		switch {
		case id == except || k.occupies != o || k.share <= 0:
		case now-k.lastDemand < ActiveWindow:
			sum += max(0, k.guarantee-k.inUse)
		default:
			sum++
		}
	}
	return sum
}

// moreUrgentRefused reports whether a kind of the same pool that is more urgent than
// k was refused within YieldWindow.
func (c *Controller) moreUrgentRefused(now time.Duration, k *kind) bool {
	for _, id := range c.kindIDs {
		other := &c.kinds[id]
		if other.class < k.class && other.occupies == k.occupies && now-other.lastRefusal < YieldWindow {
			return true
		}
	}
	return false
}
