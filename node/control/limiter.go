package control

import "time"

// burstPeriod times the rate is the capacity of the token bucket. It allows the
// heartbeats of one heartbeat interval to be sent in one burst.
const burstPeriod = 2 * time.Second

// limiter is a token bucket that counts bytes. Heartbeats are always allowed,
// since peers would take the instance for dead without them; they use tokens
// of the same bucket, which may become negative.
type limiter struct {
	rate   float64 // bytes per second
	tokens float64 // bytes; negative after heartbeats over the budget
	last   time.Duration
}

func newLimiter(rate int) limiter {
	return limiter{rate: float64(rate), tokens: float64(rate) * burstPeriod.Seconds()}
}

// allow reports whether a message of n bytes may be sent and, if so, takes n
// tokens. A mandatory message is always allowed. The number of tokens has a
// lower limit, so that a burst of mandatory messages blocks the others for a
// bounded time.
func (l *limiter) allow(now time.Duration, n int, mandatory bool) bool {
	capacity := l.rate * burstPeriod.Seconds()
	l.tokens = min(capacity, l.tokens+l.rate*max(now-l.last, 0).Seconds())
	l.last = max(now, l.last)
	if !mandatory && l.tokens < float64(n) {
		return false
	}
	l.tokens = max(-capacity, l.tokens-float64(n))
	return true
}
