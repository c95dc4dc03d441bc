package steer

import (
	"time"

	"egrettack.example/core/catalog"
)

// orphanTimeout is the time without a packet after which the caller has given up the
// flow: retransmissions are at most 1.6 s apart.
const orphanTimeout = 2 * time.Second

// orphan is an open flow whose server has ended, as far as the catalog tells: another
// server has taken its address. The server may have started again at another address
// since the catalog was current, and hold the flow: what was known when a packet arrived
// is no reason for a reset. It takes a read of the store that began after the packet had
// arrived, and still shows the end.
type orphan struct {
	server   *catalog.Server
	since    time.Duration // arrival of the first packet that has got no response
	lastSeen time.Duration // arrival of the last packet
	ack      uint32        // the caller's acknowledgement in these packets
}

// dropOrReset decides on a packet of a flow whose server has ended by what the catalog
// knows. There is no address to send it to.
func (e *Engine) dropOrReset(now time.Duration, p *Packet, s *catalog.Server) Verdict {
	key := p.Key()
	v := Verdict{Action: Drop, Reason: ServerGone, Server: s}
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
	if e.catalog.AbsenceConfirmed(x.since) {
		delete(e.orphans, key)
		e.removeFlowByKey(key)
		v.Action = Reset
	}
	return v
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
		switch {
		case e.catalog.Presence(x.server) != catalog.AddressTaken || e.catalog.Latest(x.server) != x.server:
			delete(e.orphans, key)
		case e.catalog.AbsenceConfirmed(x.since):
			delete(e.orphans, key)
			e.removeFlowByKey(key)
			ended = append(ended, EndedFlow{
				Packet:  Packet{Caller: key.Caller, Dest: key.Dest, ACK: true, Ack: x.ack, Token: x.server.Token},
				Verdict: Verdict{Action: Reset, Reason: ServerGone, Server: x.server},
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
