package catalog

import (
	"net/netip"
	"time"

	"egrettack.example/core/token"
)

// Presence is what the catalog knows of whether an incarnation of a server runs.
type Presence uint8

// Presences.
const (
	Listed       Presence = iota // it has an entry in the store
	Unlisted                     // its entry is missing, not for long or not from a healthy store
	Gone                         // its entry has been missing from a healthy store for longer than goneTimeout
	AddressTaken                 // another server has taken its address
	numPresences
)

var presenceNames = [numPresences]string{"listed", "unlisted", "gone", "address_taken"}

func (p Presence) String() string { return presenceNames[p] }

// Presence returns what is known of whether a server runs. s is its latest
// incarnation. Only AddressTaken shows that it has ended: a server that is Gone may serve
// its flows for long after its drain, or run while the store does not accept its entry.
func (c *Catalog) Presence(s *Server) Presence {
	switch {
	case s.addressTaken:
		return AddressTaken
	case s.Published():
		return Listed
	case c.asOf-max(s.MissingSince, c.healthySince) > goneTimeout:
		return Gone
	}
	return Unlisted
}

// AbsenceConfirmed reports whether a server or a route that is not in the catalog was
// not there at the given time either: the store was read since and had been healthy
// for longer than goneTimeout before that read.
func (c *Catalog) AbsenceConfirmed(at time.Duration) bool {
	return c.loaded && c.asOf >= at && c.healthySince > 0 && c.asOf-c.healthySince > goneTimeout
}

// RouteRemoved reports whether a later configuration has removed the route to a
// destination address. It is not known of all removed routes, nor of those that went
// before a restore of the store, which loses routes that were added again.
func (c *Catalog) RouteRemoved(dest netip.AddrPort) bool {
	return c.routes.removedIn[dest] > c.versionAtRestore
}

// KnowsAllRoutes reports whether the catalog has all routes that may have open flows. It
// lacks those that came and went before its last full list: a restore of the store loses
// routes for a while.
func (c *Catalog) KnowsAllRoutes(now time.Duration) bool {
	return c.loaded && now-c.loadedAt >= missingRetention
}

// KnowsServerOf reports whether the catalog has the server that a token identifies, if
// that may have open flows. It lacks servers that came and went before its last full
// list, or between two reads: a server without an entry may be running.
func (c *Catalog) KnowsServerOf(now time.Duration, t token.Token) bool {
	for id := range c.unknownRemoved {
		if token.ForServer(uint64(id)).Identity() == t.Identity() {
			return false
		}
	}
	return c.loaded && now-c.loadedAt >= missingRetention
}
