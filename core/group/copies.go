package group

import (
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

const (
	// copyMinAge is the age below which flows are not copied. Most flows end
	// earlier, and copying them would exceed the budget for control traffic. It
	// leaves 200 ms to send a batch, so that flows older than 2 s survive the
	// failure of the owner.
	copyMinAge = 1800 * time.Millisecond
	// copyResendAfter is the time after which an unconfirmed batch is sent again.
	// It is well above the round-trip time between any two domains.
	copyResendAfter = 500 * time.Millisecond
	// copyWindow is the maximum number of unconfirmed batches.
	copyWindow = 8
	// copyQueueLimit is the maximum number of flows that wait to reach
	// copyMinAge. Beyond it the queue is discarded and the table scanned again.
	copyQueueLimit = 1 << 17
	// scanFactor is the number of entries that a scan visits per entry that a
	// batch may hold. It limits the duration of one call.
	scanFactor = 16
	scanMin    = 512
	// streamShift is the position of the stream number within the sequence
	// number of a batch. The batches of a later stream within one epoch have
	// higher sequence numbers than those of an earlier one, so that an instance
	// that was the backup before does not take them for retransmissions.
	streamShift = 32
)

type queuedCopy struct {
	key flow.Key
	due time.Duration
}

type unackedBatch struct {
	batch  message.CopyBatch
	sentAt time.Duration
}

// copyStream is the state of the copy stream to the current backup.
type copyStream struct {
	active bool
	number uint64 // number of earlier streams in this epoch
	seq    uint64 // sequence number of the last batch, without the stream number
	acked  uint64

	queue   []queuedCopy // new flows, by due time
	ended   []flow.Key
	unacked []unackedBatch

	scanning   bool
	cursor     uint64
	rebaseStep rebaseState
	rebaseSeq  uint64 // batch that must be confirmed before the next step of the rebase
}

// rebaseState is the step that a change of the base list has reached.
type rebaseState uint8

const (
	rebaseNone        rebaseState = iota
	rebaseScanning                // copying the flows that are not on their default host of the next list
	rebaseAwaitCopies             // waiting until the backup has confirmed these copies
	rebaseAnnounce                // the next batch announces the next list
	rebaseAwaitList               // waiting until the backup has confirmed the list
)

// StartCopies starts a new copy stream, for a new backup or after a takeover.
func (t *Table) StartCopies(now time.Duration) {
	number := t.copies.number
	if t.copies.active {
		number++
	}
	t.copies = copyStream{active: true, number: number, scanning: true}
	t.bases.nextSent = false
	if t.bases.next != nil {
		t.copies.rebaseStep = rebaseScanning
	}
}

// startRebase starts to make the current host list the base list. If the backup
// may already have the list of a change in progress, that change is completed
// first.
func (t *Table) startRebase() {
	list := hostIDs(t.cfg.Group)
	c := &t.copies
	switch {
	case t.bases.nextSent, slices.Equal(list, t.bases.next):
	case slices.Equal(list, t.bases.current):
		t.bases.next = nil
		c.rebaseStep = rebaseNone
	default:
		t.bases.next = list
		c.scanning, c.cursor, c.rebaseStep = true, 0, rebaseScanning
	}
}

// queueCopy queues the flow to be copied when it reaches copyMinAge.
func (t *Table) queueCopy(now time.Duration, e *table.Entry) {
	c := &t.copies
	if !c.active || t.bases.impliesHost(e.Key(), e.Host()) {
		return
	}
	if len(c.queue) >= copyQueueLimit {
		c.queue = nil
		c.scanning, c.cursor = true, 0
		return
	}
	due := now + copyMinAge - e.CreatedAt.Elapsed(table.TimestampOf(now))
	c.queue = append(c.queue, queuedCopy{e.Key(), due})
}

// queueEnd queues a notice to the backup that a copied flow has ended.
func (t *Table) queueEnd(e *table.Entry) {
	if t.copies.active && e.Has(table.Copied) {
		t.copies.ended = append(t.copies.ended, e.Key())
	}
}

// NextCopies returns the next batch for the backup, which has at most maxEntries
// entries and ended flows, or false if nothing is due. Unconfirmed batches are
// returned again after copyResendAfter.
func (t *Table) NextCopies(now time.Duration, maxEntries int) (message.CopyBatch, bool) {
	c := &t.copies
	if !c.active || maxEntries <= 0 {
		return message.CopyBatch{}, false
	}
	for i := range c.unacked {
		if u := &c.unacked[i]; now-u.sentAt >= copyResendAfter {
			u.sentAt = now
			return u.batch, true
		}
	}
	if len(c.unacked) >= copyWindow {
		return message.CopyBatch{}, false
	}
	b := message.CopyBatch{Group: t.cfg.Group.ID, Epoch: t.cfg.Epoch}
	n := min(maxEntries, len(c.ended))
	b.Ended = c.ended[:n:n]
	if c.ended = c.ended[n:]; len(c.ended) == 0 {
		c.ended = nil
	}
	t.takeQueued(now, &b, maxEntries)
	t.scanTable(now, &b, maxEntries)
	empty := len(b.Ended)+len(b.Entries) == 0
	if c.rebaseStep == rebaseScanning && !c.scanning {
		c.rebaseStep, c.rebaseSeq = rebaseAwaitCopies, c.seq
		if !empty {
			c.rebaseSeq++
		}
	}
	t.advanceRebase()
	if empty && c.seq > 0 && c.rebaseStep != rebaseAnnounce {
		return message.CopyBatch{}, false
	}
	c.seq++
	b.Seq = c.number<<streamShift | c.seq
	b.Base = t.bases.current
	if c.rebaseStep == rebaseAnnounce {
		t.bases.nextSent = true
		c.rebaseStep, c.rebaseSeq = rebaseAwaitList, c.seq
	}
	if t.bases.nextSent {
		b.Base = t.bases.next
	}
	c.unacked = append(c.unacked, unackedBatch{b, now})
	return b, true
}

// takeQueued moves due flows from the queue to the batch.
func (t *Table) takeQueued(now time.Duration, b *message.CopyBatch, limit int) {
	c := &t.copies
	for len(c.queue) > 0 && len(b.Ended)+len(b.Entries) < limit && c.queue[0].due <= now {
		if e := t.flows.Find(c.queue[0].key); e != nil && !e.Has(table.Copied) {
			t.appendCopy(now, e, b)
		}
		c.queue = c.queue[1:]
	}
	if len(c.queue) == 0 {
		c.queue = nil
	}
}

// appendCopy adds the entry to the batch unless the backup can derive its host
// without a copy, or the flow is over.
func (t *Table) appendCopy(now time.Duration, e *table.Entry, b *message.CopyBatch) {
	if e.Has(table.Redirected) || endedBeforeCopy(e) || t.bases.impliesHost(e.Key(), e.Host()) {
		return
	}
	e.SetFlags(table.Copied)
	b.Entries = append(b.Entries, t.exportEntry(now, e))
}

// endedBeforeCopy reports whether the flow was closed, or ended before it was old
// enough to be copied. Entries of ended flows are kept for some time; copying
// them would put every short flow into the stream.
func endedBeforeCopy(e *table.Entry) bool {
	return e.State() == table.Closed || e.State() == table.Closing && e.CreatedAt.Elapsed(e.LastPacket) < copyMinAge
}

// scanTable continues the scan of the table for a new stream or a new base list.
func (t *Table) scanTable(now time.Duration, b *message.CopyBatch, limit int) {
	c := &t.copies
	if !c.scanning {
		return
	}
	c.cursor, c.scanning = t.flows.Walk(c.cursor, max(scanMin, limit*scanFactor), func(e *table.Entry) bool {
		if len(b.Ended)+len(b.Entries) >= limit {
			return false
		}
		switch {
		case e.Has(table.Redirected):
		case e.CreatedAt.Elapsed(table.TimestampOf(now)) < copyMinAge:
			e.ClearFlags(table.Copied)
			t.queueCopy(now, e)
		default:
			t.appendCopy(now, e, b)
		}
		return true
	})
}

// advanceRebase goes to the next step of a change of the base list once the
// backup has confirmed the previous one.
func (t *Table) advanceRebase() {
	c := &t.copies
	switch {
	case c.acked < c.rebaseSeq:
	case c.rebaseStep == rebaseAwaitCopies:
		c.rebaseStep = rebaseAnnounce
	case c.rebaseStep == rebaseAwaitList:
		t.bases.current, t.bases.next, t.bases.nextSent = t.bases.next, nil, false
		c.rebaseStep = rebaseNone
		t.startRebase()
	}
}

// Acknowledge handles the backup's confirmation of batches.
func (t *Table) Acknowledge(ack message.CopyAck) {
	c := &t.copies
	if ack.Group != t.cfg.Group.ID || ack.Epoch != t.cfg.Epoch || ack.Seq>>streamShift != c.number {
		return
	}
	seq := ack.Seq & (1<<streamShift - 1)
	if seq > c.seq {
		return
	}
	c.acked = max(c.acked, seq)
	c.unacked = slices.DeleteFunc(c.unacked, func(u unackedBatch) bool { return u.batch.Seq <= ack.Seq })
	t.advanceRebase()
}

// backlog returns the number of entries and ended flows that the backup has not
// confirmed yet.
func (c *copyStream) backlog() int {
	n := len(c.queue) + len(c.ended)
	for _, u := range c.unacked {
		n += len(u.batch.Entries) + len(u.batch.Ended)
	}
	return n
}
