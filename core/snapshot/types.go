// Package snapshot holds the immutable view of the settings tree and the
// published lists that all decisions are made from. A new publication gives a
// new Snapshot; none is ever changed after New returned it.
package snapshot

import (
	"fmt"
	"net/netip"
	"time"

	"egrettack.example/core/flow"
)

// Version orders snapshots. It is the revision of the platform's values and
// only rises.
type Version uint64

// DomainID is the published number of a failure domain.
type DomainID uint16

// InstanceID is the published number of an instance.
type InstanceID uint32

// HostID is the published number of a backend server.
type HostID uint32

// ServiceID is the published number of a service. It fits the 24 bits of a
// Geneve VNI.
type ServiceID uint32

// MaxServiceID is the largest number that a Geneve VNI carries.
const MaxServiceID ServiceID = 1<<24 - 1

// KindID is the published number of a kind of work within its service.
type KindID uint8

// GroupID names one host group.
type GroupID struct {
	Service ServiceID
	Domain  DomainID
	Index   uint16
}

func (g GroupID) String() string {
	return fmt.Sprintf("%d.%d.%d", g.Service, g.Domain, g.Index)
}

// Domain is one failure domain.
type Domain struct {
	ID     DomainID
	Name   string
	Region string
}

// Occupancy tells what an open flow of a kind of work takes of a host.
type Occupancy uint8

const (
	// OccupiesConnection counts the flow against the connection limit only.
	OccupiesConnection Occupancy = iota
	// OccupiesSlot counts it against the slots too, since each connection
	// carries one request in progress.
	OccupiesSlot
)

// Endpoint is a destination that callers use.
type Endpoint struct {
	Addr  flow.Addr
	Port  uint16
	Proto flow.Proto
}

func (e Endpoint) String() string { return fmt.Sprintf("%s/%s:%d", e.Proto, e.Addr, e.Port) }

// Kind is one kind of work of a service.
type Kind struct {
	ID          KindID
	Name        string
	Class       uint8   // urgency, 0 is the most urgent
	Share       float64 // guaranteed part of the places of each group, 0 to 1
	Ceiling     float64 // largest part it may use, 0 to 1
	Occupies    Occupancy
	Deadline    time.Duration // longest wait for a slot before a refusal
	ServiceTime time.Duration // expected time in a slot, the start value of the estimate
	IdleTimeout time.Duration // a flow without packets for this long has ended
	Idempotent  bool
	Endpoints   []Endpoint
}

// HostState is the published state of a backend server.
type HostState uint8

// Published states. A host that is no longer listed is gone.
const (
	HostReady HostState = iota
	HostDraining
)

// Host is one backend server.
type Host struct {
	ID              HostID
	Name            string
	Domain          DomainID
	Service         ServiceID
	Tunnel          netip.AddrPort // Geneve endpoint in front of the host
	Via             map[DomainID]netip.AddrPort
	HealthURL       string // URL of its health and load report, may be empty
	Slots           int
	ConnectionLimit int
	QueueLimit      int // waiting requests allowed beyond the slots
	Capacity        float64
	WarmUp          time.Duration
	State           HostState
}

// TunnelFrom returns the tunnel address as seen from domain d.
func (h *Host) TunnelFrom(d DomainID) netip.AddrPort { return viewFrom(h.Via, d, h.Tunnel) }

// Instance is one entry machine as the platform lists it.
type Instance struct {
	ID      InstanceID
	Name    string
	Domain  DomainID
	Data    netip.AddrPort // Geneve, UDP
	Control netip.AddrPort // heartbeats and copies, UDP
	RPC     netip.AddrPort // jsonrpc2, TCP
	Via     map[DomainID]Addresses
	Leaving bool
}

// Addresses are the three addresses of an instance as seen from one domain.
type Addresses struct{ Data, Control, RPC netip.AddrPort }

// AddressesFrom returns the addresses as seen from domain d.
func (i *Instance) AddressesFrom(d DomainID) Addresses {
	return viewFrom(i.Via, d, Addresses{Data: i.Data, Control: i.Control, RPC: i.RPC})
}

func viewFrom[T any](via map[DomainID]T, d DomainID, direct T) T {
	if v, ok := via[d]; ok {
		return v
	}
	return direct
}

// Group is one host group.
type Group struct {
	ID     GroupID
	Hosts  []*Host // sorted by ID
	Weight float64 // sum of the hosts' capacities
}

// Service is a set of addresses and the host groups behind them.
type Service struct {
	ID     ServiceID
	Name   string
	Kinds  []*Kind
	Groups []*Group // sorted by domain, then index
	ranks  []rankRow
	past   []pastRank // latest first
}

// Kind returns the kind with the given number, or nil.
func (s *Service) Kind(id KindID) *Kind {
	for _, k := range s.Kinds {
		if k.ID == id {
			return k
		}
	}
	return nil
}

// Binding is what an endpoint leads to.
type Binding struct {
	Service *Service
	Kind    *Kind
	// MovedIn is the version in which the endpoint last changed its service,
	// or zero when it never did as far as this instance has seen.
	MovedIn Version
	// MovedFrom is the service that the endpoint last led to before it moved.
	MovedFrom ServiceID
}

// Move is a change of the service that an endpoint leads to.
type Move struct {
	Endpoint Endpoint
	From, To ServiceID
	Version  Version // in which it changed
}
