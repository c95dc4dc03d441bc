package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxRetransmits  = 8
	requestEnd      = "\r\n\r\n"
	responseBody    = 600 // bytes
	hostSlots       = 2   // requests processed concurrently
	hostQueue       = 8   // requests that wait for a slot
)

// host is one lifetime of a backend host. It follows the page "Flows": it answers
// each SYN, opens a flow when the packet that acknowledges its own seq arrives,
// answers what it does not hold with an RST, and sends to the requester directly.
type host struct {
	id      uint64
	service string
	zone    string
	addr    netip.AddrPort
	born    int64
	work    time.Duration
	reqPort uint16 // at which requesters receive
	// halfOpenSilent: a flow that was opened elsewhere gets no answer instead of an RST.
	halfOpenSilent bool
	record         *record
	arrived        func(h *host, k flowKey, p *packet) // each packet that is for this host
	ran            func(h *host, k flowKey, id string)

	conn  *net.UDPConn
	slots chan struct{}
	mu    sync.Mutex
	queue int // requests that wait for a slot
	flows map[flowKey]*hostFlow
	ended map[flowKey]bool
	dead  bool
	state string
	seq   int
}

type hostFlow struct {
	isn     uint32 // own initial seq
	want    uint32 // next seq of the requester
	next    uint32 // own next seq
	echo    uint32
	open    bool
	in      []byte
	unacked []byte // response not acknowledged yet, ends at next
	fin     bool   // own FIN was sent
}

func (h *host) name() string { return fmt.Sprintf("i-%010x", h.id) }
func (h *host) key() string  { return "servers/" + h.name() }

func (h *host) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	h.slots = make(chan struct{}, hostSlots)
	h.conn, h.flows, h.ended, h.state = conn, make(map[flowKey]*hostFlow), make(map[flowKey]bool), "ready"
	h.born = time.Now().UnixMilli()
	go h.receive()
	return nil
}

func (h *host) entry() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	return map[string]any{
		"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": 2,
		"state": h.state, "cold_remaining_ms": 0, "sequence": h.seq, "born": h.born,
	}
}

// holds reports whether the flow is open at this host and the host lives.
func (h *host) holds(k flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return !h.dead && f != nil && f.open && !f.fin
}

func (h *host) receive() {
	b := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixLen {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != h.id {
			continue
		}
		p, ok := decode(b[prefixLen:n])
		if !ok || p.system {
			h.record.broken("UNASKED", "host %s got a packet that no requester wrote", h.name())
			continue
		}
		h.handle(&p)
	}
}

func (h *host) handle(p *packet) {
	k := flowKey{p.src, p.dst}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return
	}
	if h.arrived != nil {
		h.arrived(h, k, p)
	}
	f := h.flows[k]
	switch {
	case p.has(flagSYN):
		if f == nil || !f.open && f.want != p.seq+1 {
			isn := rand.Uint32()
			f = &hostFlow{isn: isn, want: p.seq + 1, next: isn + 1}
			h.flows[k] = f
			delete(h.ended, k)
		}
		if f.open {
			return
		}
		f.echo = p.echo
		h.send(k, packet{flags: flagSYN | flagACK, seq: f.isn, ack: f.want, echo: f.echo})
	case p.has(flagRST):
		delete(h.flows, k)
	case f == nil && h.ended[k]:
		if p.has(flagFIN) {
			h.send(k, packet{flags: flagACK, seq: p.ack, ack: p.seq + 1, echo: p.echo})
		} else if len(p.data) > 0 {
			h.sendReset(k, p)
		}
	case f == nil, !f.open && p.ack != f.isn+1:
		// Not held here, or opened at another host.
		if f == nil || !h.halfOpenSilent {
			h.sendReset(k, p)
		}
	default:
		h.advance(k, f, p)
	}
}

// drain lets the host leave: it reports so and goes on serving.
func (h *host) drain(s *store) {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	s.put(h.key(), h.entry())
	h.record.line("host %s draining", h.name())
}

// exit ends the host after a drain and removes its entry.
func (h *host) exit(s *store) {
	h.mu.Lock()
	h.dead = true
	open := 0
	for _, f := range h.flows {
		if f.open && !f.fin {
			open++
		}
	}
	h.flows = make(map[flowKey]*hostFlow)
	h.mu.Unlock()
	h.conn.Close()
	s.remove(h.key())
	h.record.line("host %s exits with %d open flows", h.name(), open)
}

func (h *host) sendReset(k flowKey, p *packet) {
	h.record.line("host %s sends RST to %s", h.name(), k.requester)
	h.send(k, packet{flags: flagRST, seq: p.ack, ack: p.seq + uint32(len(p.data)), echo: p.echo})
}

func (h *host) advance(k flowKey, f *hostFlow, p *packet) {
	f.echo = p.echo
	if !f.open {
		f.open = true
		h.record.line("host %s opens flow of %s", h.name(), k.requester)
	}
	if int32(p.ack-f.next) <= 0 {
		if left := f.next - p.ack; int(left) < len(f.unacked) {
			f.unacked = f.unacked[len(f.unacked)-int(left):]
		}
	}
	if len(p.data) > 0 {
		if p.seq == f.want {
			f.in = append(f.in, p.data...)
			f.want += uint32(len(p.data))
		}
		h.send(k, packet{flags: flagACK, seq: f.next, ack: f.want, echo: f.echo})
	}
	if end := bytes.Index(f.in, []byte(requestEnd)); end >= 0 {
		request := f.in[:end]
		f.in = f.in[end+len(requestEnd):]
		go h.run(k, f, requestID(request))
	}
	if p.has(flagFIN) {
		delete(h.flows, k)
		h.ended[k] = true
		h.send(k, packet{flags: flagFIN | flagACK, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1, echo: f.echo})
	}
}

// takeSlot waits for a slot. It reports false if too many requests wait already.
func (h *host) takeSlot() bool {
	h.mu.Lock()
	if h.queue >= hostQueue {
		h.mu.Unlock()
		return false
	}
	h.queue++
	h.mu.Unlock()
	h.slots <- struct{}{}
	h.mu.Lock()
	h.queue--
	h.mu.Unlock()
	return true
}

func requestID(head []byte) string {
	_, rest, _ := bytes.Cut(head, []byte("Request-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}

func (h *host) run(k flowKey, f *hostFlow, id string) {
	status, body := "503 Service Unavailable\r\nNot-Executed: 1", []byte("full")
	if h.takeSlot() {
		h.record.line("host %s runs %s of %s", h.name(), id, k.requester)
		if h.ran != nil {
			h.ran(h, k, id)
		}
		time.Sleep(h.work)
		<-h.slots
		status, body = "200 OK", bytes.Repeat([]byte("x"), responseBody)
	} else {
		h.record.line("host %s rejects %s of %s", h.name(), id, k.requester)
	}
	response := append([]byte(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n\r\n", status, len(body), id, h.name())), body...)
	h.mu.Lock()
	f.unacked = response
	f.next += uint32(len(response))
	end := f.next
	h.mu.Unlock()
	for wait, n := firstRetransmit, 0; n <= maxRetransmits; n++ {
		h.mu.Lock()
		if h.dead || h.flows[k] != f || f.next != end || len(f.unacked) == 0 {
			h.mu.Unlock()
			return
		}
		flags := byte(flagACK)
		if h.state == "draining" { // closes each flow after its next response
			f.fin = true
			flags |= flagFIN
		}
		h.send(k, packet{flags: flags, seq: end - uint32(len(f.unacked)), ack: f.want, echo: f.echo, data: f.unacked})
		h.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, maxRetransmit)
	}
}

func (h *host) send(k flowKey, p packet) {
	p.src, p.dst = k.route, k.requester
	h.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(k.requester.Addr(), h.reqPort))
}
