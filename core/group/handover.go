package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

// changesCursor is the first cursor into the list of changes. Cursors of the flow
// table are lower.
const changesCursor uint64 = 1 << 63

// pullState is the state of a handover. Changes of flows while pages of the table
// are sent are recorded in a list, which is sent last.
type pullState struct {
	active, done bool
	changes      []pullChange
}

type pullChange struct {
	key   flow.Key
	isn   uint32
	ended bool
}

// Pull returns one page of entries for the group's next owner. Once it has
// returned the last page, the table places no new flows.
func (t *Table) Pull(now time.Duration, cursor uint64, maxEntries int) message.PullReply {
	maxEntries = max(maxEntries, 1)
	if cursor == 0 && !t.pull.done {
		t.pull = pullState{active: true}
	}
	reply := message.PullReply{Epoch: t.cfg.Epoch, Base: t.bases.initial}
	if cursor < changesCursor {
		next, more := t.flows.Walk(cursor, maxEntries, func(e *table.Entry) bool {
			if !e.Has(table.Redirected) {
				reply.Entries = append(reply.Entries, t.exportEntry(now, e))
			}
			return true
		})
		if reply.Next = next; !more {
			reply.Next = changesCursor
		}
		if more || len(t.pull.changes) > 0 {
			return reply
		}
		cursor = changesCursor
	}
	at := min(int(cursor-changesCursor), len(t.pull.changes))
	page := t.pull.changes[at:]
	if len(page) > maxEntries {
		page = page[:maxEntries]
	}
	for _, p := range page {
		reply.Entries = append(reply.Entries, t.exportChange(now, p))
	}
	reply.Next = changesCursor + uint64(at+len(page))
	reply.Done = at+len(page) == len(t.pull.changes)
	t.pull.done = t.pull.done || reply.Done
	return reply
}

// CancelPull cancels a handover whose next owner failed before it claimed the
// group, so that the table places new flows again.
func (t *Table) CancelPull() { t.pull = pullState{} }

// exportChange returns the current state of a flow in the list of changes.
func (t *Table) exportChange(now time.Duration, p pullChange) message.Entry {
	if e := t.flows.Find(p.key); e != nil && !p.ended && e.ISN == p.isn && !e.Has(table.Redirected) {
		return t.exportEntry(now, e)
	}
	return message.Entry{Key: p.key, ISN: p.isn, Ended: true}
}

// notePullChange records a flow that starts, closes or ends during a handover.
func (t *Table) notePullChange(e *table.Entry, ended bool) {
	if t.pull.active && !t.pull.done && !e.Has(table.Redirected) {
		t.pull.changes = append(t.pull.changes, pullChange{e.Key(), e.ISN, ended})
	}
}

// Import adds entries of another instance and applies the end or closing of
// flows with the same key and ISN. It does not replace existing entries.
func (t *Table) Import(now time.Duration, entries []message.Entry) {
	for i := range entries {
		m := &entries[i]
		hash := table.HashOf(m.Key)
		e := t.flows.FindHash(hash, m.Key)
		switch {
		case m.Ended:
			if e != nil && e.ISN == m.ISN {
				t.removeFlow(e)
			}
		case e != nil && m.Closing && e.ISN == m.ISN && e.State() < table.Closing:
			t.uncountFlow(e)
			e.SetState(table.Closing)
		case e == nil:
			if t.flows.Len() < t.cfg.MaxFlows {
				t.addFlow(now, hash, *m)
			}
		}
	}
}

// exportEntry returns the entry in the form sent between instances.
func (t *Table) exportEntry(now time.Duration, e *table.Entry) message.Entry {
	return message.Entry{
		Key: e.Key(), Host: e.Host(), Kind: e.Kind, ISN: e.ISN,
		Established: e.State() >= table.Established,
		Closing:     e.State() >= table.Closing,
		Age:         e.CreatedAt.Elapsed(table.TimestampOf(now)),
	}
}
