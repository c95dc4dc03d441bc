// Package group is the state machine of the instance that owns one host group:
// it knows every flow on the group's hosts, places new ones and admits or
// refuses them. It has no clock and does no I/O. A Table is not safe for
// concurrent use; its user holds one mutex per group.
package group

import (
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Op tells a table what is wanted of it for a packet.
type Op uint8

const (
	// OpDecide: decide as the owner of the group.
	OpDecide Op = iota
	// OpLookup: forward if there is an entry, else report Miss.
	OpLookup
	// OpSpill: place a SYN that the flow's first group has no room for.
	OpSpill
	// OpDefault: no instance holds the flow; use the default host.
	OpDefault
)

// Request is one packet together with what the engine knows of it.
type Request struct {
	Packet *flow.Packet
	Kind   snapshot.KindID
	Op     Op
	// SpillTo is the flow's second group, or the zero GroupID when there is
	// none or it is not reachable.
	SpillTo snapshot.GroupID
	// NoDefault forbids the default host, for an address that has moved
	// between services.
	NoDefault bool
	// EstablishedOnly makes an AskHolder count only entries whose caller has
	// acknowledged the host's SYN. A younger one may have been left behind by
	// a SYN whose retransmission opened the flow elsewhere.
	EstablishedOnly bool
	// OpenOnly makes an AskHolder count only entries of flows that have not begun to
	// end. The 5-tuple of another one may be in use again.
	OpenOnly bool
}

// Verdict is what happens to a packet.
type Verdict uint8

const (
	// Forward the packet to Decision.Host.
	Forward Verdict = iota
	// Redirect the packet to the owner of Decision.Group, with AskOwner or,
	// for a SYN that is spilled, AskSpill.
	Redirect
	// Refuse the SYN with Decision.Reset; nothing of the flow was forwarded.
	Refuse
	// Abort the established connection with Decision.Reset.
	Abort
	// Miss: there is no entry.
	Miss
	// Drop the packet.
	Drop
)

// Reason says why a packet was refused, aborted or dropped. It is a metric label.
type Reason string

// Reasons.
const (
	ReasonNone           Reason = ""
	ReasonNoSlot         Reason = "no_slot"         // the kind's share or the group's places are used up
	ReasonConnections    Reason = "connections"     // all connection limits reached
	ReasonDeadline       Reason = "deadline"        // the estimated wait exceeds the kind's deadline
	ReasonNoHost         Reason = "no_host"         // no usable host
	ReasonHostGone       Reason = "host_gone"       // the flow's host has left the list
	ReasonSilent         Reason = "silent"          // no progress while other flows of the host advance
	ReasonTableFull      Reason = "table_full"      // flow table limit
	ReasonMoved          Reason = "moved"           // no entry on an address that changed its service
	ReasonUnreachable    Reason = "unreachable"     // the flow's group cannot be reached
	ReasonUnknownAddress Reason = "unknown_address" // destination is not in the snapshot
	ReasonHops           Reason = "hops"            // relayed too often
	ReasonStale          Reason = "stale"           // this instance's views are not fresh
	ReasonVersion        Reason = "version"         // sender and receiver disagree on the service
	ReasonHandover       Reason = "handover"        // the group is changing its owner
	ReasonUDPUnavailable Reason = "udp_unavailable" // a datagram that cannot be placed
)

// Decision is a table's answer to a Request.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Host    snapshot.HostID
	Group   snapshot.GroupID
	Reset   flow.Reset
	// Entry is the flow's entry when the verdict is Forward or Redirect and
	// the request was AskHolder; the engine sends it to the asker.
	Entry message.Entry
}
