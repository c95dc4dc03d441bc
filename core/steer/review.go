package steer

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
	"egrettack.example/core/token"
)

const (
	// detectionInterval is the interval at which the outcomes of servers are compared.
	// It is short beside the second or so that a few failures take to show.
	detectionInterval = 250 * time.Millisecond
	// outlierThreshold and findingUntil are the shares of failures beyond the usual
	// from which on a server is said to fail requests, and below which it is
	// said to have recovered.
	outlierThreshold  = 0.1
	recoveryThreshold = 0.05
	// minFailures is the number of recent failures that a finding takes: one
	// may be chance, while 100 instances see two by chance every other second.
	// One is enough on probation.
	minFailures          = 1.5
	minProbationFailures = 0.5
	// reportLifetime is how long the suspicion of another instance counts after
	// it last saw a reason: three messages. It is multiplied by the patience of
	// the instance.
	reportLifetime = 3 * time.Second
	// maxReportHops is how many instances a suspicion passes: up and down a tree
	// of three levels, as 420 instances in 7 domains make it. It ends what two
	// instances tell each other over a slow link.
	maxReportHops = 4
	// halfLifeFactorRange is the width of the range from 1 on from which instances
	// draw their patience. It spreads the return to a server over several times
	// the second in which news of it travel.
	halfLifeFactorRange = 2
)

// OutlierEvent is a server that began or ceased to fail more of its requests than
// the others of its service.
type OutlierEvent struct {
	Server             *catalog.Server
	Failing            bool
	Excess             float64 // share of its requests that fail beyond the usual
	FromPeer           bool    // another instance has seen that, not this one
	Requests, Failures float64 // requests and failures seen here, the recent ones most
}

// OutlierReport is what one instance tells another of a server that fails requests.
type OutlierReport struct {
	Token  token.Token // of the server's start
	Excess float64     // share of its requests that fail beyond the usual
	Age    time.Duration
	Hops   int // instances that it passed
}

// detectOutliers compares the outcomes of the servers of each service that had new
// flows of late, and returns what changed.
func (e *Engine) detectOutliers(now time.Duration) []OutlierEvent {
	var findings []OutlierEvent
	for _, p := range e.pools {
		all := slices.Concat(p.sameDomain, p.otherDomains)
		computeExcess(now, all)
		for i := range all {
			if f, changed := e.updateFailing(now, &all[i]); changed {
				findings = append(findings, f)
			}
		}
	}
	return findings
}

// computeExcess settles the excess of the servers of one service, by those that were
// asked of late, and their risk, for which the others count as good.
func computeExcess(now time.Duration, list []candidate) {
	risk := make([]float64, len(list))
	excess := make([]float64, 0, len(list))
	asked := make([]*serverState, 0, len(list))
	for i, c := range list {
		c.state.excess = 0
		risk[i] = c.state.history.FailureRate(now)
		if n, _ := c.state.history.Counts(now); n >= 1 {
			excess = append(excess, risk[i])
			asked = append(asked, c.state)
		}
	}
	outlier.SubtractBaseline(risk)
	outlier.SubtractBaseline(excess)
	for i, c := range list {
		c.state.excessOverAll = risk[i]
	}
	for i, l := range asked {
		l.excess = excess[i]
	}
}

// updateFailing settles the penalty of a server. It reports whether the server began
// or ceased to fail requests.
func (e *Engine) updateFailing(now time.Duration, c *candidate) (f OutlierEvent, changed bool) {
	l := c.state
	excess := l.effectiveExcess(now)
	l.penalty = failurePenalty * max(excess, l.excessOverAll)
	asked, bad := l.history.Counts(now)
	enough := minFailures
	if l.history.OnProbation(now) {
		enough = minProbationFailures
	}
	failing := l.failing && excess > recoveryThreshold ||
		excess > outlierThreshold && (bad >= enough || excess > l.excess)
	if failing == l.failing {
		return f, false
	}
	l.failing = failing
	if failing {
		l.history.AddDetection(now, 1+halfLifeFactorRange*e.random.Float64())
	}
	return OutlierEvent{c.server, failing, excess, excess > l.excess, asked, bad}, true
}

// effectiveExcess returns the share of failures beyond the usual, as this instance
// or another one saw it of late.
func (l *serverState) effectiveExcess(now time.Duration) float64 {
	if l.reportValid(now) {
		return max(l.excess, l.reportedExcess)
	}
	return l.excess
}

// reportValid reports whether the suspicion of another instance counts.
func (l *serverState) reportValid(now time.Duration) bool {
	life := time.Duration(float64(reportLifetime) * l.history.HalfLifeFactor())
	return l.reportedExcess > 0 && now-l.reportedAt < life
}

// AddOutlierReport takes the suspicion of another instance. The strongest of the recent
// ones counts.
func (e *Engine) AddOutlierReport(now time.Duration, s OutlierReport) {
	server := e.catalog.ByToken(s.Token)
	if server == nil || s.Age >= reportLifetime {
		return
	}
	l, at, excess := e.state(server), now-s.Age, min(s.Excess, 1)
	if !l.reportValid(now) || excess > l.reportedExcess || excess == l.reportedExcess && at > l.reportedAt {
		l.reportedExcess, l.reportedAt, l.reportHops = excess, at, s.Hops+1
	}
}

// OutlierReports returns what other instances are to be told, at most n of the
// strongest.
func (e *Engine) OutlierReports(now time.Duration, n int) []OutlierReport {
	var list []OutlierReport
	for s, l := range e.states {
		switch own := l.failing && l.excess > outlierThreshold; {
		case own && l.excess >= l.reportedExcess:
			list = append(list, OutlierReport{s.Token, l.excess, 0, 0})
		case l.reportValid(now) && now-l.reportedAt < reportLifetime && l.reportHops < maxReportHops:
			list = append(list, OutlierReport{s.Token, l.reportedExcess, now - l.reportedAt, l.reportHops})
		}
	}
	slices.SortFunc(list, func(a, b OutlierReport) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Token, b.Token))
	})
	return list[:min(n, len(list))]
}
