package control

import (
	"encoding/binary"
	"fmt"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// body is the CBOR body of a datagram. It is a map with integer keys, so that
// later releases can add fields. Repeated elements are encoded as arrays, which
// take fewer bytes.
type body struct {
	From uint32 `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`

	State         uint8       `cbor:"4,keyasint,omitempty"`
	Version       uint64      `cbor:"5,keyasint,omitempty"`
	Claims        []claim     `cbor:"6,keyasint,omitempty"`
	ForeignCounts []hostCount `cbor:"7,keyasint,omitempty"`

	Group   *groupID `cbor:"8,keyasint,omitempty"`
	HeldBy  *groupID `cbor:"9,keyasint,omitempty"`
	Epoch   uint64   `cbor:"10,keyasint,omitempty"`
	CopySeq uint64   `cbor:"11,keyasint,omitempty"`
	Base    []uint32 `cbor:"12,keyasint,omitempty"`
	Entries []entry  `cbor:"13,keyasint,omitempty"`
	Ended   [][]byte `cbor:"14,keyasint,omitempty"`

	IntervalMillis uint64   `cbor:"15,keyasint,omitempty"`
	Unranked       []uint32 `cbor:"16,keyasint,omitempty"`
	LostClaims     []claim  `cbor:"17,keyasint,omitempty"`
	Moves          []move   `cbor:"18,keyasint,omitempty"`
}

type move struct {
	_        struct{} `cbor:",toarray"`
	Addr     uint32
	Port     uint16
	Proto    uint8
	From, To uint32
	Version  uint64
}

type groupID struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Domain  uint16
	Index   uint16
}

type claim struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Domain  uint16
	Index   uint16
	Epoch   uint64
}

type hostCount struct {
	_           struct{} `cbor:",toarray"`
	Host        uint32
	Connections uint32
	Slots       uint32
}

type entry struct {
	_         struct{} `cbor:",toarray"`
	Key       []byte
	Host      uint32
	Kind      uint8
	ISN       uint32
	Flags     uint8 // flagEstablished, flagClosing, flagEnded
	AgeMillis uint64
}

// keyLen is the length of an encoded flow key in bytes: source and destination
// address, source and destination port, protocol.
const keyLen = 13

const (
	// maxAge is the maximum age of a received entry. It prevents an overflow
	// in the conversion to time.Duration.
	maxAge = 10 * 365 * 24 * time.Hour
	// maxInterval is the maximum heartbeat interval that a peer may announce.
	// A longer one would keep a dead peer in the rankings.
	maxInterval = time.Minute
)

func encodeBody(m *Message) *body {
	b := &body{From: uint32(m.From), Boot: m.Boot, Seq: m.Seq}
	switch m.Type() {
	case Heartbeat:
		h := m.Heartbeat
		b.From, b.Boot, b.Seq = uint32(h.From), h.Boot, h.Seq
		b.State, b.Version = uint8(h.State), uint64(h.Version)
		b.Claims, b.LostClaims = convertSlice(h.Claims, encodeClaim), convertSlice(h.LostClaims, encodeClaim)
		b.Moves = convertSlice(h.Moves, encodeMove)
		b.ForeignCounts = convertSlice(h.ForeignCounts, func(c message.HostCount) hostCount {
			return hostCount{Host: uint32(c.Host), Connections: c.Connections, Slots: c.Slots}
		})
		b.IntervalMillis = uint64(max(h.Interval, 0) / time.Millisecond)
		b.Unranked = convertSlice(h.Unranked, func(i snapshot.InstanceID) uint32 { return uint32(i) })
	case Learn:
		l := m.Learn
		b.Group, b.HeldBy = encodeGroup(l.Group), encodeGroup(l.HeldBy)
		b.Entries = []entry{encodeEntry(l.Entry)}
	case Copies:
		c := m.Copies
		b.Group, b.Epoch, b.CopySeq = encodeGroup(c.Group), c.Epoch, c.Seq
		b.Base = convertSlice(c.Base, func(h snapshot.HostID) uint32 { return uint32(h) })
		b.Entries = convertSlice(c.Entries, encodeEntry)
		b.Ended = convertSlice(c.Ended, encodeKey)
	case CopyAck:
		a := m.CopyAck
		b.Group, b.Epoch, b.CopySeq = encodeGroup(a.Group), a.Epoch, a.Seq
	}
	return b
}

func decodeBody(t Type, raw []byte) (*Message, error) {
	var b body
	if err := decMode.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrBody, t, err)
	}
	m := &Message{From: snapshot.InstanceID(b.From), Boot: b.Boot, Seq: b.Seq}
	if t != Heartbeat && b.Group == nil {
		return nil, fmt.Errorf("%w: %s without a group", ErrBody, t)
	}
	entries, err := decodeEntries(b.Entries)
	if err != nil {
		return nil, err
	}
	switch t {
	case Heartbeat:
		return m, decodeHeartbeat(&b, m)
	case Learn:
		if len(entries) != 1 || b.HeldBy == nil {
			return nil, fmt.Errorf("%w: learn message without exactly one entry and its holding group", ErrBody)
		}
		m.Learn = &message.Learn{From: m.From, Group: decodeGroup(*b.Group), Entry: entries[0], HeldBy: decodeGroup(*b.HeldBy)}
	case Copies:
		c := &message.CopyBatch{From: m.From, Group: decodeGroup(*b.Group), Epoch: b.Epoch, Seq: b.CopySeq, Entries: entries}
		c.Base = convertSlice(b.Base, func(h uint32) snapshot.HostID { return snapshot.HostID(h) })
		for _, raw := range b.Ended {
			k, err := decodeKey(raw)
			if err != nil {
				return nil, err
			}
			c.Ended = append(c.Ended, k)
		}
		m.Copies = c
	case CopyAck:
		m.CopyAck = &message.CopyAck{From: m.From, Group: decodeGroup(*b.Group), Epoch: b.Epoch, Seq: b.CopySeq}
	}
	return m, nil
}

func decodeHeartbeat(b *body, m *Message) error {
	// A sender never announces Suspected or Gone; its peers derive these states.
	if message.State(b.State) > message.Leaving {
		return fmt.Errorf("%w: heartbeat with invalid state %d", ErrBody, b.State)
	}
	if b.IntervalMillis > uint64(maxInterval/time.Millisecond) {
		return fmt.Errorf("%w: heartbeat interval of %d ms is above the limit of %d ms", ErrBody, b.IntervalMillis, maxInterval.Milliseconds())
	}
	m.Heartbeat = &message.Heartbeat{
		From: m.From, Boot: m.Boot, Seq: m.Seq,
		State: message.State(b.State), Version: snapshot.Version(b.Version),
		Claims: convertSlice(b.Claims, decodeClaim), LostClaims: convertSlice(b.LostClaims, decodeClaim),
		Moves: convertSlice(b.Moves, decodeMove),
		ForeignCounts: convertSlice(b.ForeignCounts, func(c hostCount) message.HostCount {
			return message.HostCount{Host: snapshot.HostID(c.Host), Connections: c.Connections, Slots: c.Slots}
		}),
		Interval: time.Duration(b.IntervalMillis) * time.Millisecond,
		Unranked: convertSlice(b.Unranked, func(i uint32) snapshot.InstanceID { return snapshot.InstanceID(i) }),
	}
	return nil
}

func encodeClaim(c message.Claim) claim {
	return claim{Service: uint32(c.Group.Service), Domain: uint16(c.Group.Domain), Index: c.Group.Index, Epoch: c.Epoch}
}

func decodeClaim(c claim) message.Claim {
	return message.Claim{Group: decodeGroup(groupID{Service: c.Service, Domain: c.Domain, Index: c.Index}), Epoch: c.Epoch}
}

func encodeMove(m snapshot.Move) move {
	return move{
		Addr: uint32(m.Endpoint.Addr), Port: m.Endpoint.Port, Proto: uint8(m.Endpoint.Proto),
		From: uint32(m.From), To: uint32(m.To), Version: uint64(m.Version),
	}
}

func decodeMove(m move) snapshot.Move {
	return snapshot.Move{
		Endpoint: snapshot.Endpoint{Addr: flow.Addr(m.Addr), Port: m.Port, Proto: flow.Proto(m.Proto)},
		From:     snapshot.ServiceID(m.From), To: snapshot.ServiceID(m.To), Version: snapshot.Version(m.Version),
	}
}

func encodeGroup(g snapshot.GroupID) *groupID {
	return &groupID{Service: uint32(g.Service), Domain: uint16(g.Domain), Index: g.Index}
}

func decodeGroup(g groupID) snapshot.GroupID {
	return snapshot.GroupID{Service: snapshot.ServiceID(g.Service), Domain: snapshot.DomainID(g.Domain), Index: g.Index}
}

func encodeEntry(e message.Entry) entry {
	return entry{
		Key: encodeKey(e.Key), Host: uint32(e.Host), Kind: uint8(e.Kind), ISN: e.ISN,
		Flags: encodeFlags(e), AgeMillis: uint64(max(e.Age, 0) / time.Millisecond),
	}
}

// Bits of entry.Flags.
const (
	flagEstablished = 1 << iota
	flagClosing
	flagEnded
)

func encodeFlags(e message.Entry) uint8 {
	var flags uint8
	if e.Established {
		flags |= flagEstablished
	}
	if e.Closing {
		flags |= flagClosing
	}
	if e.Ended {
		flags |= flagEnded
	}
	return flags
}

func decodeEntries(list []entry) ([]message.Entry, error) {
	if len(list) == 0 {
		return nil, nil
	}
	out := make([]message.Entry, len(list))
	for i, e := range list {
		k, err := decodeKey(e.Key)
		if err != nil {
			return nil, err
		}
		if e.AgeMillis > uint64(maxAge/time.Millisecond) {
			return nil, fmt.Errorf("%w: entry age of %d ms is above the limit of %d ms", ErrBody, e.AgeMillis, maxAge.Milliseconds())
		}
		out[i] = message.Entry{
			Key: k, Host: snapshot.HostID(e.Host), Kind: snapshot.KindID(e.Kind), ISN: e.ISN,
			Established: e.Flags&flagEstablished != 0, Closing: e.Flags&flagClosing != 0, Ended: e.Flags&flagEnded != 0,
			Age: time.Duration(e.AgeMillis) * time.Millisecond,
		}
	}
	return out, nil
}

func encodeKey(k flow.Key) []byte {
	b := make([]byte, 0, keyLen)
	b = binary.BigEndian.AppendUint32(b, uint32(k.Src))
	b = binary.BigEndian.AppendUint32(b, uint32(k.Dst))
	b = binary.BigEndian.AppendUint16(b, k.SrcPort)
	b = binary.BigEndian.AppendUint16(b, k.DstPort)
	return append(b, byte(k.Proto))
}

func decodeKey(b []byte) (flow.Key, error) {
	if len(b) != keyLen {
		return flow.Key{}, fmt.Errorf("%w: flow key has %d bytes, want %d", ErrBody, len(b), keyLen)
	}
	return flow.Key{
		Src:     flow.Addr(binary.BigEndian.Uint32(b)),
		Dst:     flow.Addr(binary.BigEndian.Uint32(b[4:])),
		SrcPort: binary.BigEndian.Uint16(b[8:]),
		DstPort: binary.BigEndian.Uint16(b[10:]),
		Proto:   flow.Proto(b[12]),
	}, nil
}

// convertSlice applies f to each element. It returns nil for an empty list, as
// an omitted field decodes to nil.
func convertSlice[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = f(a)
	}
	return out
}
