package engine

import (
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// request identifies one connection attempt of a caller.
type request struct {
	key flow.Key
	isn uint32
}

type callerState uint8

const (
	synSent callerState = iota
	open
	closed
	refused
	broken
	gaveUp
)

// caller is the caller's end of one connection, as far as TCP decides which
// segments count: sequence numbers, retransmission and acceptance of resets.
type caller struct {
	w       *world
	key     flow.Key
	isn     uint32
	state   callerState
	short   bool // closes after its first answer
	sndNxt  uint32
	acked   uint32
	rcvNxt  uint32
	service snapshot.ServiceID // of the host it is connected to
	opened  time.Duration
	floor   snapshot.Version // oldest version in force when it opened
	served  bool             // its request was answered
	last    time.Duration    // last answer
	tries   int
	synTo   map[snapshot.HostID]bool // hosts that its SYN was sent to
}

// hostTCP is the TCP stack and the service of one host.
type hostTCP struct {
	w       *world
	id      snapshot.HostID
	domain  snapshot.DomainID
	service snapshot.ServiceID
	dead    bool
	conns   map[flow.Key]*conn
}

type conn struct {
	isn, iss    uint32
	rcv, snd    uint32
	established bool
}

// segment is what a host sends to a caller.
type segment struct {
	flags    flow.Flags
	seq, ack uint32
	host     *hostTCP
}

func (w *world) addHostTCP(h snapshot.Host) {
	w.nextHost = max(w.nextHost, h.ID)
	w.hosts[h.ID] = &hostTCP{w: w, id: h.ID, domain: h.Domain, service: h.Service, conns: make(map[flow.Key]*conn)}
}

// open starts a connection. Ports are used again once their flow has ended.
func (w *world) open(to snapshot.Endpoint, short bool) *caller {
	w.nextPort++
	k := flow.Key{Src: 77, SrcPort: 1000 + w.nextPort%2000, Dst: to.Addr, DstPort: to.Port, Proto: flow.TCP}
	if old := w.callers[k]; old != nil && (old.state == synSent || old.state == open) {
		return nil
	}
	c := &caller{w: w, key: k, isn: w.rng.Uint32(), short: short, opened: w.now, floor: w.floor(), last: w.now, synTo: make(map[snapshot.HostID]bool)}
	c.sndNxt, c.acked = c.isn+1, c.isn+1
	w.callers[k] = c
	w.all = append(w.all, c)
	w.opened++
	c.syn()
	return c
}

func (c *caller) syn() {
	if c.state != synSent {
		return
	}
	if c.tries++; c.tries > 5 {
		c.state = gaveUp
		return
	}
	c.transmit(flow.Packet{Key: c.key, Flags: flow.SYN, Seq: c.isn})
	c.w.after(300*time.Millisecond<<c.tries, c.syn)
}

// transmit hands a packet to the fabric, which brings it to any instance that
// the list names or named a moment ago.
func (c *caller) transmit(p flow.Packet) {
	w := c.w
	if w.chance(w.loss.data) {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for range 20 {
		if !n.dead && (n.gone == 0 || w.now-n.gone < 2*time.Second) {
			break
		}
		n = w.nodes[w.rng.IntN(len(w.nodes))]
	}
	w.after(w.delay(time.Millisecond, 4*time.Millisecond), func() { n.receive(func() { n.packet(c, p, nil) }) })
}

// packet runs a packet through an engine and carries the action out.
func (n *node) packet(c *caller, p flow.Packet, r *Relay) {
	w := n.w
	a := n.engine.Packet(n.time(), &p, r)
	if a.LearnTo != nil {
		if to := w.node(a.LearnTo.ID); to != nil {
			m := a.Learn
			w.send(n.domain, to.domain, w.loss.control, func() { to.receive(func() { to.engine.Learn(to.time(), &m) }) })
		}
	}
	switch a.Verdict {
	case ToHost:
		w.verdicts["host"]++
		h := w.hosts[a.Host.ID]
		w.checkService(h, c, &p, n.version)
		w.send(n.domain, h.domain, w.loss.data, func() { h.segment(c, &p) })
	case ToPeer:
		w.verdicts["peer"]++
		if to := w.node(a.Peer.ID); to != nil {
			w.send(n.domain, to.domain, w.loss.data, func() { to.receive(func() { to.packet(c, p, &a.Relay) }) })
		}
	case ToCaller:
		w.verdicts["reset "+string(a.Reason)]++
		w.reset(a.Reset)
	case Drop:
		w.verdicts["drop "+string(a.Reason)]++
	}
}

func (w *world) reset(r flow.Reset) {
	w.after(w.delay(time.Millisecond, 4*time.Millisecond), func() {
		c := w.callers[r.Key]
		if c == nil {
			return
		}
		f := flow.RST
		if r.WithAck {
			f |= flow.ACK
		}
		c.receive(segment{flags: f, seq: r.Seq, ack: r.Ack})
	})
}

// segment is a packet of caller c at the host.
func (h *hostTCP) segment(c *caller, p *flow.Packet) {
	if h.dead {
		return
	}
	k := h.conns[p.Key]
	switch {
	case p.OpensConnection():
		h.syn(c, p, k)
	case k == nil || p.Flags.Has(flow.ACK) && !k.established && p.Ack != k.iss+1:
		h.reply(c, segment{flags: flow.RST, seq: p.Ack, host: h})
	case k.established && (p.Seq-k.isn > 1<<20 || p.Ack-k.iss > 1<<20):
		// Not of this connection: an acknowledgement that the caller ignores.
	case p.Flags.Has(flow.FIN):
		delete(h.conns, p.Key)
	default:
		h.data(c, p, k)
	}
}

func (h *hostTCP) syn(c *caller, p *flow.Packet, k *conn) {
	if k != nil && k.established {
		return // a challenge acknowledgement, which a caller in SYN-SENT resets later
	}
	if k == nil || k.isn != p.Seq {
		h.w.checkDrain(h, c)
		iss := h.w.rng.Uint32()
		k = &conn{isn: p.Seq, iss: iss, rcv: p.Seq + 1, snd: iss + 1}
		h.conns[p.Key] = k
	}
	h.reply(c, segment{flags: flow.SYN | flow.ACK, seq: k.iss, ack: p.Seq + 1, host: h})
}

func (h *hostTCP) data(c *caller, p *flow.Packet, k *conn) {
	k.established = true
	if p.PayloadLen > 0 && p.Seq == k.rcv {
		if p.Seq == k.isn+1 {
			h.w.accept(h, request{p.Key, k.isn})
		}
		k.rcv += uint32(p.PayloadLen)
		k.snd += 7
	}
	if p.PayloadLen > 0 {
		h.reply(c, segment{flags: flow.ACK, seq: k.snd, ack: k.rcv, host: h})
	}
}

// reply goes to the caller directly.
func (h *hostTCP) reply(c *caller, s segment) {
	w := h.w
	if w.chance(w.loss.data) {
		return
	}
	w.after(w.delay(time.Millisecond, 4*time.Millisecond), func() {
		if now := w.callers[c.key]; now != nil {
			now.receive(s)
		}
	})
}

func (c *caller) receive(s segment) {
	switch {
	case c.state == synSent && s.flags.Has(flow.RST):
		if s.flags.Has(flow.ACK) && s.ack == c.isn+1 {
			c.state = refused
			c.w.checkRefusal(c)
		}
	case c.state == synSent && s.flags.Has(flow.SYN|flow.ACK) && s.ack == c.isn+1:
		c.state, c.rcvNxt, c.service, c.last = open, s.seq+1, s.host.service, c.w.now
		c.write()
	case c.state != open:
	case s.flags.Has(flow.RST):
		if s.seq == c.rcvNxt {
			c.state = broken
			if c.served {
				c.w.broken++
			}
		}
	case s.flags.Has(flow.SYN):
	case s.ack == c.sndNxt && s.ack != c.acked:
		c.acked, c.rcvNxt, c.last, c.tries = s.ack, s.seq, c.w.now, 0
		c.w.answered++
		c.served = true
		if c.short {
			c.close()
			return
		}
		c.w.after(c.w.delay(300*time.Millisecond, 1500*time.Millisecond), c.write)
	}
}

// write sends one request and repeats it until it is answered.
func (c *caller) write() {
	if c.state != open || c.sndNxt != c.acked {
		return
	}
	c.sndNxt += 10
	c.tries = 0
	c.resend(c.sndNxt)
}

func (c *caller) resend(end uint32) {
	if c.state != open || c.sndNxt != end || c.acked == end {
		return
	}
	if c.tries++; c.tries > 12 {
		c.state = gaveUp
		return
	}
	c.transmit(flow.Packet{Key: c.key, Flags: flow.ACK | flow.PSH, Seq: c.acked, Ack: c.rcvNxt, PayloadLen: 10})
	c.w.after(min(200*time.Millisecond<<c.tries, 3*time.Second), func() { c.resend(end) })
}

func (c *caller) close() {
	c.state = closed
	c.transmit(flow.Packet{Key: c.key, Flags: flow.ACK | flow.FIN, Seq: c.sndNxt, Ack: c.rcvNxt})
}

// accept notes that a host has taken a request; no second host may take it.
func (w *world) accept(h *hostTCP, r request) {
	w.fromHosts[h.service]++
	w.accepted[r] = append(w.accepted[r], h.id)
	if len(w.accepted[r]) > 1 {
		w.t.Fatalf("request %v ran at hosts %v", r, w.accepted[r])
	}
	if w.refused[r] {
		w.t.Fatalf("request %v was refused and then ran at host %d", r, h.id)
	}
}

// checkRefusal: a refusal is true only if no host has taken the request.
func (w *world) checkRefusal(c *caller) {
	r := request{c.key, c.isn}
	w.refused[r] = true
	if at := w.accepted[r]; len(at) > 0 {
		w.t.Fatalf("request %v was refused although hosts %v took it", r, at)
	}
}

// checkService: a host gets only packets of flows to its own service. While a
// move of an address spreads, and longer between domains that are cut off from
// each other, instances go by the version they have: for SYNs, and for flows
// whose SYN has been sent to the same host.
func (w *world) checkService(h *hostTCP, c *caller, p *flow.Packet, at snapshot.Version) {
	if p.OpensConnection() {
		c.synTo[h.id] = true
	}
	lags := c.synTo[h.id] && boundTo(w.published[at], endpoint(c.key)) == h.service
	if !p.OpensConnection() && c.state == open && c.service != h.service && !lags {
		w.t.Fatalf("packet of flow %v to service %d reached host %d of service %d", c.key, c.service, h.id, h.service)
	}
	for v := c.floor; v <= w.input.Version; v++ {
		if boundTo(w.published[v], endpoint(c.key)) == h.service {
			return
		}
	}
	w.t.Fatalf("packet of flow %v, open since version %d, reached host %d of service %d", c.key, c.floor, h.id, h.service)
}

func boundTo(in snapshot.Input, e snapshot.Endpoint) snapshot.ServiceID {
	for _, s := range in.Services {
		for _, k := range s.Kinds {
			if slices.Contains(k.Endpoints, e) {
				return s.ID
			}
		}
	}
	return 0
}

// checkDrain: no new flow reaches a host that was draining in every version
// in force when the flow opened.
func (w *world) checkDrain(h *hostTCP, c *caller) {
	if v := w.drained[h.id]; v != 0 && c.floor >= v {
		w.t.Fatalf("flow %v, opened under version %d, reached host %d, which drains since %d", c.key, c.floor, h.id, v)
	}
}
