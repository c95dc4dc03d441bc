// Package outlier finds backend servers that fail part of their requests while
// they look healthy, from the outcomes that packets show. It compares servers
// of one service with each other, so that what befalls all of them alike, such
// as lost packets or a flood, accuses none. It has no clock and does no I/O.
package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time after which an outcome counts half: a server that is
	// left out for failures is tried again after a few half-lives. Each strike
	// after the first doubles it.
	HalfLife = 3 * time.Second
	// maxStrikes bounds the half-life at 24 s times the patience.
	maxStrikes = 4
	// forgiveAfter is the time after the last strike from which on a server has
	// a clean record again.
	forgiveAfter = 2 * time.Minute
	// prior is the number of good requests that a server without outcomes is
	// credited with: two failures in a row say little.
	prior = 4
	// margin is the excess of failures that counts as chance.
	margin = 0.05
	// learnFirst is the number of answers of a route after which its usual size
	// and time are known.
	learnFirst = 8
	// shortPart is the part of a route's usual answer below which an answer is
	// taken for an error: errors have a head and little else. Answers with a
	// lognormal size of spread 0.6 and a head fall below it in 1% of requests.
	shortPart = 0.4
	// slowFactor is the multiple of a route's usual time from which on an answer
	// is slow; a lognormal work time with a spread of 0.5 exceeds it in 0.3% of
	// requests.
	slowFactor = 4
	// hangFactor is the multiple of a route's usual time after which a request
	// counts as unanswered, within the limits below: no work time reaches it, and
	// lost packets, which are sent again after 200 ms, seldom do.
	hangFactor = 10
	leastHang  = 250 * time.Millisecond
	mostHang   = 600 * time.Millisecond
	// slowBadness is how bad a slow answer is beside a failure.
	slowBadness = 0.5
)

// Outcome is what the packets of a flow show of one request.
type Outcome struct {
	Responded       bool
	ResponseBytes   int           // of the answer
	TimeToFirstByte time.Duration // to the first bytes of the answer
}

// ResponseProfile is the usual answer of the requests of one route. The zero value
// knows nothing.
type ResponseProfile struct {
	size, time median
	seen       int
}

// Score returns how bad an outcome is, 0 for good and 1 for a failure, and
// learns from it.
func (p *ResponseProfile) Score(o Outcome) float64 {
	if !o.Responded {
		return 1
	}
	size, took := float64(o.ResponseBytes), float64(o.TimeToFirstByte)
	short := p.seen >= learnFirst && size < shortPart*p.size.value
	slow := p.seen >= learnFirst && took > slowFactor*p.time.value
	p.seen++
	if short {
		p.size.add(size, shortStep)
		return 1
	}
	p.size.add(size, medianStep)
	p.time.add(took, medianStep)
	if slow {
		return slowBadness
	}
	return 0
}

// Timeout returns how long a request may wait for its answer before it counts as
// unanswered.
func (p *ResponseProfile) Timeout() time.Duration {
	if p.seen < learnFirst {
		return mostHang
	}
	return min(max(time.Duration(hangFactor*p.time.value), leastHang), mostHang)
}

const (
	// medianStep is the part by which a median moves with each value: it follows
	// a change by half within 25 values.
	medianStep = 0.03
	// shortStep is the step for what looks like an error, so that errors come to
	// count as usual only after hundreds of them without another answer.
	shortStep = medianStep / 8
)

// median follows the median of positive values.
type median struct{ value float64 }

func (m *median) add(x, step float64) {
	switch {
	case m.value == 0:
		m.value = x
	case x > m.value:
		m.value *= 1 + step
	case x < m.value:
		m.value /= 1 + step
	}
}

// History is the account of one server's outcomes, which fades with time. The
// zero value is an empty account.
type History struct {
	asked, bad float64
	at         time.Duration // of the last change
	strikes    int
	struck     time.Duration // the last strike
	patience   float64       // factor of the half-life since then
}

// AddDetection notes that the server was found to fail requests. Each one makes
// outcomes count for longer, so that a server that fails whenever it is tried
// is tried less and less often. patience is a further factor of the half-life,
// 1 or more; where instances draw different ones, the least patient tries the
// server again and tells the others what came of it.
func (r *History) AddDetection(now time.Duration, patience float64) {
	r.fade(now)
	if !r.OnProbation(now) {
		r.strikes = 0
	}
	r.strikes, r.struck, r.patience = min(r.strikes+1, maxStrikes), now, patience
}

// HalfLifeFactor returns the factor given with the last strike, 1 before the first.
func (r *History) HalfLifeFactor() float64 { return max(1, r.patience) }

// OnProbation reports whether the server had a strike of late.
func (r *History) OnProbation(now time.Duration) bool {
	return r.strikes > 0 && now-r.struck < forgiveAfter
}

// Add counts an outcome.
func (r *History) Add(now time.Duration, badness float64) {
	r.fade(now)
	r.asked++
	r.bad += badness
}

func (r *History) fade(now time.Duration) {
	if r.asked > 0 {
		halfLife := float64(HalfLife<<max(0, r.strikes-1)) * r.HalfLifeFactor()
		f := math.Exp2(-float64(now-r.at) / halfLife)
		r.asked *= f
		r.bad *= f
	}
	r.at = now
}

// Counts returns the requests and the failures that still count.
func (r *History) Counts(now time.Duration) (asked, bad float64) {
	c := *r
	c.fade(now)
	return c.asked, c.bad
}

// FailureRate returns the part of the requests that fail, drawn towards none while
// few are known.
func (r *History) FailureRate(now time.Duration) float64 {
	asked, bad := r.Counts(now)
	return bad / (asked + prior)
}

// SubtractBaseline replaces the shares of the servers of one service by what each has
// beyond the lower quartile of them and beyond chance.
func SubtractBaseline(shares []float64) {
	if len(shares) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(shares))
	usual := sorted[(len(sorted)-1)/4]
	for i, s := range shares {
		shares[i] = max(0, s-usual-margin)
	}
}
