// Package catalog holds what an instance knows of routes and backend servers.
// It merges what comes from the settings store and from peers by version and
// revision, so that no late or stale answer moves it back. It has no clock and
// does no I/O.
package catalog

import (
	"net/netip"
	"time"

	"egrettack.example/core/token"
)

// ServerID identifies a backend server over its starts.
type ServerID uint64

// Revision is a position in the history of the settings store.
type Revision uint64

// Version is the operator's version of the configuration.
type Version uint64

// Server is one start of a backend server. It is immutable but for the fields
// that the Catalog documents as its own.
type Server struct {
	ID       ServerID       `cbor:"1,keyasint"`
	Name     string         `cbor:"2,keyasint"` // as published, for logs
	Started  int64          `cbor:"3,keyasint"` // Unix milliseconds
	Service  string         `cbor:"4,keyasint"`
	Domain   string         `cbor:"5,keyasint"` // failure domain
	Addr     netip.AddrPort `cbor:"6,keyasint"`
	Slots    int            `cbor:"7,keyasint"` // requests it runs at once
	Draining bool           `cbor:"8,keyasint,omitempty"`
	// WarmUp is for how long after FirstSeen the server is slow.
	WarmUp   time.Duration `cbor:"9,keyasint,omitempty"`
	Revision Revision      `cbor:"10,keyasint"` // of the published entry

	// What follows is the receiver's own and not told to peers.

	Token token.Token `cbor:"-"`
	// FirstSeen is when this instance first knew of the start.
	FirstSeen time.Duration `cbor:"-"`
	// MissingSince is since when the entry is missing, 0 while it is published.
	MissingSince time.Duration `cbor:"-"`
	// removed is the revision by which the entry went away, while it is missing.
	removed Revision
}

// Published reports whether the server has an entry in the store.
func (s *Server) Published() bool { return s.MissingSince == 0 }

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of request.
const (
	Safe   Kind = iota // idempotent: callers repeat it after any failure
	Unsafe             // runs at most once
	Upload             // unsafe, with a large body
)

// Target is a service that takes a part of a route's new flows.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route leads an address of the platform to services.
type Route struct {
	Name     string         `cbor:"1,keyasint"`
	Dest     netip.AddrPort `cbor:"2,keyasint"`
	Targets  []Target       `cbor:"3,keyasint"`
	Kind     Kind           `cbor:"4,keyasint,omitempty"`
	Priority int            `cbor:"5,keyasint,omitempty"` // 0 is the most urgent
}

// HasTarget reports whether new flows of the route may go to the service.
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
	IdleTimeout time.Duration `cbor:"4,keyasint"` // flows idle for longer may be forgotten
}

// Change is what a store or a peer tells: the configuration, if it carries
// one, and backend servers.
type Change struct {
	// Revision is the position up to which the change is complete.
	Revision Revision `cbor:"1,keyasint"`
	// Full says that Servers are all servers; otherwise they and Removed are
	// what changed since the revision that was asked for.
	Full    bool      `cbor:"2,keyasint,omitempty"`
	Config  *Config   `cbor:"3,keyasint,omitempty"`
	Servers []Server  `cbor:"4,keyasint,omitempty"`
	Removed []Removal `cbor:"5,keyasint,omitempty"`
}

// Removal is a server whose entry went away.
type Removal struct {
	ID       ServerID `cbor:"1,keyasint"`
	Revision Revision `cbor:"2,keyasint"`
}
