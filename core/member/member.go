// Package member decides which instances are alive and which of them owns each
// host group. It joins the published list with heartbeats. A Tracker takes the
// events and is not safe for concurrent use; the Views that it builds are
// immutable. It has no clock and does no I/O.
package member

import (
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// BaseInterval is the interval between heartbeats with few recipients.
	BaseInterval = 400 * time.Millisecond
	// HeartbeatBudget is the limit of heartbeat traffic in bytes a second. It is half
	// of the control budget; the rest is left to copies and learn messages.
	HeartbeatBudget = 4500
	// HeartbeatBytes is the size on the wire of a heartbeat without claims:
	// 28 bytes of IP and UDP headers, 16 of HMAC and about 46 of CBOR.
	HeartbeatBytes = 90
	// claimBytes and countBytes are what one claim and one foreign count add.
	claimBytes = 12
	countBytes = 10
	// moveBytes is what one move of an endpoint adds, and maxMoves bounds them.
	moveBytes = 20
	maxMoves  = 8
	// unrankedBytes is what one unranked instance adds.
	unrankedBytes = 3
	// FullMeshLimit is the largest number of instances, over all domains, of
	// which each sends heartbeats to all others.
	FullMeshLimit = 16
	// CrossDomainRecipients is the number of instances of other domains that one beyond
	// MeshLimit sends heartbeats to.
	CrossDomainRecipients = 8
	// PauseThreshold is the gap between two ticks from which on a process counts as
	// paused.
	PauseThreshold = time.Second

	// PropagationBound is the bound within which a version is in force everywhere.
	PropagationBound = 9 * time.Second

	missedSuspected = 3
	missedGone      = 5
	// staleIntervals bounds how long a woken process waits for its peers.
	staleIntervals = 3
	// urgentGap is the least time between a heartbeat and an unscheduled one.
	urgentGap = 100 * time.Millisecond
	// claimDelay is the time from becoming ready to the first claim of a group
	// that nobody claims: one heartbeat interval and half of it for delay.
	claimDelay = BaseInterval * 3 / 2
	// healIntervals is how many heartbeat intervals after a partition the
	// claims of the other side may be unknown; two heartbeats may be lost.
	healIntervals = 3
	// freshLimit bounds how long a joining instance waits for a snapshot that
	// a peer announces, since the peer may go before it can be fetched.
	freshLimit = 10 * time.Second
	// maxEvery bounds the interval that a peer may announce.
	maxEvery = 10 * time.Second
)

// seedOwner keeps the ranking of owners independent of other hashes.
const seedOwner uint64 = 0x6f776e6572

// OwnerDepth is the number of ranked owners that a View keeps per group.
const OwnerDepth = 3

// Config of a Tracker.
type Config struct {
	Self   snapshot.InstanceID
	Domain snapshot.DomainID
	Boot   uint64 // start time of the process, ns since the Unix epoch
	Seed   uint64 // feeds the phase of heartbeats
}

// Peer is another instance as this one sees it.
type Peer struct {
	Instance *snapshot.Instance
	State    message.State
}

// Alive reports whether packets may be relayed to the peer.
func (p *Peer) Alive() bool { return p.State != message.Suspected && p.State != message.Gone }

// Ownership is who places the flows of one group, as this instance sees it.
type Ownership struct {
	ID    snapshot.GroupID
	Group *snapshot.Group // nil for a group that is no longer in the snapshot
	// Ranked are the first eligible instances, 0 where there are fewer.
	Ranked [OwnerDepth]snapshot.InstanceID
	// Claimant holds the best claim among the instances that are alive, 0 if
	// there is none, and Epoch is the epoch of that claim.
	Claimant snapshot.InstanceID
	Epoch    uint64
	// PreviousClaimant is the claimant before the present one, or the last one when
	// nobody claims the group.
	PreviousClaimant snapshot.InstanceID
	// MaxEpoch is the highest epoch ever heard of.
	MaxEpoch uint64
	// Target is the instance to relay packets of the group to, nil if the
	// group cannot be reached. It may be this instance.
	Target *snapshot.Instance
}

// View is an immutable picture of the membership, built for one snapshot.
type View struct {
	Self     snapshot.InstanceID
	State    message.State
	Stale    bool
	Snapshot *snapshot.Snapshot
	// Partitioned is true while a listed domain is not heard of, and for a few
	// intervals after.
	Partitioned bool
	// floor is the oldest version in force at an instance that is alive, and
	// since when each recent version is in force here.
	floor snapshot.Version
	taken map[snapshot.Version]time.Duration
	// moves are those that other instances have seen.
	moves map[snapshot.Endpoint]snapshot.Move
	// RerankedAt tells when the ranking of a service's groups last changed.
	RerankedAt map[snapshot.ServiceID]time.Duration
	Peers      map[snapshot.InstanceID]*Peer
	Owners     map[snapshot.GroupID]*Ownership
	// FirstRanked are the groups that this instance ranks first for, sorted.
	FirstRanked []*Ownership
	// services holds the ownerships in the order of Service.Groups.
	services map[snapshot.ServiceID][]*Ownership
}

// Propagated reports whether a version is in force at all instances that are
// alive, as far as heartbeats tell, or has been here for SettleTime.
func (v *View) Propagated(now time.Duration, version snapshot.Version) bool {
	if version <= v.floor {
		return true
	}
	at, ok := v.taken[version]
	return !ok || now-at > PropagationBound
}

// Lookup returns what the destination leads to. Moves that only other
// instances have seen are part of it.
func (v *View) Lookup(e snapshot.Endpoint) (snapshot.Binding, bool) {
	b, ok := v.Snapshot.Lookup(e)
	if ok && b.MovedIn == 0 && len(v.moves) > 0 {
		if m, moved := v.moves[e]; moved && m.To == b.Service.ID {
			b.MovedIn, b.MovedFrom = m.Version, m.From
		}
	}
	return b, ok
}

// ServiceOwners returns the ownerships of a service, indexed as Service.ServiceOwners.
func (v *View) ServiceOwners(s snapshot.ServiceID) []*Ownership { return v.services[s] }

// Alive reports whether packets may be relayed to the instance.
func (v *View) Alive(id snapshot.InstanceID) bool {
	if id == v.Self {
		return true
	}
	p := v.Peers[id]
	return p != nil && p.Alive()
}

// Instance returns the record of an instance, or nil.
func (v *View) Instance(id snapshot.InstanceID) *snapshot.Instance {
	if p := v.Peers[id]; p != nil {
		return p.Instance
	}
	return v.Snapshot.Instances[id]
}
