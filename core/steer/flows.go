package steer

import (
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// maxRequestTime is how long a request counts as work in progress without a
	// sign of its end, which may have gone through another instance: about
	// twenty mean times of a request.
	maxRequestTime = 600 * time.Millisecond
	// handshakeTimeout bounds the wait for the first packet after the handshake:
	// callers give a flow up after 1.4 s.
	handshakeTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is the idle time after which a flow is forgotten while the
	// configuration gives none.
	defaultIdleTimeout = 15 * time.Second
	// sweepDivisor is the part of the flows that one Tick looks at, and sweepLeast
	// the number that it looks at in any case: a server that does not answer is
	// found by the requests that wait for it.
	sweepDivisor = 8
	minSweep     = 1000
	// pauseThreshold is the time between two calls of the engine from which on the
	// process was paused: Tick comes each 100 ms.
	pauseThreshold = 500 * time.Millisecond
)

// flowEntry is what an instance notes of a flow. It only serves the account of
// load; delivery does not depend on it.
type flowEntry struct {
	server      *catalog.Server
	tried       []*catalog.Server // servers that got an opening packet
	synSeq      uint32            // of the opening packet
	nextSeq     uint32            // end of the data seen
	highestAck  uint32            // highest acknowledgement seen
	established bool              // a packet after the handshake was seen
	lastPacket  time.Duration     // of the last packet

	request request
}

// request is the last request of a flow.
type request struct {
	inFlight       bool          // counted as work in progress
	outcomePending bool          // its outcome is not known
	ackBefore      uint32        // the caller's acknowledgement before the answer
	startedAt      time.Duration // of the last data, or of the opening packet before it
	respondedAt    time.Duration // first acknowledgement of the answer, 0 for none
}

// assign moves the account of a flow to a server and counts a request.
func (e *Engine) assign(now time.Duration, f *flowEntry, s *catalog.Server) {
	if f.server != s {
		e.unassign(f)
		f.server = s
		e.state(s).openFlows++
	}
	e.beginRequest(now, f)
}

func (e *Engine) beginRequest(now time.Duration, f *flowEntry) {
	if !f.request.inFlight {
		f.request.inFlight = true
		e.state(f.server).inFlight++
	}
	f.request.startedAt = now
}

func (e *Engine) endRequest(f *flowEntry) {
	if f.request.inFlight {
		f.request.inFlight = false
		e.state(f.server).inFlight--
	}
}

// requestData notes data of a request. Data after an answer begin the next request.
func (e *Engine) requestData(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	if f.request.respondedAt > 0 {
		e.recordOutcome(now, dest, f)
	}
	if !f.request.outcomePending {
		f.request.outcomePending, f.request.ackBefore = true, f.highestAck
	}
	e.beginRequest(now, f)
}

// profile returns what is known of the answers on the routes of an address.
func (e *Engine) profile(dest netip.AddrPort) *outlier.ResponseProfile {
	p := e.profiles[dest]
	if p == nil {
		p = &outlier.ResponseProfile{}
		e.profiles[dest] = p
	}
	return p
}

// detectPause notes the time of a call. After a pause of the process nothing is
// known of the requests in progress: their answers may have come meanwhile.
func (e *Engine) detectPause(now time.Duration) {
	if now-e.lastCall > pauseThreshold {
		for _, f := range e.flows {
			f.request.outcomePending, f.request.respondedAt = false, 0
		}
	}
	e.lastCall = max(e.lastCall, now)
}

// recordOutcome judges the flow's request by its answer so far.
func (e *Engine) recordOutcome(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	r := &f.request
	if !r.outcomePending {
		return
	}
	badness := e.profile(dest).Score(outlier.Outcome{
		Responded: r.respondedAt > 0, ResponseBytes: int(f.highestAck - r.ackBefore), TimeToFirstByte: r.respondedAt - r.startedAt,
	})
	e.state(f.server).history.Add(now, badness)
	r.outcomePending, r.respondedAt = false, 0
}

func (e *Engine) unassign(f *flowEntry) {
	if f.server == nil {
		return
	}
	e.endRequest(f)
	e.state(f.server).openFlows--
	f.server, f.request.outcomePending, f.request.respondedAt = nil, false, 0
}

func (e *Engine) removeFlow(k Key, f *flowEntry) {
	e.unassign(f)
	delete(e.flows, k)
}

func (e *Engine) removeFlowByKey(k Key) {
	if f := e.flows[k]; f != nil {
		e.removeFlow(k, f)
	}
}

// observePacket notes what a packet of an open flow shows. It returns the time of
// the request whose answer the packet confirms.
func (e *Engine) observePacket(now time.Duration, key Key, f *flowEntry, s *catalog.Server, p *Packet) (answered time.Duration) {
	if p.RST {
		if f != nil {
			e.recordOutcome(now, key.Dest, f)
		}
		e.removeFlowByKey(key)
		return 0
	}
	if f == nil {
		if p.FIN {
			return 0
		}
		f = &flowEntry{nextSeq: p.Seq, highestAck: p.Ack, established: true, server: s, lastPacket: now}
		e.flows[key] = f
		e.state(s).openFlows++
	}
	if f.server != s {
		e.unassign(f)
		f.server = s
		e.state(s).openFlows++
	}
	f.lastPacket = now
	// Positions of a flow wrap round.
	if progress := int32(p.Ack-f.highestAck) > 0; !f.established || progress {
		e.state(s).responded()
		if r := &f.request; f.established && progress {
			if r.inFlight {
				answered = now - r.startedAt
				e.endRequest(f)
			}
			if r.outcomePending && r.respondedAt == 0 {
				r.respondedAt = now
			}
		}
		f.highestAck, f.established = p.Ack, true
	}
	if end := p.Seq + uint32(p.Len); p.Len > 0 && int32(end-f.nextSeq) > 0 {
		f.nextSeq = end
		e.requestData(now, key.Dest, f)
	}
	if p.FIN {
		e.recordOutcome(now, key.Dest, f)
		e.removeFlow(key, f)
	}
	return answered
}

// expireRequest ends a request that got no answer in time, or whose end was not seen.
func (e *Engine) expireRequest(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	waited := now - f.request.startedAt
	if waited > maxRequestTime {
		e.endRequest(f)
	}
	if f.request.outcomePending && waited > e.profile(dest).Timeout() {
		e.recordOutcome(now, dest, f)
	}
}

// Tick forgets flows that are idle and requests whose end was not seen, and
// compares the servers. It returns what it found of them.
func (e *Engine) Tick(now time.Duration) []OutlierEvent {
	e.detectPause(now)
	idle := defaultIdleTimeout
	if c := e.catalog.Config(); c != nil && c.IdleTimeout > 0 {
		idle = c.IdleTimeout
	}
	if len(e.sweepQueue) == 0 {
		for k := range e.flows {
			e.sweepQueue = append(e.sweepQueue, k)
		}
	}
	n := min(len(e.sweepQueue), max(len(e.flows)/sweepDivisor, minSweep))
	for _, k := range e.sweepQueue[:n] {
		f := e.flows[k]
		if f == nil {
			continue
		}
		if quiet := now - f.lastPacket; quiet > idle || !f.established && quiet > handshakeTimeout {
			e.removeFlow(k, f)
			continue
		}
		e.expireRequest(now, k.Dest, f)
	}
	e.sweepQueue = e.sweepQueue[n:]
	for s, l := range e.states {
		if l.openFlows == 0 && !e.catalog.InUse(s) {
			delete(e.states, s)
		}
	}
	if now-e.lastDetection < detectionInterval {
		return nil
	}
	e.lastDetection = now
	return e.detectOutliers(now)
}

// FlowCount returns the number of flows noted.
func (e *Engine) FlowCount() int { return len(e.flows) }
