package edge

import (
	"context"
	"math"
	"net"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/fleet"
	wire "egrettack.example/wire/fleet"
)

// peers exchanges catalog changes and gossip with other instances. The fields from
// fleet on are guarded by the mutex of the instance.
type peers struct {
	conn *net.UDPConn
	port uint16 // UDP and TCP port of all instances

	send        func(b []byte, to netip.AddrPort) error
	fetchChange func(ctx context.Context, from netip.AddrPort, have position) (*wire.Change, error)
	background  func(f func()) // runs f concurrently

	fleet     *fleet.Fleet
	followers map[netip.Addr]follower
	pulling   bool
	// needsWholeConfig is set while a difference of the configuration did not fit.
	needsWholeConfig bool
	// completePeerKnown is set when a peer has a complete catalog.
	completePeerKnown bool

	updatedAt   time.Duration // time of the last update to all followers
	updatedAsOf time.Duration // its age reference
	updatedTo   position
	reportedAt  time.Duration // time of the last outlier reports
	sourceAsOf  time.Duration // age reference of the last update of the source
	askedAt     time.Duration // time of the last request to a follower
	informedAt  time.Duration // time of the last information for the source
	// reportedStoreLost is set while the followers know that the store is lost by all.
	reportedStoreLost bool
}

// position is what an instance has reached: the state of the store and the version
// of the configuration.
type position struct {
	store   catalog.Position
	version catalog.Version
}

// follower is what is known of a member that subscribed.
type follower struct {
	position            position
	subscribeSentAt     time.Duration // when it sent its last Subscribe, by its clock
	subscribeReceivedAt time.Duration // when that arrived
	takesDiffs          bool          // it takes configurations as differences
}

func (i *Instance) position() position {
	return position{i.catalog.Position(), i.catalog.Version()}
}

// requestPosition returns the position from which a peer is asked for changes.
func (i *Instance) requestPosition() position {
	have := i.position()
	if !i.catalog.Loaded() {
		return position{}
	}
	if i.peers.needsWholeConfig {
		have.version = 0
	}
	return have
}

// receivePeers handles the messages of peers until ctx is done.
func (i *Instance) receivePeers(ctx context.Context) error {
	var from netip.AddrPort
	read := func(b []byte) (n int, err error) {
		n, from, err = i.peers.conn.ReadFromUDPAddrPort(b)
		return n, err
	}
	return i.receive(ctx, i.peers.conn, "peer message", read, func(datagram []byte) {
		i.handlePeerMessage(ctx, from.Addr().Unmap(), datagram)
	})
}

// handlePeerMessage handles one datagram of a peer.
func (i *Instance) handlePeerMessage(ctx context.Context, from netip.Addr, datagram []byte) {
	i.metrics.peerBytes.WithLabelValues("received").Add(float64(len(datagram)))
	m, err := wire.Decode(datagram)
	if err != nil {
		i.log.Debug("peer message skipped", "peer", from, "error", err)
		return
	}
	received := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.adjustedTime()
	switch m.Kind {
	case wire.OpeningQuestion, wire.OpeningAnswer, wire.OpeningHandOver, wire.OpeningsTaken:
		i.handleOpenings(now, from, m)
		return
	case wire.MembersWanted, wire.MemberList, wire.Join, wire.Leave, wire.Stopped:
		i.handleMemberEvent(now, from, m)
		return
	}
	isNew := i.peers.fleet.RecordMessage(now, fleet.Identity{Addr: from, Domain: m.Domain, Capacity: m.Capacity})
	// A member may have started again since others told of it, and know nobody.
	if (isNew || m.Kind == wire.Gossip && len(m.Members) == 0) && !i.state.stopping {
		i.sendToPeer(from, i.memberMessage(now, wire.Gossip, from))
	}
	if m.Kind == wire.Gossip && len(m.Members) == 0 {
		delete(i.memberEvents.leaving, from) // it has started again
	}
	if i.memberEvents.asked == 0 {
		i.requestMembers(now)
	}
	i.peers.fleet.SetStoreUnreachable(now, from, m.StoreUnreachable)
	i.peers.fleet.SetStoreLost(from, m.StoreLost)
	i.peers.fleet.SetDomainSize(from, int(m.DomainSize))
	i.reportStoreLost(now)
	i.recordMembers(now, m)
	if m.Revision > 0 {
		i.peers.completePeerKnown = true
	}
	if !i.catalog.Loaded() && !i.state.stopping {
		i.tickPeers(now) // subscribes to a source as soon as one is known
	}
	switch m.Kind {
	case wire.Subscribe:
		i.peers.fleet.RenewFollower(now, from)
		i.peers.followers[from] = follower{position{m.Position(), m.Version}, m.SentAt, now, m.TakesDiffs}
		i.sendUpdate(now, from, updateSampleSize)
		i.askFollower(now, from, m)
	case wire.Update:
		i.handleUpdate(ctx, now, received, from, m)
		i.informSource(now, from)
	case wire.OutlierReport:
		i.handleOutlierReport(now, from, m)
	}
}

// recordMembers records the members that a message lists.
func (i *Instance) recordMembers(now time.Duration, m *wire.Message) {
	for k, x := range m.Members {
		id := fleet.Identity{Addr: netip.AddrFrom4(x.Addr), Domain: m.Domains[x.Domain], Capacity: m.CapacityOf(k)}
		i.peers.fleet.RecordGossip(now, id, x.Age.Duration())
	}
}

// handleUpdate applies the update of a peer. A change that is too large for a
// datagram, or follows one that was lost, is pulled.
func (i *Instance) handleUpdate(ctx context.Context, now, received time.Duration, from netip.Addr, m *wire.Message) {
	// Earliest time at which the message can have been sent, however long it took
	// to arrive.
	sent := min(received, m.SentAt+m.SubscribeAge.Duration())
	at := sent - m.Age.Duration()
	if c := m.Change; c != nil && c.Change != nil && i.catalog.Loaded() && i.follows(c) {
		if i.applyChange(now, at, m.StoreHealthyFor.Duration(), c.Change, from.String()) {
			return
		}
	}
	if m.Version <= i.catalog.Version() && m.Epoch < i.catalog.Position().Epoch {
		return // what the peer knows is from before a restore of the store
	}
	if m.Version <= i.catalog.Version() && i.catalog.Confirm(at, m.Position()) {
		i.catalog.ExtendStoreHealthy(at, m.StoreHealthyFor.Duration())
		i.reactToUpdate(now)
		return
	}
	if !i.peers.pulling && i.mayPull(now) {
		i.peers.pulling = true
		i.peers.background(func() { i.contain("pull", func() { i.pullChanges(ctx, from) }) })
	}
}

// follows reports whether a change that is not full can be applied to the catalog.
func (i *Instance) follows(c *wire.Change) bool {
	have := i.catalog.Position()
	return c.Change.Epoch == have.Epoch && c.After <= have.Revision
}

// mayPull reports whether a change may be pulled from a peer. An instance with a
// fast link loads an empty catalog from the store while the store answers.
func (i *Instance) mayPull(now time.Duration) bool {
	late := i.catalog.Config() == nil && now > firstPageTimeout
	return i.catalog.Loaded() || i.state.store.lost || late || i.slowLink
}

// pullChanges fetches the changes that a peer has and this instance lacks.
func (i *Instance) pullChanges(ctx context.Context, from netip.Addr) {
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.peers.pulling = false
	}()
	i.mu.Lock()
	have := i.requestPosition()
	i.mu.Unlock()
	began := i.clock.now()
	c, err := i.peers.fetchChange(ctx, netip.AddrPortFrom(from, i.peers.port), have)
	if err != nil {
		i.log.Info("changes not pulled", "peer", from, "error", err)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.adjustedTime()
	if !c.Change.Full && !i.follows(c) {
		return
	}
	i.applyChange(now, began-c.Age.Duration(), c.StoreHealthyFor.Duration(), c.Change, from.String())
}

// updateSampleSize is the number of members in the update that answers a
// Subscribe.
const updateSampleSize = fleet.GossipSampleSize / 2

// sendUpdate sends a follower the changes that it lacks; if there are none, it
// sends a sample of members. A change that is too large for a datagram is left
// out, and the follower pulls it.
func (i *Instance) sendUpdate(now time.Duration, to netip.Addr, members int) {
	if !i.catalog.Complete() {
		return
	}
	f, have := i.peers.followers[to], i.position()
	age, good := i.catalog.Age(now)
	m := &wire.Message{
		Kind: wire.Update, Domain: i.settings.Domain, Epoch: have.store.Epoch, Revision: have.store.Revision, Version: have.version,
		Age: wire.CeilMillis(age), StoreHealthyFor: wire.FloorMillis(good),
		SentAt: f.subscribeSentAt, SubscribeAge: wire.FloorMillis(now - f.subscribeReceivedAt),
	}
	if f.position == have || f.position.store.Revision == 0 || !i.sendChange(now, to, m, f) {
		m.Change = nil
		i.addMemberSample(now, m, to, members)
		i.sendToPeer(to, m)
	}
	f.position = have
	i.peers.followers[to] = f
}

// maxDatagramEntries is the number of entries above which a change does not fit a
// datagram: a server takes 80 to 130 bytes, a route about 40, a removal 8 to 15.
const maxDatagramEntries = 100

// entryCount returns the number of servers, routes and removals in a change.
func entryCount(ch *catalog.Change) int {
	n := len(ch.Servers) + len(ch.Removed)
	if ch.Config != nil {
		n += len(ch.Config.Routes)
	}
	if d := ch.ConfigDiff; d != nil {
		n += len(d.Changed) + len(d.Removed)
	}
	return n
}

// sendChange sends the changes after a position in a message with the given
// header. It reports false if they do not fit a datagram.
func (i *Instance) sendChange(now time.Duration, to netip.Addr, m *wire.Message, f follower) bool {
	ch := i.catalog.Since(now, f.position.store, f.position.version, f.takesDiffs)
	if ch.Full || entryCount(ch) > maxDatagramEntries {
		return false
	}
	m.Change = &wire.Change{After: f.position.store.Revision, Age: m.Age, StoreHealthyFor: m.StoreHealthyFor, Change: ch}
	return i.sendToPeer(to, m)
}

// minUpdateInterval is the shortest interval between updates of the followers that
// bring no changes. It bounds the messages when several members read the store at
// the same time.
const minUpdateInterval = 200 * time.Millisecond

// updateFollowers tells all followers how current this instance is, if it has
// become more current since the last time. Knowledge ages on its way, so that two
// members that follow each other do not repeat the same updates without end.
func (i *Instance) updateFollowers(now time.Duration) {
	asOf, have := i.catalog.AsOf(), i.position()
	if have == i.peers.updatedTo && (asOf <= i.peers.updatedAsOf || now-i.peers.updatedAt < minUpdateInterval) {
		return
	}
	i.peers.updatedAt, i.peers.updatedAsOf, i.peers.updatedTo = now, asOf, have
	for _, a := range i.peers.fleet.Followers(now) {
		i.sendUpdate(now, a, 0)
	}
}

// sendToPeer sends a message to a peer. It reports whether the message fits a
// datagram.
func (i *Instance) sendToPeer(to netip.Addr, m *wire.Message) bool {
	return i.sendToPeers([]netip.Addr{to}, m)
}

// sendToPeers sends a message to several peers. It reports whether the message fits a
// datagram.
func (i *Instance) sendToPeers(peers []netip.Addr, m *wire.Message) bool {
	now := i.clock.now()
	m.Capacity, m.DomainSize = i.peers.fleet.Self().Capacity, uint16(min(i.peers.fleet.DomainSize(), math.MaxUint16))
	m.StoreUnreachable, m.StoreLost = i.storeAccess(now).Unreachable, i.storeLostByAll(now)
	b, err := wire.Encode(m)
	if err != nil {
		i.log.Error("peer message not encoded", "kind", m.Kind, "peers", peers, "error", err)
		return true
	}
	if len(b) > wire.MaxDatagram {
		return false
	}
	for _, to := range peers {
		i.metrics.peerBytes.WithLabelValues("sent").Add(float64(len(b)))
		if err := i.peers.send(b, netip.AddrPortFrom(to, i.peers.port)); err != nil {
			i.log.Debug("peer message not sent", "peer", to, "error", err)
		}
	}
	return true
}

// tickPeers sends the messages that are due.
func (i *Instance) tickPeers(now time.Duration) {
	if i.catalog.Complete() {
		i.updateFollowers(now)
	}
	p := i.updateSource(now)
	if p.SubscribeTo.IsValid() {
		i.subscribe(now, p.SubscribeTo)
	}
	for _, a := range p.GossipTo {
		i.sendToPeer(a, i.memberMessage(now, wire.Gossip, a))
	}
}

// subscribe requests changes from a peer and tells it how current this instance
// is.
func (i *Instance) subscribe(now time.Duration, to netip.Addr) {
	have := i.requestPosition()
	m := i.memberMessage(now, wire.Subscribe, to)
	m.Epoch, m.Revision, m.Version, m.SentAt, m.TakesDiffs = have.store.Epoch, have.store.Revision, have.version, now, true
	if i.catalog.Loaded() {
		age, _ := i.catalog.Age(now)
		m.Age = wire.CeilMillis(age)
	}
	i.sendToPeer(to, m)
}

// askInterval is the shortest interval between messages against the direction of
// the tree: a request to a follower that is more current, and information for the
// source.
const askInterval = 200 * time.Millisecond

// askFollower subscribes to a follower that is more current than this instance: it
// has read the store while this instance or its sources could not, or it knows a
// configuration that a restore of the store has undone.
func (i *Instance) askFollower(now time.Duration, from netip.Addr, m *wire.Message) {
	if !i.catalog.Loaded() || m.Revision == 0 || now-i.peers.askedAt < askInterval {
		return
	}
	ahead := now - m.Age.Duration() - i.catalog.AsOf()
	if ahead > i.staleness() || m.Epoch > i.catalog.Position().Epoch || m.Version > i.catalog.Version() {
		i.peers.askedAt = now
		i.subscribe(now, from)
	}
}

// informSource tells the source when this instance has become more current than
// the source by a message of another peer or a read of the store.
func (i *Instance) informSource(now time.Duration, from netip.Addr) {
	source := i.peers.fleet.Source()
	if from == source {
		i.peers.sourceAsOf = i.catalog.AsOf()
		return
	}
	if source.IsValid() && now-i.peers.informedAt >= askInterval && i.catalog.AsOf()-i.peers.sourceAsOf > i.staleness() {
		i.peers.informedAt = now
		i.subscribe(now, source)
	}
}

// staleness is the difference in age between two instances that is not due to the
// interval of reads.
func (i *Instance) staleness() time.Duration {
	return fractionOf(i.settings.CurrentWithin(), readFraction)
}

// updateSource lets the fleet choose the source again and logs a change of it.
func (i *Instance) updateSource(now time.Duration) fleet.Plan {
	before := i.peers.fleet.Source()
	p := i.peers.fleet.Tick(now, i.storeAccess(now))
	if after := i.peers.fleet.Source(); after != before {
		i.peers.sourceAsOf = i.catalog.AsOf()
		i.engine.ForgetEvidence(before)
		i.log.Info("source", "peer", sourceName(after), "before", sourceName(before), "members", i.peers.fleet.Size())
	}
	return p
}

func sourceName(a netip.Addr) string {
	if !a.IsValid() {
		return "store"
	}
	return a.String()
}

// memberMessage returns a message to a peer with a sample of the members.
func (i *Instance) memberMessage(now time.Duration, k wire.Kind, to netip.Addr) *wire.Message {
	m := &wire.Message{Kind: k, Domain: i.settings.Domain}
	if i.catalog.Complete() {
		have := i.position()
		m.Epoch, m.Revision, m.Version = have.store.Epoch, have.store.Revision, have.version
	}
	i.addMemberSample(now, m, to, fleet.GossipSampleSize)
	return m
}

// addMemberSample adds a sample of n members to a message.
func (i *Instance) addMemberSample(now time.Duration, m *wire.Message, to netip.Addr, n int) {
	addMembers(now, m, i.peers.fleet.Sample(i.peers.fleet.DomainOf(to), n))
}

// addMembers adds members to a message.
func addMembers(now time.Duration, m *wire.Message, list []*fleet.Member) {
	index := make(map[string]uint8)
	for _, x := range list {
		at, ok := index[x.Domain]
		if !ok {
			at = uint8(len(m.Domains))
			index[x.Domain] = at
			m.Domains = append(m.Domains, x.Domain)
		}
		m.Members = append(m.Members, wire.Member{Addr: x.Addr.As4(), Domain: at, Age: wire.CeilMillis(now - x.LastHeard)})
		m.Capacities = append(m.Capacities, x.Capacity)
	}
}

// sendLeave tells the members that this instance stops.
func (i *Instance) sendLeave() {
	i.peers.fleet.EachMember(func(m *fleet.Member) {
		i.sendToPeer(m.Addr, &wire.Message{Kind: wire.Leave, Domain: i.settings.Domain})
	})
}
