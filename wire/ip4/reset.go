package ip4

import (
	"fmt"
	"sync"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"egrettack.example/core/flow"
)

// ResetLen is the length of a packet that AppendReset builds, in bytes.
const ResetLen = ip4HeaderLen + tcpHeaderLen

// resetTTL is the default that RFC 1700 recommends.
const resetTTL = 64

// builder holds what one reset takes, so that a flood of refused packets does
// not become a flood of garbage.
type builder struct {
	ip       layers.IPv4
	tcp      layers.TCP
	src, dst [4]byte
	buf      gopacket.SerializeBuffer
}

var builders = sync.Pool{New: func() any {
	return &builder{buf: gopacket.NewSerializeBufferExpectedSize(ResetLen, 0)}
}}

var resetOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// AppendReset appends the IPv4 packet of a TCP reset towards the caller. It
// comes from the address that the caller sent to.
func AppendReset(dst []byte, r *flow.Reset) ([]byte, error) {
	b := builders.Get().(*builder)
	defer builders.Put(b)
	b.src, b.dst = r.Key.Dst.Netip().As4(), r.Key.Src.Netip().As4()
	b.ip = layers.IPv4{
		Version: 4, IHL: ip4HeaderLen / 4, TTL: resetTTL,
		Flags: layers.IPv4DontFragment, Protocol: layers.IPProtocolTCP,
		SrcIP: b.src[:], DstIP: b.dst[:],
	}
	b.tcp = layers.TCP{
		SrcPort: layers.TCPPort(r.Key.DstPort), DstPort: layers.TCPPort(r.Key.SrcPort),
		Seq: r.Seq, Ack: r.Ack, RST: true, ACK: r.WithAck,
	}
	if err := b.tcp.SetNetworkLayerForChecksum(&b.ip); err != nil {
		return dst, fmt.Errorf("reset of %s: %w", r.Key, err)
	}
	if err := b.buf.Clear(); err != nil {
		return dst, fmt.Errorf("reset of %s: %w", r.Key, err)
	}
	for _, l := range [...]gopacket.SerializableLayer{&b.tcp, &b.ip} {
		if err := l.SerializeTo(b.buf, resetOptions); err != nil {
			return dst, fmt.Errorf("reset of %s: %w", r.Key, err)
		}
	}
	return append(dst, b.buf.Bytes()...), nil
}
