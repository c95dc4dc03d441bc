package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

// Walk visits up to n entries, starting at cursor, which is 0 for the first
// call, and calls visit for those that are open and not redirects. It returns
// the cursor for the next call and whether there are more entries. It changes
// nothing. visit must not call methods of the table.
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

// Redirects returns up to n redirects of open flows, as learn messages for the
// next owner of the group.
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

// RemoveUnestablished removes the selected flows whose caller has not
// acknowledged the host's SYN. It is called when an address has moved to another
// service, since a retransmission of the SYN may open the flow there.
func (t *Table) RemoveUnestablished(selected func(flow.Key) bool) {
	var keys []flow.Key
	t.flows.Walk(0, t.flows.Len(), func(e *table.Entry) bool {
		if e.State() == table.SynSeen && selected(e.Key()) {
			keys = append(keys, e.Key())
		}
		return true
	})
	for _, k := range keys {
		t.removeFlow(t.flows.Find(k))
	}
}
