package steer

import (
	"math"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
)

const (
	// slownessHalfLife is the half-life of response times. An instance sees a request of each
	// server every two or three seconds.
	slownessHalfLife = time.Minute
	// typicalSamples is the number of requests of the usual time that a server is taken to have
	// had beside those seen: without recent ones it counts with the usual speed.
	typicalSamples = 8
	// maxSlowness limits the weight of a single long request.
	maxSlowness = 4
	// drawTries limits the draws of a candidate that may get a flow.
	drawTries = 4
)

// decayedMean is the sum and the number of values that lose weight with time. The zero value
// has none.
type decayedMean struct {
	count, sum float64
	at         time.Duration
}

func (m *decayedMean) value(now time.Duration) (count, sum float64) {
	f := math.Exp2(-float64(now-m.at) / float64(slownessHalfLife))
	return f * m.count, f * m.sum
}

func (m *decayedMean) add(now time.Duration, x float64) {
	count, sum := m.value(now)
	m.count, m.sum, m.at = count+1, sum+x, now
}

// SetUnevenSpeeds sets whether servers of a service are taken to differ in speed. New flows then
// go to the better of two servers of the own domain, by their load and measured speed.
func (e *Engine) SetUnevenSpeeds(on bool) { e.unevenSpeeds = on }

// noteSpeed adds the flow's request, which has got its whole response, to the slowness of its
// server: its time there as a multiple of the mean of its destination. The handshake shows how
// long the way takes. Slow responses count, too: without them slow servers would seem faster.
func (e *Engine) noteSpeed(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	t := f.request.respondedAt - f.request.startedAt - f.handshake
	if !e.unevenSpeeds || f.handshake == 0 || t <= 0 {
		return
	}
	all := e.serverTimes[dest]
	if all == nil {
		all = &decayedMean{}
		e.serverTimes[dest] = all
	}
	all.add(now, t.Seconds())
	if count, sum := all.value(now); count >= typicalSamples {
		e.state(f.server).slowness.add(now, min(t.Seconds()*count/sum, maxSlowness))
	}
}

// Speed returns the measured speed of a server as a multiple of the usual one of its service.
func (e *Engine) Speed(now time.Duration, s *catalog.Server) float64 { return e.state(s).speed(now) }

// speed returns the speed of a server as a multiple of the usual one of its service.
func (st *serverState) speed(now time.Duration) float64 {
	count, sum := st.slowness.value(now)
	return (count + typicalSamples) / (sum + typicalSamples)
}

// costBySpeed returns the cost with the load at the measured speed. A server that fails requests
// is no better for answering soon.
func (c *candidate) costBySpeed(now time.Duration) float64 {
	penalty := c.state.penalty
	return (c.cost(now)-penalty)/c.state.speed(now) + penalty
}

// betterOfTwo draws two candidates and returns the one with the lower cost by its speed, nil if
// none was found that may get a flow. The least cost of all would leave slow servers without
// flows, since the first flow of one costs more than a further one of a fast server.
func (e *Engine) betterOfTwo(now time.Duration, list []candidate) (best *candidate) {
	least := 0.0
	for range 2 {
		c := e.drawCandidate(now, list, best)
		if c == nil {
			continue
		}
		if x := c.costBySpeed(now); best == nil || x < least {
			best, least = c, x
		}
	}
	return best
}

// drawCandidate draws one other than the first that responds, or gets a trial, and may get a
// flow, nil if it finds none.
func (e *Engine) drawCandidate(now time.Duration, list []candidate, first *candidate) *candidate {
	n := len(list)
	if first != nil {
		n--
	}
	if n == 0 {
		return nil
	}
	for range drawTries {
		c := &list[e.random.IntN(n)]
		if c == first {
			c = &list[n]
		}
		st := c.state
		if silent := st.silent && now-st.lastSYN < trialInterval; !silent && !st.unresponsive(now) && c.canTakeFlow(now) {
			return c
		}
	}
	return nil
}
