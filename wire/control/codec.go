// Package control encodes, decodes and authenticates the datagrams that
// instances exchange on their control sockets: heartbeats, learn messages,
// copied entries and their acknowledgements. A datagram consists of
//
//	format version (1 byte), type (1), key ID (2), CBOR body, tag (16)
//
// The tag is HMAC-SHA256 over the preceding bytes and the receiver's instance
// ID, truncated to 16 bytes. The receiver's ID itself is not sent.
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
	// MinSecretLen is the minimum length of a secret, in bytes. It equals the
	// length of the HMAC output; RFC 2104 discourages shorter keys.
	MinSecretLen = sha256.Size
	// MaxLen is the maximum length of a datagram that Read accepts, in bytes:
	// the largest UDP payload over IPv4.
	MaxLen = 65507
)

// Type is the type of a datagram.
type Type uint8

// Datagram types. Their values are sent on the wire.
const (
	Heartbeat Type = iota + 1
	Learn
	Copies
	CopyAck
	typeEnd // one above the highest valid type
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

// Message is the content of one datagram. Exactly one of the pointers is set.
type Message struct {
	From snapshot.InstanceID
	Boot uint64 // start time of the sender's process, ns since the Unix epoch
	// Seq is the sequence number among the sender's datagrams of this type,
	// starting at 1. For a heartbeat it is Heartbeat.Seq.
	Seq uint64

	Heartbeat *message.Heartbeat
	Learn     *message.Learn
	Copies    *message.CopyBatch
	CopyAck   *message.CopyAck
}

// Type returns the type of the pointer that is set, or 0 if none is.
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

// Key is a secret shared by the instances.
type Key struct {
	ID     uint16
	Secret []byte
}

// Errors of Read.
var (
	ErrLength = errors.New("control: datagram length out of range")
	ErrFormat = errors.New("control: unknown format version or datagram type")
	ErrKey    = errors.New("control: unknown key ID")
	ErrTag    = errors.New("control: authentication tag does not match")
	ErrBody   = errors.New("control: malformed body")
)

// Codec signs datagrams with its first key and accepts datagrams signed with any
// of its keys, so that keys can be rotated one instance at a time. It is safe
// for concurrent use.
type Codec struct {
	signKeyID uint16
	macPools  map[uint16]*sync.Pool
}

// NewCodec returns a codec for keys. It fails if there is no key, if a secret is
// shorter than MinSecretLen or if two keys have the same ID.
func NewCodec(keys []Key) (*Codec, error) {
	if len(keys) == 0 {
		return nil, errors.New("control: no keys configured")
	}
	c := &Codec{signKeyID: keys[0].ID, macPools: make(map[uint16]*sync.Pool, len(keys))}
	for _, k := range keys {
		if len(k.Secret) < MinSecretLen {
			return nil, fmt.Errorf("control: key %d: secret has %d bytes, need at least %d", k.ID, len(k.Secret), MinSecretLen)
		}
		if c.macPools[k.ID] != nil {
			return nil, fmt.Errorf("control: duplicate key ID %d", k.ID)
		}
		c.macPools[k.ID] = &sync.Pool{New: func() any { return &macState{h: hmac.New(sha256.New, k.Secret)} }}
	}
	return c, nil
}

// macState holds a keyed hash and its buffers, which are reused to avoid
// allocations.
type macState struct {
	h   hash.Hash
	to  [4]byte
	sum [sha256.Size]byte
}

// tag computes the authentication tag of b for receiver to. It returns false if
// keyID is unknown.
func (c *Codec) tag(keyID uint16, b []byte, to snapshot.InstanceID) ([tagLen]byte, bool) {
	pool := c.macPools[keyID]
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

// Append appends to dst the encoded datagram that carries m to instance to.
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

// Read verifies and decodes datagram b, which was received by instance self. The
// returned message is authentic but may be a replay; see ReplayFilter.
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

// The decoder limits the structure of a body. Its sender is authenticated, but
// may run another release or be faulty.
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
