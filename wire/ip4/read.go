// Package ip4 reads the few fields of a caller's IPv4 packet that decisions
// depend on, and builds the TCP resets that callers get.
package ip4

import (
	"encoding/binary"
	"math/bits"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
)

// Reasons for which a packet is dropped before any decision.
const (
	ReasonShort    group.Reason = "short"        // a length field exceeds the data
	ReasonVersion  group.Reason = "ip_version"   // not IPv4
	ReasonHeader   group.Reason = "bad_header"   // a header length below its minimum
	ReasonChecksum group.Reason = "bad_checksum" // IPv4 header checksum
	ReasonFragment group.Reason = "fragment"     // ports are known for the first fragment only
	ReasonProtocol group.Reason = "bad_protocol" // neither TCP nor UDP
)

const (
	ip4HeaderLen = 20
	tcpHeaderLen = 20
	udpHeaderLen = 8

	moreFragments  = 0x2000
	fragmentOffset = 0x1FFF
)

// Read fills p from the IPv4 packet at the start of b and returns why the
// packet has to be dropped, or group.ReasonNone. Bytes after the packet's
// total length are not looked at. It does not allocate.
func Read(b []byte, p *flow.Packet) group.Reason {
	if len(b) < ip4HeaderLen {
		return ReasonShort
	}
	if b[0]>>4 != 4 {
		return ReasonVersion
	}
	ihl := int(b[0]&0x0F) * 4
	total := int(binary.BigEndian.Uint16(b[2:]))
	if ihl < ip4HeaderLen || total < ihl {
		return ReasonHeader
	}
	if len(b) < total {
		return ReasonShort
	}
	// A flipped bit in the destination would select another service.
	if checksum(b[:ihl]) != 0 {
		return ReasonChecksum
	}
	if binary.BigEndian.Uint16(b[6:])&(moreFragments|fragmentOffset) != 0 {
		return ReasonFragment
	}
	p.Key.Src = flow.Addr(binary.BigEndian.Uint32(b[12:]))
	p.Key.Dst = flow.Addr(binary.BigEndian.Uint32(b[16:]))
	p.Key.Proto = flow.Proto(b[9])
	switch p.Key.Proto {
	case flow.TCP:
		return readTCP(b[ihl:total], p)
	case flow.UDP:
		return readUDP(b[ihl:total], p)
	}
	return ReasonProtocol
}

func readTCP(b []byte, p *flow.Packet) group.Reason {
	if len(b) < tcpHeaderLen {
		return ReasonShort
	}
	off := int(b[12]>>4) * 4
	if off < tcpHeaderLen {
		return ReasonHeader
	}
	if off > len(b) {
		return ReasonShort
	}
	readPorts(b, p)
	p.Seq = binary.BigEndian.Uint32(b[4:])
	p.Ack = binary.BigEndian.Uint32(b[8:])
	p.Flags = flow.Flags(b[13])
	p.PayloadLen = uint16(len(b) - off)
	return group.ReasonNone
}

func readUDP(b []byte, p *flow.Packet) group.Reason {
	if len(b) < udpHeaderLen {
		return ReasonShort
	}
	n := int(binary.BigEndian.Uint16(b[4:]))
	if n < udpHeaderLen {
		return ReasonHeader
	}
	if n > len(b) {
		return ReasonShort
	}
	readPorts(b, p)
	p.Seq, p.Ack, p.Flags = 0, 0, 0
	p.PayloadLen = uint16(n - udpHeaderLen)
	return group.ReasonNone
}

func readPorts(b []byte, p *flow.Packet) {
	p.Key.SrcPort = binary.BigEndian.Uint16(b)
	p.Key.DstPort = binary.BigEndian.Uint16(b[2:])
}

// checksum returns the Internet checksum (RFC 1071) of b, whose length is a
// multiple of 4. Over a header with a correct checksum it is 0.
func checksum(b []byte) uint16 {
	var sum, carry uint32
	for ; len(b) >= 4; b = b[4:] {
		sum, carry = bits.Add32(sum, binary.BigEndian.Uint32(b), carry)
	}
	wide := uint64(sum) + uint64(carry)
	wide = wide>>16 + wide&0xFFFF
	wide = wide>>16 + wide&0xFFFF
	wide = wide>>16 + wide&0xFFFF
	return ^uint16(wide)
}
