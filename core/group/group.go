// Package group implements the state of one host group at the instance that
// owns the group: it keeps an entry for every flow on the group's hosts, admits
// or refuses new flows, and chooses their hosts. It has no clock and does no
// I/O. A Table is not safe for concurrent use; callers hold one mutex per group.
package group

import (
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Op is the operation that a table performs for a packet. Its values are sent
// between instances with relayed packets.
type Op uint8

const (
	// OpDecide: decide on the packet as the owner of the group.
	OpDecide Op = iota
	// OpLookup: forward the packet if the flow has an entry, else return Miss.
	OpLookup
	// OpSpill: place a SYN that the flow's first group has spilled to this group.
	OpSpill
	// OpDefault: forward the packet to the default host, since no instance has
	// an entry for the flow.
	OpDefault
)

// Request is one packet together with the parameters of the decision.
type Request struct {
	Packet *flow.Packet
	Kind   snapshot.KindID
	Op     Op
	// SpillTo is the flow's second group, or the zero GroupID if there is none
	// or it is unreachable.
	SpillTo snapshot.GroupID
	// NoDefault forbids the use of the default host. It is set for an address
	// that has moved between services.
	NoDefault bool
	// EstablishedOnly makes OpLookup ignore entries whose caller has not
	// acknowledged the host's SYN. Such an entry may stem from a SYN whose
	// retransmission opened the flow at another instance.
	EstablishedOnly bool
	// OpenOnly makes OpLookup ignore entries of flows that are closing or
	// closed, since their 5-tuple may be in use by a new flow.
	OpenOnly bool
}

// Verdict says what to do with a packet.
type Verdict uint8

const (
	// Forward the packet to Decision.Host.
	Forward Verdict = iota
	// Redirect the packet to the owner of Decision.Group, with OpDecide, or
	// with OpSpill for a SYN that is spilled.
	Redirect
	// Refuse the SYN with Decision.Reset. No packet of the flow was forwarded.
	Refuse
	// Abort the established connection with Decision.Reset.
	Abort
	// Miss: the flow has no entry that this operation may use.
	Miss
	// Drop the packet.
	Drop
)

// Reason says why a packet was refused, aborted or dropped. It is a metric label.
type Reason string

// Reasons.
const (
	ReasonNone            Reason = ""
	ReasonNoSlot          Reason = "no_slot"         // the kind's share or the group's slots are used up
	ReasonConnectionLimit Reason = "connections"     // all connection limits reached
	ReasonDeadline        Reason = "deadline"        // the estimated wait exceeds the kind's deadline
	ReasonNoHost          Reason = "no_host"         // no usable host
	ReasonHostGone        Reason = "host_gone"       // the flow's host is no longer published
	ReasonSilent          Reason = "silent"          // no progress while other flows of the host make progress
	ReasonTableFull       Reason = "table_full"      // limit of entries in the flow table reached
	ReasonMoved           Reason = "moved"           // no entry, and the address has moved between services
	ReasonUnreachable     Reason = "unreachable"     // the flow's group cannot be reached
	ReasonUnknownAddress  Reason = "unknown_address" // destination is not in the snapshot
	ReasonHops            Reason = "hops"            // limit of relays reached
	ReasonStale           Reason = "stale"           // this instance's view of the fleet is stale
	ReasonVersion         Reason = "version"         // a newer snapshot than this instance's may map the address differently
	ReasonHandover        Reason = "handover"        // the group is being handed over to its next owner
	ReasonUDPUnavailable  Reason = "udp_unavailable" // a new UDP flow was refused, for whatever reason: there is no reset to send
)

// Decision is a table's answer to a Request.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Host    snapshot.HostID
	Group   snapshot.GroupID
	Reset   flow.Reset
	// Entry is the flow's entry if the operation was OpLookup and the verdict is
	// Forward or Redirect. The engine sends it to the instance that asked.
	Entry message.Entry
}
