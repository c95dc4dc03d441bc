package steer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"egrettack.example/core/catalog"
)

// index finds the candidate with the lowest cost in a list by ID, and what the servers in use have together,
// without going through the list at each decision. The candidates whose state has changed, or whose cost
// changes with time, are brought up to date before.
type index struct {
	list []candidate
	// nodes is a tree: node k has the lowest cost of the nodes 2k and 2k+1, and the number of candidates
	// with this cost. Those from leaves on are the candidates, in the order of the list.
	nodes  []indexNode
	leaves int

	uses    []use // of each candidate
	total   use
	changed []int // candidates whose state has changed

	dueAt  []time.Duration // when the cost of each candidate changes by itself, never if it does not
	timed  []int           // candidates with such a time
	nextAt time.Duration   // the earliest of them, or an earlier time
}

// indexNode is the lowest cost of a part of the list, infinite if no candidate there can take a flow.
type indexNode struct {
	cost float64
	ties int
}

// use is what servers in use have.
type use struct{ slots, servers, inFlight int }

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// indexPlace is the place of a server's state in an index.
type indexPlace struct {
	index     *index // nil if the server is no candidate
	candidate int
	changed   bool // it is listed in changed
}

// touch notes that the state has changed.
func (p *indexPlace) touch() {
	if p.index != nil && !p.changed {
		p.changed = true
		p.index.changed = append(p.index.changed, p.candidate)
	}
}

// newIndex returns the index of a list whose candidates it brings up to date at its first use.
func newIndex(list []candidate) *index {
	n := len(list)
	x := &index{list: list, leaves: 1, uses: make([]use, n), dueAt: make([]time.Duration, n), nextAt: never, changed: make([]int, 0, n)}
	for x.leaves < n {
		x.leaves *= 2
	}
	x.nodes = slices.Repeat([]indexNode{{math.Inf(1), 0}}, 2*x.leaves)
	for k := range list {
		x.dueAt[k] = never
		list[k].state.place = indexPlace{x, k, false}
		list[k].state.place.touch()
	}
	return x
}

// update brings the index up to date.
func (x *index) update(now time.Duration) {
	for _, k := range x.changed {
		x.list[k].state.place.changed = false
		x.refresh(now, k)
	}
	x.changed = x.changed[:0]
	if now < x.nextAt {
		return
	}
	x.nextAt = never
	x.timed = slices.DeleteFunc(x.timed, func(k int) bool {
		if now >= x.dueAt[k] {
			x.dueAt[k] = x.list[k].nextChange(now)
			x.refreshCost(now, k)
		}
		x.nextAt = min(x.nextAt, x.dueAt[k])
		return x.dueAt[k] == never
	})
}

// refresh brings a candidate up to date whose state has changed.
func (x *index) refresh(now time.Duration, k int) {
	x.refreshCost(now, k)
	due := x.list[k].nextChange(now)
	if x.dueAt[k] == never && due != never {
		x.timed = append(x.timed, k)
	}
	x.dueAt[k] = min(x.dueAt[k], due) // if it is too early, the next change is looked up then
	x.nextAt = min(x.nextAt, x.dueAt[k])
}

func (x *index) refreshCost(now time.Duration, k int) {
	c := &x.list[k]
	u, cost := use{}, math.Inf(1)
	if c.canTakeFlow(now) {
		cost = c.cost(now)
		if c.state.isResponsive(now) {
			u = use{c.server.Slots, 1, c.state.inFlight}
		}
	}
	was := x.uses[k]
	x.uses[k] = u
	x.total = use{x.total.slots + u.slots - was.slots, x.total.servers + u.servers - was.servers, x.total.inFlight + u.inFlight - was.inFlight}
	x.setCost(k, cost)
}

// nextChange returns the time at which the cost of the candidate changes by itself.
func (c *candidate) nextChange(now time.Duration) time.Duration {
	next, st := never, c.state
	if now < c.warmUpUntil {
		next = c.warmUpUntil
		if at := st.warmUpLog.AllowsAt(c.warmUpQuota); c.warmUpLimited && now < at {
			next = min(next, at)
		}
	}
	if st.unansweredSince > 0 {
		avoided, trial := st.unansweredSince+unresponsiveAfter+1, st.lastSYN+trialInterval
		switch {
		case now < avoided:
			next = min(next, avoided)
		case now < trial:
			next = min(next, trial)
		}
	}
	return next
}

// setCost sets the cost of a candidate.
func (x *index) setCost(k int, cost float64) {
	n := x.leaves + k
	if x.nodes[n].cost == cost {
		return
	}
	x.nodes[n] = indexNode{cost, 1}
	for n /= 2; n > 0; n /= 2 {
		a, b := x.nodes[2*n], x.nodes[2*n+1]
		switch {
		case a.cost == b.cost:
			a.ties += b.ties
		case b.cost < a.cost:
			a = b
		}
		if x.nodes[n] == a {
			return
		}
		x.nodes[n] = a
	}
}

// inUse returns the slots and the number of the servers that respond and can take a flow, and the requests
// that this instance has in flight to them. It adds the servers to parts.
func (x *index) inUse(now time.Duration, parts []sharePart) (slots, servers, inFlight int) {
	x.update(now)
	for j := range parts {
		for k := range x.list {
			if x.uses[k].servers > 0 {
				parts[j].add(&x.list[k])
			}
		}
	}
	return x.total.slots, x.total.servers, x.total.inFlight
}

// least returns the candidate with the lowest cost, and that cost. Among equal ones it chooses at random. The
// servers that were tried come last. The server is nil if none can take a flow.
func (x *index) least(now time.Duration, tried []*catalog.Server, random *rand.Rand) (*catalog.Server, float64) {
	x.update(now)
	for i, s := range tried {
		k, found := slices.BinarySearchFunc(x.list, s.ID, func(c candidate, id catalog.ServerID) int { return cmp.Compare(c.server.ID, id) })
		if found && x.list[k].server == s && !slices.Contains(tried[:i], s) {
			cost := x.nodes[x.leaves+k].cost
			defer x.setCost(k, cost)
			x.setCost(k, cost+triedPenalty)
		}
	}
	root := x.nodes[1]
	if math.IsInf(root.cost, 1) {
		return nil, 0
	}
	skip := 0
	if root.ties > 1 {
		skip = random.IntN(root.ties)
	}
	n := 1
	for n < x.leaves {
		n *= 2
		if a := x.nodes[n]; a.cost != root.cost {
			n++
		} else if skip >= a.ties {
			skip -= a.ties
			n++
		}
	}
	return x.list[n-x.leaves].server, root.cost
}
