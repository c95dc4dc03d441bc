package edge

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Times of a caller, as the platform's pages give them.
const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
)

// Times after which the network delivers a SYN again.
const (
	repeatLeast = 100 * time.Millisecond
	repeatMost  = 3 * time.Second
)

// resetWindow is the largest distance of a reset of the system from the caller's last
// acknowledgement, in bytes.
const resetWindow = 76_800

// Errors of a caller's requests.
var (
	errRefused  = errors.New("the system refused the flow")
	errServer   = errors.New("the server does not hold the flow")
	errNotOpen  = errors.New("the flow did not open")
	errDeadline = errors.New("the deadline passed")
	errFailed   = errors.New("the server answered that it failed")
)

// Caller is an address from which flows are opened.
type Caller struct {
	city   *City
	domain string
	addr   netip.Addr
	conn   *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet // by the caller's port
}

func (c *City) newCaller(addr netip.Addr, domain string) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, c.cfg.PacketPort)))
	if err != nil {
		return nil, trace.Wrap(err, "caller %s", addr)
	}
	k := &Caller{city: c, domain: domain, addr: addr, conn: conn, port: 1024, flows: make(map[uint16]chan packet)}
	go k.receive()
	return k, nil
}

func (k *Caller) receive() {
	b := make([]byte, headLen+mss)
	for {
		n, _, err := k.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // the city closes
		}
		p, genuine, ok := decode(b[:n])
		if !ok || !genuine && !(p.has(rst) && p.sum == 0 && len(p.data) == 0) {
			k.city.violation("caller %s got a packet that no server wrote", k.addr)
			continue
		}
		k.mu.Lock()
		ch := k.flows[p.dst.Port()]
		k.mu.Unlock()
		select {
		case ch <- p:
		default: // the flow is over, or does not keep up
		}
	}
}

// flow is one flow of a caller. One goroutine uses it.
type flow struct {
	*stream
	caller *Caller
	key    flowKey
	in     chan packet
	echo   uint32
	isn    uint32 // of the server
	opened time.Time
	closed bool // by the server

	dataFirst bool // it sends nothing before its first request
	requested bool // it has sent that request
}

// open opens a flow.
func (k *Caller) open(dest netip.AddrPort) (*flow, error) {
	k.mu.Lock()
	k.port++
	if k.port < 1024 {
		k.port = 1024
	}
	f := &flow{
		caller: k, key: flowKey{netip.AddrPortFrom(k.addr, k.port), dest}, in: make(chan packet, 64),
		dataFirst: k.city.cfg.DataFirst,
	}
	k.flows[k.port] = f.in
	k.mu.Unlock()
	isn := rand.Uint32()
	start := time.Now()
	copies := []time.Duration{0, firstCopy, secondCopy, openTimeout}
	for n, at := range copies {
		t := time.NewTimer(at - time.Since(start))
	wait:
		for {
			select {
			case p := <-f.in:
				if p.has(rst) {
					f.close()
					return nil, f.resetError(&p)
				}
				if p.has(syn) && p.has(ack) && p.ack == isn+1 {
					t.Stop()
					f.stream = newStream(isn+1, p.seq+1)
					f.echo, f.isn, f.opened = p.echo, p.seq, time.Now()
					f.acknowledge()
					return f, nil
				}
			case <-t.C:
				break wait
			}
		}
		if n < len(copies)-1 {
			f.sendSYN(packet{flags: syn, seq: isn, ack: uint32(n)})
		}
	}
	f.close()
	return nil, errNotOpen
}

// sendSYN sends a SYN, which the network may deliver a second time.
func (f *flow) sendSYN(p packet) {
	f.sendRaw(p)
	if oneOf(f.caller.city.cfg.RepeatedSYNs) {
		time.AfterFunc(repeatLeast+rand.N(repeatMost-repeatLeast), func() { f.sendRaw(p) })
	}
}

// acknowledge confirms the SYN+ACK of the flow's server, unless the first request is to do it.
func (f *flow) acknowledge() {
	if !f.dataFirst || f.requested {
		f.send(packet{flags: ack, seq: f.next, ack: f.want})
	}
}

// keepsEcho reports whether the caller ignores the echo of further servers.
func (k *Caller) keepsEcho() bool {
	return k.city.cfg.KeepsEcho || k.city.cfg.BothEchoes && k.addr.As4()[3]%2 == 0
}

// resetError tells whether a server or the system has reset the flow, and
// notes a reset of an open flow that its server still holds.
func (f *flow) resetError(p *packet) error {
	if p.sum != 0 {
		if f.stream != nil {
			f.caller.city.checkReset(f.key, time.Since(f.opened))
		}
		return errServer
	}
	if f.stream != nil && f.caller.city.held(f.key) && f.caller.city.hasRoute(f.key.dest) {
		f.caller.city.violation("flow %s to %s was reset after %s though its server holds it",
			f.key.caller, f.key.dest, time.Since(f.opened))
	}
	return errRefused
}

// takes reports whether a reset of the open flow counts. One of the system has to lie
// within a window around the caller's last acknowledgement.
func (f *flow) takes(reset *packet) bool {
	d := int32(reset.seq - f.want) // sequence numbers wrap around
	return reset.sum != 0 || -resetWindow <= d && d <= resetWindow
}

// rest pauses before the first request of the flow, and returns for how long.
func (f *flow) rest() (time.Duration, error) {
	most := f.caller.city.cfg.FirstPause
	if most == 0 || f.dataFirst {
		return 0, nil
	}
	over := time.After(rand.N(most))
	for {
		select {
		case p := <-f.in:
			if p.has(rst) && f.takes(&p) {
				return time.Since(f.opened), f.resetError(&p)
			}
			f.take(&p)
		case <-over:
			return time.Since(f.opened), nil
		}
	}
}

// do sends a request on the open flow and waits for its answer.
func (f *flow) do(id uint64, size int, deadline time.Time) error {
	f.write(message(id, size))
	f.requested = true
	f.flush()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case p := <-f.in:
			if p.has(rst) && f.takes(&p) {
				return f.resetError(&p)
			}
			f.take(&p)
			if m := f.message(); m != nil {
				if messageID(m) != id {
					f.caller.city.violation("request %x got the answer of %x", id, messageID(m))
				}
				if len(m) < answerSize {
					return errFailed
				}
				return nil
			}
		case now := <-t.C:
			if now.After(deadline) {
				return errDeadline
			}
			for _, x := range f.overdue(now) {
				f.send(packet{flags: ack, seq: x.seq, ack: f.want, data: x.data})
			}
		}
	}
}

// ended reports whether the server has closed the flow.
func (f *flow) ended() bool {
	for {
		select {
		case p := <-f.in:
			if p.has(rst) && !f.closed && f.takes(&p) {
				_ = f.resetError(&p) // between requests a reset only ends the flow
			}
			f.take(&p)
		default:
			return f.closed
		}
	}
}

func (f *flow) take(p *packet) {
	if p.has(rst) && !f.takes(p) {
		return
	}
	further := p.has(syn) && p.seq != f.isn
	if further {
		f.caller.city.noteFurtherAnswer()
	}
	if !further || !f.caller.keepsEcho() {
		f.echo = p.echo
	}
	f.closed = f.closed || p.has(fin) || p.has(rst)
	if p.has(syn) {
		if !further && f.caller.city.cfg.RepeatAnswers {
			f.acknowledge()
		}
		return
	}
	now := time.Now()
	f.acked(p.ack, now)
	if len(p.data) > 0 {
		f.received(p.seq, p.data)
		f.send(packet{flags: ack, seq: f.next, ack: f.want})
	}
	f.flush()
}

func (f *flow) flush() {
	for _, x := range f.ready(time.Now()) {
		f.send(packet{flags: ack, seq: x.seq, ack: f.want, data: x.data})
	}
}

// end closes the flow towards its server.
func (f *flow) end() {
	f.send(packet{flags: fin | ack, seq: f.next, ack: f.want})
	f.close()
}

func (f *flow) close() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	delete(f.caller.flows, f.key.caller.Port())
}

func (f *flow) send(p packet) {
	p.echo = f.echo
	f.sendRaw(p)
}

// sendRaw sends a packet through the instance that the routers choose now.
func (f *flow) sendRaw(p packet) {
	p.src, p.dst = f.key.caller, f.key.dest
	to, ok := f.caller.city.route(f.caller.domain, f.key)
	if !ok {
		return // no instance: the packet is lost
	}
	// What the socket does not take is lost, as on the network.
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.encode(), to)
}
