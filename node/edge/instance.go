// Package edge runs one instance with affinity by token. It connects the
// engine to the packet socket, the settings store, its peers and the HTTP
// endpoints for the platform and the operators. The packet format and the store
// client are supplied by the program.
package edge

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"egrettack.example/core/catalog"
	"egrettack.example/core/fleet"
	"egrettack.example/core/pacing"
	"egrettack.example/core/steer"
	"egrettack.example/node/logging"
	"egrettack.example/node/progress"
	"egrettack.example/settings/edge"
)

// Packets decodes and encodes packets.
type Packets interface {
	// Decode parses a packet of a caller.
	Decode(b []byte, p *steer.Packet) error
	// Forward appends the datagram that carries a caller's packet to a server.
	Forward(dst, packet []byte, s *catalog.Server) []byte
	// Reset appends the datagram that refuses a flow and returns its destination.
	Reset(dst []byte, p *steer.Packet) ([]byte, netip.AddrPort)
	// RequestID returns the ID of the request that begins in a packet, nil if
	// none does.
	RequestID(packet []byte) []byte
}

// Store reads the settings store. Reads of Position and Page are linearizable.
type Store interface {
	// Position returns the current position of the store.
	Position(ctx context.Context) (catalog.Position, error)
	// Page reads the part of the configuration and the servers that follows a
	// position, "" for the first page. next is the position after the page, ""
	// after the last one.
	Page(ctx context.Context, after string) (ch *catalog.Change, next string, err error)
	// Since returns changes after a revision. There may be more after the revision
	// of the result.
	Since(ctx context.Context, after catalog.Revision) (*catalog.Change, error)
	// OperatorItems reads all evacuations, and the configuration if asked for, as of the revision
	// of the result.
	OperatorItems(ctx context.Context, withConfig bool) (*catalog.Change, error)
}

// Options are the parameters of an instance.
type Options struct {
	Settings        *edge.Settings
	Packets         Packets
	Store           func(StoreHooks) Store // returns the client of the store
	Log             *slog.Logger
	LogLevel        *slog.LevelVar // level of Log
	LogLinesDropped func() uint64  // returns the number of log lines dropped since the start
	Seed            uint64         // seed of the random choices
}

// StoreHooks are functions that the client of the store invokes.
type StoreHooks struct {
	Call func(kind string, err error) // after each call, with its kind and result
	// Size is invoked when an answer begins, with the context of the call and the
	// size in bytes, -1 if that is not known.
	Size func(ctx context.Context, bytes int64)
	Data func(ctx context.Context) // when a part of an answer has arrived, with the context of the call
}

// Instance is a running instance.
type Instance struct {
	packets  Packets
	store    Store
	log      *slog.Logger
	level    *slog.LevelVar
	clock    clock
	metrics  *metrics
	socket   *net.UDPConn
	reader   *packetReader                                    // of socket
	slowLink bool                                             // see isSlowLink
	linkRate float64                                          // of the link, bytes per second
	random   *rand.Rand                                       // jitter of the store reads
	sleep    func(ctx context.Context, d time.Duration) error // returns early with an error when ctx is done

	// mu guards the fields below.
	mu               sync.Mutex
	settings         *edge.Settings
	catalog          *catalog.Catalog
	engine           *steer.Engine
	held             holdBuffer
	waiting          *pacing.Waiting[steer.Key, heldPacket] // SYNs that wait for room at the servers
	uplink           uplinkState
	processor        processorState
	domain           domain
	openings         openings
	hedges           hedges
	memberEvents     memberEvents
	packetLogLimiter *logging.Limiter // limits the log lines about packets
	linkLogLimiter   *logging.Limiter // limits the log lines about flows that wait for the link
	evacuationLog    *logging.Limiter // limits the log lines about evacuations of domains without servers

	state state
	peers peers

	replies replyCache
}

// tickInterval is the interval of the periodic housekeeping.
const tickInterval = 100 * time.Millisecond

// New creates an instance and opens its UDP sockets.
func New(o Options) (*Instance, error) {
	i := newInstance(o, newBootClock())
	s := o.Settings
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Packets))
	if err != nil {
		return nil, trace.Wrap(err, "listen for packets on %s", s.Packets)
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		i.log.Warn("receive buffer size not set", "bytes", socketBuffer, "error", err)
	}
	i.socket = conn
	if i.reader, err = newPacketReader(conn, i.clock); err != nil {
		return nil, err
	}
	i.setProcessorWait(s.ProcessorWait.Duration)
	return i, i.openPeers()
}

// newInstance creates an instance without sockets.
func newInstance(o Options, clk clock) *Instance {
	s := o.Settings
	c := catalog.New()
	c.SetMaxStoreReadInterval(fractionOf(s.CurrentWithin(), readGapFraction))
	i := &Instance{
		settings: s, packets: o.Packets, log: o.Log, level: o.LogLevel,
		clock:            clk,
		slowLink:         isSlowLink(s.LinkMbps),
		linkRate:         s.LinkMbps * 1e6 / 8,
		random:           rand.New(rand.NewPCG(o.Seed, 1)),
		sleep:            sleep,
		catalog:          c,
		engine:           steer.New(steer.Config{Domain: s.Domain, Seed: o.Seed, Addr: s.Packets.Addr()}, c),
		packetLogLimiter: logging.NewLimiter(packetLinesPerSecond),
		evacuationLog:    logging.NewLimiter(oddEvacuationLines),
		linkLogLimiter:   logging.NewLimiter(linkLinesPerSecond),
		uplink:           newUplinkState(s.LinkMbps * 1e6 / 8),
		processor:        processorState{logLimiter: logging.NewLimiter(processorLinesPerSecond)},
		waiting:          pacing.NewWaiting[steer.Key, heldPacket](),
	}
	i.setLinkShares(nil)
	i.setShares(s.Shares)
	i.waiting.SetMayPlace(i.mayUseLink)
	i.openings = openings{
		inquiries: make(map[steer.Key]*inquiry), silent: make(map[netip.Addr]time.Duration), taken: make(map[netip.Addr]int),
	}
	i.engine.SetHedging(s.Hedging.MaxShare)
	i.engine.SetUnevenSpeeds(s.UnevenSpeeds)
	i.memberEvents = newMemberEvents(clk.now())
	i.state.readWanted = make(chan struct{}, 1)
	i.metrics = newMetrics(i, o.LogLinesDropped)
	i.store = o.Store(StoreHooks{Call: i.metrics.countStoreCall, Size: progress.ReportSize, Data: progress.Report})
	i.peers = peers{
		port:        uint16(s.InternalPorts[0]),
		followers:   make(map[netip.Addr]follower),
		fleet:       fleet.New(fleet.Identity{Addr: s.Packets.Addr(), Domain: s.Domain, Capacity: capacity(s.LinkMbps)}, o.Seed),
		fetchChange: fetchChange,
		background:  func(f func()) { go f() },
	}
	i.peers.fleet.SetSeeds(seedAddrs(s))
	return i
}

// capacity returns the capacity that an instance states to its peers: it grows by
// one each time the bandwidth of the link doubles.
func capacity(linkMbps float64) uint8 { return uint8(max(1, 8+math.Floor(math.Log2(linkMbps)))) }

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// openPeers opens the UDP socket for messages of peers.
func (i *Instance) openPeers() error {
	addr := netip.AddrPortFrom(i.settings.Packets.Addr(), i.peers.port)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return trace.Wrap(err, "listen for peers on %s", addr)
	}
	i.peers.conn = conn
	i.peers.send = func(b []byte, to netip.AddrPort) error {
		_, err := conn.WriteToUDPAddrPort(b, to)
		return err
	}
	return nil
}

// Run serves until ctx is done and the instance has drained.
func (i *Instance) Run(ctx context.Context) error {
	i.log.Info("start", "domain", i.settings.Domain, "packets", i.settings.Packets, "store", i.settings.Store, "seeds", len(i.settings.Seeds),
		"hedging_max_share", i.settings.Hedging.MaxShare, "uneven_speeds", i.settings.UnevenSpeeds, "processor_wait", i.settings.ProcessorWait)
	i.logShareProblems(i.settings, "no kind has a share")
	calls, err := net.Listen("tcp4", netip.AddrPortFrom(i.settings.Packets.Addr(), i.peers.port).String())
	if err != nil {
		return trace.Wrap(err, "listen for calls of peers and operators")
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return i.receivePackets(work) })
	g.Go(func() error { return i.follow(work) })
	g.Go(func() error { return i.tick(work) })
	g.Go(func() error { return i.receivePeers(work) })
	g.Go(func() error { return i.serveCalls(work, calls) })
	g.Go(func() error { return i.servePages(work) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			i.drain(work)
			cancel()
		case <-work.Done():
		}
		return nil
	})
	err = g.Wait()
	i.log.Info("stop", "error", err)
	return err
}

// tick runs the housekeeping periodically until ctx is done.
func (i *Instance) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		if err := i.reader.checkEmpty(); err != nil && ctx.Err() == nil {
			i.log.Warn("age of packets not known", "error", err)
		}
		i.contain("housekeeping", i.doHousekeeping)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// adjustedTime returns the time, with any suspend of the machine up to now included. What
// compares a time of before a suspend with one of after it uses this. The caller holds mu.
func (i *Instance) adjustedTime() time.Duration {
	if slept := i.clock.adjust(); slept > 0 {
		i.log.Warn("the machine was suspended", "for", slept)
		i.engine.ForgetOrphans()
	}
	return i.clock.now()
}

// doHousekeeping checks for outliers among the servers, expires servers and held
// packets, and sends the messages that are due to peers.
func (i *Instance) doHousekeeping() {
	i.dropReply()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.adjustedTime()
	i.updateInstances(now)
	i.updateDomainSizes()
	i.checkOutliers(now)
	i.logWarmUps(now)
	i.catalog.Expire(now)
	i.expireHeld(now)
	i.placeWaiting(now)
	i.refuseWaiting(now)
	i.tickLink(now)
	i.requestMembers(now)
	i.probeSilent(now)
	if !i.state.stopping {
		i.tickPeers(now)
	}
}
