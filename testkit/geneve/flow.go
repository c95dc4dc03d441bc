package geneve

import (
	"encoding/binary"

	"egrettack.example/core/flow"
)

// Flow returns the 5-tuple of an inner packet. ok is false when the packet is
// too short or neither TCP nor UDP.
func Flow(inner []byte) (key flow.Key, ok bool) {
	if len(inner) < ipv4Min {
		return key, false
	}
	ihl := int(inner[0]&0xf) * 4
	key.Proto = flow.Proto(inner[9])
	if ihl < ipv4Min || len(inner) < ihl+4 || (key.Proto != flow.TCP && key.Proto != flow.UDP) {
		return key, false
	}
	key.Src = flow.Addr(binary.BigEndian.Uint32(inner[12:]))
	key.Dst = flow.Addr(binary.BigEndian.Uint32(inner[16:]))
	key.SrcPort = binary.BigEndian.Uint16(inner[ihl:])
	key.DstPort = binary.BigEndian.Uint16(inner[ihl+2:])
	return key, true
}

// Resets reports whether an inner TCP packet has the RST flag.
func Resets(inner []byte) bool { return flags(inner).Has(flow.RST) }

// Opens reports whether an inner TCP packet is a SYN without ACK.
func Opens(inner []byte) bool {
	f := flags(inner)
	return f.Has(flow.SYN) && !f.Has(flow.ACK)
}

func flags(inner []byte) flow.Flags {
	if len(inner) < ipv4Min {
		return 0
	}
	ihl := int(inner[0]&0xf) * 4
	if len(inner) < ihl+14 || flow.Proto(inner[9]) != flow.TCP {
		return 0
	}
	return flow.Flags(inner[ihl+13])
}
