// Package hosts is the stand-in for the backend servers: each has its own
// TCP/IP stack, tunnel, slots, queue and health endpoint, and logs every
// request that it runs.
package hosts

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/flow"
	"egrettack.example/testkit/geneve"
	"egrettack.example/testkit/netstack"
	"egrettack.example/testkit/work"
	"egrettack.example/testkit/world"
)

// Run is one request that a host has started to run.
type Run struct {
	ID      string    `json:"id"`
	Service uint32    `json:"service"`
	Kind    string    `json:"kind"`
	Host    string    `json:"host"`
	At      time.Time `json:"at"`
}

// Stats of one host.
type Stats struct {
	Name       string `json:"name"`
	Accepted   uint64 `json:"accepted"` // connections since the start
	Open       int64  `json:"open"`
	Running    int64  `json:"running"`
	Waiting    int64  `json:"waiting"`
	MaxWaiting int64  `json:"max_waiting"`
	Runs       uint64 `json:"runs"`
	Shed       uint64 `json:"shed"`
	Misrouted  uint64 `json:"misrouted"` // packets and requests of other services
	Garbage    uint64 `json:"garbage"`   // connections without a valid request
}

// Mode is what a test makes a host do. A zero Mode heals it.
type Mode struct {
	Name   string  `json:"name"`
	Health string  `json:"health"` // state to tell, "fail" or "hang"; empty for the truth
	Load   float64 `json:"load"`   // load to tell, when Health is set
	LagMS  int     `json:"lag_ms"` // age of what the health endpoint tells
	Dead   bool    `json:"dead"`   // no packet in or out, no health
	// Silent drops the packets of the flows that are open now, for good.
	Silent bool    `json:"silent"`
	Slow   float64 `json:"slow"` // factor on the service time, 0 for 1
}

// Host is one backend server.
type Host struct {
	spec  world.Host
	kinds map[string]world.Kind // of its service, by name
	net   *netstack.Net
	slots chan struct{}
	log   func(Run)

	mu     sync.Mutex
	mode   Mode
	flows  map[flow.Key]struct{} // seen and not known to be over
	silent map[flow.Key]struct{}

	accepted, runs, shed, misrouted, garbage atomic.Uint64
	open, running, waiting, maxWaiting       atomic.Int64
}

// newHost starts the stack and the listeners of a host.
func newHost(spec world.Host, w *world.World, log func(Run)) (*Host, error) {
	h := &Host{
		spec: spec, kinds: make(map[string]world.Kind), log: log,
		slots: make(chan struct{}, max(spec.Slots, 1)),
		flows: make(map[flow.Key]struct{}), silent: make(map[flow.Key]struct{}),
	}
	n, err := netstack.New(netstack.Config{
		Listen: spec.Tunnel, Peer: w.Egress, In: h.admitPacket, Out: h.emitPacket,
	})
	if err != nil {
		return nil, trace.Wrap(err, "start host %s", spec.Name)
	}
	h.net = n
	ports := make(map[uint16]bool)
	for _, k := range w.Kinds {
		if k.Number == spec.Number {
			h.kinds[k.Name] = k
			ports[k.Address.Port()] = true
		}
	}
	for p := range ports {
		l, err := n.Listen(p)
		if err != nil {
			n.Close()
			return nil, trace.Wrap(err, "start host %s", spec.Name)
		}
		go h.accept(l)
	}
	return h, nil
}

// admitPacket drops the packets of other services, as the tunnel of a real
// host does, and those that the mode drops.
func (h *Host) admitPacket(vni uint32, inner []byte) bool {
	if vni != h.spec.Number {
		h.misrouted.Add(1)
		return false
	}
	key, ok := geneve.Flow(inner)
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mode.Dead {
		return false
	}
	if geneve.Opens(inner) {
		if _, known := h.flows[key]; !known {
			delete(h.silent, key)
		}
		h.flows[key] = struct{}{}
	}
	_, silent := h.silent[key]
	return !silent
}

func (h *Host) emitPacket(inner []byte) bool {
	key, ok := geneve.Flow(inner)
	if !ok {
		return false
	}
	key.Src, key.Dst, key.SrcPort, key.DstPort = key.Dst, key.Src, key.DstPort, key.SrcPort
	h.mu.Lock()
	defer h.mu.Unlock()
	_, silent := h.silent[key]
	return !h.mode.Dead && !silent
}

func (h *Host) setMode(m Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = m
	clear(h.silent)
	if m.Silent {
		for k := range h.flows {
			h.silent[k] = struct{}{}
		}
		clear(h.flows)
	}
}

func (h *Host) getMode() Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mode
}

func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.accepted.Add(1)
		go h.serve(c)
	}
}

// requestWait is how long a host waits for the request on a connection.
const requestWait = 30 * time.Second

func (h *Host) serve(c net.Conn) {
	defer c.Close()
	key, ok := flowOf(c)
	if !ok {
		h.garbage.Add(1)
		return
	}
	defer h.forget(key)
	if h.open.Add(1) > int64(h.spec.Connections) {
		h.open.Add(-1)
		return
	}
	defer h.open.Add(-1)
	_ = c.SetReadDeadline(time.Now().Add(requestWait))
	var req work.Request
	if err := work.ReadHeader(c, &req); err != nil {
		h.garbage.Add(1)
		return
	}
	if err := work.ReadBody(c, req.Body); err != nil {
		h.garbage.Add(1)
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	kind, ok := h.kinds[req.Kind]
	if req.Service != h.spec.Number || !ok || kind.Address.Port() != key.DstPort {
		h.misrouted.Add(1)
		_ = h.answer(c, &req, work.Answer{Status: work.Wrong}, nil)
		return
	}
	if req.Every > 0 {
		h.record(&req)
		h.feed(c, &req)
		return
	}
	h.request(c, &req, kind)
}

// flowOf returns the 5-tuple of a connection as its caller sees it. The stack
// has no addresses any more for a connection that was reset.
func flowOf(c net.Conn) (key flow.Key, ok bool) {
	l, lok := c.LocalAddr().(*net.TCPAddr)
	r, rok := c.RemoteAddr().(*net.TCPAddr)
	if !lok || !rok || l == nil || r == nil {
		return key, false
	}
	la, ra := l.AddrPort(), r.AddrPort()
	return flow.Key{
		Src: flow.AddrFrom(ra.Addr()), Dst: flow.AddrFrom(la.Addr()),
		SrcPort: ra.Port(), DstPort: la.Port(), Proto: flow.TCP,
	}, true
}

// forget drops the flow of a closed connection, so that the next one with the
// same 5-tuple is a new flow.
func (h *Host) forget(key flow.Key) {
	h.mu.Lock()
	delete(h.flows, key)
	h.mu.Unlock()
}

// maxWaitingFactor times the published queue is where the host sheds by itself.
const maxWaitingFactor = 4

func (h *Host) request(c net.Conn, req *work.Request, kind world.Kind) {
	if !h.take() {
		h.shed.Add(1)
		_ = h.answer(c, req, work.Answer{Status: work.Busy}, nil)
		return
	}
	h.record(req)
	h.running.Add(1)
	time.Sleep(h.serviceTime(req, kind))
	h.running.Add(-1)
	<-h.slots
	body := make([]byte, min(max(req.Answer, 0), work.MaxBody))
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	_ = h.answer(c, req, work.Answer{Status: work.OK}, body)
}

// take waits for a slot. It returns false when too many wait already.
func (h *Host) take() bool {
	n := h.waiting.Add(1)
	defer h.waiting.Add(-1)
	for old := h.maxWaiting.Load(); n > old && !h.maxWaiting.CompareAndSwap(old, n); old = h.maxWaiting.Load() {
	}
	select {
	case h.slots <- struct{}{}:
		return true
	default:
	}
	if n > int64(max(h.spec.Queue, 1)*maxWaitingFactor) {
		return false
	}
	h.slots <- struct{}{}
	return true
}

// serviceTime is exponential around the mean of the kind, unless the request
// says how long it takes.
func (h *Host) serviceTime(req *work.Request, kind world.Kind) time.Duration {
	d := time.Duration(req.Work) * time.Microsecond
	if req.Work == 0 {
		d = time.Duration(float64(kind.WorkUS)*rand.ExpFloat64()) * time.Microsecond
	}
	if slow := h.getMode().Slow; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	return d
}

func (h *Host) feed(c net.Conn, req *work.Request) {
	every := time.NewTicker(time.Duration(req.Every) * time.Microsecond)
	defer every.Stop()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
	}()
	for n := uint64(1); ; n++ {
		if err := h.answer(c, req, work.Answer{Status: work.OK, Event: n}, nil); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-every.C:
		}
	}
}

func (h *Host) record(req *work.Request) {
	h.runs.Add(1)
	h.log(Run{ID: req.ID, Service: h.spec.Number, Kind: req.Kind, Host: h.spec.Name, At: time.Now()})
}

func (h *Host) answer(c net.Conn, req *work.Request, a work.Answer, body []byte) error {
	a.ID, a.Host, a.Body = req.ID, h.spec.ID, work.Describe(body)
	return work.Write(c, a, body)
}

func (h *Host) stats() Stats {
	return Stats{
		Name: h.spec.Name, Accepted: h.accepted.Load(), Open: h.open.Load(),
		Running: h.running.Load(), Waiting: h.waiting.Load(), MaxWaiting: h.maxWaiting.Load(),
		Runs: h.runs.Load(), Shed: h.shed.Load(), Misrouted: h.misrouted.Load(), Garbage: h.garbage.Load(),
	}
}
