package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/token"
)

const (
	// goneTimeout is how long an entry must be missing from a healthy store
	// before its server counts as gone. Running servers publish themselves again
	// within about 2 s after a store outage.
	goneTimeout = 2500 * time.Millisecond
	// missingRetention is how long a server without an entry is kept, so that
	// packets of its flows are still delivered or refused. It is the maximum
	// lifetime of a flow.
	missingRetention = 60 * time.Second
	// maxFormerStarts limits the former starts of a server that are kept, to recognize
	// them in an older copy of the store.
	maxFormerStarts = 4
	// defaultMaxReadGap is the maximum time between two successful reads of one
	// healthy period, unless SetMaxStoreReadInterval sets another.
	defaultMaxReadGap = 2 * time.Second
)

// Catalog is one instance's merged view of the configuration and the backend
// servers. It is not safe for concurrent use.
type Catalog struct {
	config            *Config
	routes            routeTable
	epoch             Epoch // of revision
	revision          Revision
	loaded            bool          // a full list of servers was applied
	loadedAt          time.Duration // when the last one was: changes before it may not be known
	forgottenRevision Revision      // removals up to it are not all known
	versionAtRestore  Version       // of the configuration when the epoch began, 0 in the first

	servers       map[ServerID]*Server // the latest incarnation of each
	byToken       map[token.Identity]*Server
	byFormerToken map[token.Token]ServerID   // by the tokens of the former release, of all starts
	byService     map[string][]*Server       // active servers, unordered
	byAddr        map[netip.AddrPort]*Server // the server whose incarnation was published last with each address
	generation    uint64

	// unknownRemoved has the removals of servers that are not in the catalog, for
	// followers that may have them. They are kept for missingRetention.
	unknownRemoved map[ServerID]unknownRemoval

	evacuations evacuations
	ignoredUpTo Revision // evacuations were ignored up to it, 0 if none were
	missed      Missed
	listedAt    Revision // of the last list that AddMissed has merged, in this epoch

	asOf         time.Duration // time at which the store was not ahead of revision
	healthySince time.Duration // start of the current healthy period, 0 before the first
	maxReadGap   time.Duration // maximum time between two reads of a healthy period
	// restoring is set while the first list of a later epoch is applied. It shows
	// states from before those that are known.
	restoring bool
}

// unknownRemoval is the removal of the entry of a server that is not in the catalog.
type unknownRemoval struct {
	at       time.Duration // when it became known
	revision Revision
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		routes:        newRouteTable(),
		servers:       make(map[ServerID]*Server),
		byToken:       make(map[token.Identity]*Server),
		byFormerToken: make(map[token.Token]ServerID),
		byService:     make(map[string][]*Server),
		byAddr:        make(map[netip.AddrPort]*Server),
		maxReadGap:    defaultMaxReadGap,

		unknownRemoved: make(map[ServerID]unknownRemoval),
		evacuations:    make(evacuations),
	}
}

// SetMaxStoreReadInterval sets the maximum time between two successful reads of the store
// that belong to one healthy period. It must exceed the read interval, or no
// server ever counts as gone.
func (c *Catalog) SetMaxStoreReadInterval(d time.Duration) { c.maxReadGap = d }

// Complete reports whether the catalog has a configuration and a full list of
// servers.
func (c *Catalog) Complete() bool { return c.config != nil && c.loaded }

// Loaded reports whether a full list of servers was applied.
func (c *Catalog) Loaded() bool { return c.loaded }

// Config returns the current configuration, nil before the first.
func (c *Catalog) Config() *Config { return c.config }

// Version returns the version of the current configuration, 0 before the first.
func (c *Catalog) Version() Version {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Revision returns the store revision up to which the catalog is complete.
func (c *Catalog) Revision() Revision { return c.revision }

// Position returns the state of the store up to which the catalog is complete.
func (c *Catalog) Position() Position { return Position{c.epoch, c.revision} }

// AsOf returns the latest time at which the catalog is known to have been
// current.
func (c *Catalog) AsOf() time.Duration { return c.asOf }

// Route returns the route to a destination address, nil if there is none.
func (c *Catalog) Route(dest netip.AddrPort) *Route { return c.routes.byDest[dest] }

// HasWarmUpLimits reports whether the configuration limits new flows to servers that warm up.
func (c *Catalog) HasWarmUpLimits() bool { return len(c.routes.warmUps) > 0 }

// WarmUpLimit returns the limit on new flows to the servers of a service while they warm
// up. It reports false if there is none.
func (c *Catalog) WarmUpLimit(service string) (WarmUpLimit, bool) {
	l, ok := c.routes.warmUps[service]
	return l, ok
}

// MayHaveFlows reports whether the service may have open flows of the route: it
// is a target of the route in the current configuration or was one in an earlier
// configuration that this instance has seen.
func (c *Catalog) MayHaveFlows(r *Route, service string) bool {
	return c.routes.mayHaveFlows(r, service)
}

// ServersOf returns the active servers of a service, including draining ones.
// The caller must not modify the slice.
func (c *Catalog) ServersOf(service string) []*Server { return c.byService[service] }

// ByToken returns the latest incarnation of the server that a token identifies, nil
// if it is unknown. The server itself refuses packets of flows that it does not hold.
func (c *Catalog) ByToken(t token.Token) *Server {
	if s := c.byToken[t.Identity()]; s != nil {
		return s
	}
	if id, known := c.byFormerToken[t]; known {
		return c.servers[id]
	}
	return nil
}

// Latest returns the latest incarnation of the server of s, s itself if the server
// is no longer in the catalog.
func (c *Catalog) Latest(s *Server) *Server {
	if latest := c.servers[s.ID]; latest != nil {
		return latest
	}
	return s
}

// EachServer calls f for the latest incarnation of each server.
func (c *Catalog) EachServer(f func(*Server)) {
	for _, s := range c.servers {
		f(s)
	}
}

// AddPartial adds some of the servers before the first full list is applied, so
// that new flows need not wait for that. It does nothing afterwards.
func (c *Catalog) AddPartial(now time.Duration, ch *Change) ApplyResult {
	var result ApplyResult
	if c.loaded {
		return result
	}
	result.ConfigChanged = c.applyConfig(ch.Config, ch)
	if ch.Epoch < c.epoch {
		return result
	}
	if ch.Epoch > c.epoch {
		c.beginEpoch(ch.Epoch)
		defer c.endRestoring()
	}
	for i := range ch.Servers {
		if c.admits(ch, &ch.Servers[i]) {
			c.putServer(now, ch.Servers[i], &result)
		}
	}
	c.applyEvacuations(now, ch, &result)
	if result.changesPlacement() {
		c.rebuildIndex()
	}
	return result
}

// Confirm records that a linearizable read started at the given time found the
// store at a position. It reports whether the catalog is current.
func (c *Catalog) Confirm(at time.Duration, pos Position) bool {
	if pos.Epoch != c.epoch || pos.Revision > c.revision {
		return false
	}
	c.recordHealthy(at, at)
	return true
}

// ExtendStoreHealthy records that the store had been healthy for the given duration
// before at, the time of the last Confirm. It ignores other times.
func (c *Catalog) ExtendStoreHealthy(at, healthy time.Duration) {
	if at == c.asOf {
		c.recordHealthy(at-healthy, at)
	}
}

// recordHealthy records that the store was healthy from since to at.
func (c *Catalog) recordHealthy(since, at time.Duration) {
	if at < c.asOf && c.healthySince > 0 {
		return
	}
	if c.healthySince == 0 || at-c.asOf > c.maxReadGap {
		c.healthySince = max(since, 1)
	} else {
		c.healthySince = min(c.healthySince, max(since, 1))
	}
	c.asOf = at
}

// applyConfig replaces the configuration by a newer one that a change brings, or by one of the
// same version that has the warm-up limits which the present one lacks. It reports whether it
// did; cfg may be nil. One without its limits gets the present ones until they are known.
func (c *Catalog) applyConfig(cfg *Config, ch *Change) bool {
	isWhole := ch.isWhole()
	if cfg == nil || cfg.Version < c.Version() || cfg.Version == c.Version() && !(isWhole && c.missed.Limits) {
		return false
	}
	if isWhole {
		c.missed.Limits = false
	} else {
		c.missed.missLimits(c.asOf)
		if c.config != nil && len(cfg.WarmUps) == 0 {
			kept := *cfg
			kept.WarmUps = c.config.WarmUps
			cfg = &kept
		}
	}
	c.routes.replace(cfg)
	c.config = cfg
	c.rebuildIndex() // other services may be named
	return true
}

// Apply merges a change that was current at the given time, with the store
// healthy since healthySince. It returns what the change modified.
func (c *Catalog) Apply(now, at, healthySince time.Duration, ch *Change) ApplyResult {
	var result ApplyResult
	if ch.ConfigDiff != nil && ch.Config == nil {
		cfg, ok := c.routes.merge(c.config, ch.ConfigDiff)
		if !ok {
			result.ConfigMismatch = true
			return result
		}
		ch.Config = cfg
	}
	result.ConfigChanged = c.applyConfig(ch.Config, ch)
	// The changes of a later epoch are only complete from its beginning.
	if ch.Position().Before(c.Position()) || ch.Epoch > c.epoch && c.loaded && !ch.Full {
		result.Stale = true
		return result
	}
	wasLoaded := c.loaded
	c.noteMissed(ch, c.Position(), c.asOf)
	if ch.Epoch > c.epoch {
		c.beginEpoch(ch.Epoch)
		defer c.endRestoring()
	}
	if ch.Full {
		c.markMissing(now, ch, &result)
		c.loaded, c.loadedAt = true, now
		c.forgottenRevision = max(c.forgottenRevision, ch.Revision)
	}
	for i := range ch.Servers {
		if c.admits(ch, &ch.Servers[i]) {
			c.putServer(now, ch.Servers[i], &result)
		}
	}
	for _, r := range ch.Removed {
		s := c.servers[r.ID]
		switch {
		case s == nil:
			c.unknownRemoved[r.ID] = unknownRemoval{now, r.Revision}
		case r.Name != "" && r.Name != s.Name:
		case !s.Published():
			s.removedRevision = max(s.removedRevision, r.Revision)
		case r.Revision > s.Revision:
			c.removeServer(now, s, r.Revision, &result)
		}
	}
	c.applyEvacuations(now, ch, &result)
	c.noteIgnored(ch, &result)
	c.revision = ch.Revision
	c.recordHealthy(healthySince, at)
	for _, s := range result.Removed {
		s.expired = wasLoaded && !s.Draining && now < c.healthySince+goneTimeout
	}
	if result.changesPlacement() {
		c.rebuildIndex()
	}
	return result
}

// beginEpoch prepares the catalog for the first list of a later epoch. The store
// has lost the changes since its copy was made. What is known stays known until
// it is written again: the list shows older states of servers that have begun to
// leave, and lacks servers that started since.
func (c *Catalog) beginEpoch(e Epoch) {
	c.restoring = len(c.servers) > 0
	c.epoch, c.revision, c.forgottenRevision, c.healthySince = e, 0, 0, 0
	c.versionAtRestore = c.Version()
	c.ignoredUpTo, c.listedAt = 0, 0
	clear(c.unknownRemoved)
	c.evacuations.beginEpoch()
	for _, s := range c.servers {
		s.Revision, s.removedRevision = 0, 0
	}
}

func (c *Catalog) endRestoring() { c.restoring = false }

// ApplyResult lists what a change modified.
type ApplyResult struct {
	ConfigChanged           bool // the configuration was replaced
	ConfigMismatch          bool // nothing was applied: the difference does not lead to the stated configuration
	Stale                   bool // the servers were ignored: the catalog has a later revision, or a full list of a later epoch is needed
	Added, Changed, Removed []*Server

	Evacuated, EvacuationsEnded []Evacuation
	EvacuationsIgnored          int // beyond maxEvacuations
}

// changesPlacement reports whether new flows may go elsewhere than before.
func (r *ApplyResult) changesPlacement() bool {
	return len(r.Added)+len(r.Changed)+len(r.Removed)+len(r.Evacuated)+len(r.EvacuationsEnded) > 0
}

// markMissing removes the published servers that a full list does not contain,
// except those that were published after it.
func (c *Catalog) markMissing(now time.Duration, ch *Change, result *ApplyResult) {
	type key struct {
		id   ServerID
		name string
	}
	listed := make(map[key]bool, len(ch.Servers))
	for i := range ch.Servers {
		listed[key{ch.Servers[i].ID, ch.Servers[i].Name}] = true
	}
	for id, s := range c.servers {
		if s.Published() && s.Revision <= ch.Revision && !listed[key{id, s.Name}] {
			c.removeServer(now, s, ch.Revision, result)
		}
	}
}

func (c *Catalog) removeServer(now time.Duration, s *Server, rev Revision, result *ApplyResult) {
	s.MissingSince, s.removedRevision = max(now, 1), rev
	result.Removed = append(result.Removed, s)
}

// admits reports whether an entry may be put. In the store a second key may have the ID
// of a published server. The one that was published first stays, unless only the other
// one is of a named service; peers have only one.
func (c *Catalog) admits(ch *Change, entry *Server) bool {
	s := c.servers[entry.ID]
	switch {
	case !ch.FromStore || s == nil || !s.Published() || s.Name == entry.Name:
		return true
	case c.named(s) || !c.named(entry):
		return false
	}
	delete(c.servers, s.ID)
	return true
}

// putServer adds or updates a server unless a newer entry is known.
func (c *Catalog) putServer(now time.Duration, entry Server, result *ApplyResult) {
	old := c.servers[entry.ID]
	if old != nil && entry.Revision < old.Revision {
		return
	}
	if old != nil && entry.Revision == old.Revision && old.Published() {
		return
	}
	if old != nil && c.isKnown(old, &entry) {
		c.keepKnown(old, entry.Revision, result)
		return
	}
	if old != nil && old.Started == entry.Started {
		if c.named(old) && !c.named(&entry) {
			// The service does not change during a server's life.
			if old.Published() {
				c.removeServer(now, old, entry.Revision, result)
			}
			return
		}
		// Open flows refer to this record, so it is updated in place.
		old.Name, old.Service, old.Domain, old.Addr, old.Slots = entry.Name, entry.Service, entry.Domain, entry.Addr, entry.Slots
		old.Draining, old.Sequence, old.Revision, old.MissingSince = entry.Draining, entry.Sequence, entry.Revision, 0
		old.expired, old.addressTaken = false, false
		if entry.WarmUp > 0 { // it counts from now
			old.WarmUp, old.WarmUpStated = max(old.WarmUp, now-old.FirstSeen+entry.WarmUp), now
		}
		result.Changed = append(result.Changed, old)
		return
	}
	entry.Token = token.ForServer(uint64(entry.ID))
	entry.FirstSeen, entry.WarmUpStated, entry.MissingSince = now, now, 0
	if !c.restoring { // otherwise it was published before all that is known
		entry.published = Position{c.epoch, entry.Revision}
	}
	if old != nil {
		entry.formerStarts = append(slices.Clone(old.formerStarts), old.Started)
		entry.formerStarts = entry.formerStarts[max(0, len(entry.formerStarts)-maxFormerStarts):]
	}
	c.servers[entry.ID] = &entry
	delete(c.unknownRemoved, entry.ID)
	c.byFormerToken[entry.formerToken()] = entry.ID
	if c.getsToken(&entry) {
		c.byToken[entry.Token.Identity()] = &entry
	}
	result.Added = append(result.Added, &entry)
}

// getsToken reports whether a server gets its tokens. Of several with the same identity the
// one that started first does, so that all instances deliver its flows.
func (c *Catalog) getsToken(s *Server) bool {
	holder := c.byToken[s.Token.Identity()]
	switch {
	case holder == nil || holder.ID == s.ID:
		return true
	case s.addressTaken != holder.addressTaken:
		return holder.addressTaken
	}
	return s.Started < holder.Started || s.Started == holder.Started && s.ID < holder.ID
}

// isKnown reports whether an entry is of an earlier write of a server than the last
// known one.
func (c *Catalog) isKnown(s, entry *Server) bool {
	switch {
	case entry.Started != s.Started:
		return c.restoring && (entry.Started < s.Started || slices.Contains(s.formerStarts, entry.Started))
	case entry.Sequence == 0:
		return false // a peer of the former release does not tell
	case c.restoring && entry.Sequence == s.Sequence:
		return s.Draining || !entry.Draining
	}
	return entry.Sequence < s.Sequence // it was done late
}

// keepKnown records that the store lists a server with an earlier entry than the last
// known one. A server that had left stays missing: its entry expires again.
func (c *Catalog) keepKnown(s *Server, rev Revision, result *ApplyResult) {
	s.Revision = rev
	if !s.Published() && !s.Draining {
		s.MissingSince = 0
		result.Changed = append(result.Changed, s)
	}
}

// ChangeCount returns a number that increases with each change of the servers in
// this catalog. Unlike Version and Revision it is local to the instance.
func (c *Catalog) ChangeCount() uint64 { return c.generation }

// Active reports whether the server may receive new flows, unless it is
// draining.
func (c *Catalog) Active(s *Server) bool {
	return c.servers[s.ID] == s && !s.addressTaken && (s.Published() || s.expired && c.Presence(s) == Unlisted)
}

// rebuildIndex rebuilds the lists of active servers by service.
func (c *Catalog) rebuildIndex() {
	c.generation++
	c.findTakenAddresses()
	clear(c.byService)
	for _, s := range c.servers {
		// A server whose token identifies another one would lose its flows.
		if c.Active(s) && c.byToken[s.Token.Identity()] == s {
			c.byService[s.Service] = append(c.byService[s.Service], s)
		}
	}
}

// named reports whether the configuration names the service of a server. The others
// get no flows and take no addresses: their entries may come from another writer, or
// a later configuration may name their service.
func (c *Catalog) named(s *Server) bool { return c.routes.services[s.Service] }

// findTakenAddresses marks the servers whose addresses other servers have taken.
// Addresses are only reused after their server has ended, whose entry may not have
// expired yet.
func (c *Catalog) findTakenAddresses() {
	clear(c.byAddr)
	for _, s := range c.servers {
		if !c.named(s) {
			continue
		}
		if last := c.byAddr[s.Addr]; last == nil || last.published.Before(s.published) {
			c.byAddr[s.Addr] = s
		}
	}
	for _, s := range c.servers {
		if last := c.byAddr[s.Addr]; last != nil && last.tookAddress(s) {
			s.addressTaken = true
		}
	}
}

// Expire deactivates servers that were not published again within the grace
// period after a store outage, and drops servers whose entries have been missing
// for longer than missingRetention.
func (c *Catalog) Expire(now time.Duration) {
	dropped, inactive := false, false
	for id, s := range c.servers {
		if s.expired && c.Presence(s) >= Gone {
			s.expired, inactive = false, true
		}
		if s.Published() || now-s.MissingSince < missingRetention {
			continue
		}
		dropped = true
		delete(c.servers, id)
		if c.byToken[s.Token.Identity()] == s {
			delete(c.byToken, s.Token.Identity())
		}
		c.forgottenRevision = max(c.forgottenRevision, s.removedRevision)
	}
	for id, r := range c.unknownRemoved {
		if now-r.at >= missingRetention {
			delete(c.unknownRemoved, id)
			c.forgottenRevision = max(c.forgottenRevision, r.revision)
		}
	}
	c.forgottenRevision = max(c.forgottenRevision, c.evacuations.expire(now))
	if inactive {
		c.rebuildIndex()
	}
	if dropped {
		maps.DeleteFunc(c.byFormerToken, func(_ token.Token, id ServerID) bool { return c.servers[id] == nil })
	}
	c.assignFreeTokens()
}

// assignFreeTokens assigns released tokens to servers that were published while
// another server held the same token.
func (c *Catalog) assignFreeTokens() {
	assigned := false
	for _, s := range c.servers {
		if c.byToken[s.Token.Identity()] != s && c.getsToken(s) {
			c.byToken[s.Token.Identity()] = s
			assigned = true
		}
	}
	if assigned {
		c.rebuildIndex()
	}
}
