package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
	"egrettack.example/core/token"
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
	// reportLifetime is how long the outlier report of another instance is valid
	// after that instance last observed the failures: three messages. It is
	// multiplied by the half-life factor of this instance.
	reportLifetime = 3 * time.Second
	// maxReportHops is the number of instances that an outlier report passes. Four
	// are enough to go up and down a tree of three levels, which 420 instances in
	// 7 domains form. The limit stops two instances from returning a report to
	// each other over a slow link.
	maxReportHops = 4
	// halfLifeFactorRange is the width of the range, from 1 on, in which instances
	// draw their half-life factors. An instance with a larger factor
	// sends requests to an avoided server later. The range spreads these times over
	// several seconds; a report reaches all instances in about one.
	halfLifeFactorRange = 2
)

// OutlierEvent is a server that began or ceased to fail more of its requests than
// the others of its service.
type OutlierEvent struct {
	Server             *catalog.Server
	Failing            bool
	ExcessFailureRate  float64 // by which its failure rate exceeds the baseline
	FromPeer           bool    // the excess is one that a peer reported, above that observed here
	Requests, Failures float64 // observed here, decayed
}

// OutlierReport is what one instance reports to another about a server that fails
// requests.
type OutlierReport struct {
	Token             token.Token   // of the server
	ExcessFailureRate float64       // by which its failure rate exceeds the baseline
	Age               time.Duration // since the failures were last observed
	Hops              int           // instances that have relayed it
}

// detectOutliers compares the failure rates of the servers of each service. Services
// without new flows since the last change of the catalog are left out, since they
// have no pool yet. It returns the servers that became outliers or ceased to be.
func (e *Engine) detectOutliers(now time.Duration) []OutlierEvent {
	var events []OutlierEvent
	for _, service := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[service]
		all := slices.Concat(p.sameDomain, p.otherDomains)
		computeExcess(now, all)
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
// requests counts as one without failures.
func computeExcess(now time.Duration, list []candidate) {
	overAll := make([]float64, len(list))
	excess := make([]float64, 0, len(list))
	withRequests := make([]*serverState, 0, len(list))
	for i, c := range list {
		c.state.excess = 0
		overAll[i] = c.state.history.FailureRate(now)
		if n, _ := c.state.history.Counts(now); n >= 1 {
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
	excess := st.effectiveExcess(now)
	st.penalty = failurePenalty * max(excess, st.excessOverAll)
	requests, failures := st.history.Counts(now)
	required := minFailures
	if st.history.OnProbation(now) {
		required = minProbationFailures
	}
	failing := st.failing && excess > recoveryThreshold ||
		excess > outlierThreshold && (failures >= required || excess > st.excess)
	if failing == st.failing {
		return event, false
	}
	st.failing = failing
	if failing {
		st.history.AddDetection(now, 1+halfLifeFactorRange*e.random.Float64())
	}
	return OutlierEvent{c.server, failing, excess, excess > st.excess, requests, failures}, true
}

// effectiveExcess returns the larger of the excess observed here and the one in a
// valid outlier report.
func (st *serverState) effectiveExcess(now time.Duration) float64 {
	if st.reportValid(now) {
		return max(st.excess, st.reportedExcess)
	}
	return st.excess
}

// reportValid reports whether there is an outlier report that has not expired.
func (st *serverState) reportValid(now time.Duration) bool {
	lifetime := time.Duration(float64(reportLifetime) * st.history.HalfLifeFactor())
	return st.reportedExcess > 0 && now-st.reportedAt < lifetime
}

// AddOutlierReport takes in the outlier report of another instance. Of the valid
// reports about a server the one with the largest excess is kept.
func (e *Engine) AddOutlierReport(now time.Duration, r OutlierReport) {
	server := e.catalog.ByToken(r.Token)
	if server == nil || r.Age >= reportLifetime {
		return
	}
	st, at, excess := e.state(server), now-r.Age, min(r.ExcessFailureRate, 1)
	if !st.reportValid(now) || excess > st.reportedExcess || excess == st.reportedExcess && at > st.reportedAt {
		st.reportedExcess, st.reportedAt, st.reportHops = excess, at, r.Hops+1
	}
}

// OutlierReports returns the reports to send to other instances: at most n, those
// with the largest excess.
func (e *Engine) OutlierReports(now time.Duration, n int) []OutlierReport {
	var list []OutlierReport
	for s, st := range e.states {
		switch own := st.failing && st.excess > outlierThreshold; {
		case own && st.excess >= st.reportedExcess:
			list = append(list, OutlierReport{s.Token, st.excess, 0, 0})
		case st.reportValid(now) && now-st.reportedAt < reportLifetime && st.reportHops < maxReportHops:
			list = append(list, OutlierReport{s.Token, st.reportedExcess, now - st.reportedAt, st.reportHops})
		}
	}
	slices.SortFunc(list, func(a, b OutlierReport) int {
		return cmp.Or(cmp.Compare(b.ExcessFailureRate, a.ExcessFailureRate), cmp.Compare(a.Token, b.Token))
	})
	return list[:min(n, len(list))]
}
