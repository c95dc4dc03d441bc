package engine

import (
	"time"

	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// strayPage is the number of entries of one group looked at in one tick.
	strayPage = 64
	// strayRounds is how often all entries are looked at after a change, since
	// learn messages are not confirmed and views change at different times.
	strayRounds = 3
	// strayPause is the time between two rounds.
	strayPause = 2 * time.Second
	// strayShare is the part of the control budget that strays may take.
	strayShare = 0.1
	// learnBytes is the estimated size of a learn message on the wire.
	learnBytes = 90
)

// strays is the state of telling others of the flows that one owned group
// holds although another group ranks first for them. It is guarded by Engine.mu.
type strays struct {
	rounds int
	cursor uint64
	next   time.Duration
}

// restray begins rounds for the groups of services whose ranking or owners
// have changed.
func (e *Engine) restray(now time.Duration, old, v *member.View) {
	for _, l := range e.order {
		if old == nil || moved(old, v, l.id.Service) {
			l.strays.rounds = strayRounds
			l.strays.next = max(l.strays.next, now+strayPause)
		}
	}
}

// moved reports whether flows of the service have another first group or owner.
func moved(old, v *member.View, id snapshot.ServiceID) bool {
	a, b := old.Snapshot.Services[id], v.Snapshot.Services[id]
	if a == nil || b == nil || !a.SameRanks(b) {
		return true
	}
	before := old.Groups(id)
	for i, o := range v.Groups(id) {
		if o.Claimant != before[i].Claimant {
			return true
		}
	}
	return false
}

// sendStrays tells the owners of first groups of flows that groups of this
// instance hold. They keep redirects, so that a quiet flow is found after any
// number of changes of the host list.
func (e *Engine) sendStrays(now time.Duration, v *member.View, out []Output) []Output {
	rate := strayShare * float64(e.cfg.Budget)
	e.strayTokens = min(rate, e.strayTokens+rate*(now-e.strayFilled).Seconds())
	e.strayFilled = now
	for _, l := range e.order {
		if l.strays.rounds == 0 || now < l.strays.next || e.strayTokens <= 0 {
			continue
		}
		for _, m := range e.strayPage(now, v, l) {
			to := v.Owners[m.Group].Target
			if to.ID == e.cfg.Self {
				e.Learn(now, &m)
				continue
			}
			e.strayTokens -= learnBytes
			out = append(out, Output{To: to, Learn: &m})
		}
	}
	return out
}

// strayPage looks at some entries of one group.
func (e *Engine) strayPage(now time.Duration, v *member.View, l *local) []message.Learn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner {
		l.strays = strays{}
		return nil
	}
	var found []message.Learn
	next, more := l.table.Walk(now, l.strays.cursor, strayPage, func(m message.Entry) {
		if first := firstGroup(v, &m); first != nil && first.ID != l.id && first.ID.Service == l.id.Service && first.Target != nil {
			found = append(found, message.Learn{From: e.cfg.Self, Group: first.ID, Entry: m, HeldBy: l.id})
		}
	})
	l.strays.cursor = next
	if !more {
		l.strays.cursor = 0
		l.strays.rounds--
		l.strays.next = now + strayPause
	}
	return found
}

// firstGroup is the group that ranks first for a flow now.
func firstGroup(v *member.View, m *message.Entry) *member.Ownership {
	bind, ok := v.Snapshot.Lookup(endpoint(m.Key))
	if !ok {
		return nil
	}
	r := bind.Service.Rank(m.Key)[0]
	if r < 0 {
		return nil
	}
	return v.Groups(bind.Service.ID)[r]
}
