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

// caller is the caller's end of one connection. It models the parts of TCP that decide
// which segments are accepted: sequence numbers, retransmission and validation of resets.
type caller struct {
	w             *world
	key           flow.Key
	isn           uint32
	state         callerState
	short         bool // closes after its first answer
	sndNxt        uint32
	acked         uint32
	rcvNxt        uint32
	service       snapshot.ServiceID // of the host it is connected to
	openedAt      time.Duration
	oldestVersion snapshot.Version // oldest version in force at any instance when it opened
	served        bool             // its request was answered
	lastAnswer    time.Duration    // time of the last answer
	tries         int
	synHosts      map[snapshot.HostID]bool // hosts that its SYN was sent to
}

// hostTCP is the TCP stack of one host and the service on it.
type hostTCP struct {
	w       *world
	id      snapshot.HostID
	domain  snapshot.DomainID
	service snapshot.ServiceID
	dead    bool
	conns   map[flow.Key]*conn
}

type conn struct {
	isn, iss       uint32
	rcvNxt, sndNxt uint32
	established    bool
}

// segment is a TCP segment from a host to a caller.
type segment struct {
	flags    flow.Flags
	seq, ack uint32
	host     *hostTCP
}

func (w *world) addHostTCP(h snapshot.Host) {
	w.nextHost = max(w.nextHost, h.ID)
	w.hosts[h.ID] = &hostTCP{w: w, id: h.ID, domain: h.Domain, service: h.Service, conns: make(map[flow.Key]*conn)}
}

// open starts a connection. Ports are reused once their flow has ended; if it has not, open
// returns nil.
func (w *world) open(to snapshot.Endpoint, short bool) *caller {
	w.nextPort++
	k := flow.Key{Src: 77, SrcPort: 1000 + w.nextPort%2000, Dst: to.Addr, DstPort: to.Port, Proto: flow.TCP}
	if old := w.callers[k]; old != nil && (old.state == synSent || old.state == open) {
		return nil
	}
	c := &caller{w: w, key: k, isn: w.rng.Uint32(), short: short, openedAt: w.now, oldestVersion: w.oldestVersion(), lastAnswer: w.now, synHosts: make(map[snapshot.HostID]bool)}
	c.sndNxt, c.acked = c.isn+1, c.isn+1
	w.callers[k] = c
	w.allCallers = append(w.allCallers, c)
	w.opened++
	c.sendSYN()
	return c
}

func (c *caller) sendSYN() {
	if c.state != synSent {
		return
	}
	if c.tries++; c.tries > 5 {
		c.state = gaveUp
		return
	}
	c.transmit(flow.Packet{Key: c.key, Flags: flow.SYN, Seq: c.isn})
	c.w.after(300*time.Millisecond<<c.tries, c.sendSYN)
}

// transmit hands a packet to the fabric, which delivers it to any listed instance, or to
// one that was removed from the list less than two seconds ago.
func (c *caller) transmit(p flow.Packet) {
	w := c.w
	if w.randomly(w.loss.data) {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for range 20 {
		if !n.dead && (n.leftAt == 0 || w.now-n.leftAt < 2*time.Second) {
			break
		}
		n = w.nodes[w.rng.IntN(len(w.nodes))]
	}
	w.after(w.delay(time.Millisecond, 4*time.Millisecond), func() { n.deliver(func() { n.packet(c, p, nil) }) })
}

// packet passes a packet to the node's engine and executes the action.
func (n *node) packet(c *caller, p flow.Packet, r *Relay) {
	w := n.w
	a := n.engine.Packet(n.time(), &p, r)
	if a.SendLearnTo != nil {
		if to := w.node(a.SendLearnTo.ID); to != nil {
			m := a.Learn
			w.send(n.domain, to.domain, w.loss.control, func() { to.deliver(func() { to.engine.Learn(to.time(), &m) }) })
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
			w.send(n.domain, to.domain, w.loss.data, func() { to.deliver(func() { to.packet(c, p, &a.Relay) }) })
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

// segment processes a packet of caller c at the host.
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
		// The segment is outside the window. The host would answer with an ACK that the
		// caller ignores.
	case p.Flags.Has(flow.FIN):
		delete(h.conns, p.Key)
	default:
		h.data(c, p, k)
	}
}

func (h *hostTCP) syn(c *caller, p *flow.Packet, k *conn) {
	if k != nil && k.established {
		return // a challenge ACK, which a caller in SYN-SENT would reset later
	}
	if k == nil || k.isn != p.Seq {
		h.w.checkDrain(h, c)
		iss := h.w.rng.Uint32()
		k = &conn{isn: p.Seq, iss: iss, rcvNxt: p.Seq + 1, sndNxt: iss + 1}
		h.conns[p.Key] = k
	}
	h.reply(c, segment{flags: flow.SYN | flow.ACK, seq: k.iss, ack: p.Seq + 1, host: h})
}

func (h *hostTCP) data(c *caller, p *flow.Packet, k *conn) {
	k.established = true
	if p.PayloadLen > 0 && p.Seq == k.rcvNxt {
		if p.Seq == k.isn+1 {
			h.w.recordAccepted(h, request{p.Key, k.isn})
		}
		k.rcvNxt += uint32(p.PayloadLen)
		k.sndNxt += 7
	}
	if p.PayloadLen > 0 {
		h.reply(c, segment{flags: flow.ACK, seq: k.sndNxt, ack: k.rcvNxt, host: h})
	}
}

// reply sends a segment directly to the caller.
func (h *hostTCP) reply(c *caller, s segment) {
	w := h.w
	if w.randomly(w.loss.data) {
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
		c.state, c.rcvNxt, c.service, c.lastAnswer = open, s.seq+1, s.host.service, c.w.now
		c.sendRequest()
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
		c.acked, c.rcvNxt, c.lastAnswer, c.tries = s.ack, s.seq, c.w.now, 0
		c.w.answered++
		c.served = true
		if c.short {
			c.close()
			return
		}
		c.w.after(c.w.delay(300*time.Millisecond, 1500*time.Millisecond), c.sendRequest)
	}
}

// sendRequest sends one request and retransmits it until it is answered.
func (c *caller) sendRequest() {
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

// recordAccepted records that a host has executed a request and fails if another host
// has executed it too, or if it was refused.
func (w *world) recordAccepted(h *hostTCP, r request) {
	w.acceptedByService[h.service]++
	w.accepted[r] = append(w.accepted[r], h.id)
	if len(w.accepted[r]) > 1 {
		w.t.Fatalf("request %v was executed at hosts %v", r, w.accepted[r])
	}
	if w.refused[r] {
		w.t.Fatalf("request %v was refused and then executed at host %d", r, h.id)
	}
}

// checkRefusal checks that no host has executed a request that is refused.
func (w *world) checkRefusal(c *caller) {
	r := request{c.key, c.isn}
	w.refused[r] = true
	if at := w.accepted[r]; len(at) > 0 {
		w.t.Fatalf("request %v was refused although hosts %v executed it", r, at)
	}
}

// checkService checks that a host receives only packets of flows to its own service.
// While a move of an address spreads, and longer between domains that are cut off from each
// other, an instance may still go by the version it has: for SYNs, and for flows whose SYN
// was sent to the same host.
func (w *world) checkService(h *hostTCP, c *caller, p *flow.Packet, at snapshot.Version) {
	if p.OpensConnection() {
		c.synHosts[h.id] = true
	}
	outdatedVersion := c.synHosts[h.id] && serviceOf(w.published[at], endpoint(c.key)) == h.service
	if !p.OpensConnection() && c.state == open && c.service != h.service && !outdatedVersion {
		w.t.Fatalf("packet of flow %v to service %d reached host %d of service %d", c.key, c.service, h.id, h.service)
	}
	for v := c.oldestVersion; v <= w.input.Version; v++ {
		if serviceOf(w.published[v], endpoint(c.key)) == h.service {
			return
		}
	}
	w.t.Fatalf("packet of flow %v, open since version %d, reached host %d of service %d", c.key, c.oldestVersion, h.id, h.service)
}

func serviceOf(in snapshot.Input, e snapshot.Endpoint) snapshot.ServiceID {
	for _, s := range in.Services {
		for _, k := range s.Kinds {
			if slices.Contains(k.Endpoints, e) {
				return s.ID
			}
		}
	}
	return 0
}

// checkDrain checks that no new flow reaches a host that was draining in every version in
// force when the flow opened.
func (w *world) checkDrain(h *hostTCP, c *caller) {
	if v := w.drainedIn[h.id]; v != 0 && c.oldestVersion >= v {
		w.t.Fatalf("flow %v, opened under version %d, reached host %d, which is draining since version %d", c.key, c.oldestVersion, h.id, v)
	}
}
