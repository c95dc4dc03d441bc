package control

import "time"

// burstPeriod is the time for which unused budget is kept. It lets the
// heartbeats of one interval go out together.
const burstPeriod = 2 * time.Second

// limiter is a token bucket over bytes. Heartbeats always pass and are paid
// from the same bucket: without them the instance would be taken for dead.
type limiter struct {
	rate   float64 // bytes a second
	tokens float64
	last   time.Duration
}

func newLimiter(rate int) limiter {
	return limiter{rate: float64(rate), tokens: float64(rate) * burstPeriod.Seconds()}
}

// allow takes n bytes and reports whether they may be sent. The debt of
// messages that must be sent is limited, so that a burst of them blocks the
// others for a bounded time.
func (l *limiter) allow(now time.Duration, n int, must bool) bool {
	limit := l.rate * burstPeriod.Seconds()
	l.tokens = min(limit, l.tokens+l.rate*max(now-l.last, 0).Seconds())
	l.last = max(now, l.last)
	if !must && l.tokens < float64(n) {
		return false
	}
	l.tokens = max(-limit, l.tokens-float64(n))
	return true
}
