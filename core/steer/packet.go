// Package steer decides where the packets of callers go, with affinity by
// token: a flow's packets carry a token that names the start of the backend
// server that holds the flow, so that any instance can deliver them. It has no
// clock and does no I/O.
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
	Retransmits        int // of a SYN: how many were sent before it
	Len                int // bytes of data
	Token              token.Token
}

// Key identifies a flow.
type Key struct{ Caller, Dest netip.AddrPort }

// Action is what is done with a packet.
type Action uint8

// Actions.
const (
	Drop Action = iota
	Forward
	Reset // refuse the flow towards the caller
	Hold  // keep the packet until the catalog moves on
	numActions
)

var actionNames = [numActions]string{"drop", "forward", "reset", "hold"}

func (a Action) String() string { return actionNames[a] }

// Reason says why an action was taken.
type Reason uint8

// Reasons.
const (
	Placed       Reason = iota // a new flow got a server
	Token                      // the token names the server
	NoRoute                    // the configuration has no route for the address
	NoServer                   // no server can take a new flow
	NotLoaded                  // the catalog is not complete yet
	UnknownToken               // no known server has the token
	ServerGone                 // the server of the flow has certainly ended
	WrongService               // the token names a server of another service
	NoToken                    // an open flow's packet without a token
	numReasons
)

var reasonNames = [numReasons]string{
	"placed", "token", "no_route", "no_server", "not_loaded", "unknown_token", "server_gone", "wrong_service", "no_token",
}

func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Server *catalog.Server // of Forward
	// Load is the server's load at the decision on a new flow, in requests.
	Load float64
	// ResponseTime is the time of the request whose answer the packet confirms, 0
	// if it confirms none.
	ResponseTime time.Duration
}
