package edge

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Times of a backend server.
const (
	checkIn      = 1200 * time.Millisecond // between signs of life to the store
	lapseAfter   = 3 * checkIn
	tickInterval = 20 * time.Millisecond
	prefixLen    = 8 // the number of the intended server before each packet
)

// flowKey identifies a flow at a server or caller.
type flowKey struct{ caller, dest netip.AddrPort }

// Server is one start of a backend server.
type Server struct {
	ID      uint64
	Service string
	Domain  string
	Addr    netip.AddrPort

	city  *City
	born  int64
	work  time.Duration
	slots chan struct{}
	conn  *net.UDPConn

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	draining bool
	reported time.Time // when the store had its report that it is draining, zero before
	sequence int       // of heartbeats
	dead     bool
	ailment  Ailment
	opened   int // flows that opened here since Ail
}

// Ailment is how a server fails half of its requests while its entry says that
// it is well.
type Ailment uint8

// Ailments of a server.
const (
	Well   Ailment = iota
	Errors         // it answers at once that it failed
	Mute           // it does not answer
	numAilments
)

var ailmentNames = [numAilments]string{"well", "errors", "mute"}

func (a Ailment) String() string { return ailmentNames[a] }

// Sizes of answers, bytes.
const (
	answerSize = 600
	errorSize  = 60
)

// Ail lets the server fail in some way from now on.
func (s *Server) Ail(a Ailment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ailment, s.opened = a, 0
}

// Opened returns the flows that opened at the server since Ail.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

type serverFlow struct {
	*stream
	opened  bool
	closing bool
	echo    uint32
	isn     uint32
}

// name is the key of the server's entry.
func (s *Server) name() string { return fmt.Sprintf("i-%010x", s.ID) }

// startServer starts a server at an address. The caller lets it send heartbeats.
func (c *City) startServer(id uint64, service, domain string, addr netip.AddrPort) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "server %x", id)
	}
	s := &Server{
		ID: id, Service: service, Domain: domain, Addr: addr, city: c, born: time.Now().UnixMilli(),
		work: c.cfg.Work, slots: make(chan struct{}, 2), conn: conn, flows: make(map[flowKey]*serverFlow),
	}
	go s.receive()
	go s.tick()
	return s, nil
}

// heartbeats keeps the server's entry in the store from a time on, until it ends.
func (s *Server) heartbeats(after time.Duration) {
	time.Sleep(after)
	for {
		alive, err := s.beat()
		if err != nil {
			s.city.violation("the entry of server %x was not written: %v", s.ID, err)
		}
		if !alive {
			return
		}
		time.Sleep(checkIn)
	}
}

// beat sends a heartbeat with the present state. It reports false if the server has
// ended.
func (s *Server) beat() (alive bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return false, nil
	}
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Addr.String(), "zone": s.Domain, "version": "v1", "slots": 2,
		"state": state, "cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		return true, err
	}
	written, ok := s.city.Store.Heartbeat("servers/"+s.name(), entry)
	switch {
	case !ok || !s.draining || written.IsZero():
	case s.reported.IsZero(), s.city.Store.lost(s.reported): // a lost report counts from when it is written again
		s.reported = written
	}
	return true, nil
}

// Drain lets the server leave; it reports so and goes on serving.
func (s *Server) Drain() error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	_, err := s.beat()
	return err
}

// Draining reports whether the server leaves.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// WaitReported waits until the store has had the report that the server is
// draining, or the server has ended.
func (s *Server) WaitReported() {
	for {
		s.mu.Lock()
		over := s.dead || !s.reported.IsZero()
		s.mu.Unlock()
		if over {
			return
		}
		time.Sleep(tickInterval)
	}
}

// Crash ends the server without a word. Its entry lapses later.
func (s *Server) Crash() {
	if s.stop() {
		s.city.Store.Touch("servers/" + s.name())
	}
}

// Restart ends the server without a word and starts it again under its ID, at its
// address. Until the entry of the new start is written, after a delay, the store has
// that of the former one.
func (s *Server) Restart(entryAfter time.Duration) (*Server, error) {
	if !s.stop() {
		return nil, trace.NotFound("server %x has ended and cannot restart", s.ID)
	}
	next, err := s.city.startServer(s.ID, s.Service, s.Domain, s.Addr)
	if err != nil {
		return nil, err
	}
	s.city.addLive(next)
	go next.heartbeats(entryAfter)
	return next, nil
}

// Leave ends a drained server and removes its entry, which lapses if the store is
// away.
func (s *Server) Leave() {
	if s.stop() {
		s.city.Store.Delete("servers/" + s.name())
	}
}

// stop ends the server. It reports false if it had ended before.
func (s *Server) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return false
	}
	s.dead = true
	clear(s.flows)
	s.conn.Close()
	return true
}

// holds reports whether the server lives and has the flow open.
func (s *Server) holds(k flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	return !s.dead && f != nil && f.opened && !f.closing
}

func (s *Server) receive() {
	b := make([]byte, prefixLen+headLen+mss)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // the server stops
		}
		if n < prefixLen {
			s.city.violation("a server got a datagram of %d bytes from %s", n, from)
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != s.ID && id != 0 {
			continue
		}
		p, genuine, ok := decode(b[prefixLen:n])
		if !ok || !genuine {
			s.city.violation("server %x got a packet that no caller wrote, from %s", s.ID, from)
			continue
		}
		s.handle(&p, from.Addr())
	}
}

func (s *Server) handle(p *packet, from netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	k, now := flowKey{p.src, p.dst}, time.Now()
	f := s.flows[k]
	switch {
	case p.has(syn):
		s.city.checkOpening(k, s, from, now)
		if f == nil || f.want != p.seq+1 {
			isn := rand.Uint32()
			f = &serverFlow{stream: newStream(isn+1, p.seq+1), isn: isn}
			s.flows[k] = f
		}
		f.echo = p.echo
		s.send(k, f, packet{flags: syn | ack, seq: f.isn, ack: f.want})
	case f == nil || p.has(rst):
		delete(s.flows, k)
		if !p.has(rst) {
			s.send(k, &serverFlow{stream: newStream(0, 0), echo: p.echo}, packet{flags: rst, seq: p.ack})
		}
	default:
		s.advance(k, f, p, now)
	}
}

func (s *Server) advance(k flowKey, f *serverFlow, p *packet, now time.Time) {
	f.echo = p.echo
	if !f.opened && p.ack != f.isn+1 {
		return // the flow opened at another server
	}
	if !f.opened {
		f.opened = true
		s.opened++
	}
	f.acked(p.ack, now)
	if len(p.data) > 0 {
		f.received(p.seq, p.data)
		s.send(k, f, packet{flags: ack, seq: f.next, ack: f.want})
	}
	for m := f.message(); m != nil; m = f.message() {
		go s.run(k, f, m)
	}
	if p.has(fin) {
		f.closing = true
		delete(s.flows, k)
		s.send(k, f, packet{flags: fin | ack, seq: f.next, ack: f.want + 1})
	}
	s.flush(k, f, now)
}

// run works on a request and answers it.
func (s *Server) run(k flowKey, f *serverFlow, m []byte) {
	id := messageID(m)
	size := answerSize
	s.mu.Lock()
	if s.ailment != Well && rand.IntN(2) == 0 {
		size = map[Ailment]int{Errors: errorSize, Mute: 0}[s.ailment]
	}
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.city.ran(id)
	if size != errorSize {
		time.Sleep(s.work/2 + rand.N(s.work+1))
	}
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.flows[k] != f || size == 0 {
		return
	}
	f.write(message(id, size))
	s.flush(k, f, time.Now())
	if s.draining {
		// A leaving server closes each flow after its next answer.
		s.send(k, f, packet{flags: fin | ack, seq: f.next, ack: f.want})
	}
}

func (s *Server) flush(k flowKey, f *serverFlow, now time.Time) {
	for _, x := range f.ready(now) {
		s.send(k, f, packet{flags: ack, seq: x.seq, ack: f.want, data: x.data})
	}
}

// tick retransmits what callers have not confirmed.
func (s *Server) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for now := range t.C {
		s.mu.Lock()
		if s.dead {
			s.mu.Unlock()
			return
		}
		for k, f := range s.flows {
			for _, x := range f.overdue(now) {
				s.send(k, f, packet{flags: ack, seq: x.seq, ack: f.want, data: x.data})
			}
			if f.repeats > giveUpAfter {
				delete(s.flows, k)
			}
		}
		s.mu.Unlock()
	}
}

// send sends a packet straight to the caller.
func (s *Server) send(k flowKey, f *serverFlow, p packet) {
	p.src, p.dst, p.echo = k.dest, k.caller, f.echo
	// A caller that is gone is not the server's concern.
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(k.caller.Addr(), s.city.cfg.PacketPort))
}
