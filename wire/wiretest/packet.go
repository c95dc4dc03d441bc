// Package wiretest builds packets for tests of the modules that handle them.
// It uses gopacket, so that a fault in this project's own readers shows.
package wiretest

import (
	"bytes"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"egrettack.example/core/flow"
	"egrettack.example/wire/geneve"
)

// Packet builds the IPv4 packet that p describes, with p.PayloadLen bytes of
// payload. The changes are made to the IPv4 header before it is written.
func Packet(tb testing.TB, p flow.Packet, changes ...func(*layers.IPv4)) []byte {
	tb.Helper()
	ip := &layers.IPv4{
		Version: 4, TTL: 60, Protocol: layers.IPProtocol(p.Key.Proto),
		SrcIP: p.Key.Src.Netip().AsSlice(), DstIP: p.Key.Dst.Netip().AsSlice(),
	}
	for _, change := range changes {
		change(ip)
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	payload := gopacket.Payload(bytes.Repeat([]byte{'x'}, int(p.PayloadLen)))
	if err := gopacket.SerializeLayers(buf, opts, ip, transport(&p, ip), payload); err != nil {
		tb.Fatal(err)
	}
	return buf.Bytes()
}

func transport(p *flow.Packet, ip *layers.IPv4) gopacket.SerializableLayer {
	if p.Key.Proto == flow.UDP {
		u := &layers.UDP{SrcPort: layers.UDPPort(p.Key.SrcPort), DstPort: layers.UDPPort(p.Key.DstPort)}
		_ = u.SetNetworkLayerForChecksum(ip) // fails for layers that are not IP only
		return u
	}
	t := &layers.TCP{
		SrcPort: layers.TCPPort(p.Key.SrcPort), DstPort: layers.TCPPort(p.Key.DstPort), Seq: p.Seq, Ack: p.Ack, Window: 9,
		FIN: p.Flags.Has(flow.FIN), SYN: p.Flags.Has(flow.SYN), RST: p.Flags.Has(flow.RST),
		PSH: p.Flags.Has(flow.PSH), ACK: p.Flags.Has(flow.ACK),
	}
	_ = t.SetNetworkLayerForChecksum(ip)
	return t
}

// FromFabric puts the Geneve header of the fabric in front of a packet.
func FromFabric(inner []byte) []byte {
	var h geneve.Header
	b := make([]byte, geneve.HeaderLen, geneve.HeaderLen+len(inner))
	h.Write(b)
	return append(b, inner...)
}
