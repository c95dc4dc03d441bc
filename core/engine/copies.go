package engine

import (
	"time"

	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// copyEntries is the largest number of entries in one batch, so that a
	// batch fits a datagram of about 1,200 bytes.
	copyEntries = 24
	// copyHeader, copyEntry, copyEnd and copyBase are the estimated bytes on
	// the wire of a batch without content and of its parts.
	copyHeader = 90
	copyEntry  = 44
	copyEnd    = 20
	copyBase   = 5
	// copyBurst is how long unused budget accumulates.
	copyBurst = time.Second
)

// CopyBatchSize is the estimated size of a batch on the wire in bytes.
func CopyBatchSize(b *message.CopyBatch) int {
	return copyHeader + copyEntry*len(b.Entries) + copyEnd*len(b.Ended) + copyBase*len(b.Base)
}

// copies returns the batches that are due and fit the control budget, which
// heartbeats use first.
func (e *Engine) copies(now time.Duration, v *member.View, out []Output) []Output {
	rate := max((1-displacedShare)*float64(e.cfg.ControlBudget)-e.tracker.HeartbeatRate(), float64(e.cfg.ControlBudget)/10)
	e.tokens = min(rate*copyBurst.Seconds(), e.tokens+rate*(now-e.filled).Seconds())
	e.filled = now
	if len(e.order) == 0 {
		return out
	}
	e.turn++
	for i := range e.order {
		l := e.order[(e.turn+i)%len(e.order)]
		l.mu.Lock()
		out = e.copiesOf(now, v, l, out)
		l.mu.Unlock()
	}
	return out
}

// copiesOf is called with l.mu held.
func (e *Engine) copiesOf(now time.Duration, v *member.View, l *local, out []Output) []Output {
	o := v.Owners[l.id]
	if l.role != roleOwner || o == nil {
		return out
	}
	if backup := backupOf(o, e.cfg.Self); backup != l.backup {
		l.backup = backup
		l.table.StartCopies(now)
	}
	if l.backup == 0 {
		return out
	}
	for e.tokens >= copyHeader+copyEntry {
		n := min(copyEntries, int(e.tokens-copyHeader)/copyEntry)
		batch, ok := l.table.NextCopies(now, n)
		if !ok {
			break
		}
		batch.From, batch.Group = e.cfg.Self, l.id
		e.tokens -= float64(CopyBatchSize(&batch))
		out = append(out, Output{To: v.Instance(l.backup), Copies: &batch})
	}
	return out
}

// backupOf is the first ranked instance other than the owner.
func backupOf(o *member.Ownership, owner snapshot.InstanceID) snapshot.InstanceID {
	for _, id := range o.Ranked {
		if id != owner {
			return id
		}
	}
	return 0
}

// CopyBatch takes copies as the backup of a group. It returns false when the
// batch is of a claim that does not hold or has to be sent again.
func (e *Engine) CopyBatch(now time.Duration, b *message.CopyBatch) (message.CopyAck, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v == nil {
		return message.CopyAck{}, false
	}
	o := v.Owners[b.Group]
	if o != nil && o.Claimant != 0 && o.Claimant != b.From &&
		member.ClaimWins(o.Epoch, o.Claimant, b.Epoch, b.From) {
		return message.CopyAck{}, false
	}
	l := e.ensure(b.Group)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == roleOwner || b.Epoch < l.copyEpoch && l.copies != nil {
		return message.CopyAck{}, false
	}
	if l.copies == nil {
		l.copies = group.NewCopies()
	}
	if b.Epoch != l.copyEpoch || b.From != l.copyFrom {
		l.copyEpoch, l.copyFrom, l.copied = b.Epoch, b.From, 0
	}
	e.tracker.ObserveEpoch(b.Group, b.Epoch)
	l.copyHeard = now
	ack, ok := l.copies.Apply(now, b)
	if ok {
		l.copied += len(b.Entries)
	}
	ack.From, ack.Group = e.cfg.Self, b.Group
	return ack, ok
}

// CopyAck takes a backup's confirmation.
func (e *Engine) CopyAck(now time.Duration, a *message.CopyAck) {
	l := e.local(a.Group)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == roleOwner && a.From == l.backup && a.Epoch == l.table.Epoch() {
		l.table.Acknowledge(*a)
	}
}
