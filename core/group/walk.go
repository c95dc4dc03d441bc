package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

// Walk calls visit for about n of the open flows that the table itself holds,
// from cursor 0 on. It returns the cursor to go on from and whether there is
// more, and changes nothing. visit must not call the table.
func (t *Table) Walk(
	now time.Duration, cursor uint64, n int, visit func(message.Entry),
) (next uint64, more bool) {
	return t.flows.Walk(cursor, n, func(e *table.Entry) bool {
		if !e.Has(table.Redirected) && e.State() < table.Closing {
			visit(t.exportEntry(now, e))
		}
		return true
	})
}

// Redirects returns up to n flows that the table knows to be held by other
// groups, as learn messages for the next owner.
func (t *Table) Redirects(now time.Duration, n int) []message.Learn {
	var out []message.Learn
	t.flows.Walk(0, t.flows.Len(), func(e *table.Entry) bool {
		if e.Has(table.Redirected) && e.State() < table.Closing {
			id := t.cfg.Group.ID
			out = append(out, message.Learn{Group: id, Entry: t.exportEntry(now, e), HeldBy: e.Redirect(id.Service)})
		}
		return len(out) < n
	})
	return out
}

// RemoveUnestablished removes the selected flows whose caller has not acknowledged the
// host's SYN. An address has moved to another service, where the
// SYN's retransmission may open the flow again.
func (t *Table) RemoveUnestablished(selected func(flow.Key) bool) {
	var young []flow.Key
	t.flows.Walk(0, t.flows.Len(), func(e *table.Entry) bool {
		if e.State() == table.SynSeen && selected(e.Key()) {
			young = append(young, e.Key())
		}
		return true
	})
	for _, k := range young {
		t.removeFlow(t.flows.Find(k))
	}
}
