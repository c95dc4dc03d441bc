package group

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Config is what a Table starts from. Times are monotonic, since the start of the process.
type Config struct {
	Group    *snapshot.Group
	Snapshot *snapshot.Snapshot
	Epoch    uint64
	Base     []snapshot.HostID // nil: the hosts of Group
	MaxFlows int               // 0: DefaultMaxFlows
}

// Table is the state of one owned host group.
type Table struct {
	cfg Config
}

// New returns an empty table.
func New(now time.Duration, cfg Config) *Table { return &Table{cfg: cfg} }

// Update takes a newer snapshot into use. The group's hosts may have changed.
func (t *Table) Update(now time.Duration, s *snapshot.Snapshot, g *snapshot.Group) {}

// Packet decides on one packet.
func (t *Table) Packet(now time.Duration, r *Request) Decision { return Decision{Verdict: Miss} }

// Learn adopts what an asked instance holds.
func (t *Table) Learn(now time.Duration, l *message.Learn) {}

// Report takes a host's own load report, which may lag or mislead.
func (t *Table) Report(now time.Duration, h snapshot.HostID, r message.LoadReport) {}

// Foreign takes the counts of flows that another instance holds on hosts of this group.
func (t *Table) Foreign(now time.Duration, from snapshot.InstanceID, counts []message.HostCount) {}

// Tick expires a bounded number of entries, ejects and readmits hosts, and
// returns resets for silent flows.
func (t *Table) Tick(now time.Duration) []flow.Reset { return nil }

// StartCopies begins a new copy stream, for a new backup or after a takeover.
func (t *Table) StartCopies(now time.Duration) {}

// NextCopies returns the next batch for the backup of at most maxEntries
// entries and ends, or false when nothing is due. Unconfirmed batches are
// returned again after a time-out.
func (t *Table) NextCopies(now time.Duration, maxEntries int) (message.CopyBatch, bool) {
	return message.CopyBatch{}, false
}

// Acknowledge confirms batches of the copy stream.
func (t *Table) Acknowledge(ack message.CopyAck) {}

// Pull returns one page of entries for the group's next owner. After the last
// page the table places no new flows.
func (t *Table) Pull(now time.Duration, cursor uint64, maxEntries int) message.PullReply {
	return message.PullReply{Done: true}
}

// Import adds entries of another instance. An entry with the same key and ISN is left as it is.
func (t *Table) Import(now time.Duration, entries []message.Entry) {}

// Placing reports whether the table still places new flows.
func (t *Table) Placing() bool { return true }

// Epoch is the epoch of the claim that the table was made for.
func (t *Table) Epoch() uint64 { return t.cfg.Epoch }

// Stats are counts for metrics and status.
type Stats struct {
	Flows, Backlog int // open entries; entries waiting to be copied
	Hosts          []HostStats
}

// HostStats are the counts of one host.
type HostStats struct {
	Host               snapshot.HostID
	Connections, Slots int
	Weight             float64
	Usable             bool
	Why                string // why it is not usable
}

// Stats returns the present counts.
func (t *Table) Stats(now time.Duration) Stats { return Stats{} }

// Explain tells where the flow goes and why, without changing anything.
func (t *Table) Explain(now time.Duration, k flow.Key, kind snapshot.KindID) string { return "" }

// Copies are the copies that the backup of a group holds.
type Copies struct{}

// NewCopies returns an empty set of copies for one group.
func NewCopies() *Copies { return &Copies{} }

// Apply adds a batch and returns what to confirm, or false when the batch has
// to be sent again from an earlier one.
func (c *Copies) Apply(now time.Duration, b *message.CopyBatch) (message.CopyAck, bool) {
	return message.CopyAck{}, false
}

// Promote returns the copies and the base list they are relative to, for the
// Table of the new owner.
func (c *Copies) Promote(now time.Duration) (entries []message.Entry, base []snapshot.HostID, epoch uint64) {
	return nil, nil, 0
}
