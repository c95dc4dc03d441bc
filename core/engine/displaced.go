package engine

import (
	"time"

	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// displacedPage is the number of entries of one group looked at in one tick.
	displacedPage = 64
	// displacedRounds is how often all entries are looked at after a change, since
	// learn messages are not confirmed and views change at different times.
	displacedRounds = 3
	// displacedPause is the time between two rounds.
	displacedPause = 2 * time.Second
	// displacedShare is the part of the control budget that messages about displaced flows may take.
	displacedShare = 0.1
	// learnBytes is the estimated size of a learn message on the wire.
	learnBytes = 90
)

// displaced is the state of telling others of the flows that one owned group
// holds although another group ranks first for them. It is guarded by Engine.mu.
type displaced struct {
	rounds int
	cursor uint64
	next   time.Duration
}

// markDisplaced begins rounds for the groups of services whose ranking or owners
// have changed.
func (e *Engine) markDisplaced(now time.Duration, old, v *member.View) {
	for _, l := range e.order {
		if old == nil || moved(old, v, l.id.Service) {
			l.displaced.rounds = displacedRounds
			l.displaced.next = max(l.displaced.next, now+displacedPause)
		}
	}
}

// moved reports whether flows of the service have another first group or owner.
func moved(old, v *member.View, id snapshot.ServiceID) bool {
	a, b := old.Snapshot.Services[id], v.Snapshot.Services[id]
	if a == nil || b == nil || !a.SameRanking(b) {
		return true
	}
	before := old.ServiceOwners(id)
	for i, o := range v.ServiceOwners(id) {
		if o.Claimant != before[i].Claimant {
			return true
		}
	}
	return false
}

// sendDisplaced tells the owners of first groups of flows that groups of this
// instance hold. They keep redirects, so that a quiet flow is found after any
// number of changes of the host list.
func (e *Engine) sendDisplaced(now time.Duration, v *member.View, out []Output) []Output {
	rate := displacedShare * float64(e.cfg.ControlBudget)
	e.displacedTokens = min(rate, e.displacedTokens+rate*(now-e.displacedFilled).Seconds())
	e.displacedFilled = now
	for _, l := range e.order {
		if l.displaced.rounds == 0 || now < l.displaced.next || e.displacedTokens <= 0 {
			continue
		}
		for _, m := range e.displacedPage(now, v, l) {
			to := v.Owners[m.Group].Target
			if to.ID == e.cfg.Self {
				e.Learn(now, &m)
				continue
			}
			e.displacedTokens -= learnBytes
			out = append(out, Output{To: to, Learn: &m})
		}
	}
	return out
}

// displacedPage looks at some entries of one group.
func (e *Engine) displacedPage(now time.Duration, v *member.View, l *local) []message.Learn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner {
		l.displaced = displaced{}
		return nil
	}
	var found []message.Learn
	next, more := l.table.Walk(now, l.displaced.cursor, displacedPage, func(m message.Entry) {
		if first := firstGroup(v, &m); first != nil && first.ID != l.id && first.ID.Service == l.id.Service && first.Target != nil {
			found = append(found, message.Learn{From: e.cfg.Self, Group: first.ID, Entry: m, HeldBy: l.id})
		}
	})
	l.displaced.cursor = next
	if !more {
		l.displaced.cursor = 0
		l.displaced.rounds--
		l.displaced.next = now + displacedPause
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
	return v.ServiceOwners(bind.Service.ID)[r]
}
