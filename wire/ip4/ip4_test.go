package ip4

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/wire/wiretest"
)

var sent = flow.Packet{
	Key:   flow.Key{Src: 192<<24 | 2<<8 | 9, Dst: 10<<24 | 9<<16 | 1, SrcPort: 999, DstPort: 7002, Proto: flow.TCP},
	Flags: flow.SYN | flow.PSH, Seq: 5, Ack: 6, PayloadLen: 4,
}

var datagram = flow.Packet{
	Key:        flow.Key{Src: sent.Key.Src, Dst: sent.Key.Dst, SrcPort: 999, DstPort: 53, Proto: flow.UDP},
	PayloadLen: 2,
}

// fixChecksum makes the IPv4 header checksum right again after a change.
func fixChecksum(b []byte) {
	ihl := int(b[0]&0x0F) * 4
	binary.BigEndian.PutUint16(b[10:], 0)
	binary.BigEndian.PutUint16(b[10:], checksum(b[:ihl]))
}

// Guards against fields taken from the wrong place, with IP options and with
// bytes after the end of the packet as well.
func TestRead(t *testing.T) {
	options := func(ip *layers.IPv4) {
		ip.Options = []layers.IPv4Option{{OptionType: 148, OptionLength: 4, OptionData: []byte{0, 0}}}
	}
	for _, c := range []struct {
		name string
		b    []byte
		want flow.Packet
	}{
		{"tcp", wiretest.Packet(t, sent), sent},
		{"tcp behind options", wiretest.Packet(t, sent, options), sent},
		{"tcp with padding", append(wiretest.Packet(t, sent), 0, 0, 0), sent},
		{"udp", wiretest.Packet(t, datagram), datagram},
	} {
		got := flow.Packet{Flags: flow.RST, Seq: 1, Ack: 1, PayloadLen: 1}
		if r := Read(c.b, &got); r != group.ReasonNone || got != c.want {
			t.Errorf("%s: got %+v, %q, want %+v", c.name, got, r, c.want)
		}
	}
}

// Guards against forwarding packets whose flow cannot be told.
func TestReadDrops(t *testing.T) {
	patch := func(b []byte, at int, v ...byte) []byte {
		copy(b[at:], v)
		if at < ip4HeaderLen {
			fixChecksum(b)
		}
		return b
	}
	good := func() []byte { return wiretest.Packet(t, sent) }
	udp := func() []byte { return wiretest.Packet(t, datagram) }
	corrupt := good()
	corrupt[16] ^= 1
	for _, c := range []struct {
		name string
		b    []byte
		want group.Reason
	}{
		{"empty", nil, ReasonShort},
		{"IPv6", patch(good(), 0, 0x65), ReasonVersion},
		{"header length 16", patch(good(), 0, 0x44), ReasonHeader},
		{"total length below header", patch(good(), 2, 0, 19), ReasonHeader},
		{"total length beyond data", patch(good(), 2, 9, 0), ReasonShort},
		{"flipped bit in destination", corrupt, ReasonChecksum},
		{"first fragment", patch(good(), 6, 0x20, 0), ReasonFragment},
		{"later fragment", patch(good(), 6, 0, 1), ReasonFragment},
		{"ICMP", patch(good(), 9, 1), ReasonProtocol},
		{"cut TCP header", patch(good(), 2, 0, 39), ReasonShort},
		{"TCP header of 8 bytes", patch(good(), 2, 0, 28), ReasonShort},
		{"no TCP header", patch(good(), 2, 0, 20), ReasonShort},
		{"TCP data offset 4", patch(good(), 32, 0x40), ReasonHeader},
		{"TCP data offset beyond data", patch(good(), 32, 0xF0), ReasonShort},
		{"cut UDP header", patch(udp(), 2, 0, 27), ReasonShort},
		{"UDP length 7", patch(udp(), 24, 0, 7), ReasonHeader},
		{"UDP length beyond data", patch(udp(), 24, 0, 11), ReasonShort},
	} {
		var p flow.Packet
		if got := Read(c.b, &p); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against resets that a caller's TCP would ignore: wrong direction,
// numbers, flags or checksums.
func TestAppendReset(t *testing.T) {
	p := flow.Packet{Key: sent.Key, Flags: flow.SYN, Seq: 5}
	r := flow.RefuseSYN(&p)
	b, err := AppendReset([]byte("head"), &r)
	if err != nil {
		t.Fatal(err)
	}
	b = b[len("head"):]
	if len(b) != ResetLen {
		t.Fatalf("%d bytes", len(b))
	}
	var got flow.Packet
	if reason := Read(b, &got); reason != group.ReasonNone {
		t.Fatal(reason)
	}
	want := flow.Packet{
		Key:   flow.Key{Src: p.Key.Dst, Dst: p.Key.Src, SrcPort: 7002, DstPort: 999, Proto: flow.TCP},
		Flags: flow.RST | flow.ACK, Ack: 6,
	}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	// Over the pseudo header and a correct segment the checksum is 0.
	pseudo := append(bytes.Clone(b[12:20]), 0, 6, 0, tcpHeaderLen)
	if sum := checksum(append(pseudo, b[20:]...)); sum != 0 {
		t.Fatalf("TCP checksum is off by %#x", sum)
	}
}

// Guards against disagreement with an independent decoder, and against reads
// beyond the packet.
func FuzzRead(f *testing.F) {
	f.Add(wiretest.Packet(f, sent))
	f.Add(wiretest.Packet(f, datagram))
	f.Fuzz(func(t *testing.T, b []byte) {
		// Without this nearly all inputs would fail by their checksum.
		if len(b) >= ip4HeaderLen && len(b) >= int(b[0]&0x0F)*4 && b[0]&0x0F >= 5 {
			fixChecksum(b)
		}
		var got flow.Packet
		if Read(b, &got) != group.ReasonNone {
			return
		}
		var ip layers.IPv4
		if err := ip.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			t.Skip(err) // stricter about IP options
		}
		want := flow.Packet{Key: flow.Key{Proto: flow.Proto(ip.Protocol), Src: addr(ip.SrcIP), Dst: addr(ip.DstIP)}}
		var l gopacket.TransportLayer
		switch ip.Protocol {
		case layers.IPProtocolTCP:
			var tcp layers.TCP
			if err := tcp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback); err != nil {
				t.Skip(err) // stricter about TCP options
			}
			want.Seq, want.Ack, want.Flags, l = tcp.Seq, tcp.Ack, flow.Flags(ip.Payload[13]), &tcp
			if f := got.Flags; tcp.SYN != f.Has(flow.SYN) || tcp.RST != f.Has(flow.RST) || tcp.FIN != f.Has(flow.FIN) || tcp.ACK != f.Has(flow.ACK) {
				t.Fatalf("flags %#x, decoder says %+v", f, tcp)
			}
		case layers.IPProtocolUDP:
			var udp layers.UDP
			if err := udp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback); err != nil {
				t.Fatal(err)
			}
			l = &udp
		default:
			t.Fatalf("accepted protocol %s", ip.Protocol)
		}
		ports := l.TransportFlow()
		want.Key.SrcPort, want.Key.DstPort = binary.BigEndian.Uint16(ports.Src().Raw()), binary.BigEndian.Uint16(ports.Dst().Raw())
		want.PayloadLen = uint16(len(l.LayerPayload()))
		if got != want {
			t.Fatalf("got %+v, decoder says %+v", got, want)
		}
	})
}

func addr(ip []byte) flow.Addr {
	a, _ := netip.AddrFromSlice(ip)
	return flow.AddrFrom(a)
}

// Guards against allocations on the forwarding path.
func TestNoAllocation(t *testing.T) {
	b := wiretest.Packet(t, sent)
	var p flow.Packet
	if n := testing.AllocsPerRun(100, func() { Read(b, &p) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkRead(b *testing.B) {
	in := wiretest.Packet(b, sent)
	var p flow.Packet
	b.ReportAllocs()
	for b.Loop() {
		Read(in, &p)
	}
}
