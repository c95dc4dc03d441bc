package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/table"
)

const (
	// synCountedFor is how long a flow of which only SYNs have been seen counts
	// as in progress. If the host is idle, the handshake takes a few milliseconds.
	synCountedFor = 10 * time.Second
	// synRetention is how long the entry of such a flow is kept, so that a
	// retransmitted SYN goes to the same host and is never refused. SYNs are
	// retransmitted after 1, 3, 7, 15, 31 and 63 s, so the longest gap is 32 s.
	synRetention = 40 * time.Second
	// closingIdle leaves time for a caller that has closed its side of the
	// connection to receive the rest of the response.
	closingIdle = time.Minute
	// closedIdle covers packets that arrive after the end of the flow.
	closedIdle = 2 * time.Second
	// slotReleaseIdle is how long no packet of a request must have been seen
	// before its slot may be released because of the host's load report. It is
	// longer than the usual delay of load reports.
	slotReleaseIdle = 5 * time.Second
	// defaultIdle is used for kinds that are no longer configured.
	defaultIdle = 5 * time.Minute

	// Each Tick visits 1/sweepFraction of the table, so that with 20 ticks per
	// second every entry is visited about every 10 s.
	sweepFraction = 200
	sweepMin      = 64
	sweepMax      = 8192 // slots; limits the duration of one call
	// sweepSpeedup multiplies the number of entries visited while the report of
	// a host shows fewer requests in progress than are counted on it.
	sweepSpeedup = 10
)

// idleTimeout returns how long an entry is kept without packets of its flow.
func (t *Table) idleTimeout(e *table.Entry) time.Duration {
	limit := defaultIdle
	if k := t.kinds[e.Kind]; k != nil && k.IdleTimeout > 0 {
		limit = k.IdleTimeout
	}
	switch e.State() {
	case table.SynSeen:
		return synRetention
	case table.Closing:
		return min(limit, closingIdle)
	case table.Closed:
		return min(limit, closedIdle)
	}
	return limit
}

// Tick expires entries, of which it visits a bounded number per call, and ends
// the ejection of hosts. It returns resets for silent flows and for flows whose
// host is no longer published.
func (t *Table) Tick(now time.Duration) []flow.Reset {
	if t.hosts.Tick(now) {
		t.recount()
	}
	t.resets = nil
	n := max(sweepMin, t.flows.Capacity()/sweepFraction)
	if t.hosts.AnyOvercounted(now) {
		n *= sweepSpeedup
	}
	n = min(n, sweepMax)
	stamp := table.TimestampOf(now)
	t.flows.Sweep(n, func(e *table.Entry) bool { return t.expireEntry(now, stamp, e) })
	t.updateCapacity()
	return t.resets
}

// expireEntry reports whether the entry is to be deleted, and does everything
// else that its expiry requires.
func (t *Table) expireEntry(now time.Duration, stamp table.Timestamp, e *table.Entry) bool {
	switch {
	case e.LastPacket.Elapsed(stamp) > t.idleTimeout(e):
	case e.Has(table.Redirected):
		return false
	case e.State() == table.SynSeen:
		if t.hostGone(e.Host()) || e.LastPacket.Elapsed(stamp) > synCountedFor {
			t.uncountFlow(e)
		}
		return false
	case t.hostGone(e.Host()), t.silent(now, e):
		t.queueReset(e)
	case e.Has(table.CountedSlot) && e.LastPacket.Elapsed(stamp) > slotReleaseIdle:
		t.releaseOvercounted(now, e)
		return false
	default:
		return false
	}
	t.detachFlow(e)
	return true
}

// releaseOvercounted stops counting a request if its host reports fewer requests in
// progress than are counted on it. The host has completed or reset the request,
// but the caller's packets that show this did not pass through this instance.
// During a partition this happens to many requests at a time.
func (t *Table) releaseOvercounted(now time.Duration, e *table.Entry) {
	if h := t.hosts.Find(e.Host()); h != nil && h.Overcounted(now) {
		h.RecordRelease()
		t.uncountFlow(e)
	}
}

// queueReset adds a reset to be sent to the caller, which may be waiting for
// data and might otherwise send no packet for a long time.
func (t *Table) queueReset(e *table.Entry) {
	if e.Proto() != flow.TCP || e.State() == table.Closed || e.Retransmissions == table.SeqUnknown {
		return
	}
	t.resets = append(t.resets, flow.Reset{Key: e.Key(), Seq: e.Ack})
}
