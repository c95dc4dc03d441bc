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
