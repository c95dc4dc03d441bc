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
	firstPort  = 10000
	// maxInFlight is the maximum number of packets in flight. The socket buffers
	// hold more, so that none is lost.
	maxInFlight  = 512
	roundPackets = 20000
)

func listen(tb testing.TB) *net.UDPConn {
	tb.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	_ = c.SetReadBuffer(socketBuffer)
	tb.Cleanup(func() { c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// path is a path under test: packets sent to in arrive at sink. The flows are
// divided among the senders.
type path struct {
	in, sink       *net.UDPConn
	senders        []*ipv4.PacketConn
	messages       [][]ipv4.Message
	sent, received atomic.Uint64
}

func newPath(tb testing.TB, senders int) *path {
	p := &path{in: listen(tb), sink: listen(tb), messages: make([][]ipv4.Message, senders)}
	for range senders {
		p.senders = append(p.senders, ipv4.NewPacketConn(listen(tb)))
	}
	for f := range benchFlows {
		b := encapsulated(tb, uint16(firstPort+f), flow.ACK)
		p.messages[f%senders] = append(p.messages[f%senders], ipv4.Message{Buffers: [][]byte{b}, Addr: p.in.LocalAddr()})
	}
	go p.receive()
	return p
}

func newBatch() []ipv4.Message {
	ms := make([]ipv4.Message, batchSize)
	for i := range ms {
		ms[i].Buffers = [][]byte{make([]byte, maxDatagramLen)}
	}
	return ms
}

func (p *path) receive() {
	c, ms := ipv4.NewPacketConn(noSourceAddr{p.sink}), newBatch()
	for {
		n, err := c.ReadBatch(ms, 0)
		if err != nil {
			return
		}
		p.received.Add(uint64(n))
	}
}

// run sends n packets and waits until all have arrived.
func (p *path) run(tb testing.TB, n int) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for i := range p.senders {
		wg.Go(func() { p.send(tb, i, n*(i+1)/len(p.senders)-n*i/len(p.senders)) })
	}
	wg.Wait()
	p.await(tb, 0)
	return time.Since(start)
}

func (p *path) send(tb testing.TB, sender, n int) {
	msgs := p.messages[sender]
	for at := 0; n > 0; at %= len(msgs) {
		p.await(tb, maxInFlight)
		written, err := p.senders[sender].WriteBatch(msgs[at:min(at+batchSize, at+n, len(msgs))], 0)
		if err != nil {
			tb.Error(err)
			return
		}
		p.sent.Add(uint64(written))
		n, at = n-written, at+written
	}
}

// await waits until at most limit packets are in flight.
func (p *path) await(tb testing.TB, limit uint64) {
	for end := time.Now().Add(5 * time.Second); p.sent.Load() > p.received.Load()+limit; time.Sleep(5 * time.Microsecond) {
		if time.Now().After(end) {
			tb.Errorf("%d of %d packets did not arrive", p.sent.Load()-p.received.Load(), p.sent.Load())
			return
		}
	}
}

// newEngine returns the engine of instance 1 and calls its Tick until the test
// ends. The only host group is in domain 1. If remote is set, instance 1 is in
// domain 2 and instance 2, which sends heartbeats, owns the group. The host and
// instance 2 have the address addr.
func newEngine(tb testing.TB, now func() time.Duration, addr netip.AddrPort, remote bool) *engine.Engine {
	tb.Helper()
	in := snapshot.Input{
		Version: 1, Domains: []snapshot.Domain{{ID: 1, Name: "north"}, {ID: 2, Name: "south"}},
		Services: []snapshot.Service{{ID: 7, Name: "register", Kinds: []*snapshot.Kind{{
			ID: 1, Name: "feed", Ceiling: 1, IdleTimeout: time.Hour,
			Endpoints: []snapshot.Endpoint{{Addr: serviceAddr, Port: 7002, Proto: flow.TCP}},
		}}}},
		Hosts:     []snapshot.Host{{ID: 1, Domain: 1, Service: 7, Tunnel: addr, Slots: 2, ConnectionLimit: 2 * benchFlows}},
		Instances: []snapshot.Instance{{ID: 1, Name: "n1", Domain: 1}},
	}
	if remote {
		in.Instances = []snapshot.Instance{{ID: 1, Name: "n1", Domain: 2}, {ID: 2, Name: "n2", Domain: 1, Data: addr}}
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		tb.Fatal(err)
	}
	e := engine.New(now(), engine.Config{Self: 1, Domain: in.Instances[0].Domain, Boot: 1, Seed: 1})
	e.SetSnapshot(now(), s)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go func() {
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			if remote {
				e.Heartbeat(now(), &message.Heartbeat{
					From: 2, Boot: 1, Seq: seq, State: message.Ready, Version: 1,
					Claims: []message.Claim{{Group: snapshot.GroupID{Service: 7, Domain: 1}, Epoch: 1}},
				})
			}
			e.Tick(now())
			time.Sleep(engine.TickInterval)
		}
	}()
	return e
}

// newPlane returns a path and a plane between its in and sink. The plane uses a
// real engine, in which all flows of the path are open.
func newPlane(tb testing.TB, workers int, remote bool) (*path, *Plane) {
	tb.Helper()
	p, start := newPath(tb, workers), time.Now()
	now := func() time.Duration { return time.Since(start) }
	e := newEngine(tb, now, addrOf(p.sink), remote)
	want := engine.ToHost
	if remote {
		want = engine.ToPeer
	}
	for f := 0; f < benchFlows; {
		syn := packet(uint16(firstPort+f), flow.SYN)
		switch a := e.Packet(now(), &syn, nil); {
		case a.Verdict == want:
			f++
		case f > 0 || now() > 10*time.Second:
			tb.Fatalf("flow %d: %+v", f, a)
		default: // the engine is not ready yet
			time.Sleep(engine.TickInterval)
		}
	}
	return p, New(Config{
		Conn: p.in, Decider: e, Domain: 1, Workers: workers, Now: now, Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler),
		SendLearn: func(*snapshot.Instance, message.Learn) {}, Egress: addrOf(p.sink),
	})
}

// newPlanePath returns a path through a running plane.
func newPlanePath(tb testing.TB, workers int, remote bool) *path {
	p, plane := newPlane(tb, workers, remote)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = plane.Run(ctx) }()
	tb.Cleanup(func() { cancel(); <-done })
	return p
}

// newDirectPath returns a path whose senders send straight to sink, to measure
// the cost of the senders alone.
func newDirectPath(tb testing.TB, senders int) *path {
	p := newPath(tb, senders)
	for _, msgs := range p.messages {
		for i := range msgs {
			msgs[i].Addr = p.sink.LocalAddr()
		}
	}
	return p
}

// newBarePath returns a path through workers that relay the same packets in the
// same batches without a decision. Like those of the plane, each worker has its
// own descriptor.
func newBarePath(tb testing.TB, workers int) *path {
	p := newPath(tb, workers)
	for range workers {
		own, err := duplicateSocket(p.in)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { own.Close() })
		go bareRelay(ipv4.NewPacketConn(noSourceAddr{p.in}), ipv4.NewPacketConn(own), p.sink.LocalAddr())
	}
	return p
}

func bareRelay(reader, writer *ipv4.PacketConn, to net.Addr) {
	in, out := newBatch(), newBatch()
	for {
		n, err := reader.ReadBatch(in, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i].Buffers[0], out[i].Addr = in[i].Buffers[0][:in[i].N], to
		}
		for next := 0; next < n; {
			sent, err := writer.WriteBatch(out[next:n], 0)
			if err != nil {
				return
			}
			next += sent
		}
	}
}

// BenchmarkLoopback compares forwarding through one instance with a bare relay of
// the same packets. The paths are measured alternately, so that changes in the
// machine's load affect all of them. An operation is one packet over each path.
// A result close to that of the direct path is limited by the senders.
func BenchmarkLoopback(b *testing.B) {
	for name, workers := range map[string]int{"workers=1": 1, "workers=4": 4} {
		b.Run(name, func(b *testing.B) {
			paths := []*path{
				newBarePath(b, workers), newPlanePath(b, workers, false), newPlanePath(b, workers, true), newDirectPath(b, workers),
			}
			elapsed := make([]time.Duration, len(paths))
			for _, p := range paths {
				p.run(b, roundPackets)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for left := b.N; left > 0; left -= roundPackets {
				for i, p := range paths {
					elapsed[i] += p.run(b, min(left, roundPackets))
				}
			}
			for i, name := range []string{"bare", "owner", "relay", "direct"} {
				b.ReportMetric(float64(elapsed[i].Nanoseconds())/float64(b.N), name+"-ns/pkt")
				b.ReportMetric(float64(b.N)/elapsed[i].Seconds(), name+"-pkt/s")
				b.ReportMetric(float64(elapsed[i])/float64(elapsed[0]), name+"-ratio")
			}
		})
	}
}

// BenchmarkDecide measures the time to handle a packet, without system calls.
func BenchmarkDecide(b *testing.B) {
	for name, remote := range map[string]bool{"owner": false, "relay": true} {
		b.Run(name, func(b *testing.B) {
			h := newWorkerHarness(b, remote)
			b.ReportAllocs()
			for b.Loop() {
				h.handleNext()
				if h.w.queued == batchSize {
					h.w.queued = 0
					h.w.reportCounts()
				}
			}
		})
	}
}

// workerHarness passes packets of open flows to a worker without using the
// socket.
type workerHarness struct {
	w        *worker
	now      time.Duration
	messages []ipv4.Message
	bufs     [][]byte
	next     int
}

func newWorkerHarness(tb testing.TB, remote bool) *workerHarness {
	tb.Helper()
	p, plane := newPlane(tb, 1, remote)
	w, err := plane.newWorker(0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(w.close)
	h := &workerHarness{w: w, now: plane.cfg.Now(), messages: p.messages[0]}
	for _, m := range h.messages {
		h.bufs = append(h.bufs, append(make([]byte, headroom), m.Buffers[0]...))
	}
	return h
}

// handleNext passes the next packet to the worker. It first restores the Geneve
// header, which the worker overwrites.
func (h *workerHarness) handleNext() {
	b, p := h.bufs[h.next], h.messages[h.next].Buffers[0]
	copy(b[headroom:], p[:geneve.HeaderLen])
	h.w.handle(h.now, b, len(p))
	h.next = (h.next + 1) % len(h.bufs)
}
