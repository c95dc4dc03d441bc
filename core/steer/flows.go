package steer

import (
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

const (
	// requestLimit is how long a request counts as work in progress without a
	// sign of its end, which may have gone through another instance: about
	// twenty mean times of a request.
	requestLimit = 600 * time.Millisecond
	// openingLimit bounds the wait for the first packet after the handshake:
	// callers give a flow up after 1.4 s.
	openingLimit = 1500 * time.Millisecond
	// defaultIdle is the idle time after which a flow is forgotten while the
	// configuration gives none.
	defaultIdle = 15 * time.Second
	// sweepShare is the part of the flows that one Tick looks at, and sweepLeast
	// the number that it looks at in any case: a server that does not answer is
	// found by the requests that wait for it.
	sweepShare = 8
	sweepLeast = 1000
	// pauseGap is the time between two calls of the engine from which on the
	// process was paused: Tick comes each 100 ms.
	pauseGap = 500 * time.Millisecond
)

// entry is what an instance notes of a flow. It only serves the account of
// load; delivery does not depend on it.
type entry struct {
	server *catalog.Server
	tried  []*catalog.Server // servers that got an opening packet
	seq    uint32            // of the opening packet
	next   uint32            // end of the data seen
	ack    uint32            // highest acknowledgement seen
	acked  bool              // a packet after the handshake was seen
	last   time.Duration     // of the last packet

	request request
}

// request is the last request of a flow.
type request struct {
	busy    bool          // counted as work in progress
	pending bool          // its outcome is not known
	base    uint32        // the caller's acknowledgement before the answer
	began   time.Duration // of the last data, or of the opening packet before it
	replied time.Duration // first acknowledgement of the answer, 0 for none
}

// assign moves the account of a flow to a server and counts a request.
func (e *Engine) assign(now time.Duration, f *entry, s *catalog.Server) {
	if f.server != s {
		e.release(f)
		f.server = s
		e.load(s).open++
	}
	e.begin(now, f)
}

func (e *Engine) begin(now time.Duration, f *entry) {
	if !f.request.busy {
		f.request.busy = true
		e.load(f.server).busy++
	}
	f.request.began = now
}

func (e *Engine) end(f *entry) {
	if f.request.busy {
		f.request.busy = false
		e.load(f.server).busy--
	}
}

// ask notes data of a request. Data after an answer begin the next request.
func (e *Engine) ask(now time.Duration, dest netip.AddrPort, f *entry) {
	if f.request.replied > 0 {
		e.conclude(now, dest, f)
	}
	if !f.request.pending {
		f.request.pending, f.request.base = true, f.ack
	}
	e.begin(now, f)
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

// noteTime notes the time of a call. After a pause of the process nothing is
// known of the requests in progress: their answers may have come meanwhile.
func (e *Engine) noteTime(now time.Duration) {
	if now-e.called > pauseGap {
		for _, f := range e.flows {
			f.request.pending, f.request.replied = false, 0
		}
	}
	e.called = max(e.called, now)
}

// conclude judges the flow's request by its answer so far.
func (e *Engine) conclude(now time.Duration, dest netip.AddrPort, f *entry) {
	r := &f.request
	if !r.pending {
		return
	}
	badness := e.profile(dest).Score(outlier.Outcome{
		Responded: r.replied > 0, ResponseBytes: int(f.ack - r.base), TimeToFirstByte: r.replied - r.began,
	})
	e.load(f.server).outcomes.Add(now, badness)
	r.pending, r.replied = false, 0
}

func (e *Engine) release(f *entry) {
	if f.server == nil {
		return
	}
	e.end(f)
	e.load(f.server).open--
	f.server, f.request.pending, f.request.replied = nil, false, 0
}

func (e *Engine) drop(k Key, f *entry) {
	e.release(f)
	delete(e.flows, k)
}

func (e *Engine) forget(k Key) {
	if f := e.flows[k]; f != nil {
		e.drop(k, f)
	}
}

// observe notes what a packet of an open flow shows. It returns the time of
// the request whose answer the packet confirms.
func (e *Engine) observe(now time.Duration, key Key, f *entry, s *catalog.Server, p *Packet) (answered time.Duration) {
	if p.RST {
		if f != nil {
			e.conclude(now, key.Dest, f)
		}
		e.forget(key)
		return 0
	}
	if f == nil {
		if p.FIN {
			return 0
		}
		f = &entry{next: p.Seq, ack: p.Ack, acked: true, server: s, last: now}
		e.flows[key] = f
		e.load(s).open++
	}
	if f.server != s {
		e.release(f)
		f.server = s
		e.load(s).open++
	}
	f.last = now
	// Positions of a flow wrap round.
	if progress := int32(p.Ack-f.ack) > 0; !f.acked || progress {
		e.load(s).alive()
		if r := &f.request; f.acked && progress {
			if r.busy {
				answered = now - r.began
				e.end(f)
			}
			if r.pending && r.replied == 0 {
				r.replied = now
			}
		}
		f.ack, f.acked = p.Ack, true
	}
	if end := p.Seq + uint32(p.Len); p.Len > 0 && int32(end-f.next) > 0 {
		f.next = end
		e.ask(now, key.Dest, f)
	}
	if p.FIN {
		e.conclude(now, key.Dest, f)
		e.drop(key, f)
	}
	return answered
}

// expire ends a request that got no answer in time, or whose end was not seen.
func (e *Engine) expire(now time.Duration, dest netip.AddrPort, f *entry) {
	waited := now - f.request.began
	if waited > requestLimit {
		e.end(f)
	}
	if f.request.pending && waited > e.profile(dest).Timeout() {
		e.conclude(now, dest, f)
	}
}

// Tick forgets flows that are idle and requests whose end was not seen, and
// compares the servers. It returns what it found of them.
func (e *Engine) Tick(now time.Duration) []OutlierEvent {
	e.noteTime(now)
	idle := defaultIdle
	if c := e.catalog.Config(); c != nil && c.IdleTimeout > 0 {
		idle = c.IdleTimeout
	}
	if len(e.sweep) == 0 {
		for k := range e.flows {
			e.sweep = append(e.sweep, k)
		}
	}
	n := min(len(e.sweep), max(len(e.flows)/sweepShare, sweepLeast))
	for _, k := range e.sweep[:n] {
		f := e.flows[k]
		if f == nil {
			continue
		}
		if quiet := now - f.last; quiet > idle || !f.acked && quiet > openingLimit {
			e.drop(k, f)
			continue
		}
		e.expire(now, k.Dest, f)
	}
	e.sweep = e.sweep[n:]
	for s, l := range e.loads {
		if l.open == 0 && !e.catalog.Active(s) {
			delete(e.loads, s)
		}
	}
	if now-e.reviewed < reviewEvery {
		return nil
	}
	e.reviewed = now
	return e.review(now)
}

// FlowCount returns the number of flows noted.
func (e *Engine) FlowCount() int { return len(e.flows) }
