package catalog

import (
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/token"
)

const (
	// goneAfter is how long an entry must be missing from a store in good
	// state before its server counts as gone: servers that live are back in
	// the store about 2 s after its return.
	goneAfter = 2500 * time.Millisecond
	// keepMissing is how long a server without an entry is remembered, so that
	// the packets of its flows are delivered or refused: the longest life of a
	// flow.
	keepMissing = 60 * time.Second
	// defaultStoreGap is the longest time between two good reads that count as
	// one span of good state, while SetStoreGap was not called.
	defaultStoreGap = 2 * time.Second
)

// Catalog is the merged knowledge of one instance. It is not safe for
// concurrent use.
type Catalog struct {
	config   *Config
	routes   map[netip.AddrPort]*Route
	former   map[netip.AddrPort][]string // services that present routes led to before
	revision Revision
	loaded   bool     // a whole list of servers was taken
	floor    Revision // all removals after it are remembered

	servers  map[ServerID]*Server // the latest start of each
	byToken  map[token.Token]*Server
	services map[string][]*Server // in use for new flows, in no order
	changes  uint64

	asOf      time.Duration // the store was at revision or before at this time
	goodSince time.Duration // start of the present span of good reads
	storeGap  time.Duration // longest time between two reads of a span
	// lapsedUntil is until when servers without an entry stay in use that went
	// missing at the begin of the span, 0 when there are none.
	lapsedUntil time.Duration
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		routes:   make(map[netip.AddrPort]*Route),
		former:   make(map[netip.AddrPort][]string),
		servers:  make(map[ServerID]*Server),
		byToken:  make(map[token.Token]*Server),
		services: make(map[string][]*Server),
		storeGap: defaultStoreGap,
	}
}

// SetMaxReadGap sets the longest time between two good reads of the store that
// count as one span of good state. It has to be longer than the interval of
// reads, or no server ever counts as gone.
func (c *Catalog) SetMaxReadGap(d time.Duration) { c.storeGap = d }

// Complete reports whether the catalog has a configuration and a whole list of
// servers.
func (c *Catalog) Complete() bool { return c.config != nil && c.loaded }

// Loaded reports whether a whole list of servers was taken.
func (c *Catalog) Loaded() bool { return c.loaded }

// Config returns the configuration in force, nil before the first.
func (c *Catalog) Config() *Config { return c.config }

// Version returns the version in force, 0 before the first.
func (c *Catalog) Version() Version {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Revision returns the position up to which the catalog is complete.
func (c *Catalog) Revision() Revision { return c.revision }

// AsOf returns the time at which the catalog was known to be current.
func (c *Catalog) AsOf() time.Duration { return c.asOf }

// Route returns the route of an address, nil if there is none.
func (c *Catalog) Route(dest netip.AddrPort) *Route { return c.routes[dest] }

// MayHaveFlows reports whether flows of the route may be open at servers of the
// service, by this configuration or a former one that this instance has seen.
func (c *Catalog) MayHaveFlows(r *Route, service string) bool {
	return r.HasTarget(service) || slices.Contains(c.former[r.Dest], service)
}

// ServersOf returns the servers of a service that are in use for new flows,
// draining ones included. The slice must not be changed.
func (c *Catalog) ServersOf(name string) []*Server { return c.services[name] }

// ByToken returns the server that a token names, nil if it is not known.
func (c *Catalog) ByToken(t token.Token) *Server { return c.byToken[t] }

// EachServer calls f for the latest start of each server.
func (c *Catalog) EachServer(f func(*Server)) {
	for _, s := range c.servers {
		f(s)
	}
}

// AddPartial takes some of the servers before the first whole list, so that new flows
// need not wait for it. It does nothing afterwards.
func (c *Catalog) AddPartial(now time.Duration, ch *Change) ApplyResult {
	var a ApplyResult
	if c.loaded {
		return a
	}
	a.Config = c.takeConfig(ch.Config)
	for i := range ch.Servers {
		c.put(now, ch.Servers[i], &a)
	}
	if len(a.Added)+len(a.Changed) > 0 {
		c.index()
	}
	return a
}

// Confirm notes that a linearizable read that began at the given time found
// the store at revision rev. It reports whether the catalog is current.
func (c *Catalog) Confirm(at time.Duration, rev Revision) bool {
	if rev > c.revision {
		return false
	}
	c.good(at, at)
	return true
}

// ExtendHealthy notes that the store was in good state for a while before at, a time
// that Confirm was called with.
func (c *Catalog) ExtendHealthy(at, good time.Duration) {
	if at == c.asOf {
		c.good(at-good, at)
	}
}

// good notes that the store was in good state from since to at.
func (c *Catalog) good(since, at time.Duration) {
	if at < c.asOf && c.goodSince > 0 {
		return
	}
	if c.goodSince == 0 || at-c.asOf > c.storeGap {
		c.goodSince = max(since, 1)
	} else {
		c.goodSince = min(c.goodSince, max(since, 1))
	}
	c.asOf = at
}

// Apply takes a change that was current at the given time, with the store in
// good state since goodSince. It reports what the change moved.
func (c *Catalog) Apply(now, at, goodSince time.Duration, ch *Change) ApplyResult {
	var a ApplyResult
	a.Config = c.takeConfig(ch.Config)
	if ch.Revision < c.revision {
		a.Stale = true
		return a
	}
	again := c.loaded
	if ch.Full {
		c.markMissing(now, ch, &a)
		if !c.loaded {
			c.loaded, c.floor = true, ch.Revision
		}
	}
	for i := range ch.Servers {
		c.put(now, ch.Servers[i], &a)
	}
	for _, r := range ch.Removed {
		if s := c.servers[r.ID]; s != nil && s.Published() && r.Revision > s.Revision {
			c.remove(now, s, r.Revision, &a)
		}
	}
	c.revision = ch.Revision
	c.good(goodSince, at)
	if again && len(a.Removed) > 0 && now < c.goodSince+goneAfter {
		c.lapsedUntil = c.goodSince + goneAfter
	}
	if len(a.Added)+len(a.Removed)+len(a.Changed) > 0 {
		c.index()
	}
	return a
}

// ApplyResult says what a change moved.
type ApplyResult struct {
	Config                  bool
	Stale                   bool // the servers were older than those known
	Added, Changed, Removed []*Server
}

// takeConfig takes a configuration unless it is nil or no newer than that in
// force. It reports whether it was taken.
func (c *Catalog) takeConfig(cfg *Config) bool {
	if cfg == nil || cfg.Version <= c.Version() {
		return false
	}
	c.setConfig(cfg)
	return true
}

func (c *Catalog) setConfig(cfg *Config) {
	routes := make(map[netip.AddrPort]*Route, len(cfg.Routes))
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		routes[r.Dest] = r
	}
	for dest, old := range c.routes {
		r := routes[dest]
		if r == nil {
			delete(c.former, dest)
			continue
		}
		for _, t := range old.Targets {
			if !c.MayHaveFlows(r, t.Service) {
				c.former[dest] = append(c.former[dest], t.Service)
			}
		}
	}
	c.config, c.routes = cfg, routes
}

func (c *Catalog) markMissing(now time.Duration, ch *Change, a *ApplyResult) {
	listed := make(map[ServerID]bool, len(ch.Servers))
	for i := range ch.Servers {
		listed[ch.Servers[i].ID] = true
	}
	for id, s := range c.servers {
		if s.Published() && !listed[id] {
			c.remove(now, s, ch.Revision, a)
		}
	}
}

func (c *Catalog) remove(now time.Duration, s *Server, rev Revision, a *ApplyResult) {
	s.MissingSince, s.removed = max(now, 1), rev
	a.Removed = append(a.Removed, s)
}

// put takes one entry unless a newer one is known.
func (c *Catalog) put(now time.Duration, n Server, a *ApplyResult) {
	old := c.servers[n.ID]
	if old != nil && n.Revision < old.Revision {
		return
	}
	if old != nil && n.Revision == old.Revision && old.Published() {
		return
	}
	if old != nil && old.Started == n.Started {
		// Packets of open flows may be on the way to the server, so its
		// record stays and takes the new values.
		old.Service, old.Domain, old.Addr, old.Slots = n.Service, n.Domain, n.Addr, n.Slots
		old.Draining, old.Revision, old.MissingSince = n.Draining, n.Revision, 0
		a.Changed = append(a.Changed, old)
		return
	}
	n.Token = token.ForServer(uint64(n.ID), n.Started)
	n.FirstSeen, n.MissingSince = now, 0
	c.servers[n.ID] = &n
	if held := c.byToken[n.Token]; held == nil || held.ID == n.ID || c.Gone(now, held) {
		c.byToken[n.Token] = &n
	}
	a.Added = append(a.Added, &n)
}

// Generation returns a number that differs after each change of the servers.
func (c *Catalog) Generation() uint64 { return c.changes }

// lapsed reports whether the server's entry went missing right after the store
// came back: it lapsed while the store was away, and the server may live.
func (c *Catalog) lapsed(s *Server) bool {
	return c.lapsedUntil > 0 && s.MissingSince >= c.goodSince && !s.Draining
}

// Active reports whether the server may get new flows unless it is draining.
func (c *Catalog) Active(s *Server) bool {
	return c.servers[s.ID] == s && (s.Published() || c.lapsed(s))
}

// index lists the servers in use by service.
func (c *Catalog) index() {
	c.changes++
	clear(c.services)
	for _, s := range c.servers {
		// A server whose token names another one cannot keep flows.
		if c.Active(s) && c.byToken[s.Token] == s {
			c.services[s.Service] = append(c.services[s.Service], s)
		}
	}
}

// Gone reports whether the server is certain to have ended: another start has
// its place, or its entry stayed missing from a store in good state.
func (c *Catalog) Gone(now time.Duration, s *Server) bool {
	if c.servers[s.ID] != s {
		return true
	}
	return !s.Published() && c.asOf-max(s.MissingSince, c.goodSince) > goneAfter
}

// AbsenceConfirmed reports whether a server without an entry that was unknown at the
// given time cannot live: the store was in good state for long enough before
// that and was read since.
func (c *Catalog) AbsenceConfirmed(at time.Duration) bool {
	return c.loaded && c.asOf >= at && c.goodSince > 0 && c.asOf-c.goodSince > goneAfter
}

// Expire takes lapsed servers out of use that did not come back, and drops
// those whose entries have been missing for longer than flows last.
func (c *Catalog) Expire(now time.Duration) {
	if c.lapsedUntil > 0 && now >= c.lapsedUntil {
		c.lapsedUntil = 0
		c.index()
	}
	for t, s := range c.byToken {
		superseded := c.servers[s.ID] != s
		if !superseded && s.Published() || now-max(s.MissingSince, s.FirstSeen) < keepMissing {
			continue
		}
		delete(c.byToken, t)
		if !superseded {
			delete(c.servers, s.ID)
			c.floor = max(c.floor, s.removed)
		}
	}
	c.claimTokens()
}

// claimTokens gives free tokens to servers that were published while another
// server had theirs.
func (c *Catalog) claimTokens() {
	claimed := false
	for _, s := range c.servers {
		if c.byToken[s.Token] == nil {
			c.byToken[s.Token] = s
			claimed = true
		}
	}
	if claimed {
		c.index()
	}
}
