// Package dataplane owns the data socket of an instance. Its workers read
// Geneve packets in batches, have the engine decide on each packet and forward,
// relay, reset or drop it accordingly. Forwarding and relaying a packet do not
// allocate.
package dataplane

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/ipv4"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
	nodetrace "egrettack.example/node/trace"
	"egrettack.example/wire/geneve"
	"egrettack.example/wire/ip4"
)

// socketBuffer is the requested size of the kernel's receive and send buffers,
// in bytes. It holds about 10 ms of full-size packets at 3 Gbit/s while the
// workers are not scheduled. The kernel may grant less.
const socketBuffer = 4 << 20

// Decider decides what to do with a packet. *engine.Engine implements it.
type Decider interface {
	Packet(now time.Duration, p *flow.Packet, relay *engine.Relay) engine.Action
}

// Config configures a Plane. All fields except Tracer are required.
type Config struct {
	Conn    *net.UDPConn
	Decider Decider
	Domain  snapshot.DomainID // domain of the instance; selects the addresses to send to
	Egress  netip.AddrPort    // receives the TCP resets addressed to callers
	Workers int
	Now     func() time.Duration
	// SendLearn sends a learn message. It must not block.
	SendLearn func(to *snapshot.Instance, l message.Learn)
	Metrics   *metrics.Metrics
	Tracer    *nodetrace.Tracer
	Log       *slog.Logger
}

// Plane is the data plane of one instance.
type Plane struct {
	cfg    Config
	egress *net.UDPAddr
	reader *ipv4.PacketConn
	order  *batchOrder
}

// New returns a plane that uses cfg.Conn. Run closes cfg.Conn when its context is
// done.
func New(cfg Config) *Plane {
	// A smaller buffer than requested is accepted: the kernel's limits are set by
	// the operator.
	_ = cfg.Conn.SetReadBuffer(socketBuffer)
	_ = cfg.Conn.SetWriteBuffer(socketBuffer)
	cfg.Workers = min(max(cfg.Workers, 1), maxWorkers)
	return &Plane{
		cfg:    cfg,
		order:  newBatchOrder(cfg.Workers),
		egress: net.UDPAddrFromAddrPort(cfg.Egress),
		reader: ipv4.NewPacketConn(noSourceAddr{cfg.Conn}),
	}
}

// noSourceAddr makes ReadBatch skip the source addresses of datagrams: x/net
// treats a connection that has SetLinger as a stream. Parsing the addresses
// would cost two allocations per packet, and the decision on a packet does not
// depend on them.
type noSourceAddr struct{ *net.UDPConn }

func (noSourceAddr) SetLinger(int) error { return errors.ErrUnsupported }

// Run handles packets until ctx is done.
func (p *Plane) Run(ctx context.Context) error {
	workers := make([]*worker, p.cfg.Workers)
	for i := range workers {
		w, err := p.newWorker(i)
		if err != nil {
			return trace.Wrap(err, "start data worker %d", i)
		}
		defer w.close()
		workers[i] = w
	}
	stop := context.AfterFunc(ctx, func() { p.cfg.Conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	for _, w := range workers {
		wg.Go(w.run)
	}
	wg.Wait()
	return nil
}

// SendReset sends a TCP reset that does not answer a packet: the reset of a flow
// that has been silent or whose host has gone.
func (p *Plane) SendReset(r *flow.Reset) error {
	b, err := appendEncapsulatedReset(make([]byte, 0, geneve.HeaderLen+ip4.ResetLen), r)
	if err != nil {
		return err
	}
	if _, err = p.cfg.Conn.WriteToUDPAddrPort(b, p.cfg.Egress); err != nil {
		return trace.Wrap(err, "send reset of %s to egress %s", r.Key, p.cfg.Egress)
	}
	p.cfg.Metrics.Packets.WithLabelValues(verdictNames[engine.ToCaller], "tick").Inc()
	return nil
}

// appendEncapsulatedReset appends a TCP reset with its Geneve header to dst.
func appendEncapsulatedReset(dst []byte, r *flow.Reset) ([]byte, error) {
	var h geneve.Header
	var head [geneve.HeaderLen]byte
	h.Write(head[:])
	out, err := ip4.AppendReset(append(dst, head[:]...), r)
	return out, trace.Wrap(err)
}
