// Package message defines what instances tell each other. It holds plain
// types; encoding them is left to the wire module.
package message

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// State is the state of an instance as it announces it, or as its peers judge it.
type State uint8

// States of an instance.
const (
	// Joining: its views are not fresh yet; it relays and owns nothing.
	Joining State = iota
	// Ready instances own groups.
	Ready
	// Leaving instances hand their groups over and relay.
	Leaving
	// Suspected: heartbeats are missing.
	Suspected
	// Gone: taken out of all rankings.
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

// Claim says that the sender places the flows of a group. Of two claims the
// one with the higher epoch holds; on equal epochs the lower instance number.
type Claim struct {
	Group snapshot.GroupID
	Epoch uint64
}

// Heartbeat is sent to peers at intervals.
type Heartbeat struct {
	From    snapshot.InstanceID
	Boot    uint64 // start time of the process, ns since the Unix epoch
	Seq     uint64
	State   State
	Version snapshot.Version // in force at the sender
	Claims  []Claim
	// LostClaims lists claims that the sender has ended a moment ago because another
	// one held against them. The flows placed under them are still with the sender.
	LostClaims []Claim
	// ForeignCounts lists flows that the sender holds on hosts of groups that it
	// does not own, so that the owners can count them.
	ForeignCounts []HostCount
	// Interval is the sender's present interval between heartbeats, which grows
	// with the number of its recipients. Zero means the base interval.
	Interval time.Duration
	// Unranked lists instances of the sender's domain that the list names and
	// the sender does not rank: joining, leaving, suspected and gone ones. It
	// keeps the rankings of other domains right when they hear only a sample
	// of the domain's heartbeats.
	Unranked []snapshot.InstanceID
	// Moves lists the latest moves of endpoints between services, which an
	// instance that started after them cannot see in its snapshot.
	Moves []snapshot.Move
}

// HostCount is a number of open flows on one host.
type HostCount struct {
	Host        snapshot.HostID
	Connections uint32
	Slots       uint32
}

// Entry is one flow as it travels between instances.
type Entry struct {
	Key  flow.Key
	Host snapshot.HostID
	Kind snapshot.KindID
	// ISN is the sequence number of the caller's SYN. It tells a reused
	// 5-tuple from the flow that had it before.
	ISN uint32
	// Established is true once the caller has acknowledged the host's SYN.
	Established bool
	// Closing is true once the caller has sent a FIN; the flow no longer
	// counts as in progress.
	Closing bool
	// Ended marks an entry of an earlier page of a pull that has ended since.
	Ended bool
	Age   time.Duration // since the SYN
}

// Learn tells the first owner of a flow what an asked instance knows of it.
type Learn struct {
	From  snapshot.InstanceID
	Group snapshot.GroupID // the group whose owner asked
	Entry Entry
	// HeldBy is the group that holds the flow. When it differs from Group the
	// asker keeps a redirect and not an entry of its own.
	HeldBy snapshot.GroupID
}

// CopyBatch carries entries of one group to its backup.
type CopyBatch struct {
	From  snapshot.InstanceID
	Group snapshot.GroupID
	Epoch uint64
	Seq   uint64 // 1 for the first batch of an epoch, which replaces all earlier copies
	// Base is the base list that the copies are relative to: a flow without a
	// copy is at its default host among these.
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

// PullRequest asks the present owner of a group for its entries, one page a call.
type PullRequest struct {
	From   snapshot.InstanceID
	Group  snapshot.GroupID
	Cursor uint64 // 0 on the first call, afterwards PullReply.Next
}

// PullReply is one page of entries.
type PullReply struct {
	Epoch   uint64
	Base    []snapshot.HostID
	Entries []Entry
	// Redirects are flows that other groups hold, on the last page.
	Redirects []Learn
	Next      uint64
	// Done is true on the last page. From then on the replying instance no
	// longer places flows of the group.
	Done bool
}

// LoadReport is what a host says of itself. It may lag or mislead.
type LoadReport struct {
	Load        float64 // 0 idle, 1 full
	Draining    bool
	Cold        bool
	ProbeFailed bool // the probe got no answer
}
