// Package engine is the brain of one instance: packets, control messages and
// the time go in, actions come out. It joins the snapshot, the membership view
// and the tables of owned groups, and does no I/O, so that tests can run many
// engines against one another.
//
// Locks: the snapshot and the view are atomic pointers and are read first.
// Then at most one group mutex is held, never two.
package engine

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Relay is what travels with a packet between instances.
type Relay struct {
	Ask     group.Ask
	Hops    uint8 // relays so far
	Group   snapshot.GroupID
	Asker   snapshot.InstanceID // owner that wants to learn the flow's entry, 0 if none
	Service snapshot.ServiceID
	Version snapshot.Version // snapshot in force at the sender
}

// Verdict is the kind of an Action.
type Verdict uint8

const (
	// ToHost forwards the packet to Action.Host.
	ToHost Verdict = iota
	// ToPeer relays the packet to Action.Peer with Action.Relay.
	ToPeer
	// ToCaller sends Action.Reset through the fabric.
	ToCaller
	// Drop discards the packet.
	Drop
)

// Action says what to do with one packet.
type Action struct {
	Verdict Verdict
	Reason  group.Reason
	Host    *snapshot.Host
	Peer    *snapshot.Instance
	Relay   Relay
	Reset   flow.Reset
	// Learn, when LearnTo is not nil, is to be sent to that instance as well.
	LearnTo *snapshot.Instance
	Learn   message.Learn
}

// Config of an engine.
type Config struct {
	Self   snapshot.InstanceID
	Domain snapshot.DomainID
	Boot   uint64 // start time of the process, ns since the Unix epoch
	// Budget is the limit of control traffic in bytes a second.
	Budget int
	// MaxFlows limits the entries of one group, 0 for the default.
	MaxFlows int
	// Seed feeds jitter, so that runs can be repeated.
	Seed uint64
}

// Engine is the state of one instance. All methods may be called concurrently.
// Times are monotonic, since the start of the process.
type Engine struct {
	cfg Config
}

// New returns an engine in state Joining without a snapshot.
func New(now time.Duration, cfg Config) *Engine { return &Engine{cfg: cfg} }

// SetSnapshot takes a snapshot into force. An older one than that in force is
// refused and false returned.
func (e *Engine) SetSnapshot(now time.Duration, s *snapshot.Snapshot) bool { return false }

// Snapshot returns the snapshot in force, or nil.
func (e *Engine) Snapshot() *snapshot.Snapshot { return nil }

// Packet decides on one packet. relay is nil for packets from the fabric.
func (e *Engine) Packet(now time.Duration, p *flow.Packet, relay *Relay) Action {
	return Action{Verdict: Drop, Reason: group.ReasonStale}
}

// Heartbeat takes a peer's heartbeat.
func (e *Engine) Heartbeat(now time.Duration, h *message.Heartbeat) {}

// Learn takes what an asked instance holds.
func (e *Engine) Learn(now time.Duration, l *message.Learn) {}

// CopyBatch takes copies as the backup of a group.
func (e *Engine) CopyBatch(now time.Duration, b *message.CopyBatch) (message.CopyAck, bool) {
	return message.CopyAck{}, false
}

// CopyAck takes a backup's confirmation.
func (e *Engine) CopyAck(now time.Duration, a *message.CopyAck) {}

// Pull serves one page of a group's entries to its next owner.
func (e *Engine) Pull(now time.Duration, r *message.PullRequest) (message.PullReply, error) {
	return message.PullReply{}, nil
}

// PullDone delivers one page that an earlier Output.Pull asked for, or the
// error of the call.
func (e *Engine) PullDone(now time.Duration, r *message.PullRequest, reply *message.PullReply, err error) {
}

// Report takes the answer of a host's health endpoint.
func (e *Engine) Report(now time.Duration, h snapshot.HostID, r message.LoadReport) {}

// ProbeTargets returns the hosts that this instance has to probe now.
func (e *Engine) ProbeTargets(now time.Duration) []*snapshot.Host { return nil }

// Output is work that the engine wants done. Exactly one field is set.
type Output struct {
	To        *snapshot.Instance // receiver of Heartbeat, Copies and Pull, source of Fetch
	Heartbeat *message.Heartbeat
	Copies    *message.CopyBatch
	Pull      *message.PullRequest
	Reset     *flow.Reset
	// Fetch asks for the snapshot difference after this version from peer To.
	Fetch bool
}

// TickInterval is how often Tick is to be called. A gap of over StaleGap
// between two calls means that the process was paused.
const (
	TickInterval = 50 * time.Millisecond
	StaleGap     = time.Second
)

// Tick drives time-outs and returns the work that is due.
func (e *Engine) Tick(now time.Duration) []Output { return nil }

// Leave starts the graceful stop: groups are handed over.
func (e *Engine) Leave(now time.Duration) {}

// Left reports whether all groups have been handed over after Leave.
func (e *Engine) Left(now time.Duration) bool { return true }

// Status is what operators see of one instance.
type Status struct {
	Self    snapshot.InstanceID
	State   message.State
	Stale   bool
	Version snapshot.Version
	Peers   []PeerStatus
	Groups  []GroupStatus
}

// PeerStatus is one peer as this instance sees it.
type PeerStatus struct {
	Instance snapshot.InstanceID
	State    message.State
	Version  snapshot.Version
	Heard    time.Duration // since the last heartbeat
}

// GroupStatus is one group this instance owns or holds copies of.
type GroupStatus struct {
	Group  snapshot.GroupID
	Role   string // owner, pulling, handed_over, backup
	Epoch  uint64
	Copies int
	Stats  group.Stats
}

// Status returns the present state.
func (e *Engine) Status(now time.Duration) Status { return Status{} }

// Explain tells where a flow goes and why.
func (e *Engine) Explain(now time.Duration, k flow.Key) string { return "" }
