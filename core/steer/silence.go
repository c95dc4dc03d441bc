package steer

import (
	"time"

	"egrettack.example/core/catalog"
)

// responded records a response of the server.
func (st *serverState) responded() {
	st.unansweredSince, st.silent = 0, false
	st.place.touch()
}

// addOpenFlows and addInFlight change the number of open flows, and of requests in flight.
func (st *serverState) addOpenFlows(n int) {
	st.openFlows += n
	st.place.touch()
}

func (st *serverState) addInFlight(n int) {
	st.inFlight += n
	st.place.touch()
}

// setSilent notes that a caller has sent a packet again.
func (st *serverState) setSilent() {
	st.silent = true
	st.place.touch()
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
		e.state(s).responded()
	case p.Len > 0 && !newData:
		e.state(s).setSilent()
	}
}
