package engine

import (
	"time"

	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// maxBatchEntries is the maximum number of entries in one batch, so that a
	// batch fits into a datagram of about 1,200 bytes.
	maxBatchEntries = 24
	// batchHeaderBytes is the estimated size on the wire of an empty batch.
	// batchEntryBytes, batchEndedBytes and batchBaseBytes are what one entry, one
	// ended flow and one host of the base list add to it.
	batchHeaderBytes = 90
	batchEntryBytes  = 44
	batchEndedBytes  = 20
	batchBaseBytes   = 5
	// copyBurst is the time over which unused budget accumulates.
	copyBurst = time.Second
)

// CopyBatchSize returns the estimated size of a batch on the wire in bytes.
func CopyBatchSize(b *message.CopyBatch) int {
	return batchHeaderBytes + batchEntryBytes*len(b.Entries) + batchEndedBytes*len(b.Ended) + batchBaseBytes*len(b.Base)
}

// dueCopies returns the batches that are due and fit into the part of the control
// budget that heartbeats leave over.
func (e *Engine) dueCopies(now time.Duration, v *member.View, out []Output) []Output {
	rate := max((1-displacedBudgetShare)*float64(e.cfg.ControlBudget)-e.tracker.HeartbeatRate(), float64(e.cfg.ControlBudget)/10)
	e.copyTokens = min(rate*copyBurst.Seconds(), e.copyTokens+rate*(now-e.copyRefilled).Seconds())
	e.copyRefilled = now
	if len(e.sortedGroups) == 0 {
		return out
	}
	e.copyOffset++
	for i := range e.sortedGroups {
		l := e.sortedGroups[(e.copyOffset+i)%len(e.sortedGroups)]
		l.mu.Lock()
		out = e.dueGroupCopies(now, v, l, out)
		l.mu.Unlock()
	}
	return out
}

// dueGroupCopies appends the batches of one group. The caller holds l.mu.
func (e *Engine) dueGroupCopies(now time.Duration, v *member.View, l *localGroup, out []Output) []Output {
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
	for e.copyTokens >= batchHeaderBytes+batchEntryBytes {
		n := min(maxBatchEntries, int(e.copyTokens-batchHeaderBytes)/batchEntryBytes)
		batch, ok := l.table.NextCopies(now, n)
		if !ok {
			break
		}
		batch.From, batch.Group = e.cfg.Self, l.id
		e.copyTokens -= float64(CopyBatchSize(&batch))
		out = append(out, Output{To: v.Instance(l.backup), Copies: &batch})
	}
	return out
}

// backupOf returns the best-ranked instance other than the owner, 0 if there is none.
func backupOf(o *member.Ownership, owner snapshot.InstanceID) snapshot.InstanceID {
	for _, id := range o.Ranked {
		if id != owner {
			return id
		}
	}
	return 0
}

// CopyBatch processes copies that this instance receives as the backup of a group. It
// returns false if another claim takes precedence over the sender's, or if the batch must
// be sent again.
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
	l := e.ensureGroup(b.Group)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == roleOwner || b.Epoch < l.copyEpoch && l.copies != nil {
		return message.CopyAck{}, false
	}
	if l.copies == nil {
		l.copies = group.NewCopies()
	}
	if b.Epoch != l.copyEpoch || b.From != l.copyFrom {
		l.copyEpoch, l.copyFrom, l.copiedEntries = b.Epoch, b.From, 0
	}
	e.tracker.ObserveEpoch(b.Group, b.Epoch)
	l.lastCopy = now
	ack, ok := l.copies.Apply(now, b)
	if ok {
		l.copiedEntries += len(b.Entries)
	}
	ack.From, ack.Group = e.cfg.Self, b.Group
	return ack, ok
}

// CopyAck processes the acknowledgement of a backup.
func (e *Engine) CopyAck(now time.Duration, a *message.CopyAck) {
	l := e.localGroup(a.Group)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == roleOwner && a.From == l.backup && a.Epoch == l.table.Epoch() {
		l.table.Acknowledge(*a)
	}
}
