package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"egrettack.example/core/pacing"
	"egrettack.example/core/steer"
)

const (
	// socketBuffer is the requested size of the kernel's receive buffer in bytes. It
	// holds one second of packets of a busy instance. The kernel may grant less.
	socketBuffer = 2 << 20
	// readBuffer is the size of the buffer for one datagram in bytes; the largest
	// datagram fits.
	readBuffer = 2048
	// packetLinesPerSecond limits the log lines about packets.
	packetLinesPerSecond = 200
	// maxHoldTime is how long a packet may wait for a newer catalog. Callers
	// retransmit after 200 ms at the earliest and give up after 500 ms.
	maxHoldTime = 1500 * time.Millisecond
	// maxHeldPackets limits the packets that wait.
	maxHeldPackets = 1024
)

// holdBuffer has the packets that wait for a newer catalog, in order of arrival.
type holdBuffer struct{ packets []heldPacket }

type heldPacket struct {
	receivedAt time.Duration
	data       []byte
	packet     steer.Packet
}

// receivePackets handles packets until ctx is done.
func (i *Instance) receivePackets(ctx context.Context) error {
	out := make([]byte, 0, readBuffer)
	return i.receive(ctx, i.socket, "packet", i.reader.read, func(datagram []byte) { i.takePacket(datagram, out) })
}

// handlePacket decides on one packet, which arrived after the given time, and executes
// the decision. out is a scratch buffer.
func (i *Instance) handlePacket(arrivedAfter time.Duration, data, out []byte) {
	var p steer.Packet
	if i.decodePacket(data, &p) {
		i.handleDecoded(arrivedAfter, data, &p, out)
	}
}

func (i *Instance) decodePacket(data []byte, p *steer.Packet) bool {
	if err := i.packets.Decode(data, p); err != nil {
		i.metrics.malformed.Inc()
		return false
	}
	return true
}

func (i *Instance) handleDecoded(arrivedAfter time.Duration, data []byte, p *steer.Packet, out []byte) {
	began := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.now()
	if p.SYN {
		now = i.adjustedTime()
	}
	p.Age = now - arrivedAfter
	i.state.lastPacket = now
	if i.isWaiting(now, p) || i.isInquired(now, data, p) || i.waitsForLink(now, data, p) {
		return
	}
	v := i.engine.Decide(now, p)
	if !p.SYN && (v.NeedsRead() || v.Action == steer.Ask) {
		// Later knowledge will be compared with the time of this packet.
		if adjusted := i.adjustedTime(); adjusted-now > minSuspend {
			now = adjusted
			v = i.engine.Decide(now, p)
		}
	}
	if !p.SYN && v.NeedsRead() {
		i.wantRead(now)
	}
	if v.ResponseTime > 0 {
		i.metrics.requests.Observe(v.ResponseTime.Seconds())
	}
	i.execute(now, 0, v, p, data, out)
	if !p.SYN {
		i.observeLink(now, p, v.ResponseTime > 0)
	}
	i.tellOpenings(now)
	if v.ResponseTime > 0 || p.FIN || p.RST {
		i.placeWaiting(now)
	}
	if p.SYN {
		i.scheduleHedge(now, arrivedAfter, v, p, data)
		i.metrics.decisions.Observe((i.clock.now() - began).Seconds())
	}
}

// execute carries out the decision on a packet that was held for the time waited.
func (i *Instance) execute(now, waited time.Duration, v steer.Verdict, p *steer.Packet, data, out []byte) {
	if v.Action == steer.Queue && !i.queueFlow(now, waited, v.Service, data, p) {
		i.refuseToQueue(&v, p)
	}
	i.metrics.countDecision(v)
	switch v.Action {
	case steer.Forward:
		b := i.packets.Forward(out[:0], data, v.Server)
		i.sendPacket(b, v.Server.Addr)
		i.noteSent(now, len(b), p)
	case steer.Reset:
		i.sendPacket(i.packets.Reset(out[:0], p))
	case steer.Hold:
		i.holdPacket(now, data, p)
	case steer.Ask:
		i.inquire(now, data, p)
	}
	i.logDecision(now, waited, v, p, data)
}

func (i *Instance) sendPacket(b []byte, to netip.AddrPort) {
	if _, err := i.socket.WriteToUDPAddrPort(b, to); err != nil {
		i.metrics.sendErrors.Inc()
	}
}

// holdPacket stores a copy of a packet. When the buffer is full the packet is
// dropped, as if lost on the network, and the caller retransmits it.
func (i *Instance) holdPacket(now time.Duration, data []byte, p *steer.Packet) {
	if len(i.held.packets) >= maxHeldPackets {
		i.metrics.holdFull.Inc()
		return
	}
	i.held.packets = append(i.held.packets, heldPacket{now, append([]byte(nil), data...), *p})
}

// resetEndedFlows resets the open flows that a read of the store has shown to have ended.
func (i *Instance) resetEndedFlows(now time.Duration) {
	out := make([]byte, 0, readBuffer)
	for _, f := range i.engine.TakeEndedFlows(now) {
		i.execute(now, f.Waited, f.Verdict, &f.Packet, nil, out)
	}
}

// retryHeld decides again on the held packets after the catalog has changed. Of
// several copies of a SYN only the first counts: the others would go to further
// servers. A SYN whose next copy is due stays held, and is dropped when that does not
// come: its caller may have opened the flow by way of another instance.
func (i *Instance) retryHeld(now time.Duration) {
	waiting := i.held.packets
	i.held.packets = nil
	i.updateInstances(now)
	i.waiting.UpdateShares(i.shareOfWaiting)
	out := make([]byte, 0, readBuffer)
	validUntil := make(map[steer.Key]time.Duration) // of the last copy of each SYN
	for _, h := range waiting {
		if h.packet.SYN {
			validUntil[h.packet.Key()] = h.receivedAt + h.packet.ValidFor()
		}
	}
	opened := make(map[steer.Key]bool)
	for _, h := range waiting {
		key := h.packet.Key()
		if h.packet.SYN && opened[key] {
			continue
		}
		var v steer.Verdict
		switch overdue := now - validUntil[key]; {
		case !h.packet.SYN || overdue < 0:
			v = i.engine.DecideHeld(now, h.receivedAt, &h.packet)
		case overdue <= pacing.MaxRenewalDelay:
			v.Action = steer.Hold
		default:
			v = steer.Verdict{Action: steer.Drop, Reason: steer.NotRepeated}
		}
		if v.Action == steer.Hold {
			i.held.packets = append(i.held.packets, h)
			continue
		}
		opened[key] = h.packet.SYN
		i.execute(now, now-h.receivedAt, v, &h.packet, h.data, out)
		if v.Action == steer.Queue {
			i.waiting.Renew(key, validUntil[key]) // counted from its arrival
		}
	}
}

// expireHeld ends the wait of packets that were held for longer than maxHoldTime.
func (i *Instance) expireHeld(now time.Duration) {
	n := 0
	out := make([]byte, 0, readBuffer)
	for n < len(i.held.packets) && now-i.held.packets[n].receivedAt > maxHoldTime {
		h := &i.held.packets[n]
		i.execute(now, now-h.receivedAt, i.engine.HoldTimeoutVerdict(&h.packet), &h.packet, h.data, out)
		n++
	}
	i.held.packets = i.held.packets[n:]
}

// logDecision logs a decision that matters to a request: on a new flow, on the
// first packet of a request, or any other than forwarding to the flow's server.
func (i *Instance) logDecision(now, waited time.Duration, v steer.Verdict, p *steer.Packet, data []byte) {
	request := i.packets.RequestID(data)
	if v.Reason == steer.Token && request == nil {
		return
	}
	ok, suppressed := i.packetLogLimiter.Allow(now)
	if !ok {
		return
	}
	attrs := make([]slog.Attr, 0, 16)
	if request != nil {
		attrs = append(attrs, slog.String("request", string(request)))
	}
	attrs = append(attrs,
		slog.String("caller", p.Caller.String()), slog.String("dest", p.Dest.String()),
		slog.String("action", v.Action.String()), slog.String("reason", v.Reason.String()))
	if v.Server != nil {
		attrs = append(attrs, slog.String("server", v.Server.Name), slog.String("addr", v.Server.Addr.String()))
	}
	switch {
	case p.SYN && v.Server != nil:
		attrs = append(attrs, slog.Int("copy", p.Retransmits), slog.Duration("packet_age", p.Age),
			slog.Float64("load", v.Load), slog.Uint64("token", uint64(v.Server.Token)))
	case p.SYN:
		attrs = append(attrs, slog.Int("copy", p.Retransmits), slog.Duration("packet_age", p.Age))
	default:
		attrs = append(attrs, slog.Uint64("token", uint64(p.Token)), slog.Uint64("seq", uint64(p.Seq)))
	}
	attrs = append(attrs,
		slog.Uint64("version", uint64(i.catalog.Version())), slog.Uint64("revision", uint64(i.catalog.Revision())),
		slog.Duration("age", now-i.catalog.AsOf()))
	if v.Action == steer.Reset && !p.SYN {
		attrs = append(attrs, i.presenceAttrs(now, v)...)
	}
	attrs = append(attrs, shareAttrs(v.Share)...)
	if waited > 0 {
		attrs = append(attrs, slog.Duration("waited", waited))
	}
	if suppressed > 0 {
		attrs = append(attrs, slog.Uint64("suppressed", suppressed))
	}
	i.log.LogAttrs(context.Background(), slog.LevelInfo, "packet", attrs...)
}

// presenceAttrs returns why a server counts as gone, for the reset of an open flow.
func (i *Instance) presenceAttrs(now time.Duration, v steer.Verdict) []slog.Attr {
	_, healthyFor := i.catalog.Age(now)
	attrs := []slog.Attr{slog.Duration("store_healthy_for", healthyFor)}
	if s := v.Server; s != nil {
		attrs = append(attrs, slog.String("presence", i.catalog.Presence(s).String()), slog.Uint64("server_token", uint64(s.Token)),
			slog.Int64("started", s.Started), slog.Uint64("server_revision", uint64(s.Revision)))
	}
	return attrs
}
