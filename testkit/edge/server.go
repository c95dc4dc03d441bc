package edge

import (
	"context"
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

	lateLeast = 230 * time.Millisecond // for a SYN+ACK that leaves late
	lateMost  = 530 * time.Millisecond
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
	asked    map[flowKey]uint32 // position of the SYN of each flow that it had one of
	draining bool
	reported time.Time // when the store had its report that it is draining, zero before
	sequence int       // of heartbeats
	unheard  bool      // the store refuses its writes
	entered  time.Time // when the store had its first entry, zero before
	dead     bool
	ailment  Ailment
	opened   int       // flows that opened here since Ail
	impaired time.Time // last unplanned trouble with it

	startsCold bool
	coldFlows  []time.Time // new flows of the last second while it warms up
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
	s.ailment, s.opened, s.impaired = a, 0, time.Now()
}

// Opened returns the flows that opened at the server since Ail.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

type serverFlow struct {
	*stream
	opened    time.Time // zero before the end of the handshake
	closing   bool
	echo      uint32
	isn       uint32
	first     uint32    // position of the caller's first byte
	answers   int       // SYN+ACKs sent again
	answerDue time.Time // of the next of them
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
		asked: make(map[flowKey]uint32), startsCold: c.cancel != nil,
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
	if s.unheard {
		return true, nil
	}
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Addr.String(), "zone": s.Domain, "version": "v1", "slots": 2,
		"state": state, "cold_remaining_ms": s.coldRemaining(time.Now()).Milliseconds(), "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		return true, err
	}
	written, ok := s.city.Store.Heartbeat("servers/"+s.name(), entry)
	if ok && s.entered.IsZero() {
		s.entered = time.Now()
	}
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
	s.city.impair(0)
	if s.stop() && !s.Unheard() {
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
	s.city.impair(entryAfter)
	next, err := s.city.startServer(s.ID, s.Service, s.Domain, s.Addr)
	if err != nil {
		return nil, err
	}
	next.mu.Lock()
	next.impaired = time.Now().Add(entryAfter)
	next.mu.Unlock()
	s.city.addLive(next)
	go next.heartbeats(entryAfter)
	return next, nil
}

// RestartDrained lets the server leave as planned, after it has served for a while, and
// starts it again under its ID some time later, at its address or at another one.
func (s *Server) RestartDrained(serves, away time.Duration, moves bool) (*Server, error) {
	if err := s.Drain(); err != nil {
		return nil, err
	}
	s.WaitReported()
	time.Sleep(serves)
	if !s.Leave() {
		return nil, trace.NotFound("server %x has ended and cannot restart", s.ID)
	}
	time.Sleep(away)
	addr := s.Addr
	if moves {
		s.city.mu.Lock()
		_, addr = s.city.nextNumber()
		s.city.mu.Unlock()
	}
	next, err := s.city.startServer(s.ID, s.Service, s.Domain, addr)
	if err != nil {
		return nil, err
	}
	return next, next.enter()
}

// enter writes the entry of a server that has just started, and keeps it from then on.
func (s *Server) enter() error {
	s.city.addLive(s)
	_, err := s.beat()
	go s.heartbeats(rand.N(checkIn))
	return err
}

// Leave ends a drained server and removes its entry, which lapses if the store is
// away. It reports false if the server had ended before.
func (s *Server) Leave() bool {
	if !s.stop() {
		return false
	}
	if !s.Unheard() {
		s.city.Store.Delete("servers/" + s.name())
	}
	return true
}

// Unheard reports whether the store refuses the server's writes.
func (s *Server) Unheard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unheard
}

func (s *Server) setUnheard(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unheard = on
}

// LeaveUnlisted lets the server leave as planned, except that its entry goes early: some
// time after its report, while it serves on for longer. It stays if ctx is done before.
func (s *Server) LeaveUnlisted(ctx context.Context, listed, serves time.Duration) error {
	if err := s.Drain(); err != nil {
		return err
	}
	s.WaitReported()
	sleep(ctx, listed)
	s.setUnheard(true)
	s.city.Store.Delete("servers/" + s.name())
	sleep(ctx, serves-listed)
	if ctx.Err() == nil {
		s.Leave()
	}
	return nil
}

// LapseAlive lets the store refuse the server's writes for a while or until ctx is done, so
// that its entry lapses though it serves on. The entry returns afterwards.
func (s *Server) LapseAlive(ctx context.Context, lasts time.Duration) {
	s.setUnheard(true)
	sleep(ctx, lasts)
	s.setUnheard(false)
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
	_, ok := s.openSince(k)
	return ok
}

// openSince returns the time since which the server, which lives, has the flow open.
func (s *Server) openSince(k flowKey) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	if s.dead || f == nil || f.opened.IsZero() || f.closing {
		return time.Time{}, false
	}
	return f.opened, true
}

// calm reports whether the server had no unplanned trouble for a while.
func (s *Server) calm(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.impaired) > s.city.cfg.Settle
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
		now := time.Now()
		a := s.handle(&p, from.Addr(), now)
		s.city.checkArrival(flowKey{p.src, p.dst}, s, a, from.Addr(), now)
		if a == refused {
			s.refuse(&p)
		}
	}
}

// arrival is what a packet was to a server.
type arrival uint8

const (
	opening arrival = iota // or no matter of a flow that is open
	taken                  // of a flow that is open here
	ignored                // of a flow that opened at another server
	refused                // of a flow that the server does not hold, answered with a reset
)

func (s *Server) handle(p *packet, from netip.Addr, now time.Time) arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return opening
	}
	k := flowKey{p.src, p.dst}
	f := s.flows[k]
	switch {
	case p.has(syn):
		position, again := s.asked[k]
		s.asked[k] = p.seq
		s.city.checkOpening(k, s, from, now, again && position == p.seq)
		if f == nil || f.first != p.seq+1 {
			isn := rand.Uint32()
			f = &serverFlow{
				stream: newStream(isn+1, p.seq+1), isn: isn, first: p.seq + 1, answerDue: now.Add(retransmitFirst),
			}
			s.flows[k] = f
		}
		f.echo = p.echo
		s.answer(k, f)
	case p.has(rst):
		delete(s.flows, k)
	case f == nil:
		return refused
	case f.opened.IsZero() && p.ack != f.isn+1:
		if s.resetsHalfOpen() {
			return refused
		}
		return ignored
	default:
		s.advance(k, f, p, now)
		return taken
	}
	return opening
}

// answer sends a SYN+ACK, at times late.
func (s *Server) answer(k flowKey, f *serverFlow) {
	p := packet{flags: syn | ack, seq: f.isn, ack: f.first}
	if n := s.city.cfg.LateAnswers; n == 0 || rand.IntN(n) > 0 {
		s.send(k, f, p)
		return
	}
	time.AfterFunc(lateLeast+rand.N(lateMost-lateLeast), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.dead {
			s.send(k, f, p)
		}
	})
}

// answerAgain sends a SYN+ACK again that is not acknowledged in time.
func (s *Server) answerAgain(k flowKey, f *serverFlow, now time.Time) {
	if !s.city.cfg.RepeatAnswers || !f.opened.IsZero() || now.Before(f.answerDue) {
		return
	}
	f.answers++
	if f.answers <= giveUpAfter {
		s.send(k, f, packet{flags: syn | ack, seq: f.isn, ack: f.first})
	}
	f.answerDue = now.Add(min(retransmitFirst<<f.answers, retransmitMost))
}

// resetsHalfOpen reports how the server treats a packet of a flow whose handshake it
// began and another server ended: the pages allow a reset and silence.
func (s *Server) resetsHalfOpen() bool { return s.ID>>21%2 == 0 }

// refuse resets a flow that the server does not hold.
func (s *Server) refuse(p *packet) {
	f := serverFlow{stream: newStream(0, 0), echo: p.echo}
	s.send(flowKey{p.src, p.dst}, &f, packet{flags: rst, seq: p.ack})
}

func (s *Server) advance(k flowKey, f *serverFlow, p *packet, now time.Time) {
	f.echo = p.echo
	if f.opened.IsZero() {
		f.opened = now
		s.opened++
	}
	f.acked(p.ack, now)
	if len(p.data) > 0 {
		f.received(p.seq, p.data)
		if !s.city.cfg.AnswerAcks || !f.whole() {
			s.send(k, f, packet{flags: ack, seq: f.next, ack: f.want})
		}
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
		time.Sleep(s.workTime())
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

// workTime draws how long a request takes.
func (s *Server) workTime() time.Duration {
	if oneOf(s.city.cfg.SlowRequests) {
		return s.city.cfg.SlowWork
	}
	return around(s.work)
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
			s.answerAgain(k, f, now)
			for _, x := range f.overdue(now) {
				s.send(k, f, packet{flags: ack, seq: x.seq, ack: f.want, data: x.data})
			}
			if f.repeats > giveUpAfter || f.answers > giveUpAfter {
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
