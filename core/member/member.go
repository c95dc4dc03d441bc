// Package member tracks which instances are alive and which of them owns each
// host group, from the published instance list and from heartbeats. A Tracker
// processes events and is not safe for concurrent use; the Views it builds are
// immutable. The package reads no clock and performs no I/O.
package member

import (
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// BaseInterval is the shortest regular interval between heartbeats. It
	// applies as long as the traffic stays within HeartbeatBudget.
	BaseInterval = 400 * time.Millisecond
	// HeartbeatBudget limits heartbeat traffic, in bytes per second. It is half
	// of the control budget; copies and learn messages use the other half.
	HeartbeatBudget = 4500
	// HeartbeatBytes is the size on the wire of a heartbeat with empty lists:
	// 28 bytes of IP and UDP headers, 16 of HMAC and about 46 of CBOR.
	HeartbeatBytes = 90
	// claimBytes and hostCountBytes are the sizes on the wire of one claim and of
	// one foreign count in a heartbeat.
	claimBytes     = 12
	hostCountBytes = 10
	// moveBytes is the size on the wire of one endpoint move, and maxMoves limits
	// the moves in a heartbeat.
	moveBytes = 20
	maxMoves  = 8
	// unrankedBytes is the size on the wire of one ID in Heartbeat.Unranked.
	unrankedBytes = 3
	// FullMeshLimit is the largest number of instances, over all domains, that
	// exchange heartbeats in a full mesh.
	FullMeshLimit = 16
	// CrossDomainRecipients is the number of instances of other domains that
	// receive each heartbeat when there are more than FullMeshLimit instances.
	CrossDomainRecipients = 8
	// PauseThreshold is the gap between two ticks above which the process is
	// considered to have been paused.
	PauseThreshold = time.Second

	// PropagationBound is the time within which a snapshot version comes into
	// force at all instances.
	PropagationBound = 9 * time.Second

	// A peer is suspected after suspectAfterMissed missed heartbeats and gone
	// after goneAfterMissed.
	suspectAfterMissed = 3
	goneAfterMissed    = 5
	// maxResumeIntervals limits how many heartbeat intervals a resumed process
	// waits to hear from its peers.
	maxResumeIntervals = 3
	// minUrgentInterval is the minimum time between a heartbeat and a following
	// unscheduled one.
	minUrgentInterval = 100 * time.Millisecond
	// claimDelay is the time that an instance waits after becoming ready before
	// it claims a group without a claimant: one heartbeat interval plus half an
	// interval for network delay.
	claimDelay = BaseInterval * 3 / 2
	// healIntervals is the number of heartbeat intervals after a partition
	// during which claims of the other side may still be unknown. It tolerates
	// the loss of two heartbeats.
	healIntervals = 3
	// snapshotWaitLimit limits how long a joining instance waits for a snapshot
	// that a peer announces, since the peer may stop before it can be fetched.
	snapshotWaitLimit = 10 * time.Second
	// maxInterval limits the heartbeat interval that a peer may announce.
	maxInterval = 10 * time.Second
)

// seedOwner makes the ranking of owners independent of other hashes.
const seedOwner uint64 = 0x6f776e6572

// OwnerDepth is the number of ranked instances that a View keeps per group.
const OwnerDepth = 3

// Config configures a Tracker.
type Config struct {
	Self   snapshot.InstanceID
	Domain snapshot.DomainID
	Boot   uint64 // start time of the process, ns since the Unix epoch
	Seed   uint64 // determines the phase of the heartbeats
}

// Peer is another instance and its state as judged by this instance.
type Peer struct {
	Instance *snapshot.Instance
	State    message.State
}

// Alive reports whether the peer is alive, so that packets may be relayed to it.
func (p *Peer) Alive() bool { return p.State != message.Suspected && p.State != message.Gone }

// Ownership describes which instance owns a group and thus places its flows, as
// known to this instance.
type Ownership struct {
	ID    snapshot.GroupID
	Group *snapshot.Group // nil for a group that is no longer in the snapshot
	// Ranked lists the highest-ranked eligible instances, padded with 0.
	Ranked [OwnerDepth]snapshot.InstanceID
	// Claimant is the live instance with the winning claim, 0 if there is none,
	// and Epoch is the epoch of that claim.
	Claimant snapshot.InstanceID
	Epoch    uint64
	// PreviousClaimant is the claimant before the current one, or the last
	// claimant when nobody claims the group.
	PreviousClaimant snapshot.InstanceID
	// MaxEpoch is the highest epoch of the group known to this instance.
	MaxEpoch uint64
	// Target is the instance to which other instances relay packets of the group,
	// nil if there is none. It may be this instance.
	Target *snapshot.Instance
}

// View is an immutable view of the membership for one snapshot.
type View struct {
	Self     snapshot.InstanceID
	State    message.State
	Stale    bool
	Snapshot *snapshot.Snapshot
	// Partitioned is true while no instance of some listed domain is alive, and
	// for healIntervals afterwards.
	Partitioned bool
	// minVersion is the oldest version in force at a live instance, 0 if unknown.
	minVersion snapshot.Version
	// inForceSince holds the time when each recent version came into force at
	// this instance.
	inForceSince map[snapshot.Version]time.Duration
	// peerMoves holds the endpoint moves that other instances have announced.
	peerMoves map[snapshot.Endpoint]snapshot.Move
	// RerankedAt is the time when the ranking of a service's groups last changed.
	RerankedAt map[snapshot.ServiceID]time.Duration
	Peers      map[snapshot.InstanceID]*Peer
	Owners     map[snapshot.GroupID]*Ownership
	// FirstRanked lists the groups for which this instance ranks first, sorted.
	FirstRanked []*Ownership
	// ownersByService holds the ownerships in the order of snapshot.Service.Groups.
	ownersByService map[snapshot.ServiceID][]*Ownership
}

// Propagated reports whether a version is in force at all live instances
// according to their heartbeats, or has been in force at this instance for
// longer than PropagationBound.
func (v *View) Propagated(now time.Duration, version snapshot.Version) bool {
	if version <= v.minVersion {
		return true
	}
	at, ok := v.inForceSince[version]
	return !ok || now-at > PropagationBound
}

// Lookup returns the binding of an endpoint. It includes moves of the endpoint
// that only other instances have seen.
func (v *View) Lookup(e snapshot.Endpoint) (snapshot.Binding, bool) {
	b, ok := v.Snapshot.Lookup(e)
	if ok && b.MovedIn == 0 && len(v.peerMoves) > 0 {
		if m, moved := v.peerMoves[e]; moved && m.To == b.Service.ID {
			b.MovedIn, b.MovedFrom = m.Version, m.From
		}
	}
	return b, ok
}

// ServiceOwners returns the ownerships of a service, in the order of
// snapshot.Service.Groups.
func (v *View) ServiceOwners(s snapshot.ServiceID) []*Ownership { return v.ownersByService[s] }

// Alive reports whether the instance is alive, so that packets may be relayed
// to it.
func (v *View) Alive(id snapshot.InstanceID) bool {
	if id == v.Self {
		return true
	}
	p := v.Peers[id]
	return p != nil && p.Alive()
}

// Instance returns the published entry of an instance, or nil.
func (v *View) Instance(id snapshot.InstanceID) *snapshot.Instance {
	if p := v.Peers[id]; p != nil {
		return p.Instance
	}
	return v.Snapshot.Instances[id]
}
