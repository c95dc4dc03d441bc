package engine

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// MaxHops is the largest number of relays of one packet: to the owner, to two
// further candidates, and back to the owner.
const MaxHops = 4

// maxTurns bounds the decisions on one packet within this instance, in case
// groups that it owns redirect to one another.
const maxTurns = 8

// work is one packet on its way through this instance.
type work struct {
	now    time.Duration
	p      *flow.Packet
	v      *member.View
	bind   snapshot.Binding
	owners []*member.Ownership // of the service's groups
	// home is the flow's first group, first the first one that can be
	// reached and second the next that can be; indexes into owners or -1.
	home, first, second int32
	hops                uint8
	turns               uint8
	stale               bool
	// asker is the owner that looks for the flow's entry, own the group that
	// it does so for, and next the instance to be asked after this one.
	asker, next snapshot.InstanceID
	own         snapshot.GroupID
}

func endpoint(k flow.Key) snapshot.Endpoint {
	return snapshot.Endpoint{Addr: k.Dst, Port: k.DstPort, Proto: k.Proto}
}

// opens reports whether the packet may begin a flow.
func (w *work) opens() bool { return w.p.Key.Proto == flow.UDP || w.p.OpensConnection() }

// route ranks the groups of the flow.
func (w *work) route() {
	w.owners = w.v.ServiceOwners(w.bind.Service.ID)
	w.home, w.first, w.second = -1, -1, -1
	for i, r := range w.bind.Service.Rank(w.p.Key) {
		if r < 0 {
			return
		}
		if i == 0 {
			w.home = r
		}
		switch {
		case w.owners[r].Target == nil:
		case w.first < 0:
			w.first = r
		case w.second < 0:
			w.second = r
		}
	}
}

// other is the flow's best reachable group beside g, or the zero GroupID.
func (w *work) other(g snapshot.GroupID) snapshot.GroupID {
	for _, r := range [...]int32{w.first, w.second} {
		if r >= 0 && w.owners[r].ID != g {
			return w.owners[r].ID
		}
	}
	return snapshot.GroupID{}
}

func drop(r group.Reason) Action { return Action{Verdict: Drop, Reason: r} }

// stale reports whether this process was paused and has not caught up. The
// time since the last tick shows a pause even before the next one.
func (e *Engine) stale(now time.Duration, v *member.View) bool {
	return v.Stale || now-time.Duration(e.lastTick.Load()) > StaleGap
}

// Packet decides on one packet. relay is nil for packets from the fabric.
func (e *Engine) Packet(now time.Duration, p *flow.Packet, relay *Relay) Action {
	v := e.view.Load()
	if v == nil {
		return drop(group.ReasonStale)
	}
	w := work{now: now, p: p, v: v, stale: e.stale(now, v)}
	newer := relay != nil && relay.Version > v.Snapshot.Version
	if newer {
		e.want(relay.Version)
	}
	bind, ok := v.Lookup(endpoint(p.Key))
	switch {
	case !ok && newer:
		return drop(group.ReasonVersion)
	case !ok:
		return drop(group.ReasonUnknownAddress)
	}
	w.bind = bind
	w.route()
	if relay == nil {
		return e.receive(&w)
	}
	w.hops = relay.Hops
	return e.relayed(&w, relay)
}

// want notes that a newer version exists.
func (e *Engine) want(version snapshot.Version) {
	for {
		old := e.wanted.Load()
		if uint64(version) <= old || e.wanted.CompareAndSwap(old, uint64(version)) {
			return
		}
	}
}

// receive sends a packet to the flow's first reachable group.
func (e *Engine) receive(w *work) Action {
	switch {
	case w.first < 0:
		return drop(group.ReasonUnreachable)
	case w.opens() && !w.v.Propagated(w.now, w.bind.MovedIn):
		// An instance that does not know of the move would take the flow for
		// one of the old service. The caller's retransmission finds the move
		// known everywhere.
		return drop(group.ReasonMoved)
	case w.first != w.home && !w.opens():
		// The flow's own group may hold it, so only an existing entry counts.
		return e.toGroup(w, w.owners[w.first].ID, group.OpLookup)
	}
	return e.toGroup(w, w.owners[w.first].ID, group.OpDecide)
}

// relayed handles a packet that another instance has relayed.
func (e *Engine) relayed(w *work, r *Relay) Action {
	if r.Service != w.bind.Service.ID {
		if r.Version > w.v.Snapshot.Version {
			return drop(group.ReasonVersion)
		}
		return e.reroute(w, r.Group)
	}
	switch r.Ask {
	case group.OpLookup:
		w.asker, w.next, w.own = r.Requester, r.NextCandidate, r.Group
		return e.asHolder(w)
	case group.OpDefault:
		return e.asDefault(w, r.Group)
	}
	if w.v.Owners[r.Group] == nil {
		if r.Version > w.v.Snapshot.Version {
			return drop(group.ReasonVersion)
		}
		return e.reroute(w, r.Group)
	}
	if r.Ask == group.OpDecide && r.Version < w.v.Snapshot.Version && w.first >= 0 && w.owners[w.first].ID != r.Group {
		return e.reroute(w, r.Group)
	}
	return e.toGroup(w, r.Group, r.Ask)
}

// reroute handles a packet that an instance with an older snapshot has sent
// here. A flow that the group holds stays there; for others the newer snapshot
// decides.
func (e *Engine) reroute(w *work, g snapshot.GroupID) Action {
	if a, ok := e.held(w, g); ok {
		return a
	}
	return e.receive(w)
}

// toGroup decides on a packet if this instance may do so for the group, and
// relays it otherwise.
func (e *Engine) toGroup(w *work, id snapshot.GroupID, ask group.Op) Action {
	if w.turns++; w.turns > maxTurns {
		return drop(group.ReasonHops)
	}
	l := e.local(id)
	if l == nil {
		return e.relay(w, id, ask, w.target(id))
	}
	req := e.request(w, id, ask)
	l.mu.Lock()
	role, next, settled, source := l.role, l.next, l.settled, l.pull.source
	var d group.Decision
	switch {
	case role == roleOwner && !w.stale:
		d = l.table.Decide(w.now, &req)
	case (role == roleOwner || role == roleHandedOver && !settled) && !w.opens():
		// Forwarding along an entry decides nothing, since its host never changes.
		// The new owner has the entries of ended flows too, and may have placed
		// a new flow on the 5-tuple.
		req.Op, req.EstablishedOnly = group.OpLookup, w.stale
		req.OpenOnly = role == roleHandedOver && w.v.Alive(next)
		d = l.table.Decide(w.now, &req)
	default:
		d = group.Decision{Verdict: group.Miss}
	}
	l.mu.Unlock()
	if role == roleOwner && !w.stale {
		return e.apply(w, l, d, ask)
	}
	if d.Verdict == group.Forward {
		return e.forward(w, id, d, ask)
	}
	switch role {
	case roleHandedOver:
		if w.v.Alive(next) {
			return e.relay(w, id, ask, w.v.Instance(next))
		}
	case rolePulling:
		if w.v.Alive(source) {
			return e.relay(w, id, ask, w.v.Instance(source))
		}
	}
	return e.relay(w, id, ask, w.target(id))
}

func (e *Engine) request(w *work, id snapshot.GroupID, ask group.Op) group.Request {
	req := group.Request{
		Packet: w.p, Kind: w.bind.Kind.ID, Op: ask, NoDefault: w.bind.MovedIn != 0,
		EstablishedOnly: ask == group.OpLookup && (w.stale || id.Service != w.bind.Service.ID),
	}
	if ask == group.OpDecide {
		req.SpillTo = w.other(id)
	}
	return req
}

// target is where packets of a group are relayed to: its claimant, or the
// first-ranked instance, or the one before when this is that instance.
func (w *work) target(id snapshot.GroupID) *snapshot.Instance {
	o := w.v.Owners[id]
	if o == nil {
		return nil
	}
	if o.Target != nil && o.Target.ID != w.v.Self {
		return o.Target
	}
	if o.PreviousClaimant != 0 && o.PreviousClaimant != w.v.Self && w.v.Alive(o.PreviousClaimant) {
		return w.v.Instance(o.PreviousClaimant)
	}
	if !w.stale {
		return nil
	}
	for _, id := range o.Ranked {
		if id != 0 && id != w.v.Self {
			return w.v.Instance(id)
		}
	}
	return nil
}

// relay sends the packet to another instance.
func (e *Engine) relay(w *work, id snapshot.GroupID, ask group.Op, to *snapshot.Instance) Action {
	switch {
	case to == nil && w.stale:
		return drop(group.ReasonStale)
	case to == nil || to.ID == w.v.Self:
		return drop(group.ReasonHandover)
	case w.hops >= MaxHops:
		return drop(group.ReasonHops)
	}
	return Action{Verdict: ToPeer, Peer: to, Relay: Relay{
		Ask: ask, Hops: w.hops + 1, Group: id, Requester: w.asker, NextCandidate: w.next,
		Service: w.bind.Service.ID, Version: w.v.Snapshot.Version,
	}}
}

// apply turns the decision of an owned group into an action.
func (e *Engine) apply(w *work, l *local, d group.Decision, ask group.Op) Action {
	switch d.Verdict {
	case group.Forward:
		return e.forward(w, l.id, d, ask)
	case group.Redirect:
		return e.redirect(w, d)
	case group.Refuse, group.Abort:
		return Action{Verdict: ToCaller, Reason: d.Reason, Reset: d.Reset}
	case group.Miss:
		if ask == group.OpDecide {
			return e.lookUp(w, l)
		}
		return e.missed(w, ask)
	}
	return drop(d.Reason)
}

func (e *Engine) missed(w *work, ask group.Op) Action {
	switch {
	case ask == group.OpLookup && w.bind.MovedIn != 0:
		return drop(group.ReasonMoved)
	case ask == group.OpLookup:
		return drop(group.ReasonUnreachable)
	}
	return drop(group.ReasonHandover)
}

// forward sends the packet to a host. The host's service must be that of the
// group, and for a new flow that of the destination.
func (e *Engine) forward(w *work, id snapshot.GroupID, d group.Decision, ask group.Op) Action {
	h := w.v.Snapshot.Hosts[d.Host]
	switch {
	case h == nil:
		return drop(group.ReasonHostGone)
	case h.Service != id.Service || w.p.OpensConnection() && h.Service != w.bind.Service.ID:
		return drop(group.ReasonMoved)
	}
	a := Action{Verdict: ToHost, Host: h}
	if ask == group.OpLookup && w.asker != 0 && w.asker != w.v.Self && id.Service == w.bind.Service.ID {
		a.LearnTo = w.v.Instance(w.asker)
		a.Learn = message.Learn{From: w.v.Self, Group: w.own, Entry: d.Entry, HeldBy: id}
	}
	return a
}

// redirect follows a redirect to the group that holds the flow.
func (e *Engine) redirect(w *work, d group.Decision) Action {
	o := w.v.Owners[d.Group]
	if o == nil || o.Target == nil {
		return drop(group.ReasonUnreachable)
	}
	if w.p.OpensConnection() {
		return e.toGroup(w, d.Group, group.OpSpill)
	}
	return e.toGroup(w, d.Group, group.OpDecide)
}
