// Package steer decides where the packets of callers go. It uses affinity
// tokens: the packets of a flow carry a token that identifies the backend server
// that holds the flow, so that any instance can forward them. The package does
// not read the clock and does no I/O.
package steer

import (
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/token"
)

// Packet is the part of a caller's packet that decisions depend on.
type Packet struct {
	Caller, Dest       netip.AddrPort
	SYN, ACK, FIN, RST bool
	Seq                uint32
	Ack                uint32
	Retransmits        int // of a SYN: number of times it was sent before
	Len                int // of the payload, bytes
	Token              token.Token
	// Age is the longest time for which the packet may have waited to be decided on
	// since it arrived.
	Age time.Duration
}

// Key identifies a flow.
type Key struct{ Caller, Dest netip.AddrPort }

// Key returns the key of the packet's flow.
func (p *Packet) Key() Key { return Key{p.Caller, p.Dest} }

// Action is what is done with a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	Reset // reset the flow towards the caller
	Hold  // keep the packet and decide again when the catalog has been updated
	Queue // keep the SYN and decide again when the servers have room
	Ask   // keep the packet and ask the peers for the opening of its flow: see Inquiry
	numActions
)

var actionNames = [numActions]string{"drop", "forward", "reset", "hold", "queue", "ask"}

func (a Action) String() string { return actionNames[a] }

// Reason is the reason for an action.
type Reason uint8

// Reasons.
const (
	Placed       Reason = iota // a server was chosen for a new flow
	Token                      // the token identifies the server
	NoRoute                    // the configuration has no route for the address
	NoServer                   // no server can take a new flow
	NotLoaded                  // the catalog is not complete yet
	UnknownToken               // no known server has the token
	ServerGone                 // another server has taken the address of the flow's server
	WrongService               // the token identifies a server of another service
	NoToken                    // a packet of an open flow without a token
	NoRoom                     // the servers have as much work as they can do in time
	Duplicate                  // a copy of a SYN that was forwarded just before
	NotRepeated                // a SYN that waited, and whose next copy was not read in time
	Late                       // a SYN that arrived long ago: see Packet.ValidFor
	NotSeenOpen                // the token is that of an answer to a SYN, and the flow was not seen open
	SeenOpen                   // the flow was seen open at the server, which is not that of the token
	NoLinkRoom                 // the instance's link has as many flows in progress as it can carry in time
	ShareCeiling               // the kind of request has the largest part that it may take
	OverShare                  // a SYN that waited, in a place of the queue that another kind is guaranteed
	Hedged                     // a second SYN of a flow that is slow to open, to another server
	QueueFull                  // no further SYN may wait for room
	NoProcessor                // the instance's processor does not keep up with its packets
	numReasons
)

var reasonNames = [numReasons]string{
	"placed", "token", "no_route", "no_server", "not_loaded", "unknown_token", "server_gone", "wrong_service", "no_token", "no_room", "duplicate", "not_repeated", "late", "not_seen_open", "seen_open", "no_link_room", "share_ceiling", "over_share", "hedged", "queue_full", "no_processor_room",
}

func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Server *catalog.Server // set with Forward and ServerGone, nil if not known
	// Load is the cost of the server chosen for a new flow: its load with one
	// more request, as a multiple of its slots, plus penalties.
	Load float64
	// Service is the service chosen for a new flow.
	Service string
	// Share is the state of the share that decided on a new flow, nil if none did.
	Share *ShareUse
	// ResponseTime is that of the request whose response the packet
	// acknowledges, 0 if it acknowledges none.
	ResponseTime time.Duration
}

// NeedsRead reports whether a read of the store may change the decision on a packet of an
// open flow. A server that has drained and has no entry may have started again at another
// address.
func (v *Verdict) NeedsRead() bool {
	return v.Action == Hold || v.Reason == ServerGone || v.Server != nil && v.Server.Draining && !v.Server.Published()
}
