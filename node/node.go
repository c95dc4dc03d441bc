// Package node assembles and runs one instance: it opens the sockets that the
// daemon's settings name and connects the engine to the data plane, the control
// loop, the platform, the peers and the HTTP pages for operators.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/control"
	"egrettack.example/node/dataplane"
	"egrettack.example/node/journal"
	"egrettack.example/node/metrics"
	"egrettack.example/node/platform"
	"egrettack.example/node/prober"
	"egrettack.example/node/rpc"
	nodetrace "egrettack.example/node/trace"
	"egrettack.example/node/web"
	"egrettack.example/settings/daemon"
	wire "egrettack.example/wire/control"
)

// Options holds what is set on the command line and not in the settings.
type Options struct {
	Profiles bool // serve /debug/pprof
	Log      *slog.Logger
}

// Node is one running instance.
type Node struct {
	settings *daemon.Settings
	options  Options
	log      *slog.Logger
	start    time.Time

	data, control *net.UDPConn
	rpc, http     net.Listener

	codec    *wire.Codec
	metrics  *metrics.Metrics
	tracer   *nodetrace.Tracer
	platform *platform.Client
	peers    *rpc.Client

	// engine is nil and domain is unset until the first snapshot, which contains
	// the number of the instance's domain. Both are set before started is closed.
	engine  atomic.Pointer[engine.Engine]
	domain  snapshot.DomainID
	started chan struct{}
}

// New creates an instance and opens its sockets. Run closes them.
func New(s *daemon.Settings, o Options) (*Node, error) {
	n := &Node{
		settings: s, options: o, log: o.Log, start: time.Now(),
		metrics: metrics.New(), peers: rpc.NewClient(s.Keys[0], 0), started: make(chan struct{}),
	}
	keys := make([]wire.Key, len(s.Keys))
	for i, k := range s.Keys {
		keys[i] = wire.Key{ID: uint16(k.ID), Secret: k.Secret[:]}
	}
	var err error
	if n.codec, err = wire.NewCodec(keys); err != nil {
		return nil, trace.Wrap(err)
	}
	n.tracer, err = nodetrace.New(nodetrace.Config{Sample: s.TraceSample, File: s.TraceFile, Instance: s.Name})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.platform = platform.New(platform.Config{
		URL: s.Platform, OnSnapshot: n.apply, Log: n.log,
		Fetch: n.peers.SnapshotSince, Domain: s.Domain, Peers: addressStrings(s.Peers),
	})
	n.registerMetrics()
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func addressStrings(list []netip.AddrPort) []string {
	out := make([]string, len(list))
	for i, a := range list {
		out[i] = a.String()
	}
	return out
}

func (n *Node) registerMetrics() {
	n.metrics.WatchEngine(n.status)
	stats := func(f func(platform.Stats) uint64) func() float64 {
		return func() float64 { return float64(f(n.platform.Stats())) }
	}
	n.metrics.CounterFunc("platform_calls_total", "Requests sent to the platform.",
		stats(func(s platform.Stats) uint64 { return s.Calls }))
	n.metrics.CounterFunc("platform_failures_total", "Calls of the platform without a usable answer.",
		stats(func(s platform.Stats) uint64 { return s.Failures }))
	n.metrics.CounterFunc("platform_refused_total", "Publications that failed a check.",
		stats(func(s platform.Stats) uint64 { return s.Refused }))
	n.metrics.CounterFunc("platform_older_total", "Answers with an older revision than that in force.",
		stats(func(s platform.Stats) uint64 { return s.Older }))
}

// listen opens the sockets. On an error those opened before stay open.
func (n *Node) listen() (err error) {
	s := n.settings
	if n.data, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Data)); err != nil {
		return trace.Wrap(err, "open data socket")
	}
	if n.control, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Control)); err != nil {
		return trace.Wrap(err, "open control socket")
	}
	if n.rpc, err = net.Listen("tcp", s.RPC.String()); err != nil {
		return trace.Wrap(err, "open RPC socket")
	}
	if n.http, err = net.Listen("tcp", s.HTTP.String()); err != nil {
		return trace.Wrap(err, "open HTTP socket")
	}
	return nil
}

// close closes the sockets that listen has opened.
func (n *Node) close() {
	for _, c := range []*net.UDPConn{n.data, n.control} {
		if c != nil {
			c.Close()
		}
	}
	for _, l := range []net.Listener{n.rpc, n.http} {
		if l != nil {
			l.Close()
		}
	}
}

// now is the engine's clock: the time since the start of the process.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// apply puts a snapshot in force; the first one starts the engine. The platform
// client calls it for one snapshot after the other.
func (n *Node) apply(s *snapshot.Snapshot) {
	if e := n.engine.Load(); e != nil {
		if !e.SetSnapshot(n.now(), s) {
			n.metrics.Refused.Inc()
			n.log.Warn("snapshot refused: older than the one in force", "version", s.Version)
		}
		return
	}
	d, ok := domainByName(s, n.settings.Domain)
	if !ok {
		n.log.Error("domain of this instance is missing in the snapshot", "domain", n.settings.Domain, "version", s.Version)
		return
	}
	n.domain = d
	e := engine.New(n.now(), engine.Config{
		Self: n.settings.ID, Domain: d, Boot: n.boot(), ControlBudget: n.settings.ControlBudget, Seed: rand.Uint64(),
	})
	e.SetSnapshot(n.now(), s)
	n.engine.Store(e)
	n.log.Info("first snapshot in force", "version", s.Version, "domain", n.settings.Domain)
	if i := s.Instances[n.settings.ID]; i == nil {
		n.log.Warn("this instance is missing in the snapshot", "id", n.settings.ID)
	} else if i.Data != n.settings.Data || i.Control != n.settings.Control || i.RPC != n.settings.RPC {
		n.log.Warn("addresses in the snapshot differ from the settings", "data", i.Data, "control", i.Control, "rpc", i.RPC)
	}
	close(n.started)
}

func domainByName(s *snapshot.Snapshot, name string) (snapshot.DomainID, bool) {
	for _, d := range s.Domains {
		if d.Name == name {
			return d.ID, true
		}
	}
	return 0, false
}

// boot is the start time of the process in ns since the Unix epoch. Peers order
// the runs of this instance by it.
func (n *Node) boot() uint64 { return uint64(n.start.UnixNano()) }

// Run runs the instance until ctx is done and then stops it gracefully. It must
// be called at most once.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer n.close()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return trace.Wrap(n.platform.Run(work), "watch platform") })
	group.Go(func() error { return rpc.Serve(work, n.rpc, backend{n}) })
	group.Go(func() error { return web.Serve(work, n.http, n.pages()) })
	group.Go(func() error { return n.serve(work) })
	group.Go(func() error {
		defer stop()
		select {
		case <-work.Done():
		case <-ctx.Done():
			n.gracefulStop(work)
		}
		return nil
	})
	n.log.Info("started", "id", n.settings.ID, "name", n.settings.Name, "data", n.settings.Data)
	err := group.Wait()
	n.peers.Close()
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTimeout)
	defer cancel()
	if closeErr := n.tracer.Close(flush); closeErr != nil {
		n.log.Warn("buffered spans not written", "error", closeErr)
	}
	n.log.Info("stopped")
	return trace.Wrap(err)
}

// traceFlushTimeout bounds the writing of buffered spans at the end of Run.
const traceFlushTimeout = 2 * time.Second

// serve waits for the engine and runs the components that need it: data plane,
// control loop, prober and journal.
func (n *Node) serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.started:
	}
	e := n.engine.Load()
	var plane *dataplane.Plane
	loop := control.New(control.Config{
		Conn: n.control, Engine: e, Peers: peerCaller{n}, Codec: n.codec,
		Self: n.settings.ID, Domain: n.domain, Boot: n.boot(), Budget: n.settings.ControlBudget,
		Now: n.now, SendReset: func(r *flow.Reset) error { return plane.SendReset(r) }, Metrics: n.metrics, Log: n.log,
	})
	plane = dataplane.New(dataplane.Config{
		Conn: n.data, Decider: e, Domain: n.domain, Egress: n.settings.Egress, Workers: n.settings.Workers,
		Now: n.now, SendLearn: loop.Learn, Metrics: n.metrics, Tracer: n.tracer, Log: n.log,
	})
	probes := prober.New(prober.Config{Engine: e, Now: n.now, Metrics: n.metrics, Log: n.log})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return plane.Run(ctx) })
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return probes.Run(ctx) })
	group.Go(func() error { return journal.New(n.log).Run(ctx, n.status) })
	return group.Wait()
}
