package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/catalog"
	"egrettack.example/core/fleet"
	"egrettack.example/settings/document"
	"egrettack.example/settings/edge"
	wire "egrettack.example/wire/fleet"
)

// manualClock is a clock that a test sets.
type manualClock struct{ time time.Duration }

func (c *manualClock) now() time.Duration  { return c.time }
func (*manualClock) adjust() time.Duration { return 0 }

// partStore returns changes in parts of a limited number of events.
type partStore struct {
	fakeStore
	events   []catalog.Change // one event each
	partSize int
	parts    int // number of parts returned
}

func (s *partStore) Since(_ context.Context, after catalog.Revision) (*catalog.Change, error) {
	s.parts++
	ch := &catalog.Change{Revision: after}
	for n, left := 0, s.partSize; n < len(s.events) && left > 0; n++ {
		if e := s.events[n]; e.Revision > after {
			ch.Servers, ch.Removed = append(ch.Servers, e.Servers...), append(ch.Removed, e.Removed...)
			ch.Revision = e.Revision
			left--
		}
	}
	return ch, nil
}

// newIdleInstance returns an instance without sockets, whose goroutines do not run.
func newIdleInstance(clk clock, store Store) *Instance {
	return newInstance(Options{
		Settings: &edge.Settings{
			Name: "x", Domain: "a", Packets: netip.MustParseAddrPort("10.0.0.1:8172"), InternalPorts: []int{7720, 7735}, LinkMbps: 1000,
			ApplyWithin: document.Duration{Duration: 3 * time.Second}, DrainWithin: document.Duration{Duration: 3 * time.Second},
		},
		Store: func(StoreHooks) Store { return store },
		Log:   slog.New(slog.DiscardHandler), LogLevel: new(slog.LevelVar), LogLinesDropped: func() uint64 { return 0 }, Seed: 1,
	}, clk)
}

// Guards against reading the whole catalog again, and against removals that get
// lost, when the store returns the changes since an outage in parts.
func TestChangesInParts(t *testing.T) {
	g := NewWithT(t)
	store := &partStore{partSize: 5}
	first := &catalog.Change{Revision: 10, Full: true, Config: &catalog.Config{Version: 1}}
	for id := catalog.ServerID(1); id <= 10; id++ {
		first.Servers = append(first.Servers, catalog.Server{ID: id, Service: "feed", Domain: "a", Revision: catalog.Revision(id)})
		store.events = append(store.events, catalog.Change{
			Revision: 10 + catalog.Revision(id), Removed: []catalog.Removal{{ID: id, Revision: 10 + catalog.Revision(id)}},
		})
	}
	store.events = append(store.events, catalog.Change{
		Revision: 21, Servers: []catalog.Server{{ID: 3, Service: "feed", Domain: "a", Revision: 21}},
	})
	store.state = first
	clk := &manualClock{time: time.Second}
	i := newIdleInstance(clk, store)
	g.Expect(i.read(context.Background())).To(Succeed())
	reads := store.callCount()

	clk.time = time.Minute
	store.change(func(c *catalog.Change) { c.Revision = 20 })
	g.Expect(i.read(context.Background())).To(Succeed())
	g.Expect(store.callCount()-reads).To(Equal(1), "only the revision is read beside the parts")
	g.Expect(store.parts).To(Equal(3))
	g.Expect(i.catalog.Revision()).To(Equal(catalog.Revision(21)))
	g.Expect(i.catalog.AsOf()).To(Equal(clk.time))
	published := []catalog.ServerID{}
	i.catalog.EachServer(func(s *catalog.Server) {
		if s.Published() {
			published = append(published, s.ID)
		}
	})
	g.Expect(published).To(ConsistOf(catalog.ServerID(3)))
}

// suspendedClock is a manualClock that includes a suspend of the machine only when it is adjusted.
type suspendedClock struct {
	manualClock
	slept time.Duration
}

func (c *suspendedClock) adjust() (slept time.Duration) {
	slept, c.slept = c.slept, 0
	c.time += slept
	return slept
}

// Guards against deciding, right after a suspend, by times that lack it: on a SYN that waited meanwhile, and on a packet that a message from before the resume would be newer than.
func TestSuspendCountsBeforeTheNextHousekeeping(t *testing.T) {
	l := newHarness(t)
	clk := &suspendedClock{manualClock: manualClock{time: time.Second}}
	i := newIdleInstance(clk, l.store)
	i.packets, i.socket = l.packets, l.server
	l.Expect(i.read(context.Background())).To(Succeed())
	clk.slept = time.Hour
	i.handlePacket(clk.time, []byte("SYN"), nil)
	l.Expect(l.receive(50 * time.Millisecond)).To(BeEmpty())
	clk.slept = time.Hour
	before := clk.time
	i.handlePacket(clk.time, []byte("12345 ab"), nil)
	l.Expect(i.held.packets).To(HaveLen(1))
	l.Expect(i.held.packets[0].receivedAt).To(Equal(before + time.Hour))
}

// Guards against callers that wait for the next regular read when their packets wait for what it tells, and against a read for each of these.
func TestPacketThatWaitsForKnowledgeHasTheStoreReadSoon(t *testing.T) {
	l := newHarness(t)
	clk := &manualClock{time: time.Second}
	i := newIdleInstance(clk, l.store)
	i.packets, i.socket = l.packets, l.server
	var r readState
	read := func() { l.Expect(i.readWhenDue(context.Background(), &r)).To(BeNumerically(">", 0)) }
	read()
	calls := l.store.callCount()
	clk.time += earlyReadInterval
	read()
	l.Expect(l.store.callCount()).To(Equal(calls), "no read is due")
	for range 3 {
		clk.time += time.Millisecond
		i.handlePacket(clk.time, []byte("12345 ab"), nil)
		read()
	}
	l.Expect(l.store.callCount()).To(Equal(calls + 1))
	clk.time += earlyReadInterval
	read()
	l.Expect(l.store.callCount()).To(Equal(calls+2), "the packets that came since")
	clk.time += earlyReadInterval
	read()
	l.Expect(l.store.callCount()).To(Equal(calls + 2))
}

// Guards against an instance that knows nobody for a second after a restart: its peers have heard of it from each other since its stop.
func TestRestartedInstanceIsAnsweredThoughItIsKnown(t *testing.T) {
	g := NewWithT(t)
	i := newIdleInstance(&manualClock{time: time.Second}, &partStore{})
	i.catalog.Apply(1, 1, 1, &catalog.Change{Revision: 1, Full: true, Config: &catalog.Config{Version: 1}})
	var answers int
	i.peers.send = func(b []byte, _ netip.AddrPort) error {
		m, err := wire.Decode(b)
		g.Expect(err).NotTo(HaveOccurred())
		if m.Kind == wire.Gossip {
			answers++
		}
		return nil
	}
	peer := fleet.Identity{Addr: netip.MustParseAddr("10.0.0.2"), Domain: "a"}
	i.peers.fleet.RecordGossip(time.Second, peer, time.Second)
	b, err := wire.Encode(&wire.Message{Kind: wire.Gossip, Domain: "a"})
	g.Expect(err).NotTo(HaveOccurred())
	i.handlePeerMessage(t.Context(), peer.Addr, b)
	g.Expect(answers).To(Equal(1))
}
