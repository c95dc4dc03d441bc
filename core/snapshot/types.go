// Package snapshot provides the immutable view of the settings tree and the published
// lists on which all decisions are based. Each publication results in a new Snapshot;
// a Snapshot does not change after New has returned it.
package snapshot

import (
	"fmt"
	"net/netip"
	"time"

	"egrettack.example/core/flow"
)

// Version orders snapshots. It is the revision of the platform's values and never
// decreases.
type Version uint64

// DomainID is the published number of a failure domain.
type DomainID uint16

// InstanceID is the published number of an instance.
type InstanceID uint32

// HostID is the published number of a backend server.
type HostID uint32

// ServiceID is the published number of a service. It fits into the 24 bits of a Geneve
// VNI.
type ServiceID uint32

// MaxServiceID is the largest number that a Geneve VNI can carry.
const MaxServiceID ServiceID = 1<<24 - 1

// KindID is the published number of a kind within its service.
type KindID uint8

// GroupID identifies a host group.
type GroupID struct {
	Service ServiceID
	Domain  DomainID
	Index   uint16
}

func (g GroupID) String() string {
	return fmt.Sprintf("%d.%d.%d", g.Service, g.Domain, g.Index)
}

// Domain is a failure domain.
type Domain struct {
	ID     DomainID
	Name   string
	Region string
}

// Occupancy is the host capacity that an open flow of a kind occupies.
type Occupancy uint8

const (
	// OccupiesConnection counts the flow against the connection limit only.
	OccupiesConnection Occupancy = iota
	// OccupiesSlot counts the flow against the slots as well, since each
	// connection carries one request in progress.
	OccupiesSlot
)

// Endpoint is a destination address that callers connect to.
type Endpoint struct {
	Addr  flow.Addr
	Port  uint16
	Proto flow.Proto
}

func (e Endpoint) String() string { return fmt.Sprintf("%s/%s:%d", e.Proto, e.Addr, e.Port) }

// Kind is a kind of work of a service.
type Kind struct {
	ID          KindID
	Name        string
	Class       uint8   // urgency class, 0 is the most urgent
	Share       float64 // guaranteed fraction of each group's capacity, 0 to 1
	Ceiling     float64 // largest fraction of that capacity it may use, 0 to 1
	Occupies    Occupancy
	Deadline    time.Duration // longest wait for a slot before the request is refused
	ServiceTime time.Duration // expected time in a slot, the initial value of the estimate
	IdleTimeout time.Duration // time without packets after which a flow has ended
	Idempotent  bool
	Endpoints   []Endpoint
}

// HostState is the published state of a backend server.
type HostState uint8

// Published host states. A host that has left the list is gone.
const (
	HostReady HostState = iota
	HostDraining
)

// Host is a backend server.
type Host struct {
	ID              HostID
	Name            string
	Domain          DomainID
	Service         ServiceID
	Tunnel          netip.AddrPort              // Geneve endpoint in front of the host
	Via             map[DomainID]netip.AddrPort // endpoint to use instead of Tunnel, by the sender's domain
	HealthURL       string                      // URL of the health and load report, may be empty
	Slots           int
	ConnectionLimit int
	QueueLimit      int     // queued requests allowed beyond the slots
	Capacity        float64 // relative weight in the choice of a host; Slots if not positive
	WarmUp          time.Duration
	State           HostState
}

// TunnelFrom returns the tunnel address to use from domain d.
func (h *Host) TunnelFrom(d DomainID) netip.AddrPort { return addressFrom(h.Via, d, h.Tunnel) }

// Instance is an egrettack instance as listed by the platform.
type Instance struct {
	ID      InstanceID
	Name    string
	Domain  DomainID
	Data    netip.AddrPort         // Geneve, UDP
	Control netip.AddrPort         // heartbeats and copies, UDP
	RPC     netip.AddrPort         // jsonrpc2, TCP
	Via     map[DomainID]Addresses // addresses to use instead, by the sender's domain
	Leaving bool
}

// Addresses are the addresses of an instance to use from one domain.
type Addresses struct{ Data, Control, RPC netip.AddrPort }

// AddressesFrom returns the addresses to use from domain d.
func (i *Instance) AddressesFrom(d DomainID) Addresses {
	return addressFrom(i.Via, d, Addresses{Data: i.Data, Control: i.Control, RPC: i.RPC})
}

// addressFrom returns the address for domain d, or direct if there is no special one.
func addressFrom[T any](via map[DomainID]T, d DomainID, direct T) T {
	if v, ok := via[d]; ok {
		return v
	}
	return direct
}

// Group is a host group: hosts of one service in one failure domain whose flows
// are placed by one instance, the owner of the group.
type Group struct {
	ID     GroupID
	Hosts  []*Host // sorted by ID
	Weight float64 // sum of the hosts' capacities
}

// Service is a set of endpoints and the host groups that serve them.
type Service struct {
	ID               ServiceID
	Name             string
	Kinds            []*Kind
	Groups           []*Group          // sorted by domain, then index
	ranks            []rankRow         // by bucket
	previousRankings []previousRanking // latest first
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

// Binding is the service and kind that an endpoint belongs to.
type Binding struct {
	Service *Service
	Kind    *Kind
	// MovedIn is the version in which the endpoint last moved to another service,
	// or zero if this instance has seen no such move.
	MovedIn Version
	// MovedFrom is the service that the endpoint belonged to before the move.
	MovedFrom ServiceID
}

// Move is a move of an endpoint from one service to another.
type Move struct {
	Endpoint Endpoint
	From, To ServiceID
	Version  Version // in which the endpoint moved
}
