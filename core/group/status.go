package group

import (
	"fmt"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/core/table"
)

// Stats are counts for metrics and status. The field names of Stats and HostStats
// are part of the reply to the status call.
type Stats struct {
	Flows, Backlog int // entries; copies and ended flows that the backup has not confirmed
	Hosts          []HostStats
}

// HostStats are the counts and the state of one host.
type HostStats struct {
	Host               snapshot.HostID
	Connections, Slots int
	Weight             float64
	Usable             bool
	Why                string // the reason why the host is not usable
}

// Stats returns the current counts.
func (t *Table) Stats(now time.Duration) Stats {
	s := Stats{Flows: t.flows.Len(), Backlog: t.copies.backlog()}
	for _, h := range t.hosts.All() {
		s.Hosts = append(s.Hosts, HostStats{
			Host: h.ID, Connections: h.Connections, Slots: h.InProgress,
			Weight: h.Weight(now, snapshot.OccupiesSlot),
			Usable: h.Usable(), Why: h.UnusableReason(),
		})
	}
	return s
}

// Explain describes where the flow goes and why, without changing any state.
func (t *Table) Explain(now time.Duration, k flow.Key, kind snapshot.KindID) string {
	e := t.flows.Find(k)
	switch {
	case e == nil:
		return t.explainNew(now, k, kind)
	case e.Has(table.Redirected):
		return fmt.Sprintf("redirected to group %s", e.Redirect(t.cfg.Group.ID.Service))
	case t.hostGone(e.Host()):
		return fmt.Sprintf("entry on host %d, which is no longer published: the flow is reset", e.Host())
	}
	return fmt.Sprintf("entry on host %d: state=%s age=%s idle=%s retransmissions=%d",
		e.Host(), e.State(), e.CreatedAt.Elapsed(table.TimestampOf(now)), e.LastPacket.Elapsed(table.TimestampOf(now)), e.Retransmissions)
}

func (t *Table) explainNew(now time.Duration, k flow.Key, id snapshot.KindID) string {
	kind := t.kinds[id]
	if kind == nil {
		return fmt.Sprintf("no entry; kind %d is not defined", id)
	}
	d, _ := defaultHost(k, t.bases.initial)
	h, reason := t.chooseHost(now, k, kind, false)
	if h == nil {
		return fmt.Sprintf("no entry; default host %d; a new flow has no room: %s (admission: %s, in use %d, guaranteed %d)",
			d, reason, t.admission.Check(now, id), t.admission.InUse(id), t.admission.Guarantee(id))
	}
	return fmt.Sprintf("no entry; default host %d; a new flow goes to host %d", d, h.ID)
}
