package edge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/steer"
)

const (
	// socketBuffer is the size asked for the kernel's receive buffer, bytes.
	// It holds a second of a busy instance's packets; the kernel may grant less.
	socketBuffer = 2 << 20
	// readBuffer holds the largest datagram, bytes.
	readBuffer = 2048
	// packetLinesPerSecond bounds the log lines of decisions on packets.
	packetLinesPerSecond = 200
	// maxHoldTime is how long a packet may wait for the catalog. Callers send a
	// packet again after 200 ms at the earliest, and give up after 500 ms.
	maxHoldTime = 1500 * time.Millisecond
	// maxHeldPackets bounds the packets that wait.
	maxHeldPackets = 1024
)

// holdBuffer are packets that wait for the catalog to move on.
type holdBuffer struct{ packets []heldPacket }

type heldPacket struct {
	receivedAt     time.Duration
	data   []byte
	packet steer.Packet
}

// receivePackets decides on packets until ctx is done.
func (i *Instance) receivePackets(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { i.socket.Close() })
	defer stop()
	in, out := make([]byte, readBuffer), make([]byte, 0, readBuffer)
	for {
		n, _, err := i.socket.ReadFromUDPAddrPort(in)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return trace.Wrap(err, "read packets on %s", i.settings.Packets)
		}
		i.handlePacket(i.clock.now(), in[:n], out)
	}
}

// handlePacket decides on one packet and carries the decision out.
func (i *Instance) handlePacket(now time.Duration, data, out []byte) {
	var p steer.Packet
	if err := i.packets.Decode(data, &p); err != nil {
		i.metrics.malformed.Inc()
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state.lastPacket = now
	v := i.engine.Decide(now, &p)
	if v.ResponseTime > 0 {
		i.metrics.requests.Observe(v.ResponseTime.Seconds())
	}
	i.execute(now, 0, v, &p, data, out)
	if p.SYN {
		i.metrics.decisions.Observe((i.clock.now() - now).Seconds())
	}
}

// execute does what was decided on a packet that waited for a while.
func (i *Instance) execute(now, waited time.Duration, v steer.Verdict, p *steer.Packet, data, out []byte) {
	i.metrics.countDecision(v)
	switch v.Action {
	case steer.Forward:
		i.sendPacket(i.packets.Forward(out[:0], data, v.Server), v.Server.Addr)
	case steer.Reset:
		i.sendPacket(i.packets.Reset(out[:0], p))
	case steer.Hold:
		i.holdPacket(now, data, p)
	}
	i.logDecision(now, waited, v, p, data)
}

func (i *Instance) sendPacket(b []byte, to netip.AddrPort) {
	if _, err := i.socket.WriteToUDPAddrPort(b, to); err != nil {
		i.metrics.sendErrors.Inc()
	}
}

// holdPacket keeps a copy of a packet. When the buffer is full the packet is lost,
// as on the network, and the caller sends it again.
func (i *Instance) holdPacket(now time.Duration, data []byte, p *steer.Packet) {
	if len(i.held.packets) >= maxHeldPackets {
		i.metrics.holdFull.Inc()
		return
	}
	i.held.packets = append(i.held.packets, heldPacket{now, append([]byte(nil), data...), *p})
}

// retryHeld decides again on held packets, after the catalog moved on.
func (i *Instance) retryHeld(now time.Duration) {
	waiting := i.held.packets
	i.held.packets = nil
	out := make([]byte, 0, readBuffer)
	for _, h := range waiting {
		v := i.engine.DecideHeld(now, h.receivedAt, &h.packet)
		if v.Action == steer.Hold {
			i.held.packets = append(i.held.packets, h)
			continue
		}
		i.execute(now, now-h.receivedAt, v, &h.packet, h.data, out)
	}
}

// expireHeld gives up packets that waited for too long.
func (i *Instance) expireHeld(now time.Duration) {
	n := 0
	out := make([]byte, 0, readBuffer)
	for n < len(i.held.packets) && now-i.held.packets[n].receivedAt > maxHoldTime {
		h := &i.held.packets[n]
		i.execute(now, now-h.receivedAt, i.engine.HoldTimeoutVerdict(), &h.packet, h.data, out)
		n++
	}
	i.held.packets = i.held.packets[n:]
}

// logDecision writes the line of a decision that touches a request: a new
// flow, the begin of a request, or anything but forwarding by the token.
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
	if p.SYN {
		attrs = append(attrs, slog.Int("copy", p.Retransmits), slog.Float64("load", v.Load))
	} else {
		attrs = append(attrs, slog.Uint64("token", uint64(p.Token)), slog.Uint64("seq", uint64(p.Seq)))
	}
	attrs = append(attrs,
		slog.Uint64("version", uint64(i.catalog.Version())), slog.Uint64("revision", uint64(i.catalog.Revision())),
		slog.Duration("age", now-i.catalog.AsOf()))
	if waited > 0 {
		attrs = append(attrs, slog.Duration("waited", waited))
	}
	if suppressed > 0 {
		attrs = append(attrs, slog.Uint64("suppressed", suppressed))
	}
	i.log.LogAttrs(context.Background(), slog.LevelInfo, "packet", attrs...)
}
