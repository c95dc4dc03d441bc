package steer

import (
	"time"

	"egrettack.example/core/catalog"
)

// responded records a response of the server, which it sent after the given time.
func (st *serverState) responded(after time.Duration) {
	st.unansweredSince, st.silent, st.lastResponse = 0, false, max(st.lastResponse, after)
}

// observeSilence notes whether the server of a flow responds, by a packet of the flow:
// the caller acknowledges more data, or sends its own again.
func (e *Engine) observeSilence(now time.Duration, f *flowEntry, s *catalog.Server, p *Packet) {
	if f == nil || f.server != s {
		return
	}
	// Sequence numbers wrap around.
	switch newData := int32(p.Seq+uint32(p.Len)-f.nextSeq) > 0; {
	case int32(p.Ack-f.highestAck) > 0:
		e.state(s).responded(f.lastPacket)
	case p.Len > 0 && !newData:
		e.state(s).silent = true
	}
}

// hasEnded reports whether a server has ended, as far as is known. A server that has
// responded since its entry is missing runs: the store does not accept the entry.
func (e *Engine) hasEnded(s *catalog.Server) (catalog.Presence, bool) {
	presence := e.catalog.Presence(s)
	return presence, presence.Ended() && (s.Published() || e.state(s).lastResponse < s.MissingSince)
}
