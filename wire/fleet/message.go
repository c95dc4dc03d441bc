// Package fleet encodes the messages between instances that use affinity by
// token, in CBOR.
package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"egrettack.example/core/catalog"
	"egrettack.example/core/token"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	Gossip          Kind = iota + 1 // lists members
	Subscribe                       // requests changes and starts or renews a follower lease
	Update                          // answers Subscribe, and carries later changes
	Leave                           // announces the sender's stop
	OutlierReport                   // lists backend servers that failed requests
	_                               // was used by a former release
	OpeningQuestion                 // asks for the openings of the flows that it lists
	OpeningAnswer                   // answers OpeningQuestion
	MembersWanted                   // asks for the members of the sender's domain
	MemberList                      // answers MembersWanted
	Join                            // announces the sender's start
	OpeningHandOver                 // tells of openings before the sender stops
	OpeningsTaken                   // acknowledges OpeningHandOver, if the sender goes on
	Stopped                         // announces the end of the sender's stop
	numKinds
)

// MaxDatagram is the maximum size of a datagram in bytes. It avoids
// fragmentation.
const MaxDatagram = 1200

// Message is one datagram.
type Message struct {
	Kind            Kind             `cbor:"1,keyasint"`
	Domain          string           `cbor:"2,keyasint"`
	Revision        catalog.Revision `cbor:"3,keyasint,omitempty"`
	Version         catalog.Version  `cbor:"4,keyasint,omitempty"`
	Age             Millis           `cbor:"5,keyasint,omitempty"` // since the sender's catalog was known to be current, in Update and Subscribe
	StoreHealthyFor Millis           `cbor:"6,keyasint,omitempty"` // how long the store, not the sender, had been healthy then
	Domains         []string         `cbor:"7,keyasint,omitempty"` // referenced by Members
	Members         []Member         `cbor:"8,keyasint,omitempty"`
	Capacities      []uint8          `cbor:"16,keyasint,omitempty"` // of Members, in their order
	Capacity        uint8            `cbor:"17,keyasint,omitempty"` // of the sender
	Change          *Change          `cbor:"9,keyasint,omitempty"`
	// SentAt is when a Subscribe was sent, by its sender's clock. An Update
	// returns the SentAt of the last Subscribe, and in SubscribeAge the time
	// since that arrived. Their sum is a lower bound, by the receiver's clock, of
	// the time at which the Update was sent.
	SentAt       time.Duration `cbor:"10,keyasint,omitempty"`
	SubscribeAge Millis        `cbor:"11,keyasint,omitempty"`
	// StoreLost means that the store answers neither the sender nor the members
	// that it follows.
	StoreLost bool `cbor:"15,keyasint,omitempty"`
	// DomainSize is the number of instances of the sender's domain that it knows.
	DomainSize uint16 `cbor:"18,keyasint,omitempty"`
	// StoreUnreachable means that the store does not answer the sender, but others.
	StoreUnreachable bool `cbor:"13,keyasint,omitempty"`
	// TakesDiffs means in a Subscribe that the sender takes configurations as
	// differences.
	TakesDiffs bool `cbor:"14,keyasint,omitempty"`
	// Evidence is what the sender and its other neighbours in the tree of sources have
	// seen of servers, in an OutlierReport. ToSource means that it goes to the source
	// of the sender, otherwise to its followers.
	Evidence []ServerEvidence `cbor:"19,keyasint,omitempty"`
	ToSource bool             `cbor:"20,keyasint,omitempty"`
	// Epoch is the epoch of the store that Revision is of.
	Epoch catalog.Epoch `cbor:"21,keyasint,omitempty"`
	// Openings is what the sender knows of the openings of flows, at most MaxOpenings.
	Openings []Opening `cbor:"23,keyasint,omitempty"`
	// Leaving is the instances that have announced their stop, in MemberList.
	Leaving [][4]byte `cbor:"24,keyasint,omitempty"`
	// DataFirst is the share of the flows whose callers end the handshake with data, in
	// percent, in MemberList. It is missing if the sender does not know it.
	DataFirst *uint8 `cbor:"30,keyasint,omitempty"`
	// FleetSize is the number of members of all domains that the sender knows, in MemberList.
	FleetSize uint16 `cbor:"31,keyasint,omitempty"`
}

// Position returns the state of the store up to which the sender is complete.
func (m *Message) Position() catalog.Position {
	return catalog.Position{Epoch: m.Epoch, Revision: m.Revision}
}

// ServerEvidence is the outcomes of the requests to a backend server, with weights
// that decay.
type ServerEvidence struct {
	_              struct{} `cbor:",toarray"`
	Token          token.Token
	RequestsTenths uint16 // number of requests, in tenths
	FailuresTenths uint16 // number of these that failed, in tenths
}

// MaxOpenings is the number of openings in one message. They take up to 36 bytes each.
const MaxOpenings = 30

// Opening is what the sender knows of the opening of a flow; see steer.Opening.
type Opening struct {
	_            struct{} `cbor:",toarray"`
	Caller, Dest netip.AddrPort
	Server       token.Token // 0 if the sender does not know it
	Proved       bool
	Seq          uint32
	HasData      bool
	Age          Millis // since the first packet that the sender knows arrived
	Waiting      bool
}

// Millis is a duration in milliseconds.
type Millis uint32

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// CeilMillis converts d to milliseconds, rounded up, so that an age never
// decreases in transit. Values outside 0 to 1<<31 ms are clamped.
func CeilMillis(d time.Duration) Millis {
	return Millis(min(max(0, (d+time.Millisecond-1)/time.Millisecond), 1<<31))
}

// FloorMillis converts d to milliseconds, rounded down and clamped as by
// CeilMillis.
func FloorMillis(d time.Duration) Millis { return Millis(min(max(0, d/time.Millisecond), 1<<31)) }

// Member is a member of the fleet that the sender knows.
type Member struct {
	_      struct{} `cbor:",toarray"`
	Addr   [4]byte
	Domain uint8  // index in Domains
	Age    Millis // since any member last heard from it
}

// Change is a catalog.Change with the values that the receiver needs to apply it.
type Change struct {
	After           catalog.Revision `cbor:"1,keyasint"` // revision that the receiver must have reached, in the epoch of Change
	Age             Millis           `cbor:"2,keyasint"` // as in Message
	StoreHealthyFor Millis           `cbor:"3,keyasint"` // as in Message
	Change          *catalog.Change  `cbor:"4,keyasint"`
}

// maxElements limits the lists of a decoded message to three times the number of
// backend servers at the design size.
const maxElements = 10_500

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: maxElements, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // cannot occur: the options are constant
	}
	return m
}()

// Encode encodes a message as a datagram.
func Encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes and checks a datagram.
func Decode(b []byte) (*Message, error) {
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode fleet message: %w", err)
	}
	if m.Kind < Gossip || m.Kind >= numKinds {
		return nil, fmt.Errorf("decode fleet message: unknown kind %d", m.Kind)
	}
	for i, x := range m.Members {
		if int(x.Domain) >= len(m.Domains) {
			return nil, fmt.Errorf("decode fleet message: member %d refers to domain %d of %d", i, x.Domain, len(m.Domains))
		}
	}
	if len(m.Capacities) > 0 && len(m.Capacities) != len(m.Members) {
		return nil, fmt.Errorf("decode fleet message: %d capacities of %d members", len(m.Capacities), len(m.Members))
	}
	if len(m.Openings) > MaxOpenings {
		return nil, fmt.Errorf("decode fleet message: %d openings of flows, more than %d", len(m.Openings), MaxOpenings)
	}
	return &m, nil
}

// CapacityOf returns the capacity of a member in Members, 0 if it is unknown.
func (m *Message) CapacityOf(member int) uint8 {
	if len(m.Capacities) == 0 {
		return 0
	}
	return m.Capacities[member]
}

// maxChangeBytes limits a decompressed change. The complete catalog at the design
// size takes about 700 KB.
const maxChangeBytes = 8 << 20

// EncodeChange encodes a change for the reply of a call between instances,
// compressed if the caller takes that.
func EncodeChange(c *Change, compress bool) ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil || !compress {
		return b, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeChange decodes the result of EncodeChange.
func DecodeChange(b []byte, compressed bool) (*Change, error) {
	if compressed {
		r := flate.NewReader(bytes.NewReader(b))
		plain, err := io.ReadAll(io.LimitReader(r, maxChangeBytes+1))
		if err != nil {
			return nil, fmt.Errorf("decompress change from peer: %w", err)
		}
		if len(plain) > maxChangeBytes {
			return nil, fmt.Errorf("decompress change from peer: more than %d bytes", maxChangeBytes)
		}
		b = plain
	}
	var c Change
	if err := decMode.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("decode change from peer: %w", err)
	}
	if c.Change == nil {
		return nil, errors.New("decode change from peer: it contains no catalog change")
	}
	return &c, nil
}
