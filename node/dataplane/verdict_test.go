package dataplane

import (
	"bytes"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
	"egrettack.example/wire/geneve"
	"egrettack.example/wire/ip4"
)

// stubDecider is a Decider that always returns action and records the arguments
// of the last call.
type stubDecider struct {
	action engine.Action
	packet flow.Packet
	relay  *engine.Relay
}

func (s *stubDecider) Packet(_ time.Duration, p *flow.Packet, r *engine.Relay) engine.Action {
	s.packet, s.relay = *p, r
	return s.action
}

// Guards against a decision that is carried out wrongly: a packet that is sent to
// the wrong receiver, with a wrong header or inner packet, or is not counted.
func TestVerdicts(t *testing.T) {
	host, peer, egress := listen(t), listen(t), listen(t)
	relay := engine.Relay{
		Op: group.OpLookup, Hops: 2, Requester: 3, Service: 7, Version: 9,
		Group: snapshot.GroupID{Service: 7, Domain: 1, Index: 2},
	}
	reset := flow.Reset{Key: flow.Key{Src: callerAddr, Dst: serviceAddr, SrcPort: 5, DstPort: 7002, Proto: flow.TCP}, Ack: 101, WithAck: true}
	var learned []snapshot.InstanceID
	in := encapsulated(t, 5, flow.SYN)
	inner := in[geneve.HeaderLen:]
	wantReset, err := ip4.AppendReset(nil, &reset)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		verdict string
		action  engine.Action
		to      *net.UDPConn
		header  geneve.Header
		inner   []byte
	}{
		{"forward", engine.Action{Verdict: engine.ToHost, Host: &snapshot.Host{Service: 7, Tunnel: addrOf(host)}}, host, geneve.Header{VNI: 7}, inner},
		{
			"relay",
			engine.Action{Verdict: engine.ToPeer, Peer: &snapshot.Instance{Data: addrOf(peer)}, Relay: relay},
			peer,
			geneve.Header{VNI: 7, Relayed: true, Relay: relay},
			inner,
		},
		{"reset", engine.Action{Verdict: engine.ToCaller, Reset: reset, Reason: group.ReasonNoSlot}, egress, geneve.Header{}, wantReset},
		{"drop", engine.Action{Verdict: engine.Drop, Reason: group.ReasonUnknownAddress, SendLearnTo: &snapshot.Instance{ID: 3}}, nil, geneve.Header{}, nil},
	} {
		t.Run(c.verdict, func(t *testing.T) {
			decider := &stubDecider{action: c.action}
			plane := New(Config{
				Conn: listen(t), Decider: decider, Domain: 1, Egress: addrOf(egress), Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler),
				SendLearn: func(to *snapshot.Instance, _ message.Learn) { learned = append(learned, to.ID) },
			})
			w, err := plane.newWorker(0)
			if err != nil {
				t.Fatal(err)
			}
			defer w.close()
			w.handle(0, append(w.bufs[0][:headroom], in...), len(in))
			w.flush()
			if want := packet(5, flow.SYN); decider.packet != want || decider.relay != nil {
				t.Errorf("decider was called with packet %+v and relay %+v, want packet %+v and no relay", decider.packet, decider.relay, want)
			}
			if n := testutil.ToFloat64(plane.cfg.Metrics.Packets.WithLabelValues(c.verdict, string(c.action.Reason))); n != 1 {
				t.Errorf("packet was counted %v times, want 1", n)
			}
			if c.to != nil {
				expectDatagram(t, c.to, c.header, c.inner)
			}
		})
	}
	if len(learned) != 1 || learned[0] != 3 {
		t.Errorf("learn messages were sent to %v, want [3]", learned)
	}
}

// expectDatagram reads one datagram and compares its header and inner packet.
func expectDatagram(t *testing.T, c *net.UDPConn, header geneve.Header, inner []byte) {
	t.Helper()
	buf := make([]byte, 2048)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := c.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	var h geneve.Header
	if err := geneve.Read(buf[:n], &h); err != nil {
		t.Fatal(err)
	}
	if got := buf[h.InnerOffset:n]; !bytes.Equal(got, inner) {
		t.Errorf("inner packet % x, want % x", got, inner)
	}
	if h.InnerOffset = 0; h != header {
		t.Errorf("header %+v, want %+v", h, header)
	}
}

// BenchmarkRefuse measures how long it takes to build the reset for a refused
// SYN, without system calls.
func BenchmarkRefuse(b *testing.B) {
	reset := flow.Reset{Key: packet(5, flow.SYN).Key, Ack: 101, WithAck: true}
	buf := make([]byte, 0, 128)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := appendEncapsulatedReset(buf, &reset); err != nil {
			b.Fatal(err)
		}
	}
}
