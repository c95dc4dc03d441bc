package table

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// State is the progress of a flow as seen in its caller's packets.
type State uint8

// States of a flow.
const (
	// SynSeen: the caller has sent a SYN but has not acknowledged the host's SYN yet.
	SynSeen State = iota
	// Established: the caller has acknowledged the host's SYN; always so for UDP.
	Established
	// Closing: the caller has sent a FIN.
	Closing
	// Closed: the caller has sent a RST. The host's FIN is never seen, and its
	// acknowledgement looks like that of one byte of payload.
	Closed
)

func (s State) String() string {
	switch s {
	case SynSeen:
		return "syn_seen"
	case Established:
		return "established"
	case Closing:
		return "closing"
	case Closed:
		return "closed"
	}
	return "unknown"
}

// Flags are the one-bit attributes of an entry.
type Flags uint8

// Marks of an entry.
const (
	// CountedConnection: the flow is included in the connection count of its host.
	CountedConnection Flags = 1 << iota
	// CountedSlot: the flow is included in the count of its host's used slots.
	CountedSlot
	// Copied: the entry has been sent in the copy stream to the backup.
	Copied
	// Redirected: another group holds the flow; Host is unused.
	Redirected
	// CountedFailure: the flow has been counted as a failed new flow of its host.
	CountedFailure
	// ISNMismatch: a SYN with another initial sequence number (ISN) was
	// forwarded to the host, so the sequence numbers of the entry may belong to
	// an earlier connection.
	ISNMismatch
)

// Timestamp is a time in milliseconds since the start of the process. It wraps
// after 49 days, so only differences are meaningful.
type Timestamp uint32

// TimestampOf converts a time since the start of the process.
func TimestampOf(now time.Duration) Timestamp { return Timestamp(now / time.Millisecond) }

// maxSkew is by how many ms a timestamp may be later than the current time.
// Workers read the time before they wait for the group's mutex, so the next
// worker to hold it may have an earlier time. Without this allowance the
// difference would wrap to 49 days.
const maxSkew Timestamp = 60_000

// Elapsed returns the time from s to now, or 0 if s is later than now.
func (s Timestamp) Elapsed(now Timestamp) time.Duration {
	if s-now <= maxSkew {
		return 0
	}
	return time.Duration(now-s) * time.Millisecond
}

// Entry is the state of one flow. It has no pointers and is 44 bytes long,
// which keeps the table within 64 bytes per flow at its usual load factor.
type Entry struct {
	src, dst         flow.Addr
	srcPort, dstPort uint16
	proto            flow.Proto
	Kind             snapshot.KindID
	packed           uint8 // state in the two low bits, flags above
	Retransmissions  uint8 // since the last progress; saturates, or SeqUnknown

	ISN          uint32
	Seq, Ack     uint32 // highest sequence numbers sent and acknowledged by the caller
	location     uint32 // host, or domain and index of the group that a redirect points to
	CreatedAt    Timestamp
	LastPacket   Timestamp
	LastProgress Timestamp // last new data or new acknowledgement
}

// SeqUnknown is the value of Retransmissions while Seq and Ack are not known,
// as in an entry that came from another instance.
const SeqUnknown = 255

const (
	stateBits = 2
	stateMask = 1<<stateBits - 1
)

// Key returns the flow's key.
func (e *Entry) Key() flow.Key {
	return flow.Key{Src: e.src, Dst: e.dst, SrcPort: e.srcPort, DstPort: e.dstPort, Proto: e.proto}
}

func (e *Entry) setKey(k flow.Key) {
	e.src, e.dst, e.srcPort, e.dstPort, e.proto = k.Src, k.Dst, k.SrcPort, k.DstPort, k.Proto
}

func (e *Entry) matches(k *flow.Key) bool {
	return e.src == k.Src && e.srcPort == k.SrcPort && e.dst == k.Dst && e.dstPort == k.DstPort && e.proto == k.Proto
}

// Proto returns the protocol of the flow.
func (e *Entry) Proto() flow.Proto { return e.proto }

// State returns the state of the flow.
func (e *Entry) State() State { return State(e.packed & stateMask) }

// SetState changes the state of the flow.
func (e *Entry) SetState(s State) { e.packed = e.packed&^stateMask | uint8(s) }

// Has reports whether all flags of f are set.
func (e *Entry) Has(f Flags) bool { return Flags(e.packed>>stateBits)&f == f }

// SetFlags sets the flags of f.
func (e *Entry) SetFlags(f Flags) { e.packed |= uint8(f) << stateBits }

// ClearFlags clears the flags of f.
func (e *Entry) ClearFlags(f Flags) { e.packed &^= uint8(f) << stateBits }

// Host returns the flow's host, 0 for a redirect.
func (e *Entry) Host() snapshot.HostID {
	if e.Has(Redirected) {
		return 0
	}
	return snapshot.HostID(e.location)
}

// SetHost sets the flow's host.
func (e *Entry) SetHost(h snapshot.HostID) {
	e.location = uint32(h)
	e.ClearFlags(Redirected)
}

// Redirect returns the group that a redirect points to, which is always a
// group of the flow's service s.
func (e *Entry) Redirect(s snapshot.ServiceID) snapshot.GroupID {
	return snapshot.GroupID{Service: s, Domain: snapshot.DomainID(e.location >> 16), Index: uint16(e.location)}
}

// SetRedirect makes the entry a redirect to g.
func (e *Entry) SetRedirect(g snapshot.GroupID) {
	e.location = uint32(g.Domain)<<16 | uint32(g.Index)
	e.SetFlags(Redirected)
}
