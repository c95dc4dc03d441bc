// Package engine makes all decisions of one instance: packets, control messages and
// the time go in, actions come out. It joins the snapshot, the membership view
// and the tables of owned groups, and does no I/O, so that tests can run many
// engines against one another.
//
// Locks: the snapshot and the view are atomic pointers and are read first. Then
// Engine.mu, which Packet never takes, and last at most one group mutex.
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

// Relay is what travels with a packet between instances.
type Relay struct {
	Ask       group.Op
	Hops      uint8               // relays so far
	Group     snapshot.GroupID    // for AskHolder with an Asker, the asker's group
	Requester snapshot.InstanceID // owner that wants to learn the flow's entry, 0 if none
	// NextCandidate is whom to ask for the entry after the receiver, 0 if the asker
	// knows of nobody. The receiver itself stands for "you are the last one",
	// the asker for "you are the last one, and not all have been asked".
	NextCandidate snapshot.InstanceID
	Service       snapshot.ServiceID
	Version       snapshot.Version // snapshot in force at the sender
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
	// ControlBudget is the limit of control traffic in bytes a second.
	ControlBudget int
	// MaxFlows limits the entries of one group, 0 for the default.
	MaxFlows int
	// Seed feeds jitter, so that runs can be repeated.
	Seed uint64
}

// Engine is the state of one instance. All methods may be called concurrently.
// Times are monotonic, since the start of the process.
type Engine struct {
	cfg      Config
	view     atomic.Pointer[member.View]
	groups   atomic.Pointer[groups]
	lastTick atomic.Int64  // time of the last Tick
	wanted   atomic.Uint64 // newest version that a peer is known to have

	// mu guards what follows. It is taken before a group mutex, never by
	// Packet, and never while a group mutex is held.
	mu              sync.Mutex
	tracker         *member.Tracker
	order           []*local // the values of groups, sorted
	displacedTokens float64  // bytes that learn messages about displaced flows may take
	displacedFilled time.Duration
	turn            int     // group whose copies go first
	tokens          float64 // bytes that copies may take
	filled          time.Duration
	behind          time.Duration                     // since when a peer has a newer snapshot, 0 if none
	fetched         time.Duration                     // last Output.Fetch
	counted         time.Duration                     // last collection of foreign counts
	foreign         map[snapshot.InstanceID]bool      // peers that reported counts last time
	probed          map[snapshot.HostID]time.Duration // last answered probe
}

// New returns an engine in state Joining without a snapshot.
func New(now time.Duration, cfg Config) *Engine {
	if cfg.ControlBudget <= 0 {
		cfg.ControlBudget = DefaultControlBudget
	}
	e := &Engine{
		cfg: cfg,
		tracker: member.New(now, member.Config{
			Self: cfg.Self, Domain: cfg.Domain, Boot: cfg.Boot, Seed: cfg.Seed,
		}),
		filled:  now,
		foreign: make(map[snapshot.InstanceID]bool),
		probed:  make(map[snapshot.HostID]time.Duration),
	}
	e.groups.Store(&groups{})
	e.lastTick.Store(int64(now))
	return e
}

// SetSnapshot takes a snapshot into force. It returns false, and changes
// nothing, unless the snapshot is newer than that in force.
func (e *Engine) SetSnapshot(now time.Duration, s *snapshot.Snapshot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.view.Load(); v != nil && s.Version <= v.Snapshot.Version {
		return false
	}
	e.tracker.SetSnapshot(now, s)
	e.publish(now)
	for _, l := range e.order {
		l.update(now, s)
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

// publish puts the present view into force.
func (e *Engine) publish(now time.Duration) {
	old := e.view.Load()
	if v := e.tracker.View(); v != old {
		e.view.Store(v)
		e.markDisplaced(now, old, v)
	}
}

// Output is work that the engine wants done. Exactly one field is set beside To.
type Output struct {
	To        *snapshot.Instance // receiver of Heartbeat, Copies, Learn and Pull, source of Fetch
	Heartbeat *message.Heartbeat
	Copies    *message.CopyBatch
	Learn     *message.Learn
	Pull      *message.PullRequest
	Reset     *flow.Reset
	// Fetch asks for the snapshot difference after this version from peer To.
	Fetch bool
}

// TickInterval is how often Tick is to be called. A gap of over StaleGap
// between two calls means that the process was paused.
const (
	TickInterval = 50 * time.Millisecond
	StaleGap     = member.PauseThreshold
)

// DefaultControlBudget is the limit of control traffic in bytes a second.
const DefaultControlBudget = 9000
