// Package fabric is the stand-in for the network in front of the instances. It
// gives every packet of a caller to a random instance, and brings the answers
// of hosts and the resets of instances to the callers.
package fabric

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/flow"
	"egrettack.example/testkit/control"
	"egrettack.example/testkit/geneve"
	"egrettack.example/testkit/world"
)

// socketBuffer is in bytes. The kernel may grant less.
const socketBuffer = 4 << 20

// Config of a Fabric.
type Config struct {
	World *world.World
	// Direct sends packets to a host chosen by hash, without any instance.
	Direct bool
	// Lag is how long a change of the instance list takes to be followed.
	Lag  time.Duration
	Seed uint64
}

// Impairments of both directions.
type Impairments struct {
	In  Impairment `json:"in"`  // callers to instances
	Out Impairment `json:"out"` // hosts and instances to callers
}

// Stats counts packets.
type Stats struct {
	In        uint64           `json:"in"`
	Out       uint64           `json:"out"`
	NoTarget  uint64           `json:"no_target"`
	NoCaller  uint64           `json:"no_caller"`
	Malformed uint64           `json:"malformed"`
	Targets   []netip.AddrPort `json:"targets"`
}

// Fabric carries packets between callers, instances and hosts.
type Fabric struct {
	cfg     Config
	ingress *net.UDPConn
	egress  *net.UDPConn
	in, out *impairer
	targets atomic.Pointer[targetList]
	names   map[netip.AddrPort]string // of hosts and instances by their sockets

	mu      sync.Mutex
	callers map[flow.Addr]netip.AddrPort // tunnel of a caller by its inner address
	rnd     *rand.Rand

	inCount, outCount, noTarget, noCaller, malformed atomic.Uint64
}

// New opens the sockets of the fabric.
func New(cfg Config) (*Fabric, error) {
	f := &Fabric{
		cfg: cfg, callers: make(map[flow.Addr]netip.AddrPort),
		in: newImpairer(cfg.Seed, 1), out: newImpairer(cfg.Seed, 2),
		rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), names: make(map[netip.AddrPort]string),
	}
	for _, h := range cfg.World.Hosts {
		f.names[h.Tunnel] = h.Name
	}
	for _, i := range cfg.World.Instances {
		f.names[i.Data] = i.Name
	}
	f.targets.Store(&targetList{})
	var err error
	if f.ingress, err = listen(cfg.World.Ingress); err != nil {
		return nil, err
	}
	f.egress, err = listen(cfg.World.Egress)
	return f, err
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, trace.Wrap(err, "open socket %s", a)
	}
	_ = c.SetReadBuffer(socketBuffer)
	return c, nil
}

// Run carries packets until ctx is over.
func (f *Fabric) Run(ctx context.Context) error {
	if !f.cfg.Direct {
		go f.follow(ctx)
	}
	go f.receive(f.ingress, f.fromCaller)
	go f.receive(f.egress, f.toCaller)
	mux := http.NewServeMux()
	mux.Handle("PUT /test/v1/impair", control.Accept(f.impair))
	mux.Handle("GET /test/v1/stats", control.Report(func() any { return f.stats() }))
	addr, err := control.Address(f.cfg.World.Fabric)
	if err != nil {
		return err
	}
	defer f.ingress.Close()
	defer f.egress.Close()
	return control.Serve(ctx, addr, mux)
}

func (f *Fabric) receive(c *net.UDPConn, handle func([]byte, netip.AddrPort)) {
	b := make([]byte, 1<<16)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		handle(b[:n], from)
	}
}

func (f *Fabric) fromCaller(d []byte, from netip.AddrPort) {
	_, inner, err := geneve.Decode(d)
	key, ok := geneve.Flow(inner)
	if err != nil || !ok {
		f.malformed.Add(1)
		return
	}
	f.inCount.Add(1)
	f.mu.Lock()
	f.callers[key.Src] = from
	f.mu.Unlock()
	f.in.each(d, func(d []byte) { f.spray(key, d) })
}

func (f *Fabric) spray(key flow.Key, d []byte) {
	if f.cfg.Direct {
		f.direct(key, d)
		return
	}
	targets := f.targets.Load().addrs
	if len(targets) == 0 {
		f.noTarget.Add(1)
		return
	}
	f.mu.Lock()
	to := targets[f.rnd.IntN(len(targets))]
	f.mu.Unlock()
	f.write(d, to)
}

// direct stands in for all instances: a hash picks the host.
func (f *Fabric) direct(key flow.Key, d []byte) {
	_, inner, err := geneve.Decode(d)
	if err != nil {
		return
	}
	for _, k := range f.cfg.World.Kinds {
		if flow.AddrFrom(k.Address.Addr()) != key.Dst || k.Address.Port() != key.DstPort {
			continue
		}
		var hosts []world.Host
		for _, h := range f.cfg.World.Hosts {
			if h.Number == k.Number && !h.Spare {
				hosts = append(hosts, h)
			}
		}
		if len(hosts) > 0 {
			h := hosts[key.Hash(0)%uint64(len(hosts))]
			f.write(geneve.Append(nil, h.Number, inner), h.Tunnel)
			return
		}
	}
	f.noTarget.Add(1)
}

func (f *Fabric) write(d []byte, to netip.AddrPort) {
	// A refused datagram is a lost packet.
	_, _ = f.ingress.WriteToUDPAddrPort(d, to)
}

func (f *Fabric) toCaller(d []byte, from netip.AddrPort) {
	_, inner, err := geneve.Decode(d)
	key, ok := geneve.Flow(inner)
	if err != nil || !ok {
		f.malformed.Add(1)
		return
	}
	if geneve.Resets(inner) {
		slog.Info("reset", "sender", f.names[from], "flow", key)
	}
	f.mu.Lock()
	to, ok := f.callers[key.Dst]
	f.mu.Unlock()
	if !ok {
		f.noCaller.Add(1)
		return
	}
	f.outCount.Add(1)
	f.out.each(d, func(d []byte) { f.write(d, to) })
}

func (f *Fabric) impair(_ *http.Request, i Impairments) error {
	f.in.set(i.In)
	f.out.set(i.Out)
	slog.Info("impairment", "in", i.In, "out", i.Out)
	return nil
}

func (f *Fabric) stats() Stats {
	return Stats{
		In: f.inCount.Load(), Out: f.outCount.Load(), NoTarget: f.noTarget.Load(),
		NoCaller: f.noCaller.Load(), Malformed: f.malformed.Load(), Targets: f.targets.Load().addrs,
	}
}
