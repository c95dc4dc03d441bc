package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/catalog"
	"egrettack.example/core/fleet"
	wire "egrettack.example/wire/fleet"
)

// peers exchanges changes and the picture of the fleet with other instances.
// Its fields from fleet on are under the instance's mu.
type peers struct {
	conn *net.UDPConn
	port uint16 // of all instances, for datagrams and calls

	send        func(b []byte, to netip.AddrPort) error
	fetchChange func(ctx context.Context, from netip.AddrPort, have position) (*wire.Change, error)
	background  func(f func()) // runs f beside the present work

	fleet     *fleet.Fleet
	followers map[netip.Addr]follower
	pulling   bool

	updatedAsOf time.Duration // of the last news to all followers
	updatedTo   position
	reportedAt  time.Duration // of the last outlier report
}

// position is how far the knowledge of an instance reaches.
type position struct {
	revision catalog.Revision
	version  catalog.Version
}

// follower is what is known of a member that asked.
type follower struct {
	position            position
	subscribeSentAt     time.Duration // when it sent its last question, by its clock
	subscribeReceivedAt time.Duration // when that came
}

func (i *Instance) position() position {
	return position{i.catalog.Revision(), i.catalog.Version()}
}

// receivePeers handles the messages of peers until ctx is done.
func (i *Instance) receivePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { i.peers.conn.Close() })
	defer stop()
	b := make([]byte, readBuffer)
	for {
		n, from, err := i.peers.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return trace.Wrap(err, "read peer messages")
		}
		i.handlePeerMessage(ctx, from.Addr().Unmap(), b[:n])
	}
}

// hear takes one datagram of a peer.
func (i *Instance) handlePeerMessage(ctx context.Context, from netip.Addr, datagram []byte) {
	i.metrics.peerBytes.WithLabelValues("received").Add(float64(len(datagram)))
	m, err := wire.Decode(datagram)
	if err != nil {
		i.log.Debug("peer message skipped", "peer", from, "error", err)
		return
	}
	now := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if m.Kind == wire.Leave {
		i.peers.fleet.Remove(from)
		i.updateSource(now)
		return
	}
	if i.peers.fleet.RecordMessage(now, from, m.Domain) && !i.state.stopping {
		i.sendToPeer(from, i.memberMessage(now, wire.Gossip, from))
	}
	i.peers.fleet.SetStoreUnreachable(now, from, m.StoreUnreachable)
	for _, x := range m.Members {
		i.peers.fleet.RecordGossip(now, netip.AddrFrom4(x.Addr), m.Domains[x.Domain], x.Age.Duration())
	}
	switch m.Kind {
	case wire.Subscribe:
		i.peers.fleet.RenewFollower(now, from)
		i.peers.followers[from] = follower{position{m.Revision, m.Version}, m.SentAt, now}
		i.sendUpdate(now, from, updateSampleSize)
	case wire.Update:
		i.handleUpdate(ctx, now, from, m)
	case wire.OutlierReport:
		i.handleOutlierReport(now, m)
	}
}

// takeTold takes what a peer tells of the store. What does not fit datagrams,
// or lacks a part that was lost, is pulled.
func (i *Instance) handleUpdate(ctx context.Context, now time.Duration, from netip.Addr, m *wire.Message) {
	// The message was not sent before this, however long it took.
	sent := min(now, m.SentAt+m.SubscribeAge.Duration())
	at := sent - m.Age.Duration()
	if c := m.Change; c != nil && c.Change != nil && i.catalog.Loaded() && c.After <= i.catalog.Revision() {
		if c.Change.Revision < m.Revision {
			at = i.catalog.AsOf() // further parts are needed to be current
		}
		i.applyChange(now, at, m.StoreHealthyFor.Duration(), c.Change, from.String())
		return
	}
	if m.Version <= i.catalog.Version() && i.catalog.Confirm(at, m.Revision) {
		i.catalog.ExtendStoreHealthy(at, m.StoreHealthyFor.Duration())
		i.retryHeld(now)
		i.updateFollowers(now)
		return
	}
	if !i.peers.pulling && i.mayPull(now) {
		i.peers.pulling = true
		i.peers.background(func() { i.pullChanges(ctx, from) })
	}
}

// mayPull reports whether a change is pulled from a peer. An empty catalog is
// filled from the store while that answers: stale pages cost the fleet less
// than whole catalogs from members with small links.
func (i *Instance) mayPull(now time.Duration) bool {
	late := i.catalog.Config() == nil && now > firstPageTimeout
	return i.catalog.Loaded() || i.state.storeLost || late
}

// pull fetches what a peer knows beyond this instance.
func (i *Instance) pullChanges(ctx context.Context, from netip.Addr) {
	i.mu.Lock()
	have := i.position()
	if !i.catalog.Loaded() {
		have = position{}
	}
	i.mu.Unlock()
	began := i.clock.now()
	c, err := i.peers.fetchChange(ctx, netip.AddrPortFrom(from, i.peers.port), have)
	now := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peers.pulling = false
	if err != nil {
		i.log.Info("changes not pulled", "peer", from, "error", err)
		return
	}
	if c.After > i.catalog.Revision() && !c.Change.Full {
		return
	}
	i.applyChange(now, began-c.Age.Duration(), c.StoreHealthyFor.Duration(), c.Change, from.String())
}

// tellMembers is the number of members that the answer to a question tells of.
const updateSampleSize = fleet.GossipSampleSize / 2

// tell tells a follower what it does not have, in as many datagrams as it
// takes, or else of some members. A change too large for datagrams is left out,
// and the follower pulls it.
func (i *Instance) sendUpdate(now time.Duration, to netip.Addr, members int) {
	if !i.catalog.Complete() {
		return
	}
	f, have := i.peers.followers[to], i.position()
	age, good := i.catalog.Age(now)
	m := &wire.Message{
		Kind: wire.Update, Domain: i.settings.Domain, Revision: have.revision, Version: have.version,
		Age: wire.CeilMillis(age), StoreHealthyFor: wire.FloorMillis(good),
		SentAt: f.subscribeSentAt, SubscribeAge: wire.FloorMillis(now - f.subscribeReceivedAt),
	}
	if f.position == have || f.position.revision == 0 || !i.sendChange(now, to, m, f.position) {
		m.Change = nil
		i.addMemberSample(now, m, to, members)
		i.sendToPeer(to, m)
	}
	f.position = have
	i.peers.followers[to] = f
}

const (
	// tellServers is the number of servers in one datagram: an entry takes 80
	// to 130 bytes.
	serversPerDatagram = 8
	// tellParts is the number of datagrams that one change may take; a call
	// takes fewer bytes for more.
	maxChangeDatagrams = 8
)

// tellChange sends the change since a position with the given header. It
// reports whether the follower has all of it then, if no datagram is lost.
func (i *Instance) sendChange(now time.Duration, to netip.Addr, m *wire.Message, has position) bool {
	parts := i.catalog.Since(now, has.revision, has.version).Split(serversPerDatagram)
	if parts[0].Full || len(parts) > maxChangeDatagrams {
		return false
	}
	after := has.revision
	for _, part := range parts {
		m.Change = &wire.Change{After: after, Age: m.Age, StoreHealthyFor: m.StoreHealthyFor, Change: part}
		if !i.sendToPeer(to, m) {
			return false
		}
		after = part.Revision
	}
	return true
}

// tellFollowers tells all followers how current this instance is, if it became
// more current since the last time. Knowledge gets older on its way, so that
// two members that follow each other do not tell each other the same again.
func (i *Instance) updateFollowers(now time.Duration) {
	asOf, have := i.catalog.AsOf(), i.position()
	if asOf <= i.peers.updatedAsOf && have == i.peers.updatedTo {
		return
	}
	i.peers.updatedAsOf, i.peers.updatedTo = asOf, have
	for _, a := range i.peers.fleet.Followers(now) {
		i.sendUpdate(now, a, 0)
	}
}

// sendPeer reports whether the message fits a datagram.
func (i *Instance) sendToPeer(to netip.Addr, m *wire.Message) bool {
	m.StoreUnreachable = i.state.storeUnreachable(i.clock.now())
	b, err := wire.Encode(m)
	if err != nil {
		i.log.Error("peer message not encoded", "peer", to, "error", err)
		return true
	}
	if len(b) > wire.MaxDatagram {
		return false
	}
	i.metrics.peerBytes.WithLabelValues("sent").Add(float64(len(b)))
	if err := i.peers.send(b, netip.AddrPortFrom(to, i.peers.port)); err != nil {
		i.log.Debug("peer message not sent", "peer", to, "error", err)
	}
	return true
}

// tickPeers sends the messages that are due.
func (i *Instance) tickPeers(now time.Duration) {
	p := i.updateSource(now)
	if p.SubscribeTo.IsValid() {
		have := i.position()
		m := i.memberMessage(now, wire.Subscribe, p.SubscribeTo)
		m.Revision, m.Version, m.SentAt = have.revision, have.version, now
		i.sendToPeer(p.SubscribeTo, m)
	}
	for _, a := range p.GossipTo {
		i.sendToPeer(a, i.memberMessage(now, wire.Gossip, a))
	}
}

// settleSource lets the fleet choose the source again and logs a change.
func (i *Instance) updateSource(now time.Duration) fleet.Plan {
	before := i.peers.fleet.Source()
	p := i.peers.fleet.Tick(now, i.state.storeUnreachable(now))
	if after := i.peers.fleet.Source(); after != before {
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

// introduction is a message to a peer with a sample of the members.
func (i *Instance) memberMessage(now time.Duration, k wire.Kind, to netip.Addr) *wire.Message {
	m := &wire.Message{Kind: k, Domain: i.settings.Domain}
	i.addMemberSample(now, m, to, fleet.GossipSampleSize)
	return m
}

// addMembers adds a sample of the members to a message.
func (i *Instance) addMemberSample(now time.Duration, m *wire.Message, to netip.Addr, n int) {
	index := make(map[string]uint8)
	for _, x := range i.peers.fleet.Sample(i.peers.fleet.DomainOf(to), n) {
		at, ok := index[x.Domain]
		if !ok {
			at = uint8(len(m.Domains))
			index[x.Domain] = at
			m.Domains = append(m.Domains, x.Domain)
		}
		m.Members = append(m.Members, wire.Member{Addr: x.Addr.As4(), Domain: at, Age: wire.CeilMillis(now - x.LastHeard)})
	}
}

// leave tells members that this instance stops.
func (i *Instance) sendLeave() {
	i.peers.fleet.EachMember(func(m *fleet.Member) {
		i.sendToPeer(m.Addr, &wire.Message{Kind: wire.Leave, Domain: i.settings.Domain})
	})
}
