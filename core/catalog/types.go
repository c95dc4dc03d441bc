// Package catalog holds an instance's routes and backend servers. It merges
// changes from the settings store and from peers by version and revision, so
// that late or stale answers never revert newer ones. It has no clock and does
// no I/O.
package catalog

import (
	"net/netip"
	"time"

	"egrettack.example/core/token"
)

// ServerID identifies a backend server across restarts.
type ServerID uint64

// Revision is a revision of the settings store.
type Revision uint64

// Epoch is the number of times that the settings store has returned from an older
// copy, which loses the later changes and gives their revisions out again.
// Revisions of different epochs cannot be compared.
type Epoch uint64

// Position is a state of the settings store.
type Position struct {
	Epoch    Epoch
	Revision Revision
}

// Before reports whether p is an earlier state of the store than q.
func (p Position) Before(q Position) bool {
	return p.Epoch < q.Epoch || p.Epoch == q.Epoch && p.Revision < q.Revision
}

// Version is the version that the operator gives the configuration.
type Version uint64

// Server is one incarnation of a backend server, from a start to its end. The
// catalog updates the record in place.
type Server struct {
	ID       ServerID       `cbor:"1,keyasint"`
	Name     string         `cbor:"2,keyasint"` // as published, for logs
	Started  int64          `cbor:"3,keyasint"` // Unix milliseconds
	Service  string         `cbor:"4,keyasint"`
	Domain   string         `cbor:"5,keyasint"` // failure domain
	Addr     netip.AddrPort `cbor:"6,keyasint"`
	Slots    int            `cbor:"7,keyasint"` // requests it processes concurrently
	Draining bool           `cbor:"8,keyasint,omitempty"`
	// WarmUp is how long after FirstSeen the server is slow.
	WarmUp   time.Duration `cbor:"9,keyasint,omitempty"`
	Revision Revision      `cbor:"10,keyasint"` // of the published entry
	// Sequence increases with each write of the entry by this incarnation, also with
	// writes that a restore of the store has undone.
	Sequence int64 `cbor:"11,keyasint,omitempty"`

	// The fields below are local to this instance and not sent to peers.

	Token token.Token `cbor:"-"`
	// FirstSeen is when this instance first learned of this incarnation.
	FirstSeen time.Duration `cbor:"-"`
	// WarmUpStated is when this instance last learned that the server is slow.
	WarmUpStated time.Duration `cbor:"-"`
	// MissingSince is when the entry was found missing, 0 while it is published.
	MissingSince time.Duration `cbor:"-"`
	// published is the position of the first entry of this incarnation that this
	// instance has seen.
	published Position
	// expired is set if the entry was missing when the store returned from an outage: it
	// may have expired meanwhile, and the server stays active until it is Gone.
	expired bool
	// addressTaken is set if another server has taken the address, which this server
	// has therefore lost.
	addressTaken bool
	// formerStarts are the last starts of the server that this instance has seen before
	// this one, at most maxFormerStarts.
	formerStarts []int64
	// removedRevision is the revision at which the entry was removed, valid while
	// it is missing.
	removedRevision Revision
}

// tookAddress reports whether the server has taken the address of another one, which
// has therefore ended: it started later and was published later. One of these alone does
// not show it, since clocks differ and a write of a server may be done after its end.
func (s *Server) tookAddress(from *Server) bool {
	return s.Addr == from.Addr && s.Started >= from.Started && from.published.Before(s.published)
}

func (s *Server) formerToken() token.Token { return token.ForIncarnation(uint64(s.ID), s.Started) }

// Published reports whether the server has an entry in the store.
func (s *Server) Published() bool { return s.MissingSince == 0 }

// Kind tells whether requests may be retried.
type Kind uint8

// The kinds of request.
const (
	Safe     Kind = iota // idempotent: callers retry after any failure
	Unsafe               // must run at most once
	Upload               // unsafe, with a large body
	Download             // idempotent, with a large response
)

// Target is a service that receives a share of a route's new flows.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"` // share relative to the other targets
}

// Route maps an address of the platform to services.
type Route struct {
	Name     string         `cbor:"1,keyasint"`
	Dest     netip.AddrPort `cbor:"2,keyasint"`
	Targets  []Target       `cbor:"3,keyasint"`
	Kind     Kind           `cbor:"4,keyasint,omitempty"`
	Priority int            `cbor:"5,keyasint,omitempty"` // as configured, 0 is the highest
	// Timeout is the time after which callers give up a request, and TargetLatency
	// the time within which they want the response. They are 0 if unknown.
	Timeout       time.Duration `cbor:"6,keyasint,omitempty"`
	TargetLatency time.Duration `cbor:"7,keyasint,omitempty"`
}

// HasTarget reports whether the service is a target of the route.
func (r *Route) HasTarget(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// Config is one version of the operator's configuration.
type Config struct {
	Version     Version       `cbor:"1,keyasint"`
	Revision    Revision      `cbor:"2,keyasint"`
	Routes      []Route       `cbor:"3,keyasint"`
	IdleTimeout time.Duration `cbor:"4,keyasint"` // flows idle for longer may be dropped
	// WarmUps are the limits of services whose servers take few new flows while they
	// warm up, by service.
	WarmUps []WarmUpLimit `cbor:"5,keyasint,omitempty"`
}

// WarmUpLimit limits the new flows to each server of a service while it warms up.
type WarmUpLimit struct {
	Service string `cbor:"1,keyasint"`
	// Duration is the longest time that a server warms up, 0 if that is not known.
	Duration time.Duration `cbor:"2,keyasint,omitempty"`
	// FlowsPerSecond is the number of new flows that a server takes in any second, by
	// way of all instances together. It is above 0.
	FlowsPerSecond float64 `cbor:"3,keyasint"`
}

// ConfigDiff is the difference of a configuration from an earlier version.
type ConfigDiff struct {
	Version     Version          `cbor:"1,keyasint"`
	Revision    Revision         `cbor:"2,keyasint"`
	IdleTimeout time.Duration    `cbor:"3,keyasint"`
	Changed     []Route          `cbor:"4,keyasint,omitempty"` // routes that were added or changed
	Removed     []netip.AddrPort `cbor:"5,keyasint,omitempty"` // addresses of routes that were removed
	// WarmUps are all limits of the version.
	WarmUps []WarmUpLimit `cbor:"7,keyasint,omitempty"`
	// Checksum is that of all routes and warm-up limits of the version. The sender may not have seen
	// all versions in between, so the difference may not lead to the version.
	Checksum uint64 `cbor:"6,keyasint"`
}

// Change is an update from the store or a peer: backend servers and, optionally,
// the configuration.
type Change struct {
	// Epoch and Revision are the state of the store up to which the change is complete.
	Epoch    Epoch    `cbor:"7,keyasint,omitempty"`
	Revision Revision `cbor:"1,keyasint"`
	// Full means that Servers lists all servers. Otherwise Servers and Removed
	// are the differences from the requested revision.
	Full   bool    `cbor:"2,keyasint,omitempty"`
	Config *Config `cbor:"3,keyasint,omitempty"`
	// ConfigDiff is the configuration as a difference, in place of Config.
	ConfigDiff *ConfigDiff `cbor:"6,keyasint,omitempty"`
	Servers    []Server    `cbor:"4,keyasint,omitempty"`
	Removed    []Removal   `cbor:"5,keyasint,omitempty"`
	// Evacuations lists all evacuations in a full change. Otherwise Evacuations and
	// EvacuationsEnded are the differences.
	Evacuations      []Evacuation    `cbor:"8,keyasint,omitempty"`
	EvacuationsEnded []EvacuationEnd `cbor:"9,keyasint,omitempty"`
	// ListsEvacuations means that the sender passes on all evacuations and the limits of the
	// configuration. Without it, as from a former release, a full change does not show that an
	// evacuation has ended, and the receiver may miss some.
	ListsEvacuations bool `cbor:"10,keyasint,omitempty"`
	// MoreEvacuations means that the sender has not kept all evacuations of domains without servers.
	MoreEvacuations bool `cbor:"11,keyasint,omitempty"`
	// FromStore means that the change was read from the store. There a second key may
	// have the ID of a server.
	FromStore bool `cbor:"-"`
	// Source is the peer that sent the change, or the store, for operators.
	Source string `cbor:"-"`
}

// Position returns the state of the store up to which the change is complete.
func (ch *Change) Position() Position { return Position{ch.Epoch, ch.Revision} }

// Removal is a server whose entry was removed from the store.
type Removal struct {
	ID       ServerID `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
	// Name is that of the server whose entry was removed, "" if any of this ID was.
	Name string `cbor:"-"`
}
