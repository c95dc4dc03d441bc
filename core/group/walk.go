package group

import (
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/table"
)

// Walk calls visit for about n of the open flows that the table itself holds,
// from cursor 0 on. It returns the cursor to go on from and whether there is
// more, and changes nothing. visit must not call the table.
func (t *Table) Walk(
	now time.Duration, cursor uint64, n int, visit func(message.Entry),
) (next uint64, more bool) {
	return t.flows.Walk(cursor, n, func(e *table.Entry) {
		if !e.Has(table.Redirected) && e.State() < table.Closing {
			visit(t.export(now, e))
		}
	})
}

// Redirects returns up to n flows that the table knows to be held by other
// groups, as learn messages for the next owner.
func (t *Table) Redirects(now time.Duration, n int) []message.Learn {
	var out []message.Learn
	t.flows.Walk(0, t.flows.Len(), func(e *table.Entry) {
		if len(out) < n && e.Has(table.Redirected) && e.State() < table.Closing {
			id := t.cfg.Group.ID
			out = append(out, message.Learn{Group: id, Entry: t.export(now, e), HeldBy: e.Redirect(id.Service)})
		}
	})
	return out
}
