// Package flow holds the identity of a flow and the few header fields of a
// packet that decisions depend on. It performs no I/O.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Proto is an IP protocol number.
type Proto uint8

// The protocols egrettack forwards.
const (
	TCP Proto = 6
	UDP Proto = 17
)

func (p Proto) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("proto-%d", uint8(p))
}

// Addr is an IPv4 address in host byte order.
type Addr uint32

// AddrFrom converts an IPv4 netip.Addr. It returns 0 for any other address.
func AddrFrom(a netip.Addr) Addr {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return Addr(binary.BigEndian.Uint32(b[:]))
}

// Netip converts the address to a netip.Addr.
func (a Addr) Netip() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(a))
	return netip.AddrFrom4(b)
}

func (a Addr) String() string { return a.Netip().String() }

// Key is the 5-tuple that identifies a flow, as seen in packets of the caller.
type Key struct {
	Src, Dst         Addr
	SrcPort, DstPort uint16
	Proto            Proto
}

func (k Key) String() string {
	return fmt.Sprintf("%s/%s:%d-%s:%d", k.Proto, k.Src, k.SrcPort, k.Dst, k.DstPort)
}

// Hash returns a 64-bit hash of the key. All instances use the same seed for
// the same purpose, so that they rank groups and hosts alike.
func (k Key) Hash(seed uint64) uint64 {
	var b [21]byte
	binary.LittleEndian.PutUint64(b[0:], seed)
	binary.LittleEndian.PutUint32(b[8:], uint32(k.Src))
	binary.LittleEndian.PutUint32(b[12:], uint32(k.Dst))
	binary.LittleEndian.PutUint16(b[16:], k.SrcPort)
	binary.LittleEndian.PutUint16(b[18:], k.DstPort)
	b[20] = byte(k.Proto)
	return xxhash.Sum64(b[:])
}

// Flags are the TCP flags of a packet, in their wire positions.
type Flags uint8

// TCP flags.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Has reports whether all flags of f are set.
func (x Flags) Has(f Flags) bool { return x&f == f }

// Packet is what decisions need of one packet of a caller. For UDP the flags,
// sequence and acknowledgement numbers are zero.
type Packet struct {
	Key        Key
	Flags      Flags
	Seq, Ack   uint32
	PayloadLen uint16 // bytes
}

// OpensConnection reports whether the packet asks for a new TCP connection.
func (p *Packet) OpensConnection() bool {
	return p.Key.Proto == TCP && p.Flags.Has(SYN) && !p.Flags.Has(ACK)
}

// Reset is a TCP reset towards the caller of Key. The sender swaps the
// addresses of Key.
type Reset struct {
	Key      Key
	Seq, Ack uint32
	// WithAck sets the ACK flag, which a reset that answers a SYN needs.
	WithAck bool
}

// RefuseSYN returns the reset that refuses the SYN p (RFC 9293, 3.10.7.1).
// A caller accepts it only in SYN-SENT, hence before it could send a request.
func RefuseSYN(p *Packet) Reset {
	return Reset{Key: p.Key, Ack: p.Seq + 1 + uint32(p.PayloadLen), WithAck: true}
}

// Abort returns the reset that ends the established connection of p. Its
// sequence number is the one the caller expects next.
func Abort(p *Packet) Reset {
	return Reset{Key: p.Key, Seq: p.Ack}
}
