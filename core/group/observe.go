package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/place"
	"egrettack.example/core/table"
)

const (
	// A flow is silent if its caller has sent at least silentRetransmissions
	// retransmissions and it has made no progress for silentAfter.
	// Retransmission time-outs double from about 200 ms, so the third
	// retransmission comes at 1.4 s and the fourth at 3 s.
	silentRetransmissions = 3
	silentAfter           = 2 * time.Second
	// silentMargin is by how much the progress of another flow on the host must
	// be later than the last progress of the silent flow, so that no flow is
	// reset when all flows of a host stall for a short time.
	silentMargin = time.Second
	// reorderWindow is the time within which a segment may arrive after a later one
	// without being a retransmission: they take different ways through the
	// instances. It is below the shortest usual retransmission time-out of 200 ms.
	reorderWindow = 100 * time.Millisecond
	// resetWindow is by how much the sequence number of a RST may differ from
	// the highest one that the caller has sent. It is about the largest TCP
	// window in use. A forged RST passes with a probability of 1 in 2,000.
	resetWindow = 1 << 20
	// newFlowAge is the age up to which a flow that stalls is counted as a failed
	// new flow of its host.
	newFlowAge = 2 * time.Second
)

// seqAfter reports whether sequence number a is after b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// observe updates the state of the flow and of its host from a packet. It
// reports whether the flow is silent.
func (t *Table) observe(now time.Duration, e *table.Entry, p *flow.Packet) bool {
	stamp := table.TimestampOf(now)
	quiet := e.LastPacket.Elapsed(stamp)
	e.LastPacket = stamp
	if p.Key.Proto != flow.TCP {
		return false
	}
	switch {
	case p.OpensConnection():
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
		t.countFlow(e) // its slot was released because of the host's load report
	}
	if p.Flags.Has(flow.FIN) && e.State() < table.Closing {
		t.finishFlow(now, e)
		e.SetState(table.Closing)
		t.notePullChange(e, false)
	}
	return t.observeData(now, quiet, e, p)
}

// resetPlausible reports whether the sequence number of a RST may come from the
// caller. The host ignores a forged RST, so it must not end the flow here.
func resetPlausible(e *table.Entry, seq uint32) bool {
	d := int32(seq - e.Seq)
	return e.Retransmissions == table.SeqUnknown || e.Has(table.ISNMismatch) || -resetWindow < d && d < resetWindow
}

// observeSYN counts a retransmitted SYN as a failure of the host, once per flow.
func (t *Table) observeSYN(now time.Duration, e *table.Entry, p *flow.Packet) {
	if p.Seq != e.ISN {
		e.SetFlags(table.ISNMismatch)
		return
	}
	if e.State() == table.SynSeen {
		t.countFailure(now, e, place.FailedHandshake)
	}
}

// countFailure counts the flow as a failed new flow of its host, once per flow.
func (t *Table) countFailure(now time.Duration, e *table.Entry, f place.Failure) {
	if e.Has(table.CountedFailure) {
		return
	}
	e.SetFlags(table.CountedFailure)
	if h := t.hosts.Find(e.Host()); h != nil && t.hosts.RecordFailure(now, h, f) {
		t.recount()
	}
}

// observeACK updates the state of the flow from an acknowledgement number.
func (t *Table) observeACK(now time.Duration, e *table.Entry, p *flow.Packet) {
	synced := e.Retransmissions != table.SeqUnknown
	switch {
	case e.State() == table.SynSeen:
		e.SetState(table.Established)
		if !e.Has(table.CountedConnection) {
			t.countFlow(e)
		}
		if h := t.hosts.Find(e.Host()); h != nil {
			t.hosts.RecordHandshake(now, h)
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
			t.hosts.RecordProgress(now, h)
		}
	default:
		return
	}
	e.Retransmissions = 0
	e.LastProgress = table.TimestampOf(now)
}

// observeData distinguishes new data from retransmissions and reports whether
// the flow is silent. New data shows that the host's acknowledgements, which do
// not pass through this instance, have opened the window. A segment of one byte
// may be a keep-alive, which repeats sequence numbers by design. quiet is the time
// since the previous packet of the flow: a segment below the highest one that
// follows soon may have been overtaken, or be sent on a host's selective
// acknowledgement, and is no sign of silence.
func (t *Table) observeData(now, quiet time.Duration, e *table.Entry, p *flow.Packet) bool {
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
	case end != e.Seq && quiet < reorderWindow:
	case p.PayloadLen > 1 && e.Retransmissions < table.SeqUnknown-1:
		e.Retransmissions++
		if e.Retransmissions == silentRetransmissions && e.CreatedAt.Elapsed(e.LastProgress) < newFlowAge {
			t.countFailure(now, e, place.FailedData)
		}
	}
	return t.silent(now, e)
}

// silent reports whether the flow makes no progress while other flows of its
// host do.
func (t *Table) silent(now time.Duration, e *table.Entry) bool {
	if e.Retransmissions < silentRetransmissions || e.Retransmissions == table.SeqUnknown || e.State() != table.Established || e.Has(table.ISNMismatch) {
		return false
	}
	since := e.LastProgress.Elapsed(table.TimestampOf(now))
	if since < silentAfter {
		return false
	}
	h := t.hosts.Find(e.Host())
	return h != nil && h.LastProgress > now-since+silentMargin
}

// observeRedirect updates the state of a redirect, so that reuse of the 5-tuple
// is detected. The flow itself is counted by the group that holds its entry.
func (t *Table) observeRedirect(now time.Duration, e *table.Entry, p *flow.Packet) {
	e.LastPacket = table.TimestampOf(now)
	if p.Key.Proto != flow.TCP || p.OpensConnection() {
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
