package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

var (
	errNotOpen  = errors.New("no SYN+ACK within 1.4 s")
	errReset    = errors.New("reset")
	errDeadline = errors.New("time budget over")
)

// requester is an address from which flows are opened.
type requester struct {
	sys   *system
	zone  string
	addr  netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

func (s *system) addRequester(zone, ip string) (*requester, error) {
	r := &requester{sys: s, zone: zone, addr: netip.MustParseAddr(ip), port: 1024, flows: make(map[uint16]*flow)}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.addr, uint16(s.ports.packets))))
	if err != nil {
		return nil, err
	}
	r.conn = conn
	go r.receive()
	return r, nil
}

func (r *requester) receive() {
	b := make([]byte, 4096)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			r.sys.record.broken("MIXED", "requester %s got a packet that no host wrote", r.addr)
			continue
		}
		r.mu.Lock()
		f := r.flows[p.dst.Port()]
		r.mu.Unlock()
		if f != nil && p.src == f.key.route {
			f.take(&p)
		}
	}
}

// flow is one flow of a requester, with one request at a time.
type flow struct {
	r   *requester
	key flowKey

	mu       sync.Mutex
	isn      uint32
	next     uint32 // own next seq
	acked    uint32
	want     uint32 // next seq of the host
	echo     uint32 // the last one received on this flow
	hostSeq  uint32 // seq of the SYN+ACK that was taken
	open     bool
	reset    *packet
	in       []byte
	strays   int
	ended    bool // the host has sent a FIN
	progress chan struct{}
}

const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
	resetWindow = 76800
)

func (r *requester) open(dest netip.AddrPort) (*flow, error) {
	r.mu.Lock()
	r.port++
	isn := rand.Uint32()
	f := &flow{
		r: r, key: flowKey{netip.AddrPortFrom(r.addr, r.port), dest}, isn: isn, next: isn + 1, acked: isn + 1,
		progress: make(chan struct{}, 1),
	}
	r.flows[r.port] = f
	r.mu.Unlock()
	began := time.Now()
	for n, at := range []time.Duration{0, firstCopy, secondCopy, openTimeout} {
		if f.await(began.Add(at), func() bool { return f.open || f.reset != nil }) {
			break
		}
		if at < openTimeout {
			f.send(packet{flags: flagSYN, seq: isn, ack: uint32(n)})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.reset != nil:
		r.forget(f)
		return nil, errReset
	case !f.open:
		r.forget(f)
		return nil, errNotOpen
	}
	return f, nil
}

func (r *requester) forget(f *flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flows, f.key.requester.Port())
}

// await waits until done or the time at.
func (f *flow) await(at time.Time, done func() bool) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	for {
		f.mu.Lock()
		ok := done()
		f.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-f.progress:
		case <-t.C:
			return false
		}
	}
}

func (f *flow) take(p *packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() {
		select {
		case f.progress <- struct{}{}:
		default:
		}
	}()
	if p.has(flagRST) {
		if f.open {
			if d := int32(p.seq - f.want); d < -resetWindow || d > resetWindow {
				return // not within the window: no reset
			}
		}
		if f.reset == nil {
			f.reset = p
		}
		return
	}
	f.echo = p.echo // the last one received on the flow, whatever packet brought it
	switch {
	case p.has(flagSYN | flagACK):
		if f.open {
			if p.seq != f.hostSeq {
				f.strays++
				f.r.sys.record.line("requester %s: SYN+ACK of a further host on the open flow, echo %d", f.key.requester, p.echo)
			}
			return
		}
		if p.ack == f.isn+1 {
			f.open, f.hostSeq, f.want = true, p.seq, p.seq+1
			f.sendLocked(packet{flags: flagACK, seq: f.next, ack: f.want})
		}
		return
	case !f.open:
		return
	}
	if d := int32(p.ack - f.acked); d > 0 && int32(p.ack-f.next) <= 0 {
		f.acked = p.ack
	}
	if p.seq == f.want {
		f.want += uint32(len(p.data))
		f.in = append(f.in, p.data...)
		if p.has(flagFIN) && !f.ended {
			f.ended = true
			f.want++
		}
	}
	if len(p.data) > 0 || p.has(flagFIN) {
		f.sendLocked(packet{flags: flagACK, seq: f.next, ack: f.want})
	}
}

// response returns the complete response at the begin of the received bytes, nil if
// there is none.
func (f *flow) response() []byte {
	head, rest, ok := bytes.Cut(f.in, []byte(requestEnd))
	if !ok {
		return nil
	}
	_, text, _ := bytes.Cut(head, []byte("Content-Length: "))
	text, _, _ = bytes.Cut(text, []byte("\r\n"))
	n, err := strconv.Atoi(string(text))
	if err != nil || len(rest) < n {
		return nil
	}
	return head
}

// do sends a request and waits for its response within the time budget.
func (f *flow) do(id string, budget time.Duration) error {
	rec := f.r.sys.record
	data := []byte(fmt.Sprintf("GET / HTTP/1.1\r\nHost: service\r\nRequest-Id: %s\r\n\r\n", id))
	rec.line("requester %s sends %s", f.key.requester, id)
	f.mu.Lock()
	seq := f.next
	f.next += uint32(len(data))
	f.in = nil
	f.mu.Unlock()
	began, wait := time.Now(), firstRetransmit
	for at := began; ; at = at.Add(wait) {
		f.mu.Lock()
		if f.acked == seq {
			f.sendLocked(packet{flags: flagACK, seq: seq, ack: f.want, data: data})
		}
		f.mu.Unlock()
		if at != began {
			wait = min(2*wait, maxRetransmit)
		}
		until := at.Add(wait)
		if over := began.Add(budget); until.After(over) {
			until = over
		}
		if f.await(until, func() bool { return f.reset != nil || f.response() != nil }) {
			break
		}
		if time.Since(began) >= budget {
			rec.line("requester %s: %s not answered within %s", f.key.requester, id, budget)
			return errDeadline
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reset != nil && f.response() == nil {
		rec.line("requester %s: %s ended by a reset", f.key.requester, id)
		return errReset
	}
	if got := requestID(f.response()); got != id {
		rec.broken("MIXED", "request %s got the answer of %s", id, got)
	}
	rec.line("requester %s: %s answered", f.key.requester, id)
	return nil
}

// close ends the flow from the requester's side.
func (f *flow) close() {
	f.mu.Lock()
	f.sendLocked(packet{flags: flagFIN | flagACK, seq: f.next, ack: f.want})
	f.mu.Unlock()
	f.r.forget(f)
}

func (f *flow) send(p packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendLocked(p)
}

// sendLocked sends a packet through the node that the routers select now.
func (f *flow) sendLocked(p packet) {
	p.src, p.dst, p.echo = f.key.requester, f.key.route, f.echo
	if p.has(flagSYN) {
		p.echo = 0
	}
	if n, ok := f.r.sys.route(f.r.zone, f.key); ok {
		f.r.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(n.ip, uint16(f.r.sys.ports.packets)))
	}
}
