package steer

import "time"

const (
	// residenceSamples is the number of requests over which the share is averaged.
	residenceSamples = 16
	// minResidence bounds the share from below: with very short requests the times
	// that it is computed from differ by little.
	minResidence = 0.05
)

// residence estimates, for the requests of a service, the share of their time in
// flight that they spend at their server. The rest is the way between the caller and
// the server. The zero value is an estimate without samples.
type residence struct {
	share   float64
	samples int
}

// estimate returns the share, 1 while there are no samples.
func (r *residence) estimate() float64 {
	if r.samples == 0 {
		return 1
	}
	return r.share
}

// add adds a request that was in flight for the time total and got its response
// after responseTime. The handshake of its flow shows how long the way there and back
// takes.
func (r *residence) add(total, responseTime, handshake time.Duration) {
	if total <= 0 {
		return
	}
	x := min(max(float64(responseTime-handshake)/float64(total), minResidence), 1)
	r.samples = min(r.samples+1, residenceSamples)
	r.share += (x - r.share) / float64(r.samples)
}

// noteHandshake measures the handshake of a flow when the first packet after it
// arrives. Which of several SYNs was answered is not known.
func (f *flowEntry) noteHandshake(now time.Duration) {
	if len(f.tried) == 1 {
		f.handshake = now - f.lastPacket
	}
}

// noteResidence adds the flow's request, which has got a good response, to the
// estimate of its service. Refusals of full servers come sooner and tell nothing.
func (e *Engine) noteResidence(f *flowEntry) {
	if f.handshake == 0 {
		return
	}
	service := f.server.Service
	r := e.residences[service]
	if r == nil {
		r = &residence{}
		e.residences[service] = r
	}
	at := f.request.respondedAt
	r.add(at-f.request.inFlightSince, at-f.request.startedAt, f.handshake)
}

// residenceShare returns the share of their time in flight that the requests of a
// service spend at its servers.
func (e *Engine) residenceShare(service string) float64 {
	if r := e.residences[service]; r != nil {
		return r.estimate()
	}
	return 1
}
