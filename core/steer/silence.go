package steer

import (
	"time"

	"egrettack.example/core/catalog"
)

const (
	// minSilence is the time between two retransmissions after which a server
	// counts as silent. Callers retransmit after 200 ms and after 400 ms more.
	minSilence = 400 * time.Millisecond
	// silenceTTL is how long a silent server is taken to stay silent. It is short,
	// since the path to the server may have failed instead.
	silenceTTL = 3 * time.Second
)

// silence is the evidence that a server no longer responds. The zero value is no
// evidence.
type silence struct {
	first, last time.Duration // first and last retransmission to the server since its last response
}

// add counts a retransmission.
func (s *silence) add(now time.Duration) {
	if s.first == 0 || now-s.last > silenceTTL {
		s.first = now
	}
	s.last = now
}

// confirmed reports whether the server does not respond.
func (s *silence) confirmed(now time.Duration) bool {
	return s.first > 0 && s.last-s.first >= minSilence && now-s.last <= silenceTTL
}

// observeSilence updates the evidence that the server of a flow is silent with a
// packet of the flow.
func (e *Engine) observeSilence(now time.Duration, f *flowEntry, s *catalog.Server, p *Packet) {
	if f == nil || f.server != s {
		return
	}
	// Sequence numbers wrap around.
	switch newData := int32(p.Seq+uint32(p.Len)-f.nextSeq) > 0; {
	case int32(p.Ack-f.highestAck) > 0:
		e.state(s).responded()
	case p.Len > 0 && !newData:
		e.state(s).silence.add(now)
	}
}
