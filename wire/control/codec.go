// Package control encodes the datagrams that instances send each other on
// their control sockets: heartbeats, learn messages, copies and their
// confirmations. A datagram is
//
//	format (1 byte), type (1), key number (2), CBOR body, tag (16)
//
// The tag is HMAC-SHA256 over all before it and the receiver's number, cut to
// 16 bytes. The receiver's number is not sent.
package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	formatVersion = 1
	headerLen     = 4
	tagLen        = 16
	// MinSecretLen is the length of the HMAC output; RFC 2104 discourages
	// shorter keys.
	MinSecretLen = sha256.Size
	// MaxLen bounds what Read accepts, in bytes: the largest UDP payload.
	MaxLen = 65507
)

// Type is the type of a datagram.
type Type uint8

// The typeEnd of datagrams.
const (
	Heartbeat Type = iota + 1
	Learn
	Copies
	CopyAck
	typeEnd
)

func (t Type) String() string {
	switch t {
	case Heartbeat:
		return "heartbeat"
	case Learn:
		return "learn"
	case Copies:
		return "copies"
	case CopyAck:
		return "copy_ack"
	}
	return "unknown"
}

// Message is one datagram. Exactly one of the pointers is set.
type Message struct {
	From snapshot.InstanceID
	Boot uint64 // start time of the sender's process, ns since the Unix epoch
	// Seq numbers the datagrams of one type. For a heartbeat it is the
	// heartbeat's own number.
	Seq uint64

	Heartbeat *message.Heartbeat
	Learn     *message.Learn
	Copies    *message.CopyBatch
	CopyAck   *message.CopyAck
}

// Type tells which of the pointers is set, or 0.
func (m *Message) Type() Type {
	switch {
	case m.Heartbeat != nil:
		return Heartbeat
	case m.Learn != nil:
		return Learn
	case m.Copies != nil:
		return Copies
	case m.CopyAck != nil:
		return CopyAck
	}
	return 0
}

// Key is one secret that instances share.
type Key struct {
	ID     uint16
	Secret []byte
}

// Errors of Read.
var (
	ErrLength  = errors.New("control: datagram is too short or too long")
	ErrFormat = errors.New("control: unknown format or type")
	ErrKey    = errors.New("control: unknown key")
	ErrTag    = errors.New("control: wrong tag")
	ErrBody   = errors.New("control: malformed body")
)

// Codec signs with its first key and accepts all of its keys, so that keys can
// be rotated one instance at a time. It is safe for concurrent use.
type Codec struct {
	signKeyID uint16
	macPools map[uint16]*sync.Pool
}

// NewCodec returns a codec for the keys, of which there must be at least one.
func NewCodec(keys []Key) (*Codec, error) {
	if len(keys) == 0 {
		return nil, errors.New("control: no key")
	}
	c := &Codec{signKeyID: keys[0].ID, macPools: make(map[uint16]*sync.Pool, len(keys))}
	for _, k := range keys {
		if len(k.Secret) < MinSecretLen {
			return nil, fmt.Errorf("control: key %d: secret has %d bytes, need %d", k.ID, len(k.Secret), MinSecretLen)
		}
		if c.macPools[k.ID] != nil {
			return nil, fmt.Errorf("control: key %d is listed twice", k.ID)
		}
		c.macPools[k.ID] = &sync.Pool{New: func() any { return &macState{h: hmac.New(sha256.New, k.Secret)} }}
	}
	return c, nil
}

// macState keeps a keyed hash and room for its output.
type macState struct {
	h   hash.Hash
	to  [4]byte
	sum [sha256.Size]byte
}

// tag computes the tag of b for the receiver.
func (c *Codec) tag(key uint16, b []byte, to snapshot.InstanceID) ([tagLen]byte, bool) {
	pool := c.macPools[key]
	if pool == nil {
		return [tagLen]byte{}, false
	}
	m := pool.Get().(*macState)
	defer pool.Put(m)
	m.h.Reset()
	m.h.Write(b)
	binary.BigEndian.PutUint32(m.to[:], uint32(to))
	m.h.Write(m.to[:])
	return [tagLen]byte(m.h.Sum(m.sum[:0])), true
}

// Append appends the datagram that carries m to instance to.
func (c *Codec) Append(dst []byte, to snapshot.InstanceID, m *Message) ([]byte, error) {
	body, err := encMode.Marshal(encodeBody(m))
	if err != nil {
		return dst, fmt.Errorf("control: encode %s for instance %d: %w", m.Type(), to, err)
	}
	start := len(dst)
	dst = append(dst, formatVersion, byte(m.Type()))
	dst = binary.BigEndian.AppendUint16(dst, c.signKeyID)
	dst = append(dst, body...)
	tag, _ := c.tag(c.signKeyID, dst[start:], to)
	return append(dst, tag[:]...), nil
}

// Read decodes the datagram b, sent to instance self. A message that it
// returns is authentic but may be a replay.
func (c *Codec) Read(b []byte, self snapshot.InstanceID) (*Message, error) {
	if len(b) < headerLen+tagLen || len(b) > MaxLen {
		return nil, ErrLength
	}
	t := Type(b[1])
	if b[0] != formatVersion || t == 0 || t >= typeEnd {
		return nil, ErrFormat
	}
	end := len(b) - tagLen
	tag, ok := c.tag(binary.BigEndian.Uint16(b[2:]), b[:end], self)
	if !ok {
		return nil, ErrKey
	}
	if !hmac.Equal(tag[:], b[end:]) {
		return nil, ErrTag
	}
	return decodeBody(t, b[headerLen:end])
}

// Limits on what a body may contain. Its sender is authentic, but may be of
// another release or at fault.
var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 16384,
		MaxMapPairs:      64,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
