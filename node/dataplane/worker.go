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
	// batchSize is the maximum number of packets per system call. Larger batches
	// than 32 do not lower the cost of the call per packet any further.
	batchSize = 32
	// headroom is the space in front of a received datagram. It has room for the
	// longest Geneve header, so that the inner packet need not be moved.
	headroom = geneve.MaxHeaderLen
	// maxDatagramLen has room for a jumbo frame with its headers.
	maxDatagramLen = 9216
	// maxCachedAddrs is the limit of cached addresses. It is higher than the
	// number of addresses when all hosts and instances are replaced at once.
	maxCachedAddrs = 8192
	// readRetryDelay is the pause after a failed read. It keeps a persistent
	// socket error from using a whole core.
	readRetryDelay = 10 * time.Millisecond
)

var verdictNames = [...]string{
	engine.ToHost: "forward", engine.ToPeer: "relay", engine.ToCaller: "reset", engine.Drop: "drop",
}

// Reasons for drops that are decided by the data plane, not by the engine.
const (
	reasonGeneve group.Reason = "geneve"  // malformed or unsupported tunnel header
	reasonReset  group.Reason = "reset"   // a reset could not be built
	reasonNoAddr group.Reason = "no_addr" // host or peer has no valid address
)

// outcome identifies a counter of handled packets.
type outcome struct {
	verdict engine.Verdict
	reason  group.Reason
}

// worker reads, handles and sends one batch of packets at a time.
type worker struct {
	id     int
	plane  *Plane
	conn   net.PacketConn // the worker's own descriptor of the data socket
	writer *ipv4.PacketConn

	bufs   [][]byte // headroom and datagram of each message in in
	in     []ipv4.Message
	out    []ipv4.Message
	queued int // messages of out that are in use
	// waitFor holds, by worker, the number of the batch that must end before this
	// worker's batch is handled; 0 if none.
	waitFor []uint64

	addrCache map[netip.AddrPort]*net.UDPAddr
	// plainCounts counts packets without a reason by verdict; these are nearly all
	// packets. reasonCounts has the others.
	plainCounts  [len(verdictNames)]int
	reasonCounts map[outcome]int
	counters     map[outcome]prometheus.Counter
	traces       []*nodetrace.Packet

	// Scratch space for the current packet, allocated once.
	header geneve.Header
	packet flow.Packet
}

func (p *Plane) newWorker(id int) (*worker, error) {
	conn, err := duplicateSocket(p.cfg.Conn)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, plane: p, conn: conn, writer: ipv4.NewPacketConn(conn), waitFor: make([]uint64, len(p.order.progress)),
		bufs: make([][]byte, batchSize), in: make([]ipv4.Message, batchSize), out: make([]ipv4.Message, batchSize),
		addrCache:    make(map[netip.AddrPort]*net.UDPAddr),
		reasonCounts: make(map[outcome]int),
		counters:     make(map[outcome]prometheus.Counter),
	}
	for i := range w.in {
		w.bufs[i] = make([]byte, headroom+maxDatagramLen)
		w.in[i].Buffers = [][]byte{w.bufs[i][headroom:]}
		w.out[i].Buffers = make([][]byte, 1)
	}
	return w, nil
}

// duplicateSocket returns a second descriptor of the socket. Go serializes
// writes to one descriptor, so workers that shared it would block one another.
func duplicateSocket(c *net.UDPConn) (net.PacketConn, error) {
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
			time.Sleep(readRetryDelay)
			continue
		}
		w.plane.cfg.Metrics.Batch.Observe(float64(n))
		w.plane.order.await(w.waitFor)
		now := w.plane.cfg.Now()
		for i := range n {
			w.handle(now, w.bufs[i], w.in[i].N)
		}
		w.flush()
		w.plane.order.end(w.id)
	}
}

// read reads a batch of packets, registers it in the batch order and records in
// waitFor the batches that must end first.
func (w *worker) read() (int, error) {
	o := w.plane.order
	o.readMu.Lock()
	defer o.readMu.Unlock()
	n, err := w.plane.reader.ReadBatch(w.in, 0)
	if err != nil {
		return 0, err
	}
	o.begin(w.id)
	for i := range n {
		o.addBucket(w.id, bucketOf(w.bufs[i][headroom:headroom+w.in[i].N]), w.waitFor)
	}
	return n, nil
}

// handle handles the datagram of n bytes that follows the headroom of buf.
func (w *worker) handle(now time.Duration, buf []byte, n int) {
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
		w.handleTraced(t.Start(h, w.packet.Key), now, buf, n)
		return
	}
	a := w.decide(now)
	h.Traced = false
	w.apply(&a, buf, n)
}

// handleTraced completes handle for a packet that is traced.
func (w *worker) handleTraced(t *nodetrace.Packet, now time.Duration, buf []byte, n int) {
	decided := t.Deciding()
	a := w.decide(now)
	decided(&a)
	w.header.Trace, w.header.Traced = t.Sending(&a)
	w.apply(&a, buf, n)
	w.traces = append(w.traces, t)
}

func (w *worker) decide(now time.Duration) engine.Action {
	var relay *engine.Relay
	if w.header.Relayed {
		relay = &w.header.Relay
	}
	return w.plane.cfg.Decider.Packet(now, &w.packet, relay)
}

// apply carries out the engine's decision on the datagram of n bytes that
// follows the headroom of buf.
func (w *worker) apply(a *engine.Action, buf []byte, n int) {
	if a.SendLearnTo != nil {
		w.plane.cfg.SendLearn(a.SendLearnTo, a.Learn)
	}
	h := &w.header
	start, end := headroom+h.InnerOffset, headroom+n
	switch a.Verdict {
	case engine.ToHost:
		h.Relayed, h.Traced, h.VNI = false, false, uint32(a.Host.Service)
		w.queuePacket(a, buf, start, end, a.Host.TunnelFrom(w.plane.cfg.Domain))
	case engine.ToPeer:
		h.Relayed, h.Relay, h.VNI = true, a.Relay, uint32(a.Relay.Service)
		w.queuePacket(a, buf, start, end, a.Peer.AddressesFrom(w.plane.cfg.Domain).Data)
	case engine.ToCaller:
		w.queueReset(a, buf)
	default:
		w.count(engine.Drop, a.Reason)
	}
}

// queuePacket queues the inner packet buf[start:end] for to, with w.header
// written in front of it.
func (w *worker) queuePacket(a *engine.Action, buf []byte, start, end int, to netip.AddrPort) {
	addr := w.udpAddr(to)
	if addr == nil {
		w.count(engine.Drop, reasonNoAddr)
		return
	}
	start -= w.header.Len()
	w.header.Write(buf[start:])
	w.enqueue(buf[start:end], addr)
	w.count(a.Verdict, a.Reason)
}

// queueReset queues a TCP reset to the caller. The reset overwrites the packet
// that it answers.
func (w *worker) queueReset(a *engine.Action, buf []byte) {
	b, err := appendEncapsulatedReset(buf[:0], &a.Reset)
	if err != nil {
		w.plane.cfg.Log.Warn("reset not sent", "flow", a.Reset.Key, "error", err)
		w.count(engine.Drop, reasonReset)
		return
	}
	w.enqueue(b, w.plane.egress)
	w.count(engine.ToCaller, a.Reason)
}

func (w *worker) enqueue(b []byte, to *net.UDPAddr) {
	m := &w.out[w.queued]
	m.Buffers[0], m.Addr = b, to
	w.queued++
}

// udpAddr returns the address in the form that WriteBatch takes, or nil if the
// address is not valid.
func (w *worker) udpAddr(to netip.AddrPort) *net.UDPAddr {
	if a := w.addrCache[to]; a != nil {
		return a
	}
	if !to.IsValid() {
		return nil
	}
	if len(w.addrCache) >= maxCachedAddrs {
		clear(w.addrCache)
	}
	a := net.UDPAddrFromAddrPort(to)
	w.addrCache[to] = a
	return a
}

func (w *worker) count(v engine.Verdict, r group.Reason) {
	if r == group.ReasonNone {
		w.plainCounts[v]++
		return
	}
	w.reasonCounts[outcome{v, r}]++
}

// flush sends the queued packets, ends the traces of the batch and adds its
// counts to the metrics.
func (w *worker) flush() {
	for out := w.out[:w.queued]; len(out) > 0; {
		n, err := w.writer.WriteBatch(out, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				break
			}
			// The kernel refused the first message of out: skip it.
			w.plane.cfg.Metrics.SendErrors.Inc()
			w.plane.cfg.Log.Debug("packet not sent", "peer", out[0].Addr, "error", err)
			n = 1
		}
		out = out[max(n, 1):]
	}
	w.queued = 0
	for _, t := range w.traces {
		t.End()
	}
	clear(w.traces)
	w.traces = w.traces[:0]
	w.reportCounts()
}

func (w *worker) reportCounts() {
	for v, n := range w.plainCounts {
		w.addToCounter(outcome{verdict: engine.Verdict(v)}, n)
	}
	w.plainCounts = [len(verdictNames)]int{}
	for o, n := range w.reasonCounts {
		w.addToCounter(o, n)
		w.reasonCounts[o] = 0
	}
}

func (w *worker) addToCounter(o outcome, n int) {
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
