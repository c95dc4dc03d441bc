package engine

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// MaxHops is the maximum number of relays of one packet: to the owner, to two
// other candidates, and back to the owner.
const MaxHops = 4

// maxDecisions bounds the decisions on one packet within this instance, in case
// groups that it owns redirect to each other.
const maxDecisions = 8

// packetWork is the state of processing one packet in this instance.
type packetWork struct {
	now    time.Duration
	p      *flow.Packet
	v      *member.View
	bind   snapshot.Binding
	owners []*member.Ownership // ownerships of the service's groups
	// topRanked is the flow's first-ranked group, reachable or not; firstReachable
	// and secondReachable are the two best-ranked groups that can be reached. They
	// are indexes into owners, or -1.
	topRanked, firstReachable, secondReachable int32
	hops                                       uint8
	decisions                                  uint8
	stale                                      bool
	// requester is the owner that is looking for the flow's entry, requesterGroup
	// the group on whose behalf it does so, and nextCandidate the instance to ask
	// after this one.
	requester, nextCandidate snapshot.InstanceID
	requesterGroup           snapshot.GroupID
}

func endpoint(k flow.Key) snapshot.Endpoint {
	return snapshot.Endpoint{Addr: k.Dst, Port: k.DstPort, Proto: k.Proto}
}

// mayOpen reports whether the packet may start a new flow.
func (w *packetWork) mayOpen() bool { return w.p.Key.Proto == flow.UDP || w.p.OpensConnection() }

// rankGroups ranks the groups of the flow's service and finds the reachable ones.
func (w *packetWork) rankGroups() {
	w.owners = w.v.ServiceOwners(w.bind.Service.ID)
	w.topRanked, w.firstReachable, w.secondReachable = -1, -1, -1
	for i, r := range w.bind.Service.Rank(w.p.Key) {
		if r < 0 {
			return
		}
		if i == 0 {
			w.topRanked = r
		}
		switch {
		case w.owners[r].Target == nil:
		case w.firstReachable < 0:
			w.firstReachable = r
		case w.secondReachable < 0:
			w.secondReachable = r
		}
	}
}

// alternativeTo returns the flow's best reachable group other than g, or the zero
// GroupID.
func (w *packetWork) alternativeTo(g snapshot.GroupID) snapshot.GroupID {
	for _, r := range [...]int32{w.firstReachable, w.secondReachable} {
		if r >= 0 && w.owners[r].ID != g {
			return w.owners[r].ID
		}
	}
	return snapshot.GroupID{}
}

func drop(r group.Reason) Action { return Action{Verdict: Drop, Reason: r} }

// stale reports whether this process was paused and has not caught up yet. The
// time since the last tick reveals a pause even before the next tick.
func (e *Engine) stale(now time.Duration, v *member.View) bool {
	return v.Stale || now-time.Duration(e.lastTick.Load()) > StaleGap
}

// Packet decides on one packet. relay is nil for packets from the fabric.
func (e *Engine) Packet(now time.Duration, p *flow.Packet, relay *Relay) Action {
	v := e.view.Load()
	if v == nil {
		return drop(group.ReasonStale)
	}
	w := packetWork{now: now, p: p, v: v, stale: e.stale(now, v)}
	newer := relay != nil && relay.Version > v.Snapshot.Version
	if newer {
		e.noteVersion(relay.Version)
	}
	if w.stale && p.OpensConnection() {
		// The SYN may have waited here during the pause. The caller has retransmitted
		// it since, and another instance may have opened the flow with it.
		return drop(group.ReasonStale)
	}
	bind, ok := v.Lookup(endpoint(p.Key))
	switch {
	case !ok && newer:
		return drop(group.ReasonVersion)
	case !ok:
		return drop(group.ReasonUnknownAddress)
	}
	w.bind = bind
	w.rankGroups()
	if relay == nil {
		return e.routeToReachable(&w)
	}
	w.hops = relay.Hops
	return e.handleRelayed(&w, relay)
}

// noteVersion records that a snapshot version is in force at a peer.
func (e *Engine) noteVersion(version snapshot.Version) {
	for {
		old := e.newestVersion.Load()
		if uint64(version) <= old || e.newestVersion.CompareAndSwap(old, uint64(version)) {
			return
		}
	}
}

// routeToReachable directs a packet to the flow's best-ranked reachable group.
func (e *Engine) routeToReachable(w *packetWork) Action {
	switch {
	case w.firstReachable < 0:
		return drop(group.ReasonUnreachable)
	case w.mayOpen() && !w.v.Propagated(w.now, w.bind.MovedIn):
		// An instance that does not know of the move yet would treat the flow as one
		// of the old service. By the time the caller retransmits, all instances
		// know of the move.
		return drop(group.ReasonMoved)
	case w.firstReachable != w.topRanked && !w.mayOpen():
		// The first-ranked group may hold the flow, so the packet is only forwarded
		// by an existing entry.
		return e.decideOrRelay(w, w.owners[w.firstReachable].ID, group.OpLookup)
	}
	return e.decideOrRelay(w, w.owners[w.firstReachable].ID, group.OpDecide)
}

// handleRelayed handles a packet that another instance has relayed to this one.
func (e *Engine) handleRelayed(w *packetWork, r *Relay) Action {
	if r.Service != w.bind.Service.ID {
		if r.Version > w.v.Snapshot.Version {
			return drop(group.ReasonVersion)
		}
		return e.reroute(w, r.Group)
	}
	switch r.Op {
	case group.OpLookup:
		w.requester, w.nextCandidate, w.requesterGroup = r.Requester, r.NextCandidate, r.Group
		return e.decideAsHolder(w)
	case group.OpDefault:
		return e.decideDefault(w, r.Group)
	}
	if w.v.Owners[r.Group] == nil {
		if r.Version > w.v.Snapshot.Version {
			return drop(group.ReasonVersion)
		}
		return e.reroute(w, r.Group)
	}
	if r.Op == group.OpDecide && r.Version < w.v.Snapshot.Version && w.firstReachable >= 0 && w.owners[w.firstReachable].ID != r.Group {
		return e.reroute(w, r.Group)
	}
	return e.decideOrRelay(w, r.Group, r.Op)
}

// reroute handles a packet relayed by an instance with an older snapshot. A flow
// that the group holds stays there; other flows are routed by the newer snapshot.
func (e *Engine) reroute(w *packetWork, g snapshot.GroupID) Action {
	if a, ok := e.forwardIfHeld(w, g); ok {
		return a
	}
	return e.routeToReachable(w)
}

// decideOrRelay decides on a packet if this instance may do so for the group, and
// relays it otherwise.
func (e *Engine) decideOrRelay(w *packetWork, id snapshot.GroupID, op group.Op) Action {
	if w.decisions++; w.decisions > maxDecisions {
		return drop(group.ReasonHops)
	}
	l := e.localGroup(id)
	if l == nil {
		return e.relay(w, id, op, w.relayTarget(id))
	}
	req := e.groupRequest(w, id, op)
	l.mu.Lock()
	role, successor, successorClaimed, source := l.role, l.successor, l.successorClaimed, l.pull.source
	var d group.Decision
	switch {
	case role == roleOwner && !w.stale:
		d = l.table.Decide(w.now, &req)
	case (role == roleOwner || role == roleHandedOver && !successorClaimed) && !w.mayOpen():
		// Forwarding by an entry is safe here, since the host of a flow never
		// changes. After a handover, entries of closing or closed flows are ignored
		// while the successor is alive: it has them too, and may have placed a new
		// flow on the same 5-tuple.
		req.Op, req.EstablishedOnly = group.OpLookup, w.stale
		req.OpenOnly = role == roleHandedOver && w.v.Alive(successor)
		d = l.table.Decide(w.now, &req)
	default:
		d = group.Decision{Verdict: group.Miss}
	}
	l.mu.Unlock()
	if role == roleOwner && !w.stale {
		return e.applyDecision(w, l, d, op)
	}
	if d.Verdict == group.Forward {
		return e.forward(w, id, d, op)
	}
	switch role {
	case roleHandedOver:
		if w.v.Alive(successor) {
			return e.relay(w, id, op, w.v.Instance(successor))
		}
	case rolePulling:
		if w.v.Alive(source) {
			return e.relay(w, id, op, w.v.Instance(source))
		}
	}
	return e.relay(w, id, op, w.relayTarget(id))
}

func (e *Engine) groupRequest(w *packetWork, id snapshot.GroupID, op group.Op) group.Request {
	req := group.Request{
		Packet: w.p, Kind: w.bind.Kind.ID, Op: op, NoDefault: w.bind.MovedIn != 0,
		EstablishedOnly: op == group.OpLookup && (w.stale || id.Service != w.bind.Service.ID),
	}
	if op == group.OpDecide {
		req.SpillTo = w.alternativeTo(id)
	}
	return req
}

// relayTarget returns the instance to relay packets of a group to: the claimant or,
// without one, the first-ranked instance. If that is this instance, it returns the
// previous claimant or, when stale, the first other ranked instance.
func (w *packetWork) relayTarget(id snapshot.GroupID) *snapshot.Instance {
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
func (e *Engine) relay(w *packetWork, id snapshot.GroupID, op group.Op, to *snapshot.Instance) Action {
	switch {
	case to == nil && w.stale:
		return drop(group.ReasonStale)
	case to == nil || to.ID == w.v.Self:
		return drop(group.ReasonHandover)
	case w.hops >= MaxHops:
		return drop(group.ReasonHops)
	}
	return Action{Verdict: ToPeer, Peer: to, Relay: Relay{
		Op: op, Hops: w.hops + 1, Group: id, Requester: w.requester, NextCandidate: w.nextCandidate,
		Service: w.bind.Service.ID, Version: w.v.Snapshot.Version,
	}}
}

// applyDecision converts the decision of an owned group into an action.
func (e *Engine) applyDecision(w *packetWork, l *localGroup, d group.Decision, op group.Op) Action {
	switch d.Verdict {
	case group.Forward:
		return e.forward(w, l.id, d, op)
	case group.Redirect:
		return e.followRedirect(w, d)
	case group.Refuse, group.Abort:
		return Action{Verdict: ToCaller, Reason: d.Reason, Reset: d.Reset}
	case group.Miss:
		if op == group.OpDecide {
			return e.lookUpFlow(w, l)
		}
		return e.dropMissed(w, op)
	}
	return drop(d.Reason)
}

func (e *Engine) dropMissed(w *packetWork, op group.Op) Action {
	switch {
	case op == group.OpLookup && w.bind.MovedIn != 0:
		return drop(group.ReasonMoved)
	case op == group.OpLookup:
		return drop(group.ReasonUnreachable)
	}
	return drop(group.ReasonHandover)
}

// forward sends the packet to a host. The host's service must match that of the
// group and, for a new flow, that of the destination.
func (e *Engine) forward(w *packetWork, id snapshot.GroupID, d group.Decision, op group.Op) Action {
	h := w.v.Snapshot.Hosts[d.Host]
	switch {
	case h == nil:
		return drop(group.ReasonHostGone)
	case h.Service != id.Service || w.p.OpensConnection() && h.Service != w.bind.Service.ID:
		return drop(group.ReasonMoved)
	}
	a := Action{Verdict: ToHost, Host: h}
	if op == group.OpLookup && w.requester != 0 && w.requester != w.v.Self && id.Service == w.bind.Service.ID {
		a.SendLearnTo = w.v.Instance(w.requester)
		a.Learn = message.Learn{From: w.v.Self, Group: w.requesterGroup, Entry: d.Entry, HeldBy: id}
	}
	return a
}

// followRedirect sends the packet on to the group that holds the flow.
func (e *Engine) followRedirect(w *packetWork, d group.Decision) Action {
	o := w.v.Owners[d.Group]
	if o == nil || o.Target == nil {
		return drop(group.ReasonUnreachable)
	}
	if w.p.OpensConnection() {
		return e.decideOrRelay(w, d.Group, group.OpSpill)
	}
	return e.decideOrRelay(w, d.Group, group.OpDecide)
}
