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
	// reviewEvery is the interval at which the outcomes of servers are compared.
	// It is short beside the second or so that a few failures take to show.
	reviewEvery = 250 * time.Millisecond
	// findingFrom and findingUntil are the shares of failures beyond the usual
	// from which on a server is said to fail requests, and below which it is
	// said to have recovered.
	findingFrom  = 0.1
	findingUntil = 0.05
	// findingFailures is the number of recent failures that a finding takes: one
	// may be chance, while 100 instances see two by chance every other second.
	// One is enough on probation.
	findingFailures   = 1.5
	probationFailures = 0.5
	// suspicionLife is how long the suspicion of another instance counts after
	// it last saw a reason: three messages. It is multiplied by the patience of
	// the instance.
	suspicionLife = 3 * time.Second
	// suspicionHops is how many instances a suspicion passes: up and down a tree
	// of three levels, as 420 instances in 7 domains make it. It ends what two
	// instances tell each other over a slow link.
	suspicionHops = 4
	// patienceSpread is the width of the range from 1 on from which instances
	// draw their patience. It spreads the return to a server over several times
	// the second in which news of it travel.
	patienceSpread = 2
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

// review compares the outcomes of the servers of each service that had new
// flows of late, and returns what changed.
func (e *Engine) review(now time.Duration) []OutlierEvent {
	var findings []OutlierEvent
	for _, p := range e.pools {
		all := slices.Concat(p.own, p.other)
		compare(now, all)
		for i := range all {
			if f, changed := e.judge(now, &all[i]); changed {
				findings = append(findings, f)
			}
		}
	}
	return findings
}

// compare settles the excess of the servers of one service, by those that were
// asked of late, and their risk, for which the others count as good.
func compare(now time.Duration, list []candidate) {
	risk := make([]float64, len(list))
	excess := make([]float64, 0, len(list))
	asked := make([]*load, 0, len(list))
	for i, c := range list {
		c.load.excess = 0
		risk[i] = c.load.outcomes.FailureRate(now)
		if n, _ := c.load.outcomes.Counts(now); n >= 1 {
			excess = append(excess, risk[i])
			asked = append(asked, c.load)
		}
	}
	outlier.SubtractBaseline(risk)
	outlier.SubtractBaseline(excess)
	for i, c := range list {
		c.load.risk = risk[i]
	}
	for i, l := range asked {
		l.excess = excess[i]
	}
}

// judge settles the penalty of a server. It reports whether the server began
// or ceased to fail requests.
func (e *Engine) judge(now time.Duration, c *candidate) (f OutlierEvent, changed bool) {
	l := c.load
	excess := l.suspected(now)
	l.penalty = failurePenalty * max(excess, l.risk)
	asked, bad := l.outcomes.Counts(now)
	enough := findingFailures
	if l.outcomes.OnProbation(now) {
		enough = probationFailures
	}
	failing := l.failing && excess > findingUntil ||
		excess > findingFrom && (bad >= enough || excess > l.excess)
	if failing == l.failing {
		return f, false
	}
	l.failing = failing
	if failing {
		l.outcomes.AddDetection(now, 1+patienceSpread*e.random.Float64())
	}
	return OutlierEvent{c.server, failing, excess, excess > l.excess, asked, bad}, true
}

// suspected returns the share of failures beyond the usual, as this instance
// or another one saw it of late.
func (l *load) suspected(now time.Duration) float64 {
	if l.hearsay(now) {
		return max(l.excess, l.heard)
	}
	return l.excess
}

// hearsay reports whether the suspicion of another instance counts.
func (l *load) hearsay(now time.Duration) bool {
	life := time.Duration(float64(suspicionLife) * l.outcomes.HalfLifeFactor())
	return l.heard > 0 && now-l.heardAt < life
}

// AddOutlierReport takes the suspicion of another instance. The strongest of the recent
// ones counts.
func (e *Engine) AddOutlierReport(now time.Duration, s OutlierReport) {
	server := e.catalog.ByToken(s.Token)
	if server == nil || s.Age >= suspicionLife {
		return
	}
	l, at, excess := e.load(server), now-s.Age, min(s.Excess, 1)
	if !l.hearsay(now) || excess > l.heard || excess == l.heard && at > l.heardAt {
		l.heard, l.heardAt, l.heardHops = excess, at, s.Hops+1
	}
}

// OutlierReports returns what other instances are to be told, at most n of the
// strongest.
func (e *Engine) OutlierReports(now time.Duration, n int) []OutlierReport {
	var list []OutlierReport
	for s, l := range e.loads {
		switch own := l.failing && l.excess > findingFrom; {
		case own && l.excess >= l.heard:
			list = append(list, OutlierReport{s.Token, l.excess, 0, 0})
		case l.hearsay(now) && now-l.heardAt < suspicionLife && l.heardHops < suspicionHops:
			list = append(list, OutlierReport{s.Token, l.heard, now - l.heardAt, l.heardHops})
		}
	}
	slices.SortFunc(list, func(a, b OutlierReport) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Token, b.Token))
	})
	return list[:min(n, len(list))]
}
