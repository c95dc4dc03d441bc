package engine

import (
	"fmt"
	"slices"
	"time"

	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// pullPage is the number of entries in one page of a pull.
	pullPage = 2000
	// maxRedirects bounds the redirects on the last page of a pull. Those
	// beyond it are learned again from the groups that hold the flows.
	maxRedirects = 10000
	// pullRetry is the time before a failed pull is tried again.
	pullRetry = 200 * time.Millisecond
	// pullTimeout frees a pull whose answer never came.
	pullTimeout = 5 * time.Second
	// pullTries is how often a previous owner that no longer claims the group
	// is asked before the group is taken over without its entries.
	pullTries = 5
	// handedOverKeep is how long a handed-over table answers for its entries.
	handedOverKeep = 30 * time.Second
	// copiesKeep is how long copies are kept after this instance has stopped
	// being the backup.
	copiesKeep = 60 * time.Second
)

// pull is the state of getting a group's entries from another instance. An
// owner pulls too, to merge the entries of an instance whose claim did not hold.
type pull struct {
	source   snapshot.InstanceID
	table    *group.Table // being filled; nil before the first page
	base     []snapshot.HostID
	epoch    uint64 // of the source's table
	cursor   uint64
	asked    time.Duration
	retry    time.Duration
	tries    int
	inFlight bool
	merge    bool
}

// settle ends the claims of this instance that do not hold, and notes that the
// new owner of a handed-over group has claimed it.
func (e *Engine) settle(now time.Duration, v *member.View) {
	changed := false
	for _, l := range e.order {
		o := v.Owners[l.id]
		if o == nil || o.Claimant == 0 || o.Claimant == e.cfg.Self {
			continue
		}
		l.mu.Lock()
		switch l.role {
		case roleOwner:
			l.lost = l.table.Epoch()
			l.handOver(now, o.Claimant, true)
			e.tracker.Unclaim(l.id)
			changed = true
		case roleHandedOver:
			if !l.settled {
				l.keep = now + handedOverKeep
			}
			l.next, l.settled = o.Claimant, true
		}
		l.mu.Unlock()
	}
	if changed {
		e.publish(now)
	}
}

// conflicts notes peers whose claim does not hold against one of this instance's:
// they hold flows that they placed meanwhile.
func (e *Engine) conflicts(now time.Duration, h *message.Heartbeat) {
	for _, c := range slices.Concat(h.Claims, h.LostClaims) {
		l := e.local(c.Group)
		if l == nil {
			continue
		}
		l.mu.Lock()
		if l.role == roleOwner && member.ClaimWins(l.table.Epoch(), e.cfg.Self, c.Epoch, h.From) {
			l.previous, l.keep = h.From, now+handedOverKeep
			if l.pull.source != h.From && l.merged[h.From] != c.Epoch {
				l.pull = pull{source: h.From, merge: true, retry: now + pullRetry}
			}
		}
		l.mu.Unlock()
	}
}

// claim takes the groups that this instance ranks first for: from their
// present owner if there is one, else at once.
func (e *Engine) claim(now time.Duration, v *member.View) {
	for _, o := range v.FirstRanked {
		l := e.local(o.ID)
		if l == nil {
			if o.Group == nil && o.Claimant == 0 {
				continue
			}
			l = e.ensure(o.ID)
		}
		l.mu.Lock()
		if l.role != roleOwner {
			e.claimOne(now, v, l, o)
		}
		l.mu.Unlock()
	}
}

// claimOne is called with l.mu held.
func (e *Engine) claimOne(now time.Duration, v *member.View, l *local, o *member.Ownership) {
	if e.remote(o) && !e.reaches(now, o.Group) {
		return
	}
	source := o.Claimant
	if source == 0 && o.PreviousClaimant != e.cfg.Self && v.Alive(o.PreviousClaimant) &&
		!(l.pull.source == o.PreviousClaimant && l.pull.tries >= pullTries) {
		source = o.PreviousClaimant
	}
	switch {
	case source == 0 && o.MaxEpoch == 0 && e.tracker.InClaimDelay(now):
		// Another instance may be about to claim it too.
	case source != 0 && source != e.cfg.Self:
		if l.role != rolePulling || l.pull.source != source {
			l.role = rolePulling
			l.pull = pull{source: source, retry: now}
		}
	case o.Group == nil && l.table == nil && l.copies == nil:
		// The group is no longer in the snapshot, and nothing of it is here.
		l.role = roleBackup
	default:
		previous := l.pull.source
		e.activate(now, l, l.takeOver(now, e, v, o), previous)
	}
}

// activate claims a group. The caller holds l.mu.
func (e *Engine) activate(now time.Duration, l *local, t *group.Table, previous snapshot.InstanceID) {
	l.own(now, t, previous)
	t.StartCopies(now)
	e.tracker.Claim(l.id, t.Epoch())
}

// pulls returns the requests for pages that are due.
func (e *Engine) pulls(now time.Duration, v *member.View, out []Output) []Output {
	for _, l := range e.order {
		l.mu.Lock()
		if r := l.nextPull(now, v); r != nil {
			r.From = e.cfg.Self
			out = append(out, Output{To: v.Instance(l.pull.source), Pull: r})
		}
		l.mu.Unlock()
	}
	return out
}

// nextPull is called with l.mu held.
func (l *local) nextPull(now time.Duration, v *member.View) *message.PullRequest {
	p := &l.pull
	switch {
	case p.source == 0 || l.role != rolePulling && !p.merge:
		return nil
	case !v.Alive(p.source):
		// A pulling instance gets another source, or none, from claim. The
		// pages it has are kept for that.
		if l.role == rolePulling {
			l.role = roleBackup
			if l.table != nil {
				l.role = roleHandedOver
			}
			p.inFlight = false
		} else {
			*p = pull{}
		}
		return nil
	case p.inFlight && now-p.asked > pullTimeout:
		p.inFlight = false
		p.tries++
	}
	if p.inFlight || now < p.retry {
		return nil
	}
	p.inFlight, p.asked = true, now
	return &message.PullRequest{Group: l.id, Cursor: p.cursor}
}

// Pull serves one page of a group's entries to its next owner. With the last
// page the claim passes on.
func (e *Engine) Pull(now time.Duration, r *message.PullRequest) (message.PullReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	l := e.local(r.Group)
	switch {
	case v == nil || e.stale(now, v):
		return message.PullReply{}, fmt.Errorf("pull group %s for instance %d: this instance is stale", r.Group, r.From)
	case l == nil:
		return message.PullReply{}, fmt.Errorf("pull group %s for instance %d: nothing of it is here", r.Group, r.From)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner && l.role != roleHandedOver || r.From == e.cfg.Self {
		return message.PullReply{}, fmt.Errorf("pull group %s for instance %d: the role here is %s", r.Group, r.From, l.role)
	}
	reply := l.table.Pull(now, r.Cursor, pullPage)
	if reply.Done {
		reply.Redirects = l.table.Redirects(now, maxRedirects)
	}
	if reply.Done && l.role == roleOwner {
		l.handOver(now, r.From, false)
		e.tracker.Unclaim(l.id)
		e.publish(now)
	}
	return reply, nil
}

// PullDone delivers one page that an earlier Output.Pull asked for, or the
// error of the call.
func (e *Engine) PullDone(now time.Duration, r *message.PullRequest, reply *message.PullReply, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	l := e.local(r.Group)
	if v == nil || l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &l.pull
	if !p.inFlight || r.Cursor != p.cursor || l.role != rolePulling && !p.merge {
		return
	}
	p.inFlight = false
	switch {
	case err != nil:
		p.tries++
		p.retry = now + pullRetry
		if p.merge && p.tries >= pullTries {
			l.pull = pull{}
		}
	case p.merge:
		l.mergePage(now, reply)
	default:
		e.page(now, v, l, reply)
	}
	e.publish(now)
}

// mergePage adds entries of another claimant to an owned table.
func (l *local) mergePage(now time.Duration, reply *message.PullReply) {
	l.table.Import(now, reply.Entries)
	l.pull.cursor = reply.Next
	if reply.Done {
		l.merged[l.pull.source] = reply.Epoch
		l.pull = pull{}
	}
}

// page adds one page and claims the group after the last one. The caller holds l.mu.
func (e *Engine) page(now time.Duration, v *member.View, l *local, reply *message.PullReply) {
	p := &l.pull
	if p.table != nil && p.epoch != reply.Epoch {
		// The source has claimed the group anew meanwhile.
		*p = pull{source: p.source, retry: now}
		return
	}
	if p.table == nil {
		epoch := reply.Epoch
		if o := v.Owners[l.id]; o != nil {
			epoch = max(epoch, o.MaxEpoch)
		}
		p.table = e.newTable(now, v, l.id, epoch+1, reply.Base)
		p.epoch, p.base = reply.Epoch, reply.Base
	}
	p.table.Import(now, reply.Entries)
	p.cursor, p.tries = reply.Next, 0
	if !reply.Done {
		return
	}
	t := p.table
	if l.table != nil {
		importAll(now, t, l.table)
	}
	for i := range reply.Redirects {
		t.Learn(now, &reply.Redirects[i])
	}
	e.activate(now, l, t, p.source)
}

// clean drops what is no longer needed.
func (e *Engine) clean(now time.Duration, v *member.View) {
	for i := len(e.order) - 1; i >= 0; i-- {
		l := e.order[i]
		l.mu.Lock()
		empty := e.cleanOne(now, v, l)
		l.mu.Unlock()
		if empty {
			e.discard(l)
		}
	}
}

// cleanOne reports whether nothing of the group is left. The caller holds l.mu.
func (e *Engine) cleanOne(now time.Duration, v *member.View, l *local) bool {
	o := v.Owners[l.id]
	switch {
	case l.role == roleOwner:
		if l.previous != 0 && now > l.keep {
			l.previous = 0 // it has dropped its table by now
		}
		if o != nil && o.Group != nil || l.table.Stats(now).Flows > 0 {
			return false
		}
		e.tracker.Unclaim(l.id)
		return true
	case l.role == roleHandedOver && l.settled && now > l.keep:
		l.role, l.table = roleBackup, nil
	case l.role == roleHandedOver && !l.settled && o == nil:
		// Nobody has claimed the group, and it is not in the snapshot.
		if now > l.keep {
			l.role, l.table = roleBackup, nil
		}
	}
	if l.copies != nil && now-l.copyHeard > copiesKeep && !isBackup(o, e.cfg.Self) {
		l.copies, l.copied = nil, 0
	}
	return l.role == roleBackup && l.table == nil && l.copies == nil && l.pull.table == nil &&
		(o == nil || o.Ranked[0] != e.cfg.Self)
}

// isBackup reports whether the instance is among the first ranked.
func isBackup(o *member.Ownership, self snapshot.InstanceID) bool {
	return o != nil && (o.Ranked[0] == self || o.Ranked[1] == self)
}

// Leave starts the graceful stop: groups are handed over.
func (e *Engine) Leave(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Leave()
	e.publish(now)
}

// LeaveDone reports whether all groups have been handed over after Leave. Groups
// that no other instance ranks for cannot be handed over.
func (e *Engine) LeaveDone(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v == nil {
		return true
	}
	if e.tracker.State() != message.Leaving {
		return false
	}
	for _, l := range e.order {
		o := v.Owners[l.id]
		l.mu.Lock()
		held := l.role == roleOwner || l.role == roleHandedOver && !l.settled
		l.mu.Unlock()
		if held && o != nil && o.Ranked[0] != 0 {
			return false
		}
	}
	return true
}
