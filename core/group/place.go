package group

import (
	"time"

	"egrettack.example/core/admit"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/place"
	"egrettack.example/core/snapshot"
	"egrettack.example/core/table"
)

// refusalCache holds hashes of recently refused SYNs, so that their
// retransmissions are not counted as new demand. The effect of a hash collision
// is only that demand is noted once too often or not at all.
type refusalCache struct {
	lastAdded time.Duration
	hashes    [512]uint64
}

// refusalHash returns a hash that is never 0, which marks an empty place of the
// cache.
func refusalHash(p *flow.Packet) uint64 { return p.Key.Hash(uint64(p.Seq)) | 1 }

func (f *refusalCache) contains(now time.Duration, p *flow.Packet) bool {
	if f.lastAdded == 0 || now-f.lastAdded > admit.ActiveWindow {
		return false
	}
	h := refusalHash(p)
	return f.hashes[h>>55] == h
}

func (f *refusalCache) add(now time.Duration, p *flow.Packet) {
	h := refusalHash(p)
	f.hashes[h>>55], f.lastAdded = h, max(now, 1)
}

// spillLimit is the maximum number of spilled flows per kind of which only SYNs
// have been seen. Without it, a flood that the second group refuses as well
// would leave a redirect for each of its SYNs.
const spillLimit = 1024

// earlySpill is the estimated wait, in multiples of the mean time in a slot,
// from which on a flow is spilled although the group has room. In a queueing
// model of 15 hosts at 85% load, 2 spills 3% of the requests, 1.5 spills 6% and
// 1 spills 17%, all with the same p99.
const earlySpill = 2

// placeNew admits a new flow and chooses its host, spills it to its second
// group, or refuses it. A flow is spilled at most once.
func (t *Table) placeNew(now time.Duration, r *Request, hash table.Hash) Decision {
	p := r.Packet
	kind := t.kinds[r.Kind]
	switch {
	case kind == nil:
		return Decision{Verdict: Drop, Reason: ReasonUnknownAddress}
	case t.flows.Len() >= t.cfg.MaxFlows:
		return t.refuse(p, ReasonTableFull)
	}
	repeated := t.refusals.contains(now, p)
	if !repeated {
		t.admission.RecordDemand(now, r.Kind)
	}
	h, reason := t.chooseHost(now, p.Key, kind, !repeated)
	if r.Op == OpDecide && r.SpillTo != (snapshot.GroupID{}) && t.synRedirects[r.Kind] < spillLimit &&
		(h == nil || t.shouldSpillEarly(kind, h)) {
		t.addRedirect(now, hash, newFlowEntry(p, kind, 0), r.SpillTo)
		return Decision{Verdict: Redirect, Group: r.SpillTo, Reason: reason}
	}
	if h == nil {
		t.refusals.add(now, p)
		return t.refuse(p, reason)
	}
	e := t.addFlow(now, hash, newFlowEntry(p, kind, h.ID))
	e.Seq, e.Retransmissions = p.Seq+1+uint32(p.PayloadLen), 0
	return Decision{Verdict: Forward, Host: h.ID}
}

// shouldSpillEarly reports whether a flow is spilled although this group has
// room. If the wait here is long, the second group is likely to be less busy,
// and the wait saved exceeds the cost of the relay to another domain. The
// number of open spilled flows of the kind is limited to the slots of this
// group, since spilling gains nothing when all groups are overloaded.
func (t *Table) shouldSpillEarly(kind *snapshot.Kind, h *place.Host) bool {
	return kind.Occupies == snapshot.OccupiesSlot && t.openRedirects[kind.ID] < t.hosts.Slots() &&
		h.ExpectedWait(kind.ServiceTime) >= earlySpill*h.TimeInSlot(kind.ServiceTime)
}

// chooseHost returns the host for a new flow of the kind, or nil and the reason
// for the refusal. If record is true, admission control records the refusal.
func (t *Table) chooseHost(now time.Duration, k flow.Key, kind *snapshot.Kind, record bool) (*place.Host, Reason) {
	refusal := t.admission.Check(now, kind.ID)
	if refusal != admit.Admitted {
		if record && refusal != admit.Ceiling {
			t.admission.RecordRefusal(now, kind.ID)
		}
		return nil, t.refusalReason(refusal, kind)
	}
	preferred, _ := defaultHost(k, t.bases.placementList())
	h := t.hosts.Choose(now, kind.Occupies, preferred)
	if h == nil {
		return nil, ReasonConnectionLimit
	}
	reason := ReasonNone
	if kind.Occupies == snapshot.OccupiesSlot {
		reason = t.checkQueue(now, kind, h)
	}
	if reason == ReasonNone {
		return h, reason
	}
	if record {
		t.admission.RecordRefusal(now, kind.ID)
	}
	return nil, reason
}

// checkQueue returns the reason why a request may not wait for a slot of the
// host, or ReasonNone. A kind that borrows capacity during a flood may use free
// slots only: its waiting requests would delay those of the other kinds as long,
// and would use up their guarantees.
func (t *Table) checkQueue(now time.Duration, kind *snapshot.Kind, h *place.Host) Reason {
	wait := h.ExpectedWait(kind.ServiceTime)
	switch {
	case wait <= 0:
	case kind.Deadline > 0 && wait > kind.Deadline:
		return ReasonDeadline
	case t.admission.StarvesOthers(now, kind.ID):
		return ReasonNoSlot
	}
	return ReasonNone
}

// refusalReason translates the result of admission control.
func (t *Table) refusalReason(refusal admit.Decision, kind *snapshot.Kind) Reason {
	capacity, _ := t.hosts.Capacity(kind.Occupies)
	switch {
	case capacity == 0:
		return ReasonNoHost
	case refusal == admit.Full && kind.Occupies == snapshot.OccupiesConnection:
		return ReasonConnectionLimit
	}
	return ReasonNoSlot
}

// refuse returns the decision that refuses a new flow.
func (t *Table) refuse(p *flow.Packet, reason Reason) Decision {
	if p.Key.Proto != flow.TCP {
		return Decision{Verdict: Drop, Reason: ReasonUDPUnavailable}
	}
	return Decision{Verdict: Refuse, Reason: reason, Reset: flow.RefuseSYN(p)}
}

// newFlowEntry returns the entry of a new flow on host h.
func newFlowEntry(p *flow.Packet, kind *snapshot.Kind, h snapshot.HostID) message.Entry {
	return message.Entry{
		Key: p.Key, Host: h, Kind: kind.ID, ISN: p.Seq,
		Established: p.Key.Proto != flow.TCP,
	}
}

// addFlow adds an entry for a flow that has none yet and counts the flow.
func (t *Table) addFlow(now time.Duration, hash table.Hash, m message.Entry) *table.Entry {
	e := t.flows.Add(hash, m.Key)
	t.initEntry(now, e, &m)
	e.SetHost(m.Host)
	t.countFlow(e)
	t.queueCopy(now, e)
	t.notePullChange(e, false)
	return e
}

// initEntry sets the fields that all new entries have in common.
func (t *Table) initEntry(now time.Duration, e *table.Entry, m *message.Entry) {
	e.Kind, e.ISN = m.Kind, m.ISN
	e.Retransmissions = table.SeqUnknown
	e.LastPacket, e.LastProgress = table.TimestampOf(now), table.TimestampOf(now)
	e.CreatedAt = table.TimestampOf(now - m.Age)
	switch {
	case m.Closing:
		e.SetState(table.Closing)
	case m.Established:
		e.SetState(table.Established)
	}
}

// countFlow counts a flow on its host. If the host has left the group, it is kept
// in the host set as one outside the group.
func (t *Table) countFlow(e *table.Entry) {
	if e.State() >= table.Closing {
		return
	}
	h := t.hosts.Find(e.Host())
	if h == nil {
		published := t.cfg.Snapshot.Hosts[e.Host()]
		if published == nil {
			return // the flow is reset at its next packet or by Tick
		}
		h = t.hosts.FindOrAdd(published)
	}
	kind := t.kinds[e.Kind]
	slot := kind != nil && kind.Occupies == snapshot.OccupiesSlot
	e.SetFlags(table.CountedConnection)
	if slot {
		e.SetFlags(table.CountedSlot)
	}
	h.AddFlow(e.Kind, slot)
	if h.Usable() {
		t.adjustUse(e.Kind, 1, slot)
	}
}

// uncountFlow removes a flow from the counts of its host.
func (t *Table) uncountFlow(e *table.Entry) {
	if !e.Has(table.CountedConnection) {
		return
	}
	slot := e.Has(table.CountedSlot)
	e.ClearFlags(table.CountedConnection | table.CountedSlot)
	h := t.hosts.Find(e.Host())
	if h == nil {
		return
	}
	h.RemoveFlow(e.Kind, slot)
	if h.Usable() {
		t.adjustUse(e.Kind, -1, slot)
	}
}

// countRedirect adds n to the redirect counts that apply to the state of e.
func (t *Table) countRedirect(e *table.Entry, n int) {
	if !e.Has(table.Redirected) || e.State() >= table.Closing {
		return
	}
	t.openRedirects[e.Kind] += n
	if e.State() == table.SynSeen {
		t.synRedirects[e.Kind] += n
	}
}

// finishFlow stops counting a flow whose caller has closed it, and records its
// time in the slot.
func (t *Table) finishFlow(now time.Duration, e *table.Entry) {
	if e.Has(table.CountedSlot) && e.State() == table.Established {
		if h := t.hosts.Find(e.Host()); h != nil {
			h.RecordRequest(e.CreatedAt.Elapsed(table.TimestampOf(now)))
		}
	}
	t.uncountFlow(e)
}

// removeFlow ends a flow and deletes its entry.
func (t *Table) removeFlow(e *table.Entry) {
	t.detachFlow(e)
	t.flows.Delete(e.Key())
}

// detachFlow does everything that the removal of an entry requires, except for
// deleting it from the flow table.
func (t *Table) detachFlow(e *table.Entry) {
	t.countRedirect(e, -1)
	t.uncountFlow(e)
	t.queueEnd(e)
	t.notePullChange(e, true)
}
