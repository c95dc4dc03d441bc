package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

// tailCursor marks cursors into the tail; those of the table stay below it.
const tailCursor uint64 = 1 << 63

// pull is the state of handing the group over. Flows that begin or end while
// pages of the table are sent are noted in the tail, which is sent last.
type pull struct {
	on, done bool
	tail     []pulled
}

type pulled struct {
	key   flow.Key
	isn   uint32
	ended bool
}

// Pull returns one page of entries for the group's next owner. After the last
// page the table places no new flows.
func (t *Table) Pull(now time.Duration, cursor uint64, maxEntries int) message.PullReply {
	maxEntries = max(maxEntries, 1)
	if cursor == 0 && !t.pull.done {
		t.pull = pull{on: true}
	}
	reply := message.PullReply{Epoch: t.cfg.Epoch, Base: t.base.adopt}
	if cursor < tailCursor {
		next, more := t.flows.Walk(cursor, maxEntries, func(e *table.Entry) bool {
			if !e.Has(table.Redirected) {
				reply.Entries = append(reply.Entries, t.export(now, e))
			}
			return true
		})
		if reply.Next = next; !more {
			reply.Next = tailCursor
		}
		if more || len(t.pull.tail) > 0 {
			return reply
		}
		cursor = tailCursor
	}
	at := min(int(cursor-tailCursor), len(t.pull.tail))
	page := t.pull.tail[at:]
	if len(page) > maxEntries {
		page = page[:maxEntries]
	}
	for _, p := range page {
		reply.Entries = append(reply.Entries, t.exportPulled(now, p))
	}
	reply.Next = tailCursor + uint64(at+len(page))
	reply.Done = at+len(page) == len(t.pull.tail)
	t.pull.done = t.pull.done || reply.Done
	return reply
}

// CancelPull takes the group back after a handover whose next owner has died
// before it claimed the group.
func (t *Table) CancelPull() { t.pull = pull{} }

// exportPulled gives the present state of a flow in the tail.
func (t *Table) exportPulled(now time.Duration, p pulled) message.Entry {
	if e := t.flows.Find(p.key); e != nil && !p.ended && e.ISN == p.isn && !e.Has(table.Redirected) {
		return t.export(now, e)
	}
	return message.Entry{Key: p.key, ISN: p.isn, Ended: true}
}

// notePulled notes a flow that begins, closes or ends during a pull.
func (t *Table) notePulled(e *table.Entry, ended bool) {
	if t.pull.on && !t.pull.done && !e.Has(table.Redirected) {
		t.pull.tail = append(t.pull.tail, pulled{e.Key(), e.ISN, ended})
	}
}

// Import adds entries of another instance. An entry with the same key and ISN is left as it is.
func (t *Table) Import(now time.Duration, entries []message.Entry) {
	for i := range entries {
		m := &entries[i]
		hash := table.HashOf(m.Key)
		e := t.flows.FindHash(hash, m.Key)
		switch {
		case m.Ended:
			if e != nil && e.ISN == m.ISN {
				t.remove(e)
			}
		case e != nil && m.Closing && e.ISN == m.ISN && e.State() < table.Closing:
			t.end(e)
			e.SetState(table.Closing)
		case e == nil:
			if t.flows.Len() < t.cfg.MaxFlows {
				t.add(now, hash, *m)
			}
		}
	}
}

// export gives the entry as it travels between instances.
func (t *Table) export(now time.Duration, e *table.Entry) message.Entry {
	return message.Entry{
		Key: e.Key(), Host: e.Host(), Kind: e.Kind, ISN: e.ISN,
		Established: e.State() >= table.Established,
		Closing:     e.State() >= table.Closing,
		Age:         e.CreatedAt.Elapsed(table.TimestampOf(now)),
	}
}
