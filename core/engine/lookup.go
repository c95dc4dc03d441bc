package engine

import (
	"slices"
	"time"

	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

const (
	// maxAsked is the number of other instances that a packet can visit on its
	// way back to the owner within MaxHops.
	maxAsked = 2
	// pastKeep is how long after a change of the ranking the owners of a
	// flow's earlier groups are asked for it. By then sendDisplaced has told the new
	// ones where such flows are.
	pastKeep = 2 * time.Minute
	// askTurn is the time after which a retransmission begins with another
	// candidate, when there are more than maxAsked.
	askTurn = 250 * time.Millisecond
	// maxCandidates bounds the groups that may hold one flow.
	maxCandidates = 2*snapshot.RankHistory + 3
)

// held forwards a packet if a table of this instance has an entry for it in
// the group, whatever the instance's role.
func (e *Engine) held(w *work, id snapshot.GroupID) (Action, bool) {
	l := e.local(id)
	if l == nil {
		return Action{}, false
	}
	req := e.request(w, id, group.OpLookup)
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
		return e.heldElsewhere(w, d.Group)
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

// heldElsewhere follows a redirect on behalf of an asker. A redirect back to
// the asker tells nothing new.
func (e *Engine) heldElsewhere(w *work, id snapshot.GroupID) (Action, bool) {
	if w.turns++; w.turns > maxTurns {
		return Action{}, false
	}
	if a, ok := e.held(w, id); ok {
		return a, true
	}
	to := w.target(id)
	if to == nil || to.ID == w.v.Self || to.ID == w.asker || w.hops >= MaxHops {
		return Action{}, false
	}
	if w.asker == 0 {
		return e.relay(w, id, group.OpLookup, to), true
	}
	return e.relay(w, w.own, group.OpLookup, to), true
}

// heldHere looks for the flow in all groups of its service here, then in those
// of the service that the address has moved from. The present service goes
// first: a SYN that went by the version before may have left an entry in the
// old one, while its retransmission opened the flow in the present one.
func (e *Engine) heldHere(w *work) (Action, bool) {
	if a, ok := e.heldIn(w, w.bind.Service.ID); ok {
		return a, true
	}
	// A question without an asker is about a group that cannot be reached,
	// and that may hold the flow by now.
	if w.bind.MovedIn == 0 || w.bind.MovedFrom == w.bind.Service.ID || w.asker == 0 {
		return Action{}, false
	}
	return e.heldIn(w, w.bind.MovedFrom)
}

func (e *Engine) heldIn(w *work, id snapshot.ServiceID) (Action, bool) {
	for _, l := range e.groups.Load().list {
		if l.id.Service != id {
			continue
		}
		if a, ok := e.held(w, l.id); ok {
			return a, true
		}
	}
	return Action{}, false
}

// candidates are groups that may hold a flow, in the order in which they are asked.
type candidates struct {
	list [maxCandidates]snapshot.GroupID
	n    int
}

func (c *candidates) all() []snapshot.GroupID { return c.list[:c.n] }

func (c *candidates) add(w *work, own, id snapshot.GroupID) {
	if id != (snapshot.GroupID{}) && id != own && w.v.Owners[id] != nil && !slices.Contains(c.all(), id) && c.n < len(c.list) {
		c.list[c.n] = id
		c.n++
	}
}

// candidates are the groups beside own that may hold the flow: those that
// ranked first for it in the service that the address has moved from, then
// those that ranked first before the host list changed, then its second group.
func (w *work) candidates(own snapshot.GroupID) *candidates {
	c := &candidates{}
	if w.bind.MovedIn != 0 {
		if svc := w.v.Snapshot.Services[w.bind.MovedFrom]; svc != nil {
			if r := svc.Rank(w.p.Key)[0]; r >= 0 {
				c.add(w, own, svc.Groups[r].ID)
			}
			c.addPast(w, own, svc)
		}
	}
	c.addPast(w, own, w.bind.Service)
	c.add(w, own, w.other(own))
	if id, ok := w.thirdGroup(); ok {
		c.add(w, own, id)
	}
	return c
}

// thirdGroup is the flow's third group when it is the first of another domain than
// its first group: it got the flow if that domain was cut off at the time.
func (w *work) thirdGroup() (snapshot.GroupID, bool) {
	r := w.bind.Service.Rank(w.p.Key)
	if r[2] < 0 {
		return snapshot.GroupID{}, false
	}
	home, third := w.owners[r[0]].ID, w.owners[r[2]].ID
	return third, home.Domain == w.owners[r[1]].ID.Domain && home.Domain != third.Domain
}

func (c *candidates) addPast(w *work, own snapshot.GroupID, svc *snapshot.Service) {
	if at, ok := w.v.RerankedAt[svc.ID]; !ok || w.now-at > pastKeep {
		return
	}
	for _, id := range svc.PreviousGroups(w.p.Key) {
		c.add(w, own, id)
	}
}

// others are the instances to ask for a flow, each once.
type others struct {
	list [maxCandidates + 1]*snapshot.Instance
	n    int
}

func (o *others) add(w *work, to *snapshot.Instance) {
	if to == nil || to.ID == w.v.Self || slices.Contains(o.list[:o.n], to) {
		return
	}
	o.list[o.n] = to
	o.n++
}

// others lists whom the owner of l asks for a flow that it has no entry for:
// first the previous owner of the group, or else its backup, then the owners
// of the candidate groups.
func (e *Engine) others(w *work, l *local) (o others) {
	l.mu.Lock()
	previous := l.previous
	l.mu.Unlock()
	if w.known(previous) {
		o.add(w, w.v.Instance(previous))
	}
	c := w.candidates(l.id)
	for _, id := range c.all() {
		o.add(w, w.target(id))
	}
	if backup := w.backup(l.id); o.n < maxAsked && !w.known(previous) && w.known(backup) {
		o.add(w, w.v.Instance(backup))
	}
	return o
}

// lookUp asks other instances for a flow that the owner has no entry for.
// Those that hold it forward the packet and tell this one.
func (e *Engine) lookUp(w *work, l *local) Action {
	w.asker, w.own = w.v.Self, l.id
	// Asking here costs no relay. No redirect is kept for such a flow, since
	// finding it again costs one look-up.
	if a, ok := e.heldHere(w); ok {
		return a
	}
	o := e.others(w, l)
	if o.n == 0 {
		return e.asDefault(w, l.id)
	}
	start := 0
	if o.n > maxAsked {
		start = int(w.now/askTurn) % o.n
	}
	if o.n > 1 {
		w.next = o.list[(start+1)%o.n].ID
	}
	return e.relay(w, l.id, group.OpLookup, o.list[start])
}

// known reports whether id is another instance that can be asked.
func (w *work) known(id snapshot.InstanceID) bool {
	return id != 0 && id != w.v.Self && w.v.Alive(id)
}

// backup is the next-ranked instance for a group.
func (w *work) backup(id snapshot.GroupID) snapshot.InstanceID {
	if o := w.v.Owners[id]; o != nil {
		return backupOf(o, w.v.Self)
	}
	return 0
}

// asHolder answers an owner that looks for a flow's entry, or passes the
// question on, or tells the owner that nobody holds the flow.
func (e *Engine) asHolder(w *work) Action {
	if a, ok := e.heldHere(w); ok {
		return a
	}
	if w.asker == 0 {
		return e.missed(w, group.OpLookup)
	}
	if w.next == w.asker {
		return drop(group.ReasonHops)
	}
	if w.next != w.v.Self {
		if to := w.askNext(); to != nil && w.hops+1 >= MaxHops {
			// The packet could not come back. A retransmission finds a shorter
			// way once the views agree.
			return drop(group.ReasonHops)
		} else if to != nil {
			return e.relay(w, w.own, group.OpLookup, to)
		}
	}
	w.next = 0
	asker := w.v.Instance(w.asker)
	w.asker = 0
	return e.relay(w, w.own, group.OpDefault, asker)
}

// askNext is whom to ask after this instance: the one that the asker named, or
// an owner of a candidate group that only this instance knows of. The asker
// may have joined after the host list changed and not know the earlier ranks.
func (w *work) askNext() *snapshot.Instance {
	var o others
	asker := w.v.Instance(w.asker)
	// The asker takes it to be alive. If this instance suspects it wrongly and
	// left it out, the asker would be told that nobody holds the flow.
	o.add(w, w.v.Instance(w.next))
	c := w.candidates(w.own)
	for _, id := range c.all() {
		if to := w.target(id); to != asker {
			o.add(w, to)
		}
	}
	switch o.n {
	case 0:
		return nil
	case 1:
		w.next = o.list[0].ID
		return o.list[0]
	}
	w.next = w.asker
	return o.list[int(w.now/askTurn)%o.n]
}

// asDefault decides on a packet of a flow that no instance holds. When not all
// candidates fit into one round, the packet is dropped: the next one asks others.
//
// The default host is a guess that the address still belongs to the service.
// An instance that knows of a newer snapshot, or that may have missed one
// because a domain is cut off, does not guess: the flow may belong to another
// service by now, whose packets must not reach this one's hosts.
func (e *Engine) asDefault(w *work, id snapshot.GroupID) Action {
	l := e.local(id)
	if l == nil || w.stale {
		return drop(group.ReasonHandover)
	}
	switch {
	case w.opens():
	case e.wanted.Load() > uint64(w.v.Snapshot.Version):
		return drop(group.ReasonVersion)
	case w.v.Partitioned:
		return drop(group.ReasonUnreachable)
	default:
		if o := e.others(w, l); o.n > maxAsked {
			return drop(group.ReasonHops)
		}
	}
	w.asker, w.next = 0, 0
	req := e.request(w, id, group.OpDefault)
	l.mu.Lock()
	if l.role != roleOwner {
		l.mu.Unlock()
		return drop(group.ReasonHandover)
	}
	d := l.table.Decide(w.now, &req)
	l.mu.Unlock()
	return e.apply(w, l, d, group.OpDefault)
}
