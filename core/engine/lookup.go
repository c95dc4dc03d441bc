package engine

import (
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

// held forwards a packet if a table of this instance has an entry for it in
// the group, whatever the instance's role.
func (e *Engine) held(w *work, id snapshot.GroupID) (Action, bool) {
	l := e.local(id)
	if l == nil {
		return Action{}, false
	}
	req := e.request(w, id, group.AskHolder)
	d := group.Decision{Verdict: group.Miss}
	l.mu.Lock()
	if l.table != nil {
		d = l.table.Packet(w.now, &req)
	}
	l.mu.Unlock()
	switch d.Verdict {
	case group.Forward:
		return e.forward(w, id, d, group.AskHolder), true
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
	if l := e.local(id); l != nil {
		if a, ok := e.held(w, id); ok {
			return a, true
		}
	}
	to := w.target(id)
	if to == nil || to.ID == w.asker || w.hops >= MaxHops {
		return Action{}, false
	}
	return e.relay(w, id, group.AskHolder, to), true
}

// candidate is the group beside own that may hold a flow which the owner of
// own has no entry for. The group that ranked first by the snapshot before goes before the flow's
// second group: a change of the host list gives some flows another first
// group. More than one does not fit the hop limit beside the previous owner.
func (w *work) candidate(own snapshot.GroupID) snapshot.GroupID {
	if w.bind.Moved != 0 && w.bind.From != w.bind.Service.ID {
		if g, ok := w.movedFrom(); ok {
			return g
		}
	}
	if g, ok := w.before(); ok && g != own && w.v.Owners[g] != nil {
		return g
	}
	return w.other(own)
}

// before is the flow's first group by the snapshot before this one.
func (w *work) before() (snapshot.GroupID, bool) {
	if w.v.Previous == nil {
		return snapshot.GroupID{}, false
	}
	b, ok := w.v.Previous.Lookup(endpoint(w.p.Key))
	if !ok {
		return snapshot.GroupID{}, false
	}
	r := b.Service.Rank(w.p.Key)[0]
	if r < 0 {
		return snapshot.GroupID{}, false
	}
	return b.Service.Groups[r].ID, true
}

// movedFrom is the flow's first group in the service that the address led to
// before it moved.
func (w *work) movedFrom() (snapshot.GroupID, bool) {
	svc := w.v.Snapshot.Services[w.bind.From]
	if svc == nil {
		return w.before()
	}
	r := svc.Rank(w.p.Key)[0]
	if r < 0 {
		return snapshot.GroupID{}, false
	}
	return svc.Groups[r].ID, true
}

// lookUp asks the other candidates for a flow that the owner has no entry for:
// first the previous owner of the group, or else its backup, then the owner of
// the candidate group.
func (e *Engine) lookUp(w *work, l *local) Action {
	w.asker = w.v.Self
	l.mu.Lock()
	previous := l.previous
	l.mu.Unlock()
	next := w.candidate(l.id)
	// A candidate that this instance holds itself costs no relay. No redirect
	// is kept for it, since finding the flow again costs one look-up.
	if a, ok := e.held(w, next); ok {
		return a
	}
	if !w.known(previous) && next == w.other(l.id) {
		previous = w.backup(l.id)
	}
	if w.known(previous) {
		return e.relay(w, l.id, group.AskHolder, w.v.Instance(previous))
	}
	if a, ok := e.ask(w, next); ok {
		return a
	}
	return e.asDefault(w, l.id)
}

// known reports whether id is another instance that can be asked.
func (w *work) known(id snapshot.InstanceID) bool {
	return id != 0 && id != w.v.Self && w.v.Alive(id)
}

// backup is the next-ranked instance for a group.
func (w *work) backup(id snapshot.GroupID) snapshot.InstanceID {
	o := w.v.Owners[id]
	if o == nil {
		return 0
	}
	for _, r := range o.Ranked {
		if r != w.v.Self {
			return r
		}
	}
	return 0
}

// ask looks a flow up in a group, here or at its owner.
func (e *Engine) ask(w *work, id snapshot.GroupID) (Action, bool) {
	if id == (snapshot.GroupID{}) {
		return Action{}, false
	}
	if a, ok := e.held(w, id); ok {
		return a, true
	}
	to := w.target(id)
	if to == nil || to.ID == w.v.Self || to.ID == w.asker {
		return Action{}, false
	}
	return e.relay(w, id, group.AskHolder, to), true
}

// asHolder answers an owner that looks for a flow's entry.
func (e *Engine) asHolder(w *work, id snapshot.GroupID) Action {
	if a, ok := e.held(w, id); ok {
		return a
	}
	if w.asker == 0 {
		return e.missed(w, group.AskHolder)
	}
	own := e.askerGroup(w)
	if id == own {
		if a, ok := e.ask(w, w.candidate(own)); ok {
			return a
		}
	} else if to := w.target(id); to != nil && to.ID != w.asker && w.hops+1 < MaxHops {
		// The asker's view of the candidate's owner is behind.
		if l := e.local(id); l == nil || l.passes() {
			return e.relay(w, id, group.AskHolder, to)
		}
	}
	asker := w.v.Instance(w.asker)
	w.asker = 0
	return e.relay(w, own, group.AskDefault, asker)
}

// passes reports whether another instance decides for the group.
func (l *local) passes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role != roleOwner
}

// askerGroup is the group whose owner asks: the first of the flow's groups
// that the asker is the owner of.
func (e *Engine) askerGroup(w *work) snapshot.GroupID {
	for _, r := range w.bind.Service.Rank(w.p.Key) {
		if r < 0 {
			break
		}
		if o := w.owners[r]; o.Target != nil && o.Target.ID == w.asker {
			return o.ID
		}
	}
	if w.home < 0 {
		return snapshot.GroupID{}
	}
	return w.owners[w.home].ID
}

// asDefault decides on a packet of a flow that no instance holds.
func (e *Engine) asDefault(w *work, id snapshot.GroupID) Action {
	l := e.local(id)
	if l == nil || w.stale {
		return drop(group.ReasonHandover)
	}
	w.asker = 0
	req := e.request(w, id, group.AskDefault)
	l.mu.Lock()
	if l.role != roleOwner {
		l.mu.Unlock()
		return drop(group.ReasonHandover)
	}
	d := l.table.Packet(w.now, &req)
	l.mu.Unlock()
	return e.apply(w, l, d, group.AskDefault)
}
