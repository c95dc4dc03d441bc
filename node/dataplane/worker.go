package dataplane

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/ipv4"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	nodetrace "egrettack.example/node/trace"
	"egrettack.example/wire/geneve"
	"egrettack.example/wire/ip4"
)

const (
	// batchLen is the number of packets per system call. Beyond 32 the call's
	// share of the cost of a packet no longer falls.
	batchLen = 32
	// headroom in front of a received datagram takes the longest header that
	// is written there, so that the inner packet need not be moved.
	headroom = geneve.MaxHeaderLen
	// datagramLen takes a jumbo frame with its headers.
	datagramLen = 9216
	// maxAddrs limits the cached addresses; a change of all hosts and
	// instances at once stays below it.
	maxAddrs = 8192
	// readBackOff keeps a lasting fault of the socket from using a whole core.
	readBackOff = 10 * time.Millisecond
)

var verdictNames = [...]string{
	engine.ToHost: "forward", engine.ToPeer: "relay", engine.ToCaller: "reset", engine.Drop: "drop",
}

// Reasons for drops that come before the engine.
const (
	reasonGeneve group.Reason = "geneve"  // malformed or unsupported tunnel header
	reasonReset  group.Reason = "reset"   // a reset could not be built
	reasonNoAddr group.Reason = "no_addr" // receiver without an address
)

type outcome struct {
	verdict engine.Verdict
	reason  group.Reason
}

// worker reads, decides and writes one batch at a time.
type worker struct {
	id     int
	plane  *Plane
	conn   net.PacketConn // own descriptor of the data socket
	writer *ipv4.PacketConn

	bufs [][]byte // headroom and datagram of each slot of in
	in   []ipv4.Message
	out  []ipv4.Message
	n    int // used part of out
	// after are the batches to wait for, by worker.
	after []uint64

	addrs map[netip.AddrPort]*net.UDPAddr
	// plain counts the packets without a reason, by verdict, which are nearly
	// all; counts has the others.
	plain    [len(verdictNames)]int
	counts   map[outcome]int
	counters map[outcome]prometheus.Counter
	traces   []*nodetrace.Packet

	// Scratch space, kept here so that it is allocated once.
	header geneve.Header
	packet flow.Packet
}

func (p *Plane) newWorker(id int) (*worker, error) {
	conn, err := duplicate(p.cfg.Conn)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, plane: p, conn: conn, writer: ipv4.NewPacketConn(conn), after: make([]uint64, len(p.order.turns)),
		bufs: make([][]byte, batchLen), in: make([]ipv4.Message, batchLen), out: make([]ipv4.Message, batchLen),
		addrs:    make(map[netip.AddrPort]*net.UDPAddr),
		counts:   make(map[outcome]int),
		counters: make(map[outcome]prometheus.Counter),
	}
	for i := range w.in {
		w.bufs[i] = make([]byte, headroom+datagramLen)
		w.in[i].Buffers = [][]byte{w.bufs[i][headroom:]}
		w.out[i].Buffers = make([][]byte, 1)
	}
	return w, nil
}

// duplicate returns a second descriptor of the socket. Go serializes the
// writes to one descriptor, which would make the workers wait for one another.
func duplicate(c *net.UDPConn) (net.PacketConn, error) {
	f, err := c.File()
	if err != nil {
		return nil, trace.Wrap(err, "duplicate data socket")
	}
	defer f.Close()
	d, err := net.FilePacketConn(f)
	return d, trace.Wrap(err, "open duplicate of data socket")
}

func (w *worker) close() { w.conn.Close() }

func (w *worker) run() {
	for {
		n, err := w.read()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			w.plane.cfg.Log.Warn("data socket read failed", "error", err)
			time.Sleep(readBackOff)
			continue
		}
		w.plane.cfg.Metrics.Batch.Observe(float64(n))
		w.plane.order.await(w.after)
		now := w.plane.cfg.Now()
		for i := range n {
			w.one(now, w.bufs[i], w.in[i].N)
		}
		w.flush()
		w.plane.order.end(w.id)
	}
}

// read reads a batch and enters it into the order of batches.
func (w *worker) read() (int, error) {
	o := w.plane.order
	o.read.Lock()
	defer o.read.Unlock()
	n, err := w.plane.reader.ReadBatch(w.in, 0)
	if err != nil {
		return 0, err
	}
	o.begin(w.id)
	for i := range n {
		o.enter(w.id, laneOf(w.bufs[i][headroom:headroom+w.in[i].N]), w.after)
	}
	return n, nil
}

// one handles the datagram of n bytes behind the headroom of buf.
func (w *worker) one(now time.Duration, buf []byte, n int) {
	h := &w.header
	if err := geneve.Read(buf[headroom:headroom+n], h); err != nil {
		w.count(engine.Drop, reasonGeneve)
		return
	}
	inner := buf[headroom+h.InnerOffset : headroom+n]
	if reason := ip4.Read(inner, &w.packet); reason != group.ReasonNone {
		w.count(engine.Drop, reason)
		return
	}
	if t := w.plane.cfg.Tracer; t != nil && (h.Traced || (!h.Relayed && t.Sample())) {
		w.traced(t.Start(h, w.packet.Key), now, buf, n)
		return
	}
	a := w.decide(now)
	h.Traced = false
	w.act(&a, buf, n)
}

// traced is the second half of one for a sampled packet.
func (w *worker) traced(t *nodetrace.Packet, now time.Duration, buf []byte, n int) {
	decided := t.Deciding()
	a := w.decide(now)
	decided(&a)
	w.header.Trace, w.header.Traced = t.Sending(&a)
	w.act(&a, buf, n)
	w.traces = append(w.traces, t)
}

func (w *worker) decide(now time.Duration) engine.Action {
	var relay *engine.Relay
	if w.header.Relayed {
		relay = &w.header.Relay
	}
	return w.plane.cfg.Decider.Packet(now, &w.packet, relay)
}

// act carries out the engine's decision on the datagram in buf.
func (w *worker) act(a *engine.Action, buf []byte, n int) {
	if a.LearnTo != nil {
		w.plane.cfg.Learn(a.LearnTo, a.Learn)
	}
	h := &w.header
	start, end := headroom+h.InnerOffset, headroom+n
	switch a.Verdict {
	case engine.ToHost:
		h.Relayed, h.Traced, h.VNI = false, false, uint32(a.Host.Service)
		w.send(a, buf, start, end, a.Host.TunnelFrom(w.plane.cfg.Domain))
	case engine.ToPeer:
		h.Relayed, h.Relay, h.VNI = true, a.Relay, uint32(a.Relay.Service)
		w.send(a, buf, start, end, a.Peer.AddressesFrom(w.plane.cfg.Domain).Data)
	case engine.ToCaller:
		w.reset(a, buf)
	default:
		w.count(engine.Drop, a.Reason)
	}
}

// send queues buf[start:end] behind the header that h describes.
func (w *worker) send(a *engine.Action, buf []byte, start, end int, to netip.AddrPort) {
	addr := w.addr(to)
	if addr == nil {
		w.count(engine.Drop, reasonNoAddr)
		return
	}
	start -= w.header.Len()
	w.header.Write(buf[start:])
	w.queue(buf[start:end], addr)
	w.count(a.Verdict, a.Reason)
}

// reset queues the reset in place of the packet that caused it.
func (w *worker) reset(a *engine.Action, buf []byte) {
	b, err := encapsulatedReset(buf[:0], &a.Reset)
	if err != nil {
		w.plane.cfg.Log.Warn("reset not sent", "flow", a.Reset.Key, "error", err)
		w.count(engine.Drop, reasonReset)
		return
	}
	w.queue(b, w.plane.egress)
	w.count(engine.ToCaller, a.Reason)
}

func (w *worker) queue(b []byte, to *net.UDPAddr) {
	m := &w.out[w.n]
	m.Buffers[0], m.Addr = b, to
	w.n++
}

// addr returns the form of an address that WriteBatch takes.
func (w *worker) addr(to netip.AddrPort) *net.UDPAddr {
	if a := w.addrs[to]; a != nil {
		return a
	}
	if !to.IsValid() {
		return nil
	}
	if len(w.addrs) >= maxAddrs {
		clear(w.addrs)
	}
	a := net.UDPAddrFromAddrPort(to)
	w.addrs[to] = a
	return a
}

func (w *worker) count(v engine.Verdict, r group.Reason) {
	if r == group.ReasonNone {
		w.plain[v]++
		return
	}
	w.counts[outcome{v, r}]++
}

// flush sends what the batch has queued and adds its counts to the metrics.
func (w *worker) flush() {
	for out := w.out[:w.n]; len(out) > 0; {
		n, err := w.writer.WriteBatch(out, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				break
			}
			// The kernel has refused the first of out: go on behind it.
			w.plane.cfg.Metrics.SendErrors.Inc()
			w.plane.cfg.Log.Debug("packet not sent", "peer", out[0].Addr, "error", err)
			n = 1
		}
		out = out[max(n, 1):]
	}
	w.n = 0
	for _, t := range w.traces {
		t.End()
	}
	clear(w.traces)
	w.traces = w.traces[:0]
	w.report()
}

func (w *worker) report() {
	for v, n := range w.plain {
		w.add(outcome{verdict: engine.Verdict(v)}, n)
	}
	w.plain = [len(verdictNames)]int{}
	for o, n := range w.counts {
		w.add(o, n)
		w.counts[o] = 0
	}
}

func (w *worker) add(o outcome, n int) {
	if n == 0 {
		return
	}
	c := w.counters[o]
	if c == nil {
		c = w.plane.cfg.Metrics.Packets.WithLabelValues(verdictNames[o.verdict], string(o.reason))
		w.counters[o] = c
	}
	c.Add(float64(n))
}
