// Package fleet encodes what instances with affinity by token tell each other,
// in CBOR.
package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"egrettack.example/core/catalog"
	"egrettack.example/core/token"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of message.
const (
	Gossip        Kind = iota + 1 // tells of members
	Subscribe                     // asks for changes, now and for a while
	Update                        // answers Ask, and tells changes later
	Leave                         // the sender stops
	FailureReport                 // tells of backend servers that fail requests
)

// MaxDatagram is the largest datagram, bytes, so that none is fragmented.
const MaxDatagram = 1200

// Message is one datagram.
type Message struct {
	Kind       Kind             `cbor:"1,keyasint"`
	Domain     string           `cbor:"2,keyasint"`
	Revision   catalog.Revision `cbor:"3,keyasint,omitempty"`
	Version    catalog.Version  `cbor:"4,keyasint,omitempty"`
	Age        Millis           `cbor:"5,keyasint,omitempty"` // of the sender's knowledge
	HealthyFor Millis           `cbor:"6,keyasint,omitempty"` // how long the store was in good state before
	Domains    []string         `cbor:"7,keyasint,omitempty"` // that Members refer to
	Members    []Member         `cbor:"8,keyasint,omitempty"`
	Change     *Change          `cbor:"9,keyasint,omitempty"`
	// SentAt is when an Ask was sent, by the clock of its sender. A Tell returns
	// that of the last Ask, and how long ago it came, so that the receiver
	// knows a time before which the Tell was not sent.
	SentAt       time.Duration `cbor:"10,keyasint,omitempty"`
	SubscribeAge Millis        `cbor:"11,keyasint,omitempty"`
	// StoreUnreachable says that the store does not answer the sender.
	StoreUnreachable bool `cbor:"13,keyasint,omitempty"`
	// Suspects are what a Warn tells.
	Suspects []Suspect `cbor:"12,keyasint,omitempty"`
}

// Suspect is a start of a backend server that fails more requests than others.
type Suspect struct {
	_             struct{} `cbor:",toarray"`
	Token         token.Token
	ExcessPercent uint8  // of its requests that fail beyond the usual
	Age           Millis // since the last reason for it
	Hops          uint8  // instances that the suspicion passed
}

// Millis is a time in milliseconds.
type Millis uint32

// Duration returns the time.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// CeilMillis returns d in milliseconds, rounded up, so that knowledge never gets
// younger on its way.
func CeilMillis(d time.Duration) Millis {
	return Millis(min(max(0, (d+time.Millisecond-1)/time.Millisecond), 1<<31))
}

// FloorMillis returns d in milliseconds, rounded down.
func FloorMillis(d time.Duration) Millis { return Millis(min(max(0, d/time.Millisecond), 1<<31)) }

// Member is a member that the sender knows.
type Member struct {
	_      struct{} `cbor:",toarray"`
	Addr   [4]byte
	Domain uint8  // index in Domains
	Age    Millis // since it was last heard of
}

// Change is a catalog.Change and what the receiver needs to judge it.
type Change struct {
	After      catalog.Revision `cbor:"1,keyasint"` // what the receiver has to have
	Age        Millis           `cbor:"2,keyasint"`
	HealthyFor Millis           `cbor:"3,keyasint"`
	Change     *catalog.Change  `cbor:"4,keyasint"`
}

// maxElements bounds the lists of a decoded message: three times the backend
// servers of the design size.
const maxElements = 10_500

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: maxElements, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Encode returns the datagram of a message.
func Encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a datagram.
func Decode(b []byte) (*Message, error) {
	var m Message
	if err := decoding.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("fleet message: %w", err)
	}
	if m.Kind < Gossip || m.Kind > FailureReport {
		return nil, fmt.Errorf("fleet message: unknown kind %d", m.Kind)
	}
	for _, x := range m.Members {
		if int(x.Domain) >= len(m.Domains) {
			return nil, errors.New("fleet message: a member names no domain of the message")
		}
	}
	return &m, nil
}

// EncodeChange returns a change in the form in which calls carry it.
func EncodeChange(c *Change) ([]byte, error) { return cbor.Marshal(c) }

// DecodeChange reads what EncodeChange returned.
func DecodeChange(b []byte) (*Change, error) {
	var c Change
	if err := decoding.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("change of a peer: %w", err)
	}
	if c.Change == nil {
		return nil, errors.New("change of a peer: it is empty")
	}
	return &c, nil
}
