// Package message defines the messages between instances as plain types. The wire
// module encodes them.
package message

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// State is the state of an instance, as announced by the instance or as judged by a
// peer.
type State uint8

// States of an instance.
const (
	// Joining instances have no up-to-date view yet. They own no groups and
	// only relay packets.
	Joining State = iota
	// Ready instances may own groups.
	Ready
	// Leaving instances hand over their groups and still relay packets.
	Leaving
	// Suspected instances have missed several heartbeats.
	Suspected
	// Gone instances are considered dead and are not ranked.
	Gone
)

func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	case Suspected:
		return "suspected"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Claim states that the sender owns a group and places its flows. Of two claims, the
// one with the higher epoch wins; on equal epochs, the lower instance number.
type Claim struct {
	Group snapshot.GroupID
	Epoch uint64
}

// Heartbeat is sent to peers periodically.
type Heartbeat struct {
	From    snapshot.InstanceID
	Boot    uint64 // start time of the process, ns since the Unix epoch
	Seq     uint64
	State   State
	Version snapshot.Version // in force at the sender
	Claims  []Claim
	// LostClaims lists claims that the sender has recently withdrawn because
	// another claim won. The sender still holds the flows placed under them.
	LostClaims []Claim
	// ForeignCounts counts the flows that the sender holds on hosts of groups
	// that it does not own, so that the owners can include them.
	ForeignCounts []HostCount
	// Interval is the sender's current heartbeat interval, which grows with the
	// number of recipients. Zero means the base interval.
	Interval time.Duration
	// Unranked lists the listed instances of the sender's domain that the sender
	// does not rank: joining, leaving, suspected and gone ones. It keeps the
	// rankings in other domains correct where only a sample of the domain's
	// heartbeats arrives.
	Unranked []snapshot.InstanceID
	// Moves lists the latest moves of endpoints between services. An instance
	// that started after a move cannot derive it from its own snapshots.
	Moves []snapshot.Move
}

// HostCount is the number of open connections and occupied slots on one host.
type HostCount struct {
	Host        snapshot.HostID
	Connections uint32
	Slots       uint32
}

// Entry is a flow table entry as exchanged between instances.
type Entry struct {
	Key  flow.Key
	Host snapshot.HostID
	Kind snapshot.KindID
	// ISN is the sequence number of the caller's SYN. It distinguishes flows that
	// reuse a 5-tuple.
	ISN uint32
	// Established is true after the caller has acknowledged the host's SYN.
	Established bool
	// Closing is true after the caller has sent a FIN. The flow then no longer
	// counts as in progress.
	Closing bool
	// Ended marks a flow from an earlier page of the same pull that has ended
	// since.
	Ended bool
	Age   time.Duration // since the SYN
}

// Learn informs the first-ranked owner of a flow of the entry that another instance
// holds.
type Learn struct {
	From  snapshot.InstanceID
	Group snapshot.GroupID // the group that ranks first for the flow
	Entry Entry
	// HeldBy is the group that holds the flow. If it differs from Group, the
	// receiver stores a redirect instead of an entry.
	HeldBy snapshot.GroupID
}

// CopyBatch replicates entries of one group to its backup.
type CopyBatch struct {
	From  snapshot.InstanceID
	Group snapshot.GroupID
	Epoch uint64
	Seq   uint64 // 1 for the first batch of an epoch, which replaces all previous copies
	// Base is the host list to which the copies are relative. A flow without a
	// copy is at its default host among these hosts.
	Base    []snapshot.HostID
	Entries []Entry
	Ended   []flow.Key
}

// CopyAck confirms all batches of an epoch up to Seq.
type CopyAck struct {
	From  snapshot.InstanceID
	Group snapshot.GroupID
	Epoch uint64
	Seq   uint64
}

// PullRequest requests the entries of a group from its current owner, one page per
// call.
type PullRequest struct {
	From   snapshot.InstanceID
	Group  snapshot.GroupID
	Cursor uint64 // 0 on the first call, afterwards PullReply.Next
}

// PullReply is the reply to a PullRequest with one page of entries.
type PullReply struct {
	Epoch   uint64
	Base    []snapshot.HostID
	Entries []Entry
	// Redirects lists the flows that other groups hold. Only the last page has
	// them.
	Redirects []Learn
	Next      uint64
	// Done is true on the last page. From then on the replying instance no
	// longer places flows of the group.
	Done bool
}

// LoadReport is a host's report of its own load and state, or the result of a failed
// probe. It may lag or mislead.
type LoadReport struct {
	Load        float64 // 0 is idle, 1 is full
	Draining    bool
	Cold        bool // the host requests slow start
	ProbeFailed bool // the health probe was not answered
}
