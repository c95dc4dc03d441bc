// Package outlier detects backend servers that appear healthy but fail part of
// their requests, from request outcomes inferred from packets. It compares the
// servers of one service with each other, so that a fault that affects all of
// them alike, such as packet loss or a flood, marks none as an outlier. It does
// not read the clock and does no I/O.
package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time after which the weight of an outcome has halved. A
	// server that is avoided for its failures gets requests again after a few
	// half-lives. Each detection after the first doubles the half-life.
	HalfLife = 3 * time.Second
	// maxDetections limits the half-life to 24 s times the half-life factor.
	maxDetections = 4
	// probationPeriod is the time after the last detection at which earlier
	// detections are disregarded.
	probationPeriod = 2 * time.Minute
	// priorSuccesses is the number of successful requests that the failure rate
	// of each server includes from the start: two failures in a row alone are
	// weak evidence.
	priorSuccesses = 4
	// noiseMargin is the failure rate above the baseline that is attributed to
	// chance.
	noiseMargin = 0.05
	// minSamples is the number of responses on a route after which its typical
	// response size and latency are known.
	minSamples = 8
	// shortResponseRatio is the fraction of a route's typical response size
	// below which a response counts as an error: error responses consist of a
	// header and little else. Of responses with a header and a lognormal size
	// (sigma 0.6), 1% are below it.
	shortResponseRatio = 0.4
	// slowResponseFactor is the multiple of a route's typical latency above which
	// a response is slow. A lognormal service time (sigma 0.5) exceeds it in 0.3%
	// of requests.
	slowResponseFactor = 4
	// timeoutFactor is the multiple of a route's typical latency after which a
	// request counts as unanswered, within minTimeout and maxTimeout. No service
	// time reaches it, and the delay due to a lost packet seldom does: the packet
	// is retransmitted after 200 ms.
	timeoutFactor = 10
	minTimeout    = 250 * time.Millisecond
	maxTimeout    = 600 * time.Millisecond
	// slowScore is the score of a slow response, where a failure scores 1.
	slowScore = 0.5
)

// Outcome is the outcome of one request as the packets of its flow show it.
type Outcome struct {
	Responded       bool
	ResponseBytes   int
	TimeToFirstByte time.Duration
}

// ResponseProfile estimates the typical size and latency of the responses on
// one route. The zero value is an estimate without samples.
type ResponseProfile struct {
	size, latency medianEstimate
	samples       int
}

// Score returns the score of an outcome, from 0 for a success to 1 for a
// failure, and updates the profile with the outcome.
func (p *ResponseProfile) Score(o Outcome) float64 {
	if !o.Responded {
		return 1
	}
	size, latency := float64(o.ResponseBytes), float64(o.TimeToFirstByte)
	short := p.samples >= minSamples && size < shortResponseRatio*p.size.value
	slow := p.samples >= minSamples && latency > slowResponseFactor*p.latency.value
	p.samples++
	if short {
		p.size.update(size, shortResponseStep)
		return 1
	}
	p.size.update(size, medianStep)
	p.latency.update(latency, medianStep)
	if slow {
		return slowScore
	}
	return 0
}

// TypicalLatency returns the typical time to the first byte of a response. It
// reports false while that is not known.
func (p *ResponseProfile) TypicalLatency() (time.Duration, bool) {
	return time.Duration(p.latency.value), p.samples >= minSamples
}

// Timeout returns how long a request may wait for its response before it counts
// as unanswered.
func (p *ResponseProfile) Timeout() time.Duration {
	if p.samples < minSamples {
		return maxTimeout
	}
	return min(max(time.Duration(timeoutFactor*p.latency.value), minTimeout), maxTimeout)
}

const (
	// medianStep is the fraction by which each value moves a median estimate. The
	// estimate follows a doubling or halving of the values within 25 values.
	medianStep = 0.03
	// shortResponseStep is the step for responses that look like errors. It is
	// small, so that errors become typical only after hundreds of them without
	// any other response.
	shortResponseStep = medianStep / 8
)

// medianEstimate is a running estimate of the median of positive values.
type medianEstimate struct{ value float64 }

func (m *medianEstimate) update(x, step float64) {
	switch {
	case m.value == 0:
		m.value = x
	case x > m.value:
		m.value *= 1 + step
	case x < m.value:
		m.value /= 1 + step
	}
}

// History counts the requests and failures of one server, with weights that
// decay exponentially with time. The zero value is an empty history.
type History struct {
	requests, failures float64
	updatedAt          time.Duration
	detections         int // number of successive detections, each within probationPeriod of the one before
	lastDetection      time.Duration
	halfLifeFactor     float64 // passed with the last detection
}

// AddDetection notes that the server was detected as an outlier. Each detection
// lengthens the half-life of outcomes, so that a server that fails again
// whenever it gets requests gets them less and less often. halfLifeFactor, 1 or
// more, multiplies the half-life as well. When instances draw different
// factors, the one with the smallest sends requests to the server first and
// reports the result to the others.
func (h *History) AddDetection(now time.Duration, halfLifeFactor float64) {
	h.decay(now)
	if !h.OnProbation(now) {
		h.detections = 0
	}
	h.detections, h.lastDetection, h.halfLifeFactor = min(h.detections+1, maxDetections), now, halfLifeFactor
}

// HalfLifeFactor returns the factor passed with the last detection, 1 before
// the first.
func (h *History) HalfLifeFactor() float64 { return max(1, h.halfLifeFactor) }

// OnProbation reports whether the last detection is within probationPeriod.
func (h *History) OnProbation(now time.Duration) bool {
	return h.detections > 0 && now-h.lastDetection < probationPeriod
}

// Add counts a request with the score of its outcome.
func (h *History) Add(now time.Duration, score float64) {
	h.decay(now)
	h.requests++
	h.failures += score
}

func (h *History) decay(now time.Duration) {
	if h.requests > 0 {
		halfLife := float64(HalfLife<<max(0, h.detections-1)) * h.HalfLifeFactor()
		f := math.Exp2(-float64(now-h.updatedAt) / halfLife)
		h.requests *= f
		h.failures *= f
	}
	h.updatedAt = now
}

// Counts returns the decayed numbers of requests and failures.
func (h *History) Counts(now time.Duration) (requests, failures float64) {
	c := *h
	c.decay(now)
	return c.requests, c.failures
}

// FailureRate returns the fraction of the requests that failed, which
// priorSuccesses draws towards zero while few requests are known.
func (h *History) FailureRate(now time.Duration) float64 {
	return FailureRate(h.Counts(now))
}

// FailureRate returns the fraction of decayed numbers of requests that failed, which
// priorSuccesses draws towards zero while few requests are known.
func FailureRate(requests, failures float64) float64 {
	return failures / (requests + priorSuccesses)
}

// SubtractBaseline replaces the failure rates of the servers of one service by
// their excess: the part that exceeds the baseline, which is the lower quartile
// of the rates, by more than noiseMargin.
func SubtractBaseline(rates []float64) {
	if len(rates) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(rates))
	baseline := sorted[(len(sorted)-1)/4]
	for i, r := range rates {
		rates[i] = max(0, r-baseline-noiseMargin)
	}
}
