// Package gate refuses new flows of a service whose servers cannot keep up, so
// that those admitted are answered in time. It limits the requests in progress
// by the time that answers take, and gives each kind of work its usual share of
// them first, so that a flood of one kind leaves the others theirs. It judges by
// answers alone, without a word to other instances, has no clock and does no
// I/O.
package gate

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// halfLife is the time after which an answer counts half in the stretch: a few
	// times the wait in a full queue.
	halfLife = 300 * time.Millisecond
	// leastAnswers is the number of recent answers without which nothing is known
	// of the load.
	leastAnswers = 10
	// strainFrom is the part of the answers that wait for longer than they may
	// from which on a limit comes into force. Lost packets and a few slow servers
	// stay far below it.
	strainFrom = 0.5
	// waitPart is the part of the time between the base time of a kind and its
	// target that an answer may wait for: the rest is for what varies.
	waitPart = 0.5
	// leastWait is what an answer may wait for in any case: work times and
	// delayed acknowledgements vary by as much.
	leastWait = 30 * time.Millisecond
	// failedStretch is the stretch of an answer without work: its server is full.
	failedStretch = 3
	// mostStretch bounds what one answer adds.
	mostStretch = 4
	// leastChange bounds the change of the limit downwards in one Step, growth the
	// one upwards.
	leastChange = 0.7
	growth      = 1.05
	// openAfter is how long a limit must not have refused anything until it is
	// lifted.
	openAfter = 3 * time.Second
	// usualTime is the time over which the usual requests in progress of a kind
	// are averaged.
	usualTime = 30 * time.Second
	// leastShare is the share of the limit that a kind has beside its usual one,
	// so that one without any gets through as well.
	leastShare = 0.05
)

// StepEvery is the interval at which Step is to be called.
const StepEvery = 100 * time.Millisecond

// Gate admits or refuses the new flows of one service. The zero value is not
// usable.
type Gate struct {
	random *rand.Rand
	kinds  map[netip.AddrPort]*kind
	busy   int     // requests in progress
	limit  float64 // of requests in progress, 0 while there is none

	answers   float64 // recent ones
	stretched float64 // sum of the stretches of the answers: how long they waited beside how long they may
	slow      float64 // answers that waited for longer than they may
	at        time.Duration
	stepped   time.Duration
	refused   bool          // since the last step
	needed    time.Duration // when the limit last refused something
	shedding  bool          // most servers fail some requests
}

// State is what a gate believes.
type State struct {
	Limit   float64 // of requests in progress, 0 while there is none
	Busy    int     // requests in progress
	Strain  float64 // part of the recent answers that waited for longer than they may
	Stretch float64 // mean of how long they waited, 1 for as long as they may
}

// kind is the work on the flows to one address.
type kind struct {
	busy  int
	usual float64 // requests in progress without a limit
	base  baseTime
}

// New returns a gate without a limit.
func New(seed uint64) *Gate {
	return &Gate{random: rand.New(rand.NewPCG(seed, 0x67617465)), kinds: make(map[netip.AddrPort]*kind)}
}

func (g *Gate) kind(dest netip.AddrPort) *kind {
	k := g.kinds[dest]
	if k == nil {
		k = &kind{}
		g.kinds[dest] = k
	}
	return k
}

// State returns what the gate believes.
func (g *Gate) State() State {
	s := State{Limit: g.limit, Busy: g.busy}
	if g.answers >= leastAnswers {
		s.Stretch, s.Strain = g.stretched/g.answers, g.slow/g.answers
	}
	return s
}

// SetShedding says whether most servers fail some requests. Failures of a few
// are their own and say nothing of the load.
func (g *Gate) SetShedding(on bool) { g.shedding = on }

// Admit reports whether a new flow to an address may be opened.
func (g *Gate) Admit(dest netip.AddrPort) bool {
	if g.limit == 0 {
		return true
	}
	k := g.kind(dest)
	if g.below(g.busy, g.limit) || g.below(k.busy, g.limit*g.share(k)) {
		return true
	}
	g.refused = true
	return false
}

// below reports whether one more fits a limit, whose fraction counts as a
// chance.
func (g *Gate) below(n int, limit float64) bool {
	return float64(n+1) <= limit || float64(n) < limit && g.random.Float64() < limit-float64(n)
}

// share returns the part of the limit that is the kind's own.
func (g *Gate) share(k *kind) float64 {
	usual := 0.0
	for _, x := range g.kinds {
		usual += x.usual
	}
	return leastShare + (1-leastShare)*k.usual/max(usual, 1e-9)
}

// Began and Ended note a request on a flow to an address.
func (g *Gate) Began(dest netip.AddrPort) { g.busy++; g.kind(dest).busy++ }

// Ended notes the end of a request that Began told of.
func (g *Gate) Ended(dest netip.AddrPort) { g.busy--; g.kind(dest).busy-- }

// Answer is an answer to a request.
type Answer struct {
	Took   time.Duration
	Target time.Duration // within which callers want it, 0 if that is not known
	Failed bool          // it is no answer to the request, as of a server that is full
}

// Answered notes an answer on a flow to an address.
func (g *Gate) Answered(now time.Duration, dest netip.AddrPort, a Answer) {
	if a.Failed && !g.shedding {
		return
	}
	g.fade(now)
	base := &g.kind(dest).base
	stretch := float64(failedStretch)
	if !a.Failed {
		stretch = min(base.stretch(a), mostStretch)
		base.add(now, a.Took)
	}
	g.answers++
	g.stretched += stretch
	if stretch > 1 {
		g.slow++
	}
}

func (g *Gate) fade(now time.Duration) {
	f := math.Exp2(-float64(now-g.at) / float64(halfLife))
	g.answers *= f
	g.stretched *= f
	g.slow *= f
	g.at = now
}

// Step settles the limit. It reports whether a limit came into force or was
// lifted.
func (g *Gate) Step(now time.Duration) (changed bool) {
	elapsed := now - g.stepped
	if elapsed < StepEvery {
		return false
	}
	g.stepped = now
	g.fade(now)
	before, s := g.limit, g.State()
	switch {
	case g.limit == 0 && s.Strain > strainFrom:
		g.limit = max(1, float64(g.busy)*ease(s.Stretch))
		g.needed = now
	case g.limit > 0:
		g.adapt(now, s)
	default:
		for _, k := range g.kinds {
			k.usual += (float64(k.busy) - k.usual) * min(1, float64(elapsed)/float64(usualTime))
		}
	}
	return (before == 0) != (g.limit == 0)
}

// ease returns the part of the requests in progress that waits as long as it
// may, if all of them together wait stretch times as long.
func ease(stretch float64) float64 { return 2 / (1 + stretch) }

func (g *Gate) adapt(now time.Duration, s State) {
	if g.refused {
		g.refused, g.needed = false, now
	}
	switch {
	case now-g.needed > openAfter:
		g.limit = 0
	case s.Stretch > 1:
		// Requests on open flows are not refused. A limit far below them would
		// take long to come back.
		g.limit = max(1, float64(g.busy)*leastChange, g.limit*max(leastChange, ease(s.Stretch)))
	case float64(g.busy) >= g.limit/2:
		g.limit *= growth
	}
}
