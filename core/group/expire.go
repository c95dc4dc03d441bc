package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/table"
)

const (
	// synCountedFor is how long a flow counts as in progress whose caller has sent
	// SYNs only. The caller of an idle host needs a few milliseconds.
	synCountedFor = 10 * time.Second
	// synRetention is how long its entry is kept, so that a retransmitted SYN goes
	// to the same host and is never refused. SYNs are repeated after 1, 3, 7,
	// 15, 31 and 63 seconds, the last gap being 32 s.
	synRetention = 40 * time.Second
	// closingIdle leaves a caller that has closed its side time to get the
	// rest of its answer.
	closingIdle = time.Minute
	// closedIdle covers packets that arrive late, after the end of the flow.
	closedIdle = 2 * time.Second
	// slotReleaseIdle is how long a request must have been without packets of its
	// caller before its slot is released on the host's report, longer than the
	// usual lag of load reports.
	slotReleaseIdle = 5 * time.Second
	// defaultIdle is used for kinds that are no longer configured.
	defaultIdle = 5 * time.Minute

	// Each Tick visits a part of the table, so that at 20 ticks a second
	// every entry is visited about every 10 s.
	sweepFraction = 200
	sweepMin      = 64
	sweepMax      = 8192 // slots; bounds the pause of one call
	// sweepSpeedup is how many times faster entries are visited while a host
	// denies requests that are counted on it.
	sweepSpeedup = 10
)

// idleTimeout returns how long the flow may go without packets.
func (t *Table) idleTimeout(e *table.Entry) time.Duration {
	limit := defaultIdle
	if k := t.kinds[e.Kind]; k != nil && k.Idle > 0 {
		limit = k.Idle
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

// Tick expires a bounded number of entries, ejects and readmits hosts, and
// returns resets for silent flows and for those whose host has gone.
func (t *Table) Tick(now time.Duration) []flow.Reset {
	if t.hosts.Tick(now) {
		t.recount()
	}
	t.resets = nil
	n := max(sweepMin, t.flows.Capacity()/sweepFraction)
	if t.hosts.Denied(now) {
		n *= sweepSpeedup
	}
	n = min(n, sweepMax)
	stamp := table.TimestampOf(now)
	t.flows.Sweep(n, func(e *table.Entry) bool { return t.expireEntry(now, stamp, e) })
	t.updateCapacity()
	return t.resets
}

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
		t.releaseDenied(now, e)
		return false
	default:
		return false
	}
	t.detachFlow(e)
	return true
}

// releaseDenied stops counting a request that its host says it does not run.
// The host has answered and closed it, or reset it, without the caller's side
// of that passing here; during a partition this happens to many at a time.
func (t *Table) releaseDenied(now time.Duration, e *table.Entry) {
	if h := t.hosts.Find(e.Host()); h != nil && h.Denies(now) {
		h.Release()
		t.uncountFlow(e)
	}
}

// queueReset resets the flow towards its caller, which may be waiting for
// data and would send nothing for a long time.
func (t *Table) queueReset(e *table.Entry) {
	if e.Proto() != flow.TCP || e.State() == table.Closed || e.Retransmissions == table.SeqUnknown {
		return
	}
	t.resets = append(t.resets, flow.Reset{Key: e.Key(), Seq: e.Ack})
}
