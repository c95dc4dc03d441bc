package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagBounced = 1
	flagSYN     = 2
	flagFIN     = 8
	flagACK     = 16
	flagRST     = 128
)

const (
	headLen   = 34
	prefixLen = 8 // ID of the intended host before each packet to a host
	maxData   = 1200
)

// packet is one datagram between a requester and a host.
type packet struct {
	seq, ack uint32
	echo     uint32
	flags    byte
	src, dst netip.AddrPort
	data     []byte
	system   bool // sum 0: a reset of the system
}

func (p *packet) has(flags byte) bool { return p.flags&flags == flags }

// sumKey is known to requesters and hosts only.
var sumKey = []byte("requesters and hosts")

// sum covers all fields but echo, pad and BOUNCED. It is never 0.
func sum(b []byte) uint32 {
	h := crc32.NewIEEE()
	h.Write(sumKey)
	h.Write(b[4:14])
	h.Write([]byte{b[18] &^ flagBounced})
	h.Write(b[22:])
	return h.Sum32() | 1
}

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

// decode reads a datagram. It reports false if no requester or host wrote it so and it
// is no reset of the system either.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[12:])) != len(b)-headLen {
		return p, false
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), echo: binary.BigEndian.Uint32(b[14:]),
		flags: b[18],
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[28:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[30:34])), binary.BigEndian.Uint16(b[22:])),
		data:  append([]byte(nil), b[headLen:]...),
	}
	got := binary.BigEndian.Uint32(b)
	p.system = got == 0 && p.flags == flagRST && len(p.data) == 0
	return p, p.system || got == sum(b)
}

// flowKey identifies a flow.
type flowKey struct{ requester, route netip.AddrPort }
