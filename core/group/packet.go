package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/core/table"
)

// Decide returns the decision on one packet and updates the flow's entry.
func (t *Table) Decide(now time.Duration, r *Request) (d Decision) {
	p := r.Packet
	hash := table.HashOf(p.Key)
	if e := t.flows.FindHash(hash, p.Key); e != nil {
		if r.EstablishedOnly && e.State() == table.SynSeen || r.OpenOnly && e.State() >= table.Closing {
			return Decision{Verdict: Miss}
		}
		if !t.startsNewFlow(now, e, p) {
			t.handleKnown(now, e, r, &d)
			return d
		}
		t.removeFlow(e)
	}
	return t.handleUnknown(now, r, hash)
}

// startsNewFlow reports whether a packet starts a new flow on the 5-tuple of e.
// For UDP any packet does once the flow is over: the caller cannot be told of
// the end, and only idempotent kinds are allowed over UDP.
func (t *Table) startsNewFlow(now time.Duration, e *table.Entry, p *flow.Packet) bool {
	if p.Key.Proto == flow.TCP && (!p.OpensConnection() || p.Seq == e.ISN) {
		return false
	}
	return t.flowOver(now, e)
}

// flowOver reports whether, as far as this table can tell, the flow of e is over.
func (t *Table) flowOver(now time.Duration, e *table.Entry) bool {
	return e.State() >= table.Closing || e.LastPacket.Elapsed(table.TimestampOf(now)) > t.idleTimeout(e) ||
		!e.Has(table.Redirected) && t.hostGone(e.Host())
}

// handleKnown handles a packet of a flow that has an entry.
func (t *Table) handleKnown(now time.Duration, e *table.Entry, r *Request, d *Decision) {
	d.Verdict = Forward
	if e.Has(table.Redirected) {
		d.Verdict, d.Group = Redirect, e.Redirect(t.cfg.Group.ID.Service)
		t.observeRedirect(now, e, r.Packet)
	} else {
		d.Host = e.Host()
		if t.hostGone(d.Host) {
			*d = t.handleHostGone(now, e, r.Packet)
			return
		}
		if t.observe(now, e, r.Packet) {
			t.removeFlow(e)
			*d = Decision{Verdict: Abort, Reason: ReasonSilent, Reset: flow.Abort(r.Packet)}
			return
		}
	}
	if r.Op == OpLookup {
		d.Entry = t.exportEntry(now, e)
	}
}

// handleHostGone ends a flow whose host is no longer published. A SYN is dropped
// rather than refused, since the host may have received an earlier SYN that
// carried a request (TCP fast open). The entry then expires by its idle time.
func (t *Table) handleHostGone(now time.Duration, e *table.Entry, p *flow.Packet) Decision {
	d := Decision{Verdict: Drop, Reason: ReasonHostGone}
	switch {
	case !p.OpensConnection() && p.Flags.Has(flow.RST):
		t.removeFlow(e)
	case !p.OpensConnection():
		d.Verdict, d.Reset = Abort, flow.Abort(p)
		t.removeFlow(e)
	}
	return d
}

// handleUnknown handles a packet of a flow without an entry.
func (t *Table) handleUnknown(now time.Duration, r *Request, hash table.Hash) Decision {
	p := r.Packet
	switch {
	case r.Op == OpLookup:
		return Decision{Verdict: Miss}
	case r.Op == OpDefault && !p.OpensConnection():
		return t.forwardToDefault(now, r, hash)
	case t.pull.done:
		return Decision{Verdict: Miss, Reason: ReasonHandover}
	case p.OpensConnection() || p.Key.Proto == flow.UDP:
		return t.placeNew(now, r, hash)
	}
	return Decision{Verdict: Miss}
}

// forwardToDefault forwards a packet of a flow for which no instance has an
// entry to its default host, and adds an entry for the flow. The default host
// is taken from the base list with which the table was created, since only
// flows older than the table can lack an entry.
func (t *Table) forwardToDefault(now time.Duration, r *Request, hash table.Hash) Decision {
	p := r.Packet
	if r.NoDefault {
		return Decision{Verdict: Drop, Reason: ReasonMoved}
	}
	h, ok := defaultHost(p.Key, t.bases.initial)
	if !ok || t.hostGone(h) {
		if p.Key.Proto != flow.TCP || p.Flags.Has(flow.RST) {
			return Decision{Verdict: Drop, Reason: ReasonHostGone}
		}
		return Decision{Verdict: Abort, Reason: ReasonHostGone, Reset: flow.Abort(p)}
	}
	if !p.Flags.Has(flow.RST) && t.flows.Len() < t.cfg.MaxFlows {
		e := t.addFlow(now, hash, message.Entry{Key: p.Key, Host: h, Kind: r.Kind, Established: true})
		t.observe(now, e, p)
	}
	return Decision{Verdict: Forward, Host: h}
}

// Learn adds an entry, or a redirect, for a flow that a queried instance has
// found in its tables.
func (t *Table) Learn(now time.Duration, l *message.Learn) {
	hash := table.HashOf(l.Entry.Key)
	if t.flows.FindHash(hash, l.Entry.Key) != nil || t.flows.Len() >= t.cfg.MaxFlows {
		return
	}
	if l.HeldBy != t.cfg.Group.ID {
		t.addRedirect(now, hash, l.Entry, l.HeldBy)
		return
	}
	t.addFlow(now, hash, l.Entry)
}

// addRedirect adds a redirect for a flow whose entry is in another group.
func (t *Table) addRedirect(now time.Duration, hash table.Hash, m message.Entry, to snapshot.GroupID) {
	e := t.flows.Add(hash, m.Key)
	t.initEntry(now, e, &m)
	e.SetRedirect(to)
	t.countRedirect(e, 1)
}
