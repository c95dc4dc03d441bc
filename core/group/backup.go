package group

import (
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Copies holds the copies of a group's entries at its backup.
type Copies struct {
	epoch   uint64
	seq     uint64
	base    []snapshot.HostID
	entries map[flow.Key]heldCopy
}

type heldCopy struct {
	entry      message.Entry
	receivedAt time.Duration
}

// NewCopies returns an empty set of copies for one group.
func NewCopies() *Copies { return &Copies{entries: make(map[flow.Key]heldCopy)} }

// Len returns the number of copies held.
func (c *Copies) Len() int { return len(c.entries) }

// Apply applies a batch and returns the confirmation, or false if the batch is of
// an older epoch or an earlier batch is missing.
func (c *Copies) Apply(now time.Duration, b *message.CopyBatch) (message.CopyAck, bool) {
	switch {
	case b.Epoch < c.epoch:
		return message.CopyAck{}, false
	case b.Epoch == c.epoch && b.Seq <= c.seq:
		return c.ack(b), true // a retransmission
	case b.Epoch == c.epoch && b.Seq == c.seq+1:
	case b.Seq&(1<<streamShift-1) == 1:
		c.epoch = b.Epoch
		c.entries = make(map[flow.Key]heldCopy)
	default:
		return message.CopyAck{}, false
	}
	c.seq = b.Seq
	c.base = slices.Clone(b.Base)
	for _, k := range b.Ended {
		delete(c.entries, k)
	}
	for _, e := range b.Entries {
		c.entries[e.Key] = heldCopy{e, now}
	}
	return c.ack(b), true
}

func (c *Copies) ack(b *message.CopyBatch) message.CopyAck {
	return message.CopyAck{Group: b.Group, Epoch: c.epoch, Seq: c.seq}
}

// Promote returns the copies and the base list that goes with them, from which
// the new owner creates its Table.
func (c *Copies) Promote(now time.Duration) (entries []message.Entry, base []snapshot.HostID, epoch uint64) {
	for _, e := range c.entries {
		e.entry.Age += now - e.receivedAt
		entries = append(entries, e.entry)
	}
	return entries, c.base, c.epoch
}
