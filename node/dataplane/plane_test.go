package dataplane

import (
	"bytes"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"egrettack.example/core/flow"
	"egrettack.example/wire/geneve"
)

const (
	caller flow.Addr = 192<<24 | 2<<8 | 9
	callee flow.Addr = 10<<24 | 9<<16 | 1
)

func packet(port uint16, flags flow.Flags) flow.Packet {
	return flow.Packet{
		Key:   flow.Key{Src: caller, Dst: callee, SrcPort: port, DstPort: 7002, Proto: flow.TCP},
		Flags: flags, Seq: 100, PayloadLen: uint16(len(payload)),
	}
}

var payload = bytes.Repeat([]byte("x"), 64)

// tunnelled is a caller's packet as the fabric delivers it.
func tunnelled(tb testing.TB, port uint16, flags flow.Flags) []byte {
	tb.Helper()
	p := packet(port, flags)
	ip := &layers.IPv4{Version: 4, TTL: 60, Protocol: layers.IPProtocolTCP, SrcIP: p.Key.Src.Netip().AsSlice(), DstIP: p.Key.Dst.Netip().AsSlice()}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(port), DstPort: layers.TCPPort(p.Key.DstPort), Seq: p.Seq, Window: 9,
		SYN: flags.Has(flow.SYN), ACK: flags.Has(flow.ACK),
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		tb.Fatal(err)
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload(payload)); err != nil {
		tb.Fatal(err)
	}
	head := make([]byte, geneve.HeaderLen)
	var h geneve.Header
	h.Write(head)
	return append(head, buf.Bytes()...)
}

// raceDetector tells that the test runs under the race detector.
var raceDetector bool

// Guards against allocations on the forwarding path, which would bring the
// garbage collector into every packet's delay.
func TestNoAllocation(t *testing.T) {
	for name, remote := range map[string]bool{"owner": false, "relay": true} {
		t.Run(name, func(t *testing.T) {
			r := newWorkerRig(t, remote)
			allocs := testing.AllocsPerRun(len(r.bufs)/batchLen, func() {
				for range batchLen {
					r.one()
				}
				if r.w.n != batchLen {
					t.Fatalf("%d of %d packets are sent on", r.w.n, batchLen)
				}
				if raceDetector {
					r.w.n = 0
					r.w.report()
					return
				}
				r.w.flush()
			})
			if allocs != 0 {
				t.Fatalf("%v allocations per batch of %d", allocs, batchLen)
			}
		})
	}
}
