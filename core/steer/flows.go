package steer

import (
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// maxRequestTime is how long a request counts as in flight without a
	// response, which may have been acknowledged through another instance. It is
	// about twenty times the mean duration of a request.
	maxRequestTime = 600 * time.Millisecond
	// handshakeTimeout is how long a flow is kept without a packet after the
	// handshake. Callers give up a flow after 1.4 s.
	handshakeTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is the time after which an idle flow is removed if the
	// configuration gives none.
	defaultIdleTimeout = 15 * time.Second
	// One Tick checks the number of flows divided by sweepDivisor, but at least
	// minSweep: servers that do not respond are detected by the requests that
	// wait for them.
	sweepDivisor = 8
	minSweep     = 1000
	// pauseThreshold is the time without a call of the engine above which the
	// process is taken to have been paused. Tick is called every 100 ms.
	pauseThreshold = 500 * time.Millisecond
)

// flowEntry is what an instance has seen of a flow. It serves to estimate load and
// to detect outliers. Packets are delivered without it, except those with the token of an
// answer to a SYN.
type flowEntry struct {
	server      *catalog.Server
	tried       []*catalog.Server // servers that a SYN was sent to
	synSeq      uint32            // sequence number of the SYN
	nextSeq     uint32            // end of the data seen
	highestAck  uint32            // highest acknowledgement seen
	established bool              // a packet after the handshake was seen
	opening     opening           // set when established
	firstNoted  bool              // its first packet counts in the share of flows that begin with data
	contested   bool              // several servers may have got its SYN, as far as this instance knows
	lastPacket  time.Duration
	handshake   time.Duration // from the SYN to the first packet after the handshake, 0 if not known
	spill       spill
	hedge       flowHedge

	request request
}

// maxSeqDistance is the distance of a sequence number from the end of the data seen
// above which a packet belongs to another flow, or the flow went on at another
// instance. Callers have at most 16 packets of 1,200 bytes in flight.
const maxSeqDistance = 1 << 17

// covers reports whether a sequence number is likely to belong to the flow.
func (f *flowEntry) covers(seq uint32) bool {
	d := int32(seq - f.nextSeq)
	return -maxSeqDistance <= d && d <= maxSeqDistance
}

// isOpen reports whether the flow that a SYN begins is open, perhaps by way of another
// instance.
func (f *flowEntry) isOpen(syn *Packet) bool {
	return f.established && (f.synSeq == syn.Seq || f.covers(syn.Seq))
}

// request is the last request of a flow.
type request struct {
	inFlight       bool          // counted in serverState.inFlight
	inFlightSince  time.Duration // when the count began
	share          shareCount
	outcomePending bool          // its outcome is still to be recorded
	ackBefore      uint32        // the caller's acknowledgement before the response
	startedAt      time.Duration // time of the last request data, or of the SYN before the first data
	respondedAt    time.Duration // first acknowledgement of the response, 0 if there was none
}

// assign sets the server of a flow, moves the flow from the open-flow count of its
// former server to that of the new one, and begins a request.
func (e *Engine) assign(now time.Duration, dest netip.AddrPort, f *flowEntry, s *catalog.Server) {
	if f.server != s {
		e.unassign(f)
		f.server = s
		e.state(s).addOpenFlows(1)
	}
	e.beginRequest(now, dest, f)
}

func (e *Engine) beginRequest(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	if !f.request.inFlight {
		f.request.inFlight, f.request.inFlightSince = true, now
		e.state(f.server).addInFlight(1)
		e.countShare(dest, f)
	}
	f.request.startedAt = now
}

func (e *Engine) endRequest(f *flowEntry) {
	if f.request.inFlight {
		f.request.inFlight = false
		e.state(f.server).addInFlight(-1)
		f.endShare()
	}
}

// requestData updates a flow with data of a request. Data after a response begin
// the next request.
func (e *Engine) requestData(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	if f.request.respondedAt > 0 {
		e.recordOutcome(now, dest, f)
	}
	if !f.request.outcomePending {
		f.request.outcomePending, f.request.ackBefore = true, f.highestAck
	}
	e.beginRequest(now, dest, f)
}

// profile returns the profile of the responses on the route of an address.
func (e *Engine) profile(dest netip.AddrPort) *outlier.ResponseProfile {
	p := e.profiles[dest]
	if p == nil {
		p = &outlier.ResponseProfile{}
		e.profiles[dest] = p
	}
	return p
}

// detectPause is called first by Decide and Tick. After a pause of the process it
// discards the outcomes of the requests in flight: their responses may have been
// acknowledged during the pause.
func (e *Engine) detectPause(now time.Duration) {
	if now-e.lastCall > pauseThreshold {
		for _, f := range e.flows {
			f.request.outcomePending, f.request.respondedAt = false, 0
		}
	}
	e.lastCall = max(e.lastCall, now)
}

// recordOutcome records the outcome of the flow's request by the response so
// far.
func (e *Engine) recordOutcome(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	r := &f.request
	if !r.outcomePending {
		return
	}
	profile := e.profile(dest)
	score := profile.Score(outlier.Outcome{
		Responded: r.respondedAt > 0, ResponseBytes: int(f.highestAck - r.ackBefore), TimeToFirstByte: r.respondedAt - r.startedAt,
	})
	e.state(f.server).history.Add(now, score)
	if _, known := profile.TypicalLatency(); known && score == 0 {
		e.noteResidence(f)
	}
	if score < 1 {
		e.noteSpeed(now, dest, f)
	}
	f.judgeSpill(profile, score, r.respondedAt-r.startedAt)
	r.outcomePending, r.respondedAt = false, 0
}

func (e *Engine) unassign(f *flowEntry) {
	if f.server == nil {
		return
	}
	e.endRequest(f)
	f.endSpill()
	e.state(f.server).addOpenFlows(-1)
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

// observePacket updates the flow and its server with a packet of an open flow, whose
// opening is known. It returns the response time of the request whose response the packet
// acknowledges, 0 if it acknowledges none.
func (e *Engine) observePacket(now time.Duration, f *flowEntry, s *catalog.Server, p *Packet, known *opening) (responseTime time.Duration) {
	key := p.Key()
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
		e.state(s).addOpenFlows(1)
	}
	if f.server != s {
		e.unassign(f)
		f.server = s
		e.state(s).addOpenFlows(1)
	}
	if !f.established {
		f.noteHandshake(now)
		e.noteOpened(now, key.Dest, f, s)
	}
	isNew := !f.established
	f.opening = *known
	if isNew && f.contested && len(e.openingNews) < maxOpeningNews {
		e.openingNews = append(e.openingNews, key)
	}
	f.lastPacket = now
	// Sequence numbers wrap around.
	if progress := int32(p.Ack-f.highestAck) > 0; !f.established || progress {
		e.state(s).responded()
		if r := &f.request; f.established && progress {
			if r.inFlight {
				responseTime = now - r.startedAt
				e.endRequest(f)
				f.endSpill()
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
		e.keepOpening(key, f.opening, now+closedFlowTime)
		e.removeFlow(key, f)
	}
	return responseTime
}

// expireRequest ends a request that got no response in time, or whose response
// was acknowledged through another instance.
func (e *Engine) expireRequest(now time.Duration, dest netip.AddrPort, f *flowEntry) {
	waited := now - f.request.startedAt
	if waited > maxRequestTime {
		e.endRequest(f)
		f.endSpill()
	}
	if f.request.outcomePending && waited > e.profile(dest).Timeout() {
		e.recordOutcome(now, dest, f)
	}
}

// idleTimeout returns the time after which an idle flow may be discarded.
func (e *Engine) idleTimeout() time.Duration {
	if c := e.catalog.Config(); c != nil && c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return defaultIdleTimeout
}

// Tick removes idle flows, expires requests and compares the failure rates of the
// servers. It returns the servers that became outliers or ceased to be.
func (e *Engine) Tick(now time.Duration) []OutlierEvent {
	e.detectPause(now)
	idleTimeout := e.idleTimeout()
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
		if idle := now - f.lastPacket; idle > idleTimeout || !f.established && idle > handshakeTimeout {
			e.removeFlow(k, f)
			continue
		}
		e.expireRequest(now, k.Dest, f)
	}
	e.sweepQueue = e.sweepQueue[n:]
	e.expireOrphans(now)
	e.expireOpenings(now)
	for s, st := range e.states {
		if st.openFlows == 0 && !e.catalog.Active(s) {
			delete(e.states, s)
		}
	}
	if now-e.lastDetection < detectionInterval {
		return nil
	}
	e.lastDetection = now
	return e.detectOutliers(now)
}

// FlowCount returns the number of flows that this instance tracks.
func (e *Engine) FlowCount() int { return len(e.flows) }
