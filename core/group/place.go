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

// refusals remembers the last refused SYNs, so that their retransmissions are
// not taken for new demand. Collisions only lose or add a mark of demand.
type refusals struct {
	last time.Duration
	syns [512]uint64
}

func refusalHash(p *flow.Packet) uint64 { return p.Key.Hash(uint64(p.Seq)) | 1 }

func (f *refusals) has(now time.Duration, p *flow.Packet) bool {
	if f.last == 0 || now-f.last > admit.ActiveWindow {
		return false
	}
	h := refusalHash(p)
	return f.syns[h>>55] == h
}

func (f *refusals) add(now time.Duration, p *flow.Packet) {
	h := refusalHash(p)
	f.syns[h>>55], f.last = h, max(now, 1)
}

// spillLimit bounds the spilled flows of a kind of which only SYNs have been
// seen. A flood that the second group refuses as well would otherwise leave a
// redirect for each of its SYNs.
const spillLimit = 1024

// earlySpill is the wait, in times in a slot, from which a flow is spilled
// although the group has room. In the model of 15 hosts at 85% load it spills
// 3% of the requests; 1.5 spills 6% and 1 spills 17% for the same p99.
const earlySpill = 2

// placeNew admits a new flow and chooses its host, or spills it once, or refuses it.
func (t *Table) placeNew(now time.Duration, r *Request, hash table.Hash) Decision {
	p := r.Packet
	kind := t.kinds[r.Kind]
	switch {
	case kind == nil:
		return Decision{Verdict: Drop, Reason: ReasonUnknownAddress}
	case t.flows.Len() >= t.cfg.MaxFlows:
		return t.refuse(p, ReasonTableFull)
	}
	repeated := t.refused.has(now, p)
	if !repeated {
		t.admit.RecordDemand(now, r.Kind)
	}
	h, reason := t.room(now, p.Key, kind, !repeated)
	if r.Op == OpDecide && r.SpillTo != (snapshot.GroupID{}) && t.spills[r.Kind] < spillLimit &&
		(h == nil || t.spillsEarly(kind, h)) {
		t.addRedirect(now, hash, opening(p, kind, 0), r.SpillTo)
		return Decision{Verdict: Redirect, Group: r.SpillTo, Reason: reason}
	}
	if h == nil {
		t.refused.add(now, p)
		return t.refuse(p, reason)
	}
	e := t.add(now, hash, opening(p, kind, h.ID))
	e.Seq, e.Retransmissions = p.Seq+1+uint32(p.PayloadLen), 0
	return Decision{Verdict: Forward, Host: h.ID}
}

// spillsEarly reports whether a flow goes to its second group although this
// one has room: when it would wait here for long, the second group is likely
// to be less busy by more than the relay to another domain costs. At most as
// many flows of the kind as the group has slots are away at once, since under
// overload of all groups spilling gains nothing.
func (t *Table) spillsEarly(kind *snapshot.Kind, h *place.Host) bool {
	return kind.Occupies == snapshot.OccupiesSlot && t.away[kind.ID] < t.hosts.Slots() &&
		h.ExpectedWait(kind.ServiceTime) >= earlySpill*h.TimeInSlot(kind.ServiceTime)
}

// room returns the host for a new flow of the kind, or why there is none.
func (t *Table) room(now time.Duration, k flow.Key, kind *snapshot.Kind, note bool) (*place.Host, Reason) {
	refusal := t.admit.Check(now, kind.ID)
	if refusal != admit.Admitted {
		if note && refusal != admit.Ceiling {
			t.admit.RecordRefusal(now, kind.ID)
		}
		return nil, t.reason(refusal, kind)
	}
	preferred, _ := defaultHost(k, t.base.preferred())
	h := t.hosts.Choose(now, kind.Occupies, preferred)
	if h == nil {
		return nil, ReasonConnections
	}
	reason := ReasonNone
	if kind.Occupies == snapshot.OccupiesSlot {
		reason = t.queues(now, kind, h)
	}
	if reason == ReasonNone {
		return h, reason
	}
	if note {
		t.admit.RecordRefusal(now, kind.ID)
	}
	return nil, reason
}

// queues tells why a request may not wait for a slot of the host. A kind in
// flood that borrows takes free slots only: its waiting requests would make
// those of the other kinds wait as long, and use up their guarantees.
func (t *Table) queues(now time.Duration, kind *snapshot.Kind, h *place.Host) Reason {
	wait := h.ExpectedWait(kind.ServiceTime)
	switch {
	case wait <= 0:
	case kind.Deadline > 0 && wait > kind.Deadline:
		return ReasonDeadline
	case t.admit.StarvesOthers(now, kind.ID):
		return ReasonNoSlot
	}
	return ReasonNone
}

func (t *Table) reason(refusal admit.Decision, kind *snapshot.Kind) Reason {
	capacity, _ := t.hosts.Capacity(kind.Occupies)
	switch {
	case capacity == 0:
		return ReasonNoHost
	case refusal == admit.Full && kind.Occupies == snapshot.OccupiesConnection:
		return ReasonConnections
	}
	return ReasonNoSlot
}

func (t *Table) refuse(p *flow.Packet, reason Reason) Decision {
	if p.Key.Proto != flow.TCP {
		return Decision{Verdict: Drop, Reason: ReasonUDPUnavailable}
	}
	return Decision{Verdict: Refuse, Reason: reason, Reset: flow.RefuseSYN(p)}
}

func opening(p *flow.Packet, kind *snapshot.Kind, h snapshot.HostID) message.Entry {
	return message.Entry{
		Key: p.Key, Host: h, Kind: kind.ID, ISN: p.Seq,
		Established: p.Key.Proto != flow.TCP,
	}
}

// add inserts an entry that is not in the table yet and counts it.
func (t *Table) add(now time.Duration, hash table.Hash, m message.Entry) *table.Entry {
	e := t.flows.Add(hash, m.Key)
	t.fill(now, e, &m)
	e.SetHost(m.Host)
	t.count(e)
	t.queueCopy(now, e)
	t.notePulled(e, false)
	return e
}

func (t *Table) fill(now time.Duration, e *table.Entry, m *message.Entry) {
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

// count counts a flow on its host. A host that has left the group is kept for that.
func (t *Table) count(e *table.Entry) {
	if e.State() >= table.Closing {
		return
	}
	h := t.hosts.Find(e.Host())
	if h == nil {
		published := t.cfg.Snapshot.Hosts[e.Host()]
		if published == nil {
			return // the flow is reset at the next packet or sweep
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
		t.countUse(e.Kind, 1, slot)
	}
}

// end stops counting a flow on its host.
func (t *Table) end(e *table.Entry) {
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
		t.countUse(e.Kind, -1, slot)
	}
}

// countRedirect counts a redirect in or out, as its state is.
func (t *Table) countRedirect(e *table.Entry, n int) {
	if !e.Has(table.Redirected) || e.State() >= table.Closing {
		return
	}
	t.away[e.Kind] += n
	if e.State() == table.SynSeen {
		t.spills[e.Kind] += n
	}
}

// finish ends a flow whose caller has closed it.
func (t *Table) finish(now time.Duration, e *table.Entry) {
	if e.Has(table.CountedSlot) && e.State() == table.Established {
		if h := t.hosts.Find(e.Host()); h != nil {
			h.RecordRequest(e.CreatedAt.Elapsed(table.TimestampOf(now)))
		}
	}
	t.end(e)
}

// remove ends a flow and takes its entry out of the table.
func (t *Table) remove(e *table.Entry) {
	t.drop(e)
	t.flows.Delete(e.Key())
}

// drop does what the end of an entry needs but for taking it out of the table.
func (t *Table) drop(e *table.Entry) {
	t.countRedirect(e, -1)
	t.end(e)
	t.queueEnd(e)
	t.notePulled(e, true)
}
