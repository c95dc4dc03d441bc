// Package edge is the stand-in for the users' platform around instances with
// affinity by token: the settings store, backend servers that answer callers
// directly, callers, and the routers between them. Everything but the
// instances runs in the process that uses the package.
package edge

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Flags of a packet.
const (
	bounced = 1
	syn     = 2
	fin     = 8
	ack     = 16
	rst     = 128
)

const (
	headLen = 34
	mss     = 1200 // bytes of data in a packet
)

// packet is one datagram between a caller and a backend server. All numbers
// are big-endian on the wire.
type packet struct {
	sum      uint32 // of all fields but echo, with the key of the ends
	seq, ack uint32
	echo     uint32 // the affinity token
	flags    byte
	src, dst netip.AddrPort
	data     []byte
}

// sumKey is the key of the sums, which the instances do not know.
const sumKey = 0x73756d6b6579

// encode returns the datagram with a valid sum.
func (p *packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[14:], p.echo)
	b[18] = p.flags
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	copy(b[24:], src[:])
	binary.BigEndian.PutUint16(b[28:], p.src.Port())
	copy(b[30:], dst[:])
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, sum(b))
	return b
}

// sum is the keyed sum of an encoded packet, with the fields that do not count
// left out.
func sum(b []byte) uint32 {
	h := xxhash.NewWithSeed(sumKey)
	// Writing to a hash does not fail.
	_, _ = h.Write(b[4:14])
	_, _ = h.Write([]byte{b[18] &^ bounced})
	_, _ = h.Write(b[22:])
	return uint32(h.Sum64()) | 1 // zero is for resets of the instances
}

// decode reads a datagram. genuine says that an end has written it so.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[12:])) != len(b)-headLen {
		return p, false, false
	}
	p = packet{
		sum: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]),
		echo: binary.BigEndian.Uint32(b[14:]), flags: b[18],
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[28:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[30:34])), binary.BigEndian.Uint16(b[22:])),
		data: append([]byte(nil), b[headLen:]...),
	}
	return p, p.sum == sum(b), true
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }
