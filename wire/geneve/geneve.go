// Package geneve reads and writes the Geneve headers (RFC 8926) that encapsulate
// the packets of callers. It also defines the relay header, the only option that
// instances add to packets that they relay to each other. The package does not
// allocate.
package geneve

import (
	"encoding/binary"
	"errors"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

const (
	// HeaderLen is the length in bytes of a header without options.
	HeaderLen = 8
	// MaxHeaderLen is the length in bytes of the longest header that Write produces.
	MaxHeaderLen = HeaderLen + optionHeaderLen + relayLen + traceLen + tracePadding

	optionHeaderLen = 4
	relayLen        = 32
	traceLen        = 25 // trace ID, span ID, flags
	// tracePadding pads the trace context to whole words of 4 bytes, the unit of
	// the option length.
	tracePadding = 3

	protoIPv4 = 0x0800

	// relayClass is in the range that RFC 8926, section 7, reserves for experiments.
	relayClass = 0xFFF0
	relayType  = 1

	flagOAM         = 0x80
	criticalType    = 0x80
	optionWordsMask = 0x1F

	opMask    = 0x0F
	traceFlag = 0x80
)

// Trace is the trace context of a sampled packet.
type Trace struct {
	TraceID [16]byte
	SpanID  [8]byte
	Flags   byte
}

// Header holds the decoded fields of a Geneve header.
type Header struct {
	VNI         uint32
	Relay       engine.Relay // valid if Relayed is set
	Trace       Trace        // valid if Traced is set; only relayed packets carry a trace context
	Relayed     bool
	Traced      bool
	InnerOffset int // offset of the inner packet, set by Read
}

// Errors of Read. They are fixed values, since datagrams from unauthenticated
// senders must not cause allocations.
var (
	ErrShort    = errors.New("geneve: datagram is shorter than its header")
	ErrVersion  = errors.New("geneve: unknown version")
	ErrProtocol = errors.New("geneve: inner packet is not IPv4")
	ErrCritical = errors.New("geneve: unknown critical option")
	ErrControl  = errors.New("geneve: control packet")
	ErrOption   = errors.New("geneve: malformed option")
)

// Read decodes the header at the start of b into h and overwrites the previous
// content of h. Relay and Trace are left as they were unless Relayed or Traced is
// set.
func Read(b []byte, h *Header) error {
	if len(b) < HeaderLen {
		return ErrShort
	}
	if b[0]>>6 != 0 {
		return ErrVersion
	}
	end := HeaderLen + int(b[0]&0x3F)*4
	if len(b) < end {
		return ErrShort
	}
	if b[1]&flagOAM != 0 {
		return ErrControl
	}
	if binary.BigEndian.Uint16(b[2:]) != protoIPv4 {
		return ErrProtocol
	}
	h.VNI = binary.BigEndian.Uint32(b[4:]) >> 8
	h.Relayed, h.Traced, h.InnerOffset = false, false, end
	return readOptions(b[HeaderLen:end], h)
}

func readOptions(b []byte, h *Header) error {
	for len(b) > 0 {
		if len(b) < optionHeaderLen {
			return ErrOption
		}
		n := int(b[3]&optionWordsMask) * 4
		if len(b) < optionHeaderLen+n {
			return ErrOption
		}
		body := b[optionHeaderLen : optionHeaderLen+n]
		switch class := binary.BigEndian.Uint16(b); {
		case class == relayClass && b[2] == relayType:
			if err := readRelay(body, h); err != nil {
				return err
			}
		case b[2]&criticalType != 0:
			return ErrCritical
		}
		b = b[optionHeaderLen+n:]
	}
	return nil
}

// readRelay decodes the body of the relay header. Its fields are in network byte
// order, at these offsets:
//
//	0  hops
//	1  requested operation (4 low bits), flags (0x80: trace context present)
//	2  index of the group
//	4  service of the destination in the sender's snapshot
//	8  version of the sender's snapshot
//	16 requester, 0 if none
//	20 service of the group
//	24 domain of the group
//	26 zero
//	28 next candidate, 0 if none
//	32 trace ID (16), span ID (8), trace flags (1), 3 zero bytes; if present
//
// Later releases may append fields.
func readRelay(b []byte, h *Header) error {
	if h.Relayed || len(b) < relayLen {
		return ErrOption
	}
	op := group.Op(b[1] & opMask)
	if op > group.OpDefault {
		return ErrOption
	}
	h.Relayed = true
	h.Relay = engine.Relay{
		Hops: b[0],
		Op:   op,
		Group: snapshot.GroupID{
			Index:   binary.BigEndian.Uint16(b[2:]),
			Service: snapshot.ServiceID(binary.BigEndian.Uint32(b[20:])),
			Domain:  snapshot.DomainID(binary.BigEndian.Uint16(b[24:])),
		},
		Service:       snapshot.ServiceID(binary.BigEndian.Uint32(b[4:])),
		Version:       snapshot.Version(binary.BigEndian.Uint64(b[8:])),
		Requester:     snapshot.InstanceID(binary.BigEndian.Uint32(b[16:])),
		NextCandidate: snapshot.InstanceID(binary.BigEndian.Uint32(b[28:])),
	}
	if b[1]&traceFlag == 0 {
		return nil
	}
	if len(b) < relayLen+traceLen {
		return ErrOption
	}
	h.Traced = true
	t := b[relayLen:]
	copy(h.Trace.TraceID[:], t)
	copy(h.Trace.SpanID[:], t[16:])
	h.Trace.Flags = t[24]
	return nil
}

// Len returns the length in bytes of the header that Write produces for h.
func (h *Header) Len() int {
	switch {
	case !h.Relayed:
		return HeaderLen
	case !h.Traced:
		return HeaderLen + optionHeaderLen + relayLen
	}
	return MaxHeaderLen
}

// Write encodes the header at the start of b, which must hold at least Len bytes.
func (h *Header) Write(b []byte) {
	b = b[:h.Len()]
	b[0] = byte((len(b) - HeaderLen) / 4)
	b[1] = 0
	binary.BigEndian.PutUint16(b[2:], protoIPv4)
	binary.BigEndian.PutUint32(b[4:], h.VNI<<8)
	if h.Relayed {
		h.writeRelay(b[HeaderLen:])
	}
}

func (h *Header) writeRelay(o []byte) {
	binary.BigEndian.PutUint16(o, relayClass)
	o[2] = relayType
	o[3] = byte((len(o) - optionHeaderLen) / 4)
	b := o[optionHeaderLen:]
	r := &h.Relay
	b[0] = r.Hops
	b[1] = byte(r.Op) & opMask
	binary.BigEndian.PutUint16(b[2:], r.Group.Index)
	binary.BigEndian.PutUint32(b[4:], uint32(r.Service))
	binary.BigEndian.PutUint64(b[8:], uint64(r.Version))
	binary.BigEndian.PutUint32(b[16:], uint32(r.Requester))
	binary.BigEndian.PutUint32(b[20:], uint32(r.Group.Service))
	binary.BigEndian.PutUint16(b[24:], uint16(r.Group.Domain))
	binary.BigEndian.PutUint16(b[26:], 0)
	binary.BigEndian.PutUint32(b[28:], uint32(r.NextCandidate))
	if !h.Traced {
		return
	}
	b[1] |= traceFlag
	t := b[relayLen:]
	copy(t, h.Trace.TraceID[:])
	copy(t[16:], h.Trace.SpanID[:])
	t[24] = h.Trace.Flags
	clear(t[traceLen:])
}
