// Package engine implements the decision logic of one instance. Its inputs are
// packets, control messages and the current time; its outputs are actions. It
// combines the snapshot, the membership view and the flow tables of owned groups.
// It does no I/O, so tests can run many engines against each other in one process.
//
// Lock order: the snapshot and the view are loaded from atomic pointers first,
// then Engine.mu is taken, which Packet never takes, and last at most one group mutex.
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Relay is the metadata sent with a packet that one instance relays to another.
type Relay struct {
	Op        group.Op            // operation that the receiver performs
	Hops      uint8               // number of relays so far
	Group     snapshot.GroupID    // for AskHolder with a Requester, the requester's group
	Requester snapshot.InstanceID // owner to send the flow's entry to, 0 if none
	// NextCandidate is the instance to ask for the entry after the receiver, or 0
	// if the requester knows of none. The receiver's own ID means that the receiver
	// is the last candidate; the requester's ID means that the receiver is the last
	// one to be asked although other candidates remain.
	NextCandidate snapshot.InstanceID
	Service       snapshot.ServiceID
	Version       snapshot.Version // snapshot in force at the sender
}

// Verdict says how an Action disposes of a packet.
type Verdict uint8

const (
	// ToHost forwards the packet to Action.Host.
	ToHost Verdict = iota
	// ToPeer relays the packet to Action.Peer with Action.Relay.
	ToPeer
	// ToCaller answers the caller with Action.Reset, sent through the fabric.
	ToCaller
	// Drop discards the packet.
	Drop
)

// Action is the decision on one packet.
type Action struct {
	Verdict Verdict
	Reason  group.Reason
	Host    *snapshot.Host
	Peer    *snapshot.Instance
	Relay   Relay
	Reset   flow.Reset
	// Learn is a message to send to SendLearnTo in addition to the verdict on the
	// packet. There is none if SendLearnTo is nil.
	SendLearnTo *snapshot.Instance
	Learn       message.Learn
}

// Config configures an Engine.
type Config struct {
	Self   snapshot.InstanceID
	Domain snapshot.DomainID
	Boot   uint64 // start time of the process, ns since the Unix epoch
	// ControlBudget limits control traffic, in bytes per second.
	ControlBudget int
	// MaxFlows limits the flow entries of one group; 0 selects the default.
	MaxFlows int
	// Seed seeds the jitter, so that test runs are reproducible.
	Seed uint64
}

// Engine holds the state of one instance. Its methods are safe for concurrent use.
// All times are monotonic and count from the start of the process.
type Engine struct {
	cfg           Config
	view          atomic.Pointer[member.View]
	groups        atomic.Pointer[groupIndex]
	lastTick      atomic.Int64  // time of the last Tick
	newestVersion atomic.Uint64 // newest snapshot version known to be in force at a peer

	// mu guards the fields below. It is taken before a group mutex, never by
	// Packet, and never while a group mutex is held.
	mu                sync.Mutex
	tracker           *member.Tracker
	sortedGroups      []*localGroup // the groups of the index, sorted by ID
	displacedTokens   float64       // bytes available for learn messages about displaced flows
	displacedRefilled time.Duration
	copyOffset        int     // rotates which group's copies are sent first
	copyTokens        float64 // bytes available for copies
	copyRefilled      time.Duration
	behindSince       time.Duration                     // time since which a peer has a newer snapshot, 0 if none has
	lastFetch         time.Duration                     // time of the last Output.Fetch
	lastForeignCount  time.Duration                     // time of the last collectForeign
	foreignReporters  map[snapshot.InstanceID]bool      // instances whose last foreign counts were not empty
	lastProbeAnswer   map[snapshot.HostID]time.Duration // time of the last answered probe
}

// New returns an engine in state Joining that has no snapshot.
func New(now time.Duration, cfg Config) *Engine {
	if cfg.ControlBudget <= 0 {
		cfg.ControlBudget = DefaultControlBudget
	}
	e := &Engine{
		cfg: cfg,
		tracker: member.New(now, member.Config{
			Self: cfg.Self, Domain: cfg.Domain, Boot: cfg.Boot, Seed: cfg.Seed,
		}),
		copyRefilled:     now,
		foreignReporters: make(map[snapshot.InstanceID]bool),
		lastProbeAnswer:  make(map[snapshot.HostID]time.Duration),
	}
	e.groups.Store(&groupIndex{})
	e.lastTick.Store(int64(now))
	return e
}

// SetSnapshot puts a snapshot in force. If the snapshot is not newer than the one
// in force, it changes nothing and returns false.
func (e *Engine) SetSnapshot(now time.Duration, s *snapshot.Snapshot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.view.Load(); v != nil && s.Version <= v.Snapshot.Version {
		return false
	}
	e.tracker.SetSnapshot(now, s)
	e.publishView(now)
	for _, l := range e.sortedGroups {
		l.setSnapshot(now, s)
	}
	return true
}

// Snapshot returns the snapshot in force, or nil.
func (e *Engine) Snapshot() *snapshot.Snapshot {
	if v := e.view.Load(); v != nil {
		return v.Snapshot
	}
	return nil
}

// publishView makes the tracker's current view visible to Packet.
func (e *Engine) publishView(now time.Duration) {
	old := e.view.Load()
	if v := e.tracker.View(); v != old {
		e.view.Store(v)
		e.scheduleDisplacedScans(now, old, v)
	}
}

// Output is a message to send or a snapshot to fetch on behalf of the engine.
// Exactly one field besides To is set.
type Output struct {
	To        *snapshot.Instance // receiver of Heartbeat, Copies, Learn and Pull, source of Fetch
	Heartbeat *message.Heartbeat
	Copies    *message.CopyBatch
	Learn     *message.Learn
	Pull      *message.PullRequest
	Reset     *flow.Reset
	// Fetch requests from peer To the snapshot changes since the version in force.
	Fetch bool
}

// Tick must be called every TickInterval. A gap longer than StaleGap between two
// calls means that the process was paused.
const (
	TickInterval = 50 * time.Millisecond
	StaleGap     = member.PauseThreshold
)

// DefaultControlBudget is the default of Config.ControlBudget, in bytes per second.
const DefaultControlBudget = 9000
