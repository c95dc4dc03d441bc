package dataplane

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
	"egrettack.example/wire/geneve"
)

const (
	benchFlows = 4096
	// window is the number of packets under way; the socket buffers hold more,
	// so that none is lost.
	window     = 512
	benchBatch = 32
	roundLen   = 20000
)

// newEngine returns the engine of instance 1 and keeps it running. The only
// host group is in domain 1; when remote, instance 1 is in domain 2 and the
// group belongs to instance 2.
func newEngine(tb testing.TB, start time.Time, host, peer netip.AddrPort, remote bool) *engine.Engine {
	tb.Helper()
	in := snapshot.Input{
		Version: 1, Domains: []snapshot.Domain{{ID: 1, Name: "north"}, {ID: 2, Name: "south"}},
		Services: []snapshot.Service{{ID: 7, Name: "register", Kinds: []*snapshot.Kind{{
			ID: 1, Name: "feed", Ceiling: 1, Idle: time.Hour,
			Endpoints: []snapshot.Endpoint{{Addr: callee, Port: 7002, Proto: flow.TCP}},
		}}}},
		Hosts:     []snapshot.Host{{ID: 1, Domain: 1, Service: 7, Tunnel: host, Slots: 2, Connections: 2 * benchFlows}},
		Instances: []snapshot.Instance{{ID: 1, Name: "n1", Domain: 1}},
	}
	self := snapshot.DomainID(1)
	if remote {
		self = 2
		in.Instances = []snapshot.Instance{{ID: 1, Name: "n1", Domain: 2}, {ID: 2, Name: "n2", Domain: 1, Data: peer}}
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		tb.Fatal(err)
	}
	e := engine.New(time.Since(start), engine.Config{Self: 1, Domain: self, Boot: 1, Seed: 1})
	e.SetSnapshot(time.Since(start), s)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go drive(ctx, e, start, remote)
	return e
}

// drive ticks the engine and stands in for instance 2.
func drive(ctx context.Context, e *engine.Engine, start time.Time, remote bool) {
	t := time.NewTicker(engine.TickInterval)
	defer t.Stop()
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		now := time.Since(start)
		if remote {
			e.Heartbeat(now, &message.Heartbeat{
				From: 2, Boot: 1, Seq: seq, State: message.Ready, Version: 1,
				Claims: []message.Claim{{Group: snapshot.GroupID{Service: 7, Domain: 1}, Epoch: 1}},
			})
		}
		e.Tick(now)
		<-t.C
	}
}

// path is a path under test: packets sent to in arrive at sink.
type path struct {
	in      *net.UDPConn
	sink    *net.UDPConn
	senders []*sender
	got     atomic.Uint64
	sent    atomic.Uint64
}

// sender sends a part of the flows.
type sender struct {
	out  *ipv4.PacketConn
	msgs []ipv4.Message
	at   int
}

func listen(tb testing.TB) *net.UDPConn {
	tb.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	_ = c.SetReadBuffer(4 << 20)
	tb.Cleanup(func() { c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func newPath(tb testing.TB, senders int) *path {
	p := &path{in: listen(tb), sink: listen(tb)}
	for i := range senders {
		s := &sender{out: ipv4.NewPacketConn(listen(tb))}
		for f := i; f < benchFlows; f += senders {
			b := tunnelled(tb, uint16(10000+f), flow.ACK)
			s.msgs = append(s.msgs, ipv4.Message{Buffers: [][]byte{b}, Addr: p.in.LocalAddr()})
		}
		p.senders = append(p.senders, s)
	}
	go p.drain()
	return p
}

func (p *path) drain() {
	c := ipv4.NewPacketConn(anonymous{p.sink})
	ms := make([]ipv4.Message, benchBatch)
	for i := range ms {
		ms[i].Buffers = [][]byte{make([]byte, 2048)}
	}
	for {
		n, err := c.ReadBatch(ms, 0)
		if err != nil {
			return
		}
		p.got.Add(uint64(n))
	}
}

// run sends n packets and waits until all have arrived.
func (p *path) run(tb testing.TB, n int) time.Duration {
	begin := time.Now()
	var wg sync.WaitGroup
	for i, s := range p.senders {
		share := n*(i+1)/len(p.senders) - n*i/len(p.senders)
		wg.Go(func() { p.send(tb, s, share) })
	}
	wg.Wait()
	p.await(tb, 0)
	return time.Since(begin)
}

func (p *path) send(tb testing.TB, s *sender, n int) {
	for n > 0 {
		p.await(tb, window)
		k, err := s.out.WriteBatch(s.msgs[s.at:min(s.at+benchBatch, s.at+n, len(s.msgs))], 0)
		if err != nil {
			tb.Error(err)
			return
		}
		p.sent.Add(uint64(k))
		n -= k
		s.at = (s.at + k) % len(s.msgs)
	}
}

// await waits until at most left packets are under way.
func (p *path) await(tb testing.TB, left uint64) {
	for spins := 0; p.sent.Load() > p.got.Load()+left; spins++ {
		if spins > 1<<18 {
			tb.Errorf("%d of %d packets did not arrive", p.sent.Load()-p.got.Load(), p.sent.Load())
			return
		}
		time.Sleep(5 * time.Microsecond)
	}
}

// newPlane returns a plane with the real engine between in and sink of a path,
// all flows of which are open.
func newPlane(tb testing.TB, workers int, remote bool) (*path, *Plane) {
	p := newPath(tb, workers)
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	e := newEngine(tb, start, addrOf(p.sink), addrOf(p.sink), remote)
	plane := New(Config{
		Conn: p.in, Brain: e, Domain: 1, Workers: workers, Now: now, Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler),
		Learn: func(*snapshot.Instance, message.Learn) {}, Egress: addrOf(p.sink),
	})
	awaitRoute(tb, e, now, remote)
	for i := range benchFlows {
		syn := packet(uint16(10000+i), flow.SYN)
		if a := e.Packet(now(), &syn, nil); !remote && a.Verdict != engine.ToHost {
			tb.Fatalf("flow %d: verdict %d, reason %s", i, a.Verdict, a.Reason)
		}
	}
	return p, plane
}

// newPlanePath runs a plane.
func newPlanePath(tb testing.TB, workers int, remote bool) *path {
	p, plane := newPlane(tb, workers, remote)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = plane.Run(ctx) }()
	tb.Cleanup(func() { cancel(); <-done })
	return p
}

func awaitRoute(tb testing.TB, e *engine.Engine, now func() time.Duration, remote bool) {
	tb.Helper()
	want := engine.ToHost
	if remote {
		want = engine.ToPeer
	}
	probe := packet(9999, flow.SYN)
	for e.Packet(now(), &probe, nil).Verdict != want {
		if now() > 10*time.Second {
			tb.Fatalf("no route: %+v", e.Packet(now(), &probe, nil))
		}
		time.Sleep(engine.TickInterval)
	}
}

// newDirectPath has nothing between in and sink: the cost of the senders.
func newDirectPath(tb testing.TB, senders int) *path {
	p := newPath(tb, senders)
	for _, s := range p.senders {
		for i := range s.msgs {
			s.msgs[i].Addr = p.sink.LocalAddr()
		}
	}
	return p
}

// newBarePath relays the same packets in the same batches without a decision.
func newBarePath(tb testing.TB, workers int) *path {
	p := newPath(tb, workers)
	for range workers {
		// Its workers have descriptors of their own, as those of the plane.
		own, err := duplicate(p.in)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { own.Close() })
		go bareRelay(p.in, own, p.sink.LocalAddr())
	}
	return p
}

func bareRelay(c *net.UDPConn, own net.PacketConn, to net.Addr) {
	reader, writer := ipv4.NewPacketConn(anonymous{c}), ipv4.NewPacketConn(own)
	bufs := make([][]byte, benchBatch)
	in, out := make([]ipv4.Message, benchBatch), make([]ipv4.Message, benchBatch)
	for i := range in {
		bufs[i] = make([]byte, 9216)
		in[i].Buffers, out[i].Buffers, out[i].Addr = [][]byte{bufs[i]}, make([][]byte, 1), to
	}
	for {
		n, err := reader.ReadBatch(in, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i].Buffers[0] = bufs[i][:in[i].N]
		}
		for k := 0; k < n; {
			sent, err := writer.WriteBatch(out[k:n], 0)
			if err != nil {
				return
			}
			k += sent
		}
	}
}

// BenchmarkLoopback forwards packets through one instance and compares it with
// a bare relay of the same packets. The paths take turns, so that changes in
// the machine's load meet all of them. An operation is one packet over each. A
// figure is limited by the senders where it is near that of the direct path.
func BenchmarkLoopback(b *testing.B) {
	for _, c := range []struct {
		name    string
		workers int
	}{{"workers=1", 1}, {"workers=4", 4}} {
		b.Run(c.name, func(b *testing.B) {
			paths := []*path{
				newBarePath(b, c.workers), newPlanePath(b, c.workers, false), newPlanePath(b, c.workers, true),
				newDirectPath(b, c.workers),
			}
			b.ReportAllocs()
			took := make([]time.Duration, len(paths))
			for _, p := range paths {
				p.run(b, roundLen)
			}
			b.ResetTimer()
			for left := b.N; left > 0; left -= roundLen {
				for i, p := range paths {
					took[i] += p.run(b, min(left, roundLen))
				}
			}
			for i, name := range []string{"bare", "owner", "relay", "direct"} {
				b.ReportMetric(float64(took[i].Nanoseconds())/float64(b.N), name+"-ns/pkt")
				b.ReportMetric(float64(b.N)/took[i].Seconds(), name+"-pkt/s")
				if i == 1 || i == 2 {
					b.ReportMetric(float64(took[i])/float64(took[0]), name+"-ratio")
				}
			}
		})
	}
}

// BenchmarkDecide is the cost of a packet without the system calls.
func BenchmarkDecide(b *testing.B) {
	for name, remote := range map[string]bool{"owner": false, "relay": true} {
		b.Run(name, func(b *testing.B) {
			r := newWorkerRig(b, remote)
			b.ReportAllocs()
			for b.Loop() {
				r.one()
				if r.w.n == batchLen {
					r.w.n = 0
					r.w.report()
				}
			}
		})
	}
}

// workerRig feeds a worker with packets of open flows without the socket.
type workerRig struct {
	w       *worker
	now     time.Duration
	packets [][]byte
	bufs    [][]byte
	at      int
}

func newWorkerRig(tb testing.TB, remote bool) *workerRig {
	tb.Helper()
	p, plane := newPlane(tb, 1, remote)
	w, err := plane.newWorker(0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(w.close)
	r := &workerRig{w: w, now: plane.cfg.Now()}
	for _, m := range p.senders[0].msgs {
		r.packets = append(r.packets, m.Buffers[0])
		r.bufs = append(r.bufs, append(make([]byte, headroom), m.Buffers[0]...))
	}
	return r
}

// one gives the next packet to the worker. The header before the inner packet
// is written anew, since the worker overwrites it.
func (r *workerRig) one() {
	b, p := r.bufs[r.at], r.packets[r.at]
	copy(b[headroom:], p[:geneve.HeaderLen])
	r.w.one(r.now, b, len(p))
	r.at = (r.at + 1) % len(r.bufs)
}
