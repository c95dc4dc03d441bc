package steer

import (
	"time"

	"egrettack.example/core/catalog"
)

const (
	// minRetransmitGap is the time from a packet to a copy of it from which on the copy
	// shows that there was no response. Copies that are read closer together have waited
	// in the socket. Callers send the first copy after 200 ms.
	minRetransmitGap = 100 * time.Millisecond
	// orphanTimeout is the time without a packet after which the caller has given up
	// the flow: retransmissions are at most 1.6 s apart.
	orphanTimeout = 2 * time.Second
	// maxInFlight is the most data that a caller has in flight, in bytes: 16 packets.
	maxInFlight = 16 * 1200
)

// orphan is an open flow whose server has ended, as far as the catalog tells. The
// server may have started again since the catalog was current, and hold the flow: what
// was known when a packet arrived is no reason for a reset. It takes a read of the store
// that began after the packet had arrived, and still shows the end.
type orphan struct {
	server   *catalog.Server
	since    time.Duration // arrival of the first packet that has got no response
	lastSeen time.Duration // arrival of the last packet
	ack      uint32        // the caller's acknowledgement in these packets
	// The first packet with data that was forwarded to the server's last address.
	forwardedAt time.Duration // 0 before
	seq         uint32
	unanswered  bool // the caller has sent it again
}

// forward notes that a packet with data is forwarded. It reports whether the server
// has responded: the caller sends more than it may without an acknowledgement.
func (x *orphan) forward(now time.Duration, p *Packet) (responded bool) {
	switch {
	case x.forwardedAt == 0:
		x.forwardedAt, x.seq = now, p.Seq
	case p.Seq == x.seq:
		x.unanswered = x.unanswered || now-x.forwardedAt >= minRetransmitGap
	}
	return int32(p.Seq-x.seq) > maxInFlight // sequence numbers wrap around
}

// deliverToEnded decides on a packet of a flow whose server has ended by what the
// catalog knows. The packet goes to the last address of the server, where a new start of
// it would answer, unless another server has that address.
func (e *Engine) deliverToEnded(now time.Duration, p *Packet, f *flowEntry, s *catalog.Server, presence catalog.Presence) Verdict {
	key := p.Key()
	v := Verdict{Action: Forward, Reason: ServerGone, Server: s, Presence: presence}
	if presence == catalog.AddressTaken {
		v.Action = Drop
	}
	if p.RST {
		delete(e.orphans, key)
		e.removeFlowByKey(key)
		return v
	}
	x := e.orphans[key]
	if x == nil || x.server != s || x.ack != p.Ack {
		x = &orphan{server: s, since: now, ack: p.Ack}
		e.orphans[key] = x
	}
	x.lastSeen = now
	if v.Action == Forward {
		v.ResponseTime = e.observePacket(now, key, f, s, p)
		if p.Len > 0 && x.forward(now, p) {
			e.state(s).responded(x.forwardedAt)
			delete(e.orphans, key)
			return v
		}
	}
	if e.hasNoServer(x, presence) {
		delete(e.orphans, key)
		e.removeFlowByKey(key)
		v.Action = Reset
	}
	return v
}

// hasNoServer reports whether the flow of an orphan has no server any more: the store was
// read after the flow's packet had arrived, and the server has lost its address or has
// left the packet unanswered.
func (e *Engine) hasNoServer(x *orphan, presence catalog.Presence) bool {
	return e.catalog.AbsenceConfirmed(x.since) && (presence == catalog.AddressTaken || x.unanswered)
}

// EndedFlow is an open flow that is to be reset, for its server has ended.
type EndedFlow struct {
	Packet  Packet        // the flow's addresses and the last acknowledgement of the caller
	Verdict Verdict       // the reset
	Waited  time.Duration // since the first packet without a response
}

// TakeEndedFlows returns the flows that a read of the store has shown to have ended, and
// forgets them. It is called after each update of the catalog.
func (e *Engine) TakeEndedFlows(now time.Duration) []EndedFlow {
	var ended []EndedFlow
	for key, x := range e.orphans {
		presence, serverEnded := e.hasEnded(x.server)
		switch {
		case !serverEnded || e.catalog.Latest(x.server) != x.server:
			delete(e.orphans, key)
		case e.hasNoServer(x, presence):
			delete(e.orphans, key)
			e.removeFlowByKey(key)
			ended = append(ended, EndedFlow{
				Packet:  Packet{Caller: key.Caller, Dest: key.Dest, ACK: true, Ack: x.ack, Token: x.server.Token},
				Verdict: Verdict{Action: Reset, Reason: ServerGone, Server: x.server, Presence: presence},
				Waited:  now - x.since,
			})
		}
	}
	return ended
}

// ForgetOrphans forgets the times at which packets of such flows arrived. It is called
// after a suspend of the machine, which these times may lack.
func (e *Engine) ForgetOrphans() { clear(e.orphans) }

// expireOrphans forgets the flows whose callers have given up.
func (e *Engine) expireOrphans(now time.Duration) {
	for key, x := range e.orphans {
		if now-x.lastSeen > orphanTimeout {
			delete(e.orphans, key)
		}
	}
}
