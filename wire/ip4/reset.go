package ip4

import (
	"fmt"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"egrettack.example/core/flow"
)

// ResetLen is the length of a packet that AppendReset builds, in bytes.
const ResetLen = ip4HeaderLen + tcpHeaderLen

// resetTTL is the default that RFC 1700 recommends.
const resetTTL = 64

// AppendReset appends the IPv4 packet of a TCP reset towards the caller. It
// comes from the address that the caller sent to.
func AppendReset(dst []byte, r *flow.Reset) ([]byte, error) {
	src, to := r.Key.Dst.Netip(), r.Key.Src.Netip()
	ip := layers.IPv4{
		Version: 4, IHL: ip4HeaderLen / 4, TTL: resetTTL,
		Flags: layers.IPv4DontFragment, Protocol: layers.IPProtocolTCP,
		SrcIP: src.AsSlice(), DstIP: to.AsSlice(),
	}
	tcp := layers.TCP{
		SrcPort: layers.TCPPort(r.Key.DstPort), DstPort: layers.TCPPort(r.Key.SrcPort),
		Seq: r.Seq, Ack: r.Ack, RST: true, ACK: r.WithAck,
	}
	if err := tcp.SetNetworkLayerForChecksum(&ip); err != nil {
		return dst, fmt.Errorf("reset of %s: %w", r.Key, err)
	}
	buf := gopacket.NewSerializeBufferExpectedSize(ResetLen, 0)
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, &ip, &tcp); err != nil {
		return dst, fmt.Errorf("reset of %s: %w", r.Key, err)
	}
	return append(dst, buf.Bytes()...), nil
}
