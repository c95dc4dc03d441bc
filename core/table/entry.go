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
	// SynSeen: the caller has sent a SYN and not acknowledged the answer yet.
	SynSeen State = iota
	// Established: the caller has acknowledged the host's SYN; always so for UDP.
	Established
	// Closing: the caller has sent a FIN.
	Closing
	// Closed: the caller has sent a RST. A FIN of the host is never seen, and
	// an acknowledgement of it looks like that of one byte of an answer.
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

// Flags are one-bit facts about an entry.
type Flags uint8

// Marks of an entry.
const (
	// CountedConnection: the flow is counted as a connection of its host.
	CountedConnection Flags = 1 << iota
	// CountedSlot: the flow is counted against the slots of its host.
	CountedSlot
	// Copied: the entry has been put into the copy stream.
	Copied
	// Redirected: another group holds the flow; Host is unused.
	Redirected
	// CountedFailure: the flow was counted as a failed new flow of its host.
	CountedFailure
	// ISNMismatch: a SYN with another ISN went to the host, so that the sequence
	// numbers of the entry may be those of an earlier connection.
	ISNMismatch
)

// Timestamp is a time in milliseconds since the start of the process. It wraps
// after 49 days, hence only differences are meaningful.
type Timestamp uint32

// TimestampOf converts a time.
func TimestampOf(now time.Duration) Timestamp { return Timestamp(now / time.Millisecond) }

// maxSkew is how much later than now a stamp may be, in ms. Workers read the
// time before they wait for the group's mutex, so the next one to hold it may
// have the earlier time. Without the limit the difference wraps to 49 days.
const maxSkew Timestamp = 60_000

// Elapsed returns the time from s to now, 0 for a stamp that is ahead.
func (s Timestamp) Elapsed(now Timestamp) time.Duration {
	if s-now <= maxSkew {
		return 0
	}
	return time.Duration(now-s) * time.Millisecond
}

// Entry is what is known of one flow. It has no pointers and is 44 bytes long,
// which keeps the table within 64 bytes a flow at its usual fill.
type Entry struct {
	src, dst         flow.Addr
	srcPort, dstPort uint16
	proto            flow.Proto
	Kind             snapshot.KindID
	packed           uint8 // state in the two low bits, marks above
	Retransmissions  uint8 // since the last progress; saturates

	ISN          uint32
	Seq, Ack     uint32 // highest sequence number sent and acknowledged by the caller
	location     uint32 // host, or domain and index of the group redirected to
	CreatedAt    Timestamp
	LastPacket   Timestamp // last packet
	LastProgress Timestamp // last new data or acknowledgement
}

// SeqUnknown is the value of Retransmissions of an entry whose Seq and Ack are
// not known yet, as it came from another instance.
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

// Has reports whether all marks of m are set.
func (e *Entry) Has(m Flags) bool { return Flags(e.packed>>stateBits)&m == m }

// SetFlags sets marks.
func (e *Entry) SetFlags(m Flags) { e.packed |= uint8(m) << stateBits }

// ClearFlags clears marks.
func (e *Entry) ClearFlags(m Flags) { e.packed &^= uint8(m) << stateBits }

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

// Redirect returns the group that holds the flow of a redirect. A flow is only
// ever redirected within its service.
func (e *Entry) Redirect(s snapshot.ServiceID) snapshot.GroupID {
	return snapshot.GroupID{Service: s, Domain: snapshot.DomainID(e.location >> 16), Index: uint16(e.location)}
}

// SetRedirect makes the entry a redirect to g.
func (e *Entry) SetRedirect(g snapshot.GroupID) {
	e.location = uint32(g.Domain)<<16 | uint32(g.Index)
	e.SetFlags(Redirected)
}
