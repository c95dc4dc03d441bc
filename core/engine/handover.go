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
	// pullPageEntries is the maximum number of entries in one page of a pull.
	pullPageEntries = 2000
	// maxRedirects bounds the number of redirects on the last page of a pull. Any
	// others are learned again from the groups that hold the flows.
	maxRedirects = 10000
	// pullRetryDelay is the delay before a failed pull is retried.
	pullRetryDelay = 200 * time.Millisecond
	// pullTimeout is how long to wait for the answer to a pull request.
	pullTimeout = 5 * time.Second
	// maxPullTries is how often a previous owner that no longer claims the group
	// is asked before the group is taken over without its entries.
	maxPullTries = 5
	// handedOverKeep is how long a handed-over table is kept to forward packets.
	handedOverKeep = 30 * time.Second
	// copiesKeep is how long copies are kept after this instance has stopped
	// being the backup.
	copiesKeep = 60 * time.Second
)

// pull is the state of fetching a group's entries from another instance. An owner
// pulls too, to merge the entries of an instance whose claim was superseded.
type pull struct {
	source   snapshot.InstanceID
	table    *group.Table // being filled; nil before the first page
	base     []snapshot.HostID
	epoch    uint64 // of the source's table
	cursor   uint64
	sentAt   time.Duration
	retryAt  time.Duration
	tries    int
	inFlight bool
	merge    bool
}

// reconcileClaims ends the claims of this instance that are superseded by others, and
// records that the successor of a handed-over group has claimed it.
func (e *Engine) reconcileClaims(now time.Duration, v *member.View) {
	changed := false
	for _, l := range e.sortedGroups {
		o := v.Owners[l.id]
		if o == nil || o.Claimant == 0 || o.Claimant == e.cfg.Self {
			continue
		}
		l.mu.Lock()
		switch l.role {
		case roleOwner:
			l.lostEpoch = l.table.Epoch()
			l.handOver(now, o.Claimant, true)
			e.tracker.Unclaim(l.id)
			changed = true
		case roleHandedOver:
			if !l.successorClaimed {
				l.keepUntil = now + handedOverKeep
			}
			l.successor, l.successorClaimed = o.Claimant, true
		}
		l.mu.Unlock()
	}
	if changed {
		e.publishView(now)
	}
}

// noteConflicts records peers with a claim that is superseded by one of this instance:
// they hold flows that they placed under their claim, which have to be merged.
func (e *Engine) noteConflicts(now time.Duration, h *message.Heartbeat) {
	for _, c := range slices.Concat(h.Claims, h.LostClaims) {
		l := e.localGroup(c.Group)
		if l == nil {
			continue
		}
		l.mu.Lock()
		if l.role == roleOwner && member.ClaimWins(l.table.Epoch(), e.cfg.Self, c.Epoch, h.From) {
			l.previousOwner, l.keepUntil = h.From, now+handedOverKeep
			if l.pull.source != h.From && l.mergedEpochs[h.From] != c.Epoch {
				l.pull = pull{source: h.From, merge: true, retryAt: now + pullRetryDelay}
			}
		}
		l.mu.Unlock()
	}
}

// claimGroups claims the groups that this instance ranks first for. It first pulls the
// entries of the current owner, if there is one.
func (e *Engine) claimGroups(now time.Duration, v *member.View) {
	for _, o := range v.FirstRanked {
		l := e.localGroup(o.ID)
		if l == nil {
			if o.Group == nil && o.Claimant == 0 {
				continue
			}
			l = e.ensureGroup(o.ID)
		}
		l.mu.Lock()
		if l.role != roleOwner {
			e.claimOrPull(now, v, l, o)
		}
		l.mu.Unlock()
	}
}

// claimOrPull claims one group, or starts to pull its entries. The caller holds l.mu.
func (e *Engine) claimOrPull(now time.Duration, v *member.View, l *localGroup, o *member.Ownership) {
	if e.remote(o) && !e.hostsAnswer(now, o.Group) {
		return
	}
	source := o.Claimant
	if source == 0 && o.PreviousClaimant != e.cfg.Self && v.Alive(o.PreviousClaimant) &&
		!(l.pull.source == o.PreviousClaimant && l.pull.tries >= maxPullTries) {
		source = o.PreviousClaimant
	}
	switch {
	case source == 0 && o.MaxEpoch == 0 && e.tracker.InClaimDelay(now):
		// Another instance may be about to claim the group too.
	case source != 0 && source != e.cfg.Self:
		if l.role != rolePulling || l.pull.source != source {
			l.role = rolePulling
			l.pull = pull{source: source, retryAt: now}
		}
	case o.Group == nil && l.table == nil && l.copies == nil:
		// The group is no longer in the snapshot, and there are no entries of it here.
		l.role = roleBackup
	default:
		previous := l.pull.source
		e.takeOwnership(now, l, l.rebuildTable(now, e, v, o), previous)
	}
}

// takeOwnership installs the table and claims the group. The caller holds l.mu.
func (e *Engine) takeOwnership(now time.Duration, l *localGroup, t *group.Table, previous snapshot.InstanceID) {
	l.becomeOwner(now, t, previous)
	t.StartCopies(now)
	e.tracker.Claim(l.id, t.Epoch())
}

// duePulls returns the page requests that are due.
func (e *Engine) duePulls(now time.Duration, v *member.View, out []Output) []Output {
	for _, l := range e.sortedGroups {
		l.mu.Lock()
		if r := l.nextPull(now, v); r != nil {
			r.From = e.cfg.Self
			out = append(out, Output{To: v.Instance(l.pull.source), Pull: r})
		}
		l.mu.Unlock()
	}
	return out
}

// nextPull returns the next page request of the group, or nil if none is due. The
// caller holds l.mu.
func (l *localGroup) nextPull(now time.Duration, v *member.View) *message.PullRequest {
	p := &l.pull
	switch {
	case p.source == 0 || l.role != rolePulling && !p.merge:
		return nil
	case !v.Alive(p.source):
		// A pulling instance gets another source, or none, from claimOrPull. The
		// pages received so far are kept for that.
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
	case p.inFlight && now-p.sentAt > pullTimeout:
		p.inFlight = false
		p.tries++
	}
	if p.inFlight || now < p.retryAt {
		return nil
	}
	p.inFlight, p.sentAt = true, now
	return &message.PullRequest{Group: l.id, Cursor: p.cursor}
}

// Pull serves one page of a group's entries to its next owner. Serving the last page
// ends this instance's claim.
func (e *Engine) Pull(now time.Duration, r *message.PullRequest) (message.PullReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	l := e.localGroup(r.Group)
	switch {
	case v == nil || e.stale(now, v):
		return message.PullReply{}, fmt.Errorf("pull group %s for instance %d: this instance is stale", r.Group, r.From)
	case l == nil:
		return message.PullReply{}, fmt.Errorf("pull group %s for instance %d: no state for this group", r.Group, r.From)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner && l.role != roleHandedOver || r.From == e.cfg.Self {
		return message.PullReply{}, fmt.Errorf("pull group %s for instance %d: cannot serve entries in role %s", r.Group, r.From, l.role)
	}
	reply := l.table.Pull(now, r.Cursor, pullPageEntries)
	if reply.Done {
		reply.Redirects = l.table.Redirects(now, maxRedirects)
	}
	if reply.Done && l.role == roleOwner {
		l.handOver(now, r.From, false)
		e.tracker.Unclaim(l.id)
		e.publishView(now)
	}
	return reply, nil
}

// PullDone delivers the reply to an earlier Output.Pull, which is one page of entries,
// or the error of the call.
func (e *Engine) PullDone(now time.Duration, r *message.PullRequest, reply *message.PullReply, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	l := e.localGroup(r.Group)
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
		p.retryAt = now + pullRetryDelay
		if p.merge && p.tries >= maxPullTries {
			l.pull = pull{}
		}
	case p.merge:
		l.mergePage(now, reply)
	default:
		e.addPage(now, v, l, reply)
	}
	e.publishView(now)
}

// mergePage adds entries of another claimant to an owned table.
func (l *localGroup) mergePage(now time.Duration, reply *message.PullReply) {
	l.table.Import(now, reply.Entries)
	l.pull.cursor = reply.Next
	if reply.Done {
		l.mergedEpochs[l.pull.source] = reply.Epoch
		l.pull = pull{}
	}
}

// addPage adds one page of entries and claims the group after the last one. The caller
// holds l.mu.
func (e *Engine) addPage(now time.Duration, v *member.View, l *localGroup, reply *message.PullReply) {
	p := &l.pull
	if p.table != nil && p.epoch != reply.Epoch {
		// The source has claimed the group again with a new epoch; start over.
		*p = pull{source: p.source, retryAt: now}
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
	e.takeOwnership(now, l, t, p.source)
}

// cleanUp drops state that is no longer needed.
func (e *Engine) cleanUp(now time.Duration, v *member.View) {
	for i := len(e.sortedGroups) - 1; i >= 0; i-- {
		l := e.sortedGroups[i]
		l.mu.Lock()
		empty := e.cleanUpGroup(now, v, l)
		l.mu.Unlock()
		if empty {
			e.removeGroup(l)
		}
	}
}

// cleanUpGroup drops state of one group and reports whether none is left. The caller
// holds l.mu.
func (e *Engine) cleanUpGroup(now time.Duration, v *member.View, l *localGroup) bool {
	o := v.Owners[l.id]
	switch {
	case l.role == roleOwner:
		if l.previousOwner != 0 && now > l.keepUntil {
			l.previousOwner = 0 // it has dropped its table by now
		}
		if o != nil && o.Group != nil || l.table.Stats(now).Flows > 0 {
			return false
		}
		e.tracker.Unclaim(l.id)
		return true
	case l.role == roleHandedOver && l.successorClaimed && now > l.keepUntil:
		l.role, l.table = roleBackup, nil
	case l.role == roleHandedOver && !l.successorClaimed && o == nil:
		// No instance has claimed the group, and it is not in the snapshot.
		if now > l.keepUntil {
			l.role, l.table = roleBackup, nil
		}
	}
	if l.copies != nil && now-l.lastCopy > copiesKeep && !isBackup(o, e.cfg.Self) {
		l.copies, l.copiedEntries = nil, 0
	}
	return l.role == roleBackup && l.table == nil && l.copies == nil && l.pull.table == nil &&
		(o == nil || o.Ranked[0] != e.cfg.Self)
}

// isBackup reports whether the instance is one of the two best-ranked.
func isBackup(o *member.Ownership, self snapshot.InstanceID) bool {
	return o != nil && (o.Ranked[0] == self || o.Ranked[1] == self)
}

// Leave starts a graceful stop, in which all groups are handed over.
func (e *Engine) Leave(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Leave()
	e.publishView(now)
}

// LeaveDone reports whether all groups have been handed over after Leave. Groups
// that no other instance ranks for cannot be handed over and do not count.
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
	for _, l := range e.sortedGroups {
		o := v.Owners[l.id]
		l.mu.Lock()
		held := l.role == roleOwner || l.role == roleHandedOver && !l.successorClaimed
		l.mu.Unlock()
		if held && o != nil && o.Ranked[0] != 0 {
			return false
		}
	}
	return true
}
