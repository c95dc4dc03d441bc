package engine

import (
	"time"

	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// displacedPageEntries is the number of entries of one group scanned in one tick.
	displacedPageEntries = 64
	// displacedRounds is how often all entries are scanned after a change, since
	// learn messages are not acknowledged and views change at different times.
	displacedRounds = 3
	// displacedRoundGap is the time from the end of one scan of a group to the next.
	displacedRoundGap = 2 * time.Second
	// displacedBudgetShare is the part of the control budget available for learn
	// messages about displaced flows.
	displacedBudgetShare = 0.1
	// learnBytes is the estimated size of a learn message on the wire.
	learnBytes = 90
)

// displacedScan is the progress of scanning an owned group for displaced flows, that
// is, flows that it holds although another group ranks first for them. It is guarded
// by Engine.mu.
type displacedScan struct {
	roundsLeft int
	cursor     uint64
	nextRound  time.Duration
}

// scheduleDisplacedScans schedules scans for the groups of services whose ranking or
// owners have changed.
func (e *Engine) scheduleDisplacedScans(now time.Duration, old, v *member.View) {
	for _, l := range e.sortedGroups {
		if old == nil || placementChanged(old, v, l.id.Service) {
			l.displacedScan.roundsLeft = displacedRounds
			l.displacedScan.nextRound = max(l.displacedScan.nextRound, now+displacedRoundGap)
		}
	}
}

// placementChanged reports whether flows of the service may have another first-ranked
// group or owner than before.
func placementChanged(old, v *member.View, id snapshot.ServiceID) bool {
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

// dueDisplaced returns learn messages about displaced flows, addressed to the owners of
// their first-ranked groups. These store redirects, so that an idle flow is found after
// any number of changes of the host list.
func (e *Engine) dueDisplaced(now time.Duration, v *member.View, out []Output) []Output {
	rate := displacedBudgetShare * float64(e.cfg.ControlBudget)
	e.displacedTokens = min(rate, e.displacedTokens+rate*(now-e.displacedRefilled).Seconds())
	e.displacedRefilled = now
	for _, l := range e.sortedGroups {
		if l.displacedScan.roundsLeft == 0 || now < l.displacedScan.nextRound || e.displacedTokens <= 0 {
			continue
		}
		for _, m := range e.scanDisplaced(now, v, l) {
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

// scanDisplaced scans the next page of one group for displaced flows.
func (e *Engine) scanDisplaced(now time.Duration, v *member.View, l *localGroup) []message.Learn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner {
		l.displacedScan = displacedScan{}
		return nil
	}
	var found []message.Learn
	next, more := l.table.Walk(now, l.displacedScan.cursor, displacedPageEntries, func(m message.Entry) {
		if first := firstGroup(v, &m); first != nil && first.ID != l.id && first.ID.Service == l.id.Service && first.Target != nil {
			found = append(found, message.Learn{From: e.cfg.Self, Group: first.ID, Entry: m, HeldBy: l.id})
		}
	})
	l.displacedScan.cursor = next
	if !more {
		l.displacedScan.cursor = 0
		l.displacedScan.roundsLeft--
		l.displacedScan.nextRound = now + displacedRoundGap
	}
	return found
}

// firstGroup returns the group that currently ranks first for a flow.
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
