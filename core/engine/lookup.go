package engine

import (
	"slices"
	"time"

	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

const (
	// maxAskedInstances is the number of other instances that a packet can visit
	// before it returns to the owner, within MaxHops.
	maxAskedInstances = 2
	// pastRankingKeep is how long after a change of the ranking the owners of a
	// flow's earlier groups are asked for it. By then dueDisplaced has told the
	// owners of the new groups where such flows are held.
	pastRankingKeep = 2 * time.Minute
	// askRotation is the interval after which a retransmission starts with
	// another candidate, if there are more than maxAskedInstances.
	askRotation = 250 * time.Millisecond
	// maxCandidates bounds the number of groups that may hold one flow.
	maxCandidates = 2*snapshot.RankHistory + 3
)

// forwardIfHeld forwards a packet if a table of this instance has an entry for it in
// the group, whatever role this instance has for the group. It reports whether the
// packet was dealt with.
func (e *Engine) forwardIfHeld(w *packetWork, id snapshot.GroupID) (Action, bool) {
	l := e.localGroup(id)
	if l == nil {
		return Action{}, false
	}
	req := e.groupRequest(w, id, group.OpLookup)
	d := group.Decision{Verdict: group.Miss}
	l.mu.Lock()
	if l.table != nil {
		d = l.table.Decide(w.now, &req)
	}
	l.mu.Unlock()
	switch d.Verdict {
	case group.Forward:
		return e.forward(w, id, d, group.OpLookup), true
	case group.Redirect:
		return e.followHolderRedirect(w, d.Group)
	case group.Abort:
		if w.stale {
			return drop(group.ReasonStale), true
		}
		return Action{Verdict: ToCaller, Reason: d.Reason, Reset: d.Reset}, true
	case group.Drop:
		return drop(d.Reason), true
	}
	return Action{}, false
}

// followHolderRedirect follows a redirect on behalf of a requester. A redirect that
// leads back to the requester is ignored, since it contains nothing new.
func (e *Engine) followHolderRedirect(w *packetWork, id snapshot.GroupID) (Action, bool) {
	if w.decisions++; w.decisions > maxDecisions {
		return Action{}, false
	}
	if a, ok := e.forwardIfHeld(w, id); ok {
		return a, true
	}
	to := w.relayTarget(id)
	if to == nil || to.ID == w.v.Self || to.ID == w.requester || w.hops >= MaxHops {
		return Action{}, false
	}
	if w.requester == 0 {
		return e.relay(w, id, group.OpLookup, to), true
	}
	return e.relay(w, w.requesterGroup, group.OpLookup, to), true
}

// forwardIfHeldHere looks for the flow in all local groups of its service, then in
// those of the service that the address has moved from. The current service goes
// first: a SYN handled under the previous snapshot may have left an entry in the old
// service, while its retransmission opened the flow in the current one.
func (e *Engine) forwardIfHeldHere(w *packetWork) (Action, bool) {
	if a, ok := e.forwardIfHeldByService(w, w.bind.Service.ID); ok {
		return a, true
	}
	// Without a requester, the packet was sent here because the flow's first-ranked
	// group is not reachable. That group may hold the flow by now.
	if w.bind.MovedIn == 0 || w.bind.MovedFrom == w.bind.Service.ID || w.requester == 0 {
		return Action{}, false
	}
	return e.forwardIfHeldByService(w, w.bind.MovedFrom)
}

func (e *Engine) forwardIfHeldByService(w *packetWork, id snapshot.ServiceID) (Action, bool) {
	for _, l := range e.groups.Load().list {
		if l.id.Service != id {
			continue
		}
		if a, ok := e.forwardIfHeld(w, l.id); ok {
			return a, true
		}
	}
	return Action{}, false
}

// candidateList lists the groups that may hold a flow, in the order to ask them.
type candidateList struct {
	list [maxCandidates]snapshot.GroupID
	n    int
}

func (c *candidateList) all() []snapshot.GroupID { return c.list[:c.n] }

func (c *candidateList) add(w *packetWork, own, id snapshot.GroupID) {
	if id != (snapshot.GroupID{}) && id != own && w.v.Owners[id] != nil && !slices.Contains(c.all(), id) && c.n < len(c.list) {
		c.list[c.n] = id
		c.n++
	}
}

// candidateGroups returns the groups other than own that may hold the flow: those
// that ranked first for it in the service that the address has moved from, then those
// that ranked first before the host list changed, then the best reachable alternative
// and the third group.
func (w *packetWork) candidateGroups(own snapshot.GroupID) *candidateList {
	c := &candidateList{}
	if w.bind.MovedIn != 0 {
		if svc := w.v.Snapshot.Services[w.bind.MovedFrom]; svc != nil {
			if r := svc.Rank(w.p.Key)[0]; r >= 0 {
				c.add(w, own, svc.Groups[r].ID)
			}
			c.addPast(w, own, svc)
		}
	}
	c.addPast(w, own, w.bind.Service)
	c.add(w, own, w.alternativeTo(own))
	if id, ok := w.thirdGroup(); ok {
		c.add(w, own, id)
	}
	return c
}

// thirdGroup returns the flow's third-ranked group if the first two are in one domain
// and the third is in another. The third group received the flow if that one domain was
// cut off when the flow opened.
func (w *packetWork) thirdGroup() (snapshot.GroupID, bool) {
	r := w.bind.Service.Rank(w.p.Key)
	if r[2] < 0 {
		return snapshot.GroupID{}, false
	}
	home, third := w.owners[r[0]].ID, w.owners[r[2]].ID
	return third, home.Domain == w.owners[r[1]].ID.Domain && home.Domain != third.Domain
}

func (c *candidateList) addPast(w *packetWork, own snapshot.GroupID, svc *snapshot.Service) {
	if at, ok := w.v.RerankedAt[svc.ID]; !ok || w.now-at > pastRankingKeep {
		return
	}
	for _, id := range svc.PreviousGroups(w.p.Key) {
		c.add(w, own, id)
	}
}

// askList lists the instances to ask for a flow, each once.
type askList struct {
	list [maxCandidates + 1]*snapshot.Instance
	n    int
}

func (o *askList) add(w *packetWork, to *snapshot.Instance) {
	if to == nil || to.ID == w.v.Self || slices.Contains(o.list[:o.n], to) {
		return
	}
	o.list[o.n] = to
	o.n++
}

// instancesToAsk returns the instances that the owner of l asks for a flow that it has
// no entry for: the previous owner of the group first, then the owners of the candidate
// groups, and the backup if the previous owner cannot be asked.
func (e *Engine) instancesToAsk(w *packetWork, l *localGroup) (o askList) {
	l.mu.Lock()
	previous := l.previousOwner
	l.mu.Unlock()
	if w.canAsk(previous) {
		o.add(w, w.v.Instance(previous))
	}
	c := w.candidateGroups(l.id)
	for _, id := range c.all() {
		o.add(w, w.relayTarget(id))
	}
	if backup := w.backup(l.id); o.n < maxAskedInstances && !w.canAsk(previous) && w.canAsk(backup) {
		o.add(w, w.v.Instance(backup))
	}
	return o
}

// lookUpFlow asks other instances for a flow that the owner has no entry for. An
// instance that holds the flow forwards the packet and sends its entry to the owner.
func (e *Engine) lookUpFlow(w *packetWork, l *localGroup) Action {
	w.requester, w.requesterGroup = w.v.Self, l.id
	// Looking in local groups costs no relay. No redirect is stored for a flow
	// found here, since finding it again costs just one look-up.
	if a, ok := e.forwardIfHeldHere(w); ok {
		return a
	}
	o := e.instancesToAsk(w, l)
	if o.n == 0 {
		return e.decideDefault(w, l.id)
	}
	start := 0
	if o.n > maxAskedInstances {
		start = int(w.now/askRotation) % o.n
	}
	if o.n > 1 {
		w.nextCandidate = o.list[(start+1)%o.n].ID
	}
	return e.relay(w, l.id, group.OpLookup, o.list[start])
}

// canAsk reports whether id is another instance, and alive.
func (w *packetWork) canAsk(id snapshot.InstanceID) bool {
	return id != 0 && id != w.v.Self && w.v.Alive(id)
}

// backup returns the best-ranked instance for a group other than this one, 0 if none.
func (w *packetWork) backup(id snapshot.GroupID) snapshot.InstanceID {
	if o := w.v.Owners[id]; o != nil {
		return backupOf(o, w.v.Self)
	}
	return 0
}

// decideAsHolder handles a packet for which another instance looks for the flow's
// entry: it forwards the packet if a local group holds the flow, passes it on to the
// next candidate, or returns it to the requester if no candidate holds the flow.
func (e *Engine) decideAsHolder(w *packetWork) Action {
	if a, ok := e.forwardIfHeldHere(w); ok {
		return a
	}
	if w.requester == 0 {
		return e.dropMissed(w, group.OpLookup)
	}
	if w.nextCandidate == w.requester {
		return drop(group.ReasonHops)
	}
	if w.nextCandidate != w.v.Self {
		if to := w.nextToAsk(); to != nil && w.hops+1 >= MaxHops {
			// The packet could not return to the requester within MaxHops. A
			// retransmission takes a shorter path once the views agree.
			return drop(group.ReasonHops)
		} else if to != nil {
			return e.relay(w, w.requesterGroup, group.OpLookup, to)
		}
	}
	w.nextCandidate = 0
	asker := w.v.Instance(w.requester)
	w.requester = 0
	return e.relay(w, w.requesterGroup, group.OpDefault, asker)
}

// nextToAsk returns the instance to ask after this one: the one named by the requester,
// or the owner of a candidate group that only this instance knows of. The requester may
// have joined after the host list changed and not know the earlier rankings.
func (w *packetWork) nextToAsk() *snapshot.Instance {
	var o askList
	asker := w.v.Instance(w.requester)
	// The requester considers this instance alive. If it were left out because of
	// a wrong suspicion here, the requester would be told that no instance holds
	// the flow.
	o.add(w, w.v.Instance(w.nextCandidate))
	c := w.candidateGroups(w.requesterGroup)
	for _, id := range c.all() {
		if to := w.relayTarget(id); to != asker {
			o.add(w, to)
		}
	}
	switch o.n {
	case 0:
		return nil
	case 1:
		w.nextCandidate = o.list[0].ID
		return o.list[0]
	}
	w.nextCandidate = w.requester
	return o.list[int(w.now/askRotation)%o.n]
}

// decideDefault decides on a packet of a flow that no instance holds. If
// there are more than maxAskedInstances candidates, the packet cannot have visited all
// of them. Unless it may open a flow, it is dropped then: its retransmission is relayed
// to others.
//
// The default host is right only if the address still belongs to the service. An
// instance that knows of a newer snapshot, or that may have missed one because a domain
// is cut off, drops the packet instead: the flow may belong to another service by now,
// and its packets must not reach hosts of this one.
func (e *Engine) decideDefault(w *packetWork, id snapshot.GroupID) Action {
	l := e.localGroup(id)
	if l == nil || w.stale {
		return drop(group.ReasonHandover)
	}
	switch {
	case w.mayOpen():
	case e.newestVersion.Load() > uint64(w.v.Snapshot.Version):
		return drop(group.ReasonVersion)
	case w.v.Partitioned:
		return drop(group.ReasonUnreachable)
	default:
		if o := e.instancesToAsk(w, l); o.n > maxAskedInstances {
			return drop(group.ReasonHops)
		}
	}
	w.requester, w.nextCandidate = 0, 0
	req := e.groupRequest(w, id, group.OpDefault)
	l.mu.Lock()
	if l.role != roleOwner {
		l.mu.Unlock()
		return drop(group.ReasonHandover)
	}
	d := l.table.Decide(w.now, &req)
	l.mu.Unlock()
	return e.applyDecision(w, l, d, group.OpDefault)
}
