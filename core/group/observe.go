package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/place"
	"egrettack.example/core/table"
)

const (
	// A flow is silent when its caller has retransmitted this often and for
	// this long without progress. Retransmission time-outs double from about
	// 200 ms, so the third comes at 1.4 s and the fourth at 3 s.
	silentRetransmissions = 3
	silentAfter           = 2 * time.Second
	// silentMargin is by how much the progress of another flow on the host
	// must be later than the last progress of the silent one, so that a host
	// that stalls as a whole for a moment resets nobody.
	silentMargin = time.Second
	// resetWindow is by how much the sequence number of a reset may differ
	// from the highest that the caller has sent. It is about the largest
	// window in use; a forged reset passes once in 2,000 times.
	resetWindow = 1 << 20
	// newFlowAge is the age up to which a flow that stalls counts as a failed new flow.
	newFlowAge = 2 * time.Second
)

func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// observe notes what a packet tells of its flow and its host. It returns true
// when the flow has gone silent.
func (t *Table) observe(now time.Duration, e *table.Entry, p *flow.Packet) bool {
	stamp := table.TimestampOf(now)
	e.LastPacket = stamp
	if p.Key.Proto != flow.TCP {
		return false
	}
	switch {
	case p.Opens():
		t.observeSYN(now, e, p)
		return false
	case p.Flags.Has(flow.RST):
		if !resetPlausible(e, p.Seq) {
			return false
		}
		t.uncountFlow(e)
		e.SetState(table.Closed)
		t.notePullChange(e, false)
		return false
	}
	if p.Flags.Has(flow.ACK) {
		t.observeACK(now, e, p)
	}
	if p.PayloadLen > 0 && e.State() == table.Established && !e.Has(table.CountedConnection) {
		t.countFlow(e) // its slot was released on the host's report
	}
	if p.Flags.Has(flow.FIN) && e.State() < table.Closing {
		t.finishFlow(now, e)
		e.SetState(table.Closing)
		t.notePullChange(e, false)
	}
	return t.observeData(now, e, p)
}

// resetPlausible reports whether a sequence number can be of the caller. A forged
// reset, which the host ignores, must not end the flow here.
func resetPlausible(e *table.Entry, seq uint32) bool {
	d := int32(seq - e.Seq)
	return e.Retransmissions == table.SeqUnknown || e.Has(table.ISNMismatch) || -resetWindow < d && d < resetWindow
}

// observeSYN counts a retransmitted SYN as a failure of its host, once a flow.
func (t *Table) observeSYN(now time.Duration, e *table.Entry, p *flow.Packet) {
	if p.Seq != e.ISN {
		e.SetFlags(table.ISNMismatch)
		return
	}
	if e.State() == table.SynSeen {
		t.countFailure(now, e, place.FailedHandshake)
	}
}

func (t *Table) countFailure(now time.Duration, e *table.Entry, f place.Failure) {
	if e.Has(table.CountedFailure) {
		return
	}
	e.SetFlags(table.CountedFailure)
	if h := t.hosts.Find(e.Host()); h != nil && t.hosts.Failed(now, h, f) {
		t.recount()
	}
}

func (t *Table) observeACK(now time.Duration, e *table.Entry, p *flow.Packet) {
	synced := e.Retransmissions != table.SeqUnknown
	switch {
	case e.State() == table.SynSeen:
		e.SetState(table.Established)
		if !e.Has(table.CountedConnection) {
			t.countFlow(e)
		}
		if h := t.hosts.Find(e.Host()); h != nil {
			t.hosts.Accepted(now, h)
		}
		if !synced {
			return
		}
		e.Ack = p.Ack
	case !synced:
		return
	case seqAfter(p.Ack, e.Ack):
		e.Ack = p.Ack
		if h := t.hosts.Find(e.Host()); h != nil {
			t.hosts.Advanced(now, h)
		}
	default:
		return
	}
	e.Retransmissions = 0
	e.LastProgress = table.TimestampOf(now)
}

// observeData tells new data from retransmitted data. New data shows that the
// host's acknowledgements, which do not pass here, have opened the window.
// A segment of one byte may be a keep-alive, which repeats by design.
func (t *Table) observeData(now time.Duration, e *table.Entry, p *flow.Packet) bool {
	end := p.Seq + uint32(p.PayloadLen)
	switch {
	case e.Retransmissions == table.SeqUnknown:
		e.Seq, e.Ack = end, p.Ack
		e.Retransmissions = 0
		e.LastProgress = table.TimestampOf(now)
	case seqAfter(end, e.Seq):
		e.Seq = end
		e.Retransmissions = 0
		e.LastProgress = table.TimestampOf(now)
	case p.PayloadLen > 1 && e.Retransmissions < table.SeqUnknown-1:
		e.Retransmissions++
		if e.Retransmissions == silentRetransmissions && e.CreatedAt.Elapsed(e.LastProgress) < newFlowAge {
			t.countFailure(now, e, place.FailedData)
		}
	}
	return t.silent(now, e)
}

// silent reports whether the flow makes no progress while others on its host do.
func (t *Table) silent(now time.Duration, e *table.Entry) bool {
	if e.Retransmissions < silentRetransmissions || e.Retransmissions == table.SeqUnknown || e.State() != table.Established || e.Has(table.ISNMismatch) {
		return false
	}
	since := e.LastProgress.Elapsed(table.TimestampOf(now))
	if since < silentAfter {
		return false
	}
	h := t.hosts.Find(e.Host())
	return h != nil && h.LastAdvance > now-since+silentMargin
}

// observeRedirect keeps the state of a redirect, so that a reused 5-tuple is
// recognized. The flow is counted by the group that holds it.
func (t *Table) observeRedirect(now time.Duration, e *table.Entry, p *flow.Packet) {
	e.LastPacket = table.TimestampOf(now)
	if p.Key.Proto != flow.TCP || p.Opens() {
		return
	}
	t.countRedirect(e, -1)
	switch {
	case p.Flags.Has(flow.RST):
		e.SetState(table.Closed)
	case p.Flags.Has(flow.FIN):
		e.SetState(max(e.State(), table.Closing))
	case e.State() == table.SynSeen:
		e.SetState(table.Established)
	}
	t.countRedirect(e, 1)
}
