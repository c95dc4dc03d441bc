package group

import (
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

const (
	// copyAge is the age below which flows are not copied: most flows are
	// shorter, and the control budget does not allow for them. It leaves a
	// batch 200 ms to be sent, so that flows of 2 s survive a death.
	copyAge = 1800 * time.Millisecond
	// copyTimeout is the time after which a batch is sent again. It is well
	// above the round trip between any two domains.
	copyTimeout = 500 * time.Millisecond
	// copyWindow bounds the batches under way.
	copyWindow = 8
	// queueLimit bounds the flows waiting to become old enough. Beyond it the
	// queue is given up and the table scanned again.
	queueLimit = 1 << 17
	// scanPart is the number of entries that a scan visits for each entry
	// that a batch may hold. It bounds the time of one call.
	scanPart = 16
	scanMin  = 512
	// streamShift makes the batches of a later stream within one epoch
	// higher than those of an earlier one, so that a former backup does not
	// take them for repetitions.
	streamShift = 32
)

type waiting struct {
	key flow.Key
	due time.Duration
}

type sentBatch struct {
	batch message.CopyBatch
	at    time.Duration
}

// stream is the copy stream to the present backup.
type stream struct {
	on     bool
	number uint64 // streams started before in this epoch
	seq    uint64 // of the last batch, without the stream number
	acked  uint64

	queue   []waiting // new flows, by due time
	ended   []flow.Key
	unacked []sentBatch

	scanning bool
	cursor   uint64
	rebase   rebase
	mark     uint64 // batch that must be confirmed before the next step of rebase
}

// rebase is the progress of a change of the base list.
type rebase uint8

const (
	rebaseNone    rebase = iota
	rebaseScan           // copying what is not at the default of the next list
	rebaseConfirm        // waiting until the backup has these copies
	rebaseSend           // the next batch announces the list
	rebaseSent           // waiting until the backup has the list
)

// StartCopies begins a new copy stream, for a new backup or after a takeover.
func (t *Table) StartCopies(now time.Duration) {
	number := t.copies.number
	if t.copies.on {
		number++
	}
	t.copies = stream{on: true, number: number, scanning: true}
	t.base.sent = false
	if t.base.next != nil {
		t.copies.rebase = rebaseScan
	}
}

// changeBase begins the change to the present host list as the base list. A
// change whose list the backup may already have is finished first.
func (t *Table) changeBase() {
	list := hostIDs(t.cfg.Group)
	c := &t.copies
	switch {
	case t.base.sent, slices.Equal(list, t.base.next):
	case slices.Equal(list, t.base.now):
		t.base.next = nil
		c.rebase = rebaseNone
	default:
		t.base.next = list
		c.scanning, c.cursor, c.rebase = true, 0, rebaseScan
	}
}

// queueCopy makes the entry wait for its copy.
func (t *Table) queueCopy(now time.Duration, e *table.Entry) {
	c := &t.copies
	if !c.on || t.base.implied(e.Key(), e.Host()) {
		return
	}
	if len(c.queue) >= queueLimit {
		c.queue = nil
		c.scanning, c.cursor = true, 0
		return
	}
	due := now + copyAge - e.CreatedAt.Elapsed(table.TimestampOf(now))
	c.queue = append(c.queue, waiting{e.Key(), due})
}

// queueEnd tells the backup of the end of a copied flow.
func (t *Table) queueEnd(e *table.Entry) {
	if t.copies.on && e.Has(table.Copied) {
		t.copies.ended = append(t.copies.ended, e.Key())
	}
}

// NextCopies returns the next batch for the backup of at most maxEntries
// entries and ends, or false when nothing is due. Unconfirmed batches are
// returned again after a time-out.
func (t *Table) NextCopies(now time.Duration, maxEntries int) (message.CopyBatch, bool) {
	c := &t.copies
	if !c.on || maxEntries <= 0 {
		return message.CopyBatch{}, false
	}
	for i := range c.unacked {
		if u := &c.unacked[i]; now-u.at >= copyTimeout {
			u.at = now
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
	t.scan(now, &b, maxEntries)
	empty := len(b.Ended)+len(b.Entries) == 0
	if c.rebase == rebaseScan && !c.scanning {
		c.rebase, c.mark = rebaseConfirm, c.seq
		if !empty {
			c.mark++
		}
	}
	t.stepBase()
	if empty && c.seq > 0 && c.rebase != rebaseSend {
		return message.CopyBatch{}, false
	}
	c.seq++
	b.Seq = c.number<<streamShift | c.seq
	b.Base = t.base.now
	if c.rebase == rebaseSend {
		t.base.sent = true
		c.rebase, c.mark = rebaseSent, c.seq
	}
	if t.base.sent {
		b.Base = t.base.next
	}
	c.unacked = append(c.unacked, sentBatch{b, now})
	return b, true
}

// takeQueued moves due flows from the queue to the batch.
func (t *Table) takeQueued(now time.Duration, b *message.CopyBatch, limit int) {
	c := &t.copies
	for len(c.queue) > 0 && len(b.Ended)+len(b.Entries) < limit && c.queue[0].due <= now {
		if e := t.flows.Find(c.queue[0].key); e != nil && !e.Has(table.Copied) {
			t.copyEntry(now, e, b)
		}
		c.queue = c.queue[1:]
	}
	if len(c.queue) == 0 {
		c.queue = nil
	}
}

// copyEntry puts the entry into the batch unless the backup finds its host
// without a copy, or the flow is over.
func (t *Table) copyEntry(now time.Duration, e *table.Entry, b *message.CopyBatch) {
	if e.Has(table.Redirected) || over(e) || t.base.implied(e.Key(), e.Host()) {
		return
	}
	e.SetFlags(table.Copied)
	b.Entries = append(b.Entries, t.export(now, e))
}

// over reports whether the flow ended before it was old enough to be copied.
// Entries of ended flows are kept for a while; copying them would put every
// short flow into the stream.
func over(e *table.Entry) bool {
	return e.State() == table.Closed || e.State() == table.Closing && e.CreatedAt.Elapsed(e.LastPacket) < copyAge
}

// scan goes on through the table, for a new stream or a new base list.
func (t *Table) scan(now time.Duration, b *message.CopyBatch, limit int) {
	c := &t.copies
	if !c.scanning {
		return
	}
	c.cursor, c.scanning = t.flows.Walk(c.cursor, max(scanMin, limit*scanPart), func(e *table.Entry) bool {
		if len(b.Ended)+len(b.Entries) >= limit {
			return false
		}
		switch {
		case e.Has(table.Redirected):
		case e.CreatedAt.Elapsed(table.TimestampOf(now)) < copyAge:
			e.ClearFlags(table.Copied)
			t.queueCopy(now, e)
		default:
			t.copyEntry(now, e, b)
		}
		return true
	})
}

// stepBase moves the change of the base list on once the backup has confirmed
// the step before.
func (t *Table) stepBase() {
	c := &t.copies
	switch {
	case c.acked < c.mark:
	case c.rebase == rebaseConfirm:
		c.rebase = rebaseSend
	case c.rebase == rebaseSent:
		t.base.now, t.base.next, t.base.sent = t.base.next, nil, false
		c.rebase = rebaseNone
		t.changeBase()
	}
}

// Acknowledge confirms batches of the copy stream.
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
	c.unacked = slices.DeleteFunc(c.unacked, func(u sentBatch) bool { return u.batch.Seq <= ack.Seq })
	t.stepBase()
}

// backlog is the number of entries and ends that wait to be confirmed.
func (c *stream) backlog() int {
	n := len(c.queue) + len(c.ended)
	for _, u := range c.unacked {
		n += len(u.batch.Entries) + len(u.batch.Ended)
	}
	return n
}
