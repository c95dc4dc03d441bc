package steer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// detectionInterval is the interval at which the failure rates of servers are
	// compared. It is short relative to the second or so in which a few failures
	// accumulate.
	detectionInterval = 250 * time.Millisecond
	// A server is failing when its excess exceeds outlierThreshold, and has
	// recovered when its excess is no longer above recoveryThreshold.
	outlierThreshold  = 0.1
	recoveryThreshold = 0.05
	// minFailures is the decayed number of failures required to detect an
	// outlier. A single failure may be chance, whereas among 100 instances one
	// sees two failures by chance every other second. On probation a single
	// failure is enough.
	minFailures          = 1.5
	minProbationFailures = 0.5
	// halfLifeFactorRange is the width of the range, from 1 on, in which instances
	// draw their half-life factors. An instance with a larger factor
	// sends requests to an avoided server later. The range spreads these times over
	// several seconds; evidence reaches all instances in about two.
	halfLifeFactorRange = 2
)

// OutlierEvent is a server that began or ceased to fail more of its requests than
// the others of its service.
type OutlierEvent struct {
	Server             *catalog.Server
	Failing            bool
	ExcessFailureRate  float64 // by which its failure rate exceeds the baseline
	FromPeers          bool    // most of the failures are those that neighbours reported
	Requests, Failures float64 // of all instances of the domain, decayed
}

// detectOutliers compares the failure rates of the servers of each service. Services
// without new flows since the last change of the catalog are left out, since they
// have no pool yet. It returns the servers that became outliers or ceased to be.
func (e *Engine) detectOutliers(now time.Duration) []OutlierEvent {
	var events []OutlierEvent
	for _, service := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[service]
		all := slices.Concat(p.sameDomain, p.otherDomains)
		computeExcess(now, all, len(p.sameDomain))
		for i := range all {
			if event, changed := e.updateFailing(now, &all[i]); changed {
				events = append(events, event)
			}
		}
	}
	return events
}

// computeExcess computes excess of the servers of one service that had requests
// recently, and excessOverAll of all of them. In the latter a server without
// requests counts as one without failures. The first sameDomain servers of the list
// are those of the own domain, of which neighbours report those that fail.
func computeExcess(now time.Duration, list []candidate, sameDomain int) {
	overAll := make([]float64, len(list))
	excess := make([]float64, 0, len(list))
	withRequests := make([]*serverState, 0, len(list))
	busy := slices.ContainsFunc(list[:sameDomain], func(c candidate) bool { return c.state.heardRequests(now) >= busyEvidence })
	for i, c := range list {
		c.state.excess = 0
		overAll[i] = c.state.failureRate(now)
		if n, _ := c.state.evidence(now, netip.Addr{}); n >= 1 || busy && i < sameDomain {
			excess = append(excess, overAll[i])
			withRequests = append(withRequests, c.state)
		}
	}
	outlier.SubtractBaseline(overAll)
	outlier.SubtractBaseline(excess)
	for i, c := range list {
		c.state.excessOverAll = overAll[i]
	}
	for i, st := range withRequests {
		st.excess = excess[i]
	}
}

// updateFailing updates the penalty of a server and whether it is failing. It
// returns an event if the latter changed.
func (e *Engine) updateFailing(now time.Duration, c *candidate) (event OutlierEvent, changed bool) {
	st := c.state
	if penalty := failurePenalty * max(st.excess, st.excessOverAll); penalty != st.penalty {
		st.penalty = penalty
		st.place.touch()
	}
	requests, failures := st.evidence(now, netip.Addr{})
	required := minFailures
	if st.history.OnProbation(now) {
		required = minProbationFailures
	}
	failing := st.failing && st.excess > recoveryThreshold || st.excess > outlierThreshold && failures >= required
	if failing == st.failing {
		return event, false
	}
	st.failing = failing
	if failing {
		st.history.AddDetection(now, 1+halfLifeFactorRange*e.random.Float64())
	}
	_, own := st.history.Counts(now)
	return OutlierEvent{c.server, failing, st.excess, own < failures/2, requests, failures}, true
}
