// Package geneve encodes and decodes the Geneve datagrams (RFC 8926) of the
// stand-ins. It is written apart from the codec of the wire module, so that a
// fault in one of them shows as a disagreement.
package geneve

import (
	"encoding/binary"
	"errors"
)

const (
	headerLen = 8
	// protoIPv4 is the EtherType of the inner packet.
	protoIPv4 = 0x0800
	// ipv4Min is the length of an IPv4 header without options.
	ipv4Min = 20
)

// ErrMalformed is returned for a datagram that is not Geneve with an IPv4 packet.
var ErrMalformed = errors.New("not a Geneve datagram with an IPv4 packet")

// Append adds the Geneve header and the inner packet to b.
func Append(b []byte, vni uint32, inner []byte) []byte {
	var h [headerLen]byte
	binary.BigEndian.PutUint16(h[2:], protoIPv4)
	binary.BigEndian.PutUint32(h[4:], vni<<8)
	return append(append(b, h[:]...), inner...)
}

// Decode returns the VNI and the inner packet, which aliases d. Options are
// skipped.
func Decode(d []byte) (vni uint32, inner []byte, err error) {
	if len(d) < headerLen || d[0]>>6 != 0 || binary.BigEndian.Uint16(d[2:]) != protoIPv4 {
		return 0, nil, ErrMalformed
	}
	start := headerLen + int(d[0]&0x3f)*4
	if len(d) < start+ipv4Min || d[start]>>4 != 4 {
		return 0, nil, ErrMalformed
	}
	return binary.BigEndian.Uint32(d[4:]) >> 8, d[start:], nil
}
