package edge

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"time"
)

// Times of a flow's ends, as the platform's pages give them.
const (
	retransmitFirst = 200 * time.Millisecond
	retransmitMost  = 1600 * time.Millisecond
	window          = 16 // packets in flight
	giveUpAfter     = 8  // retransmissions by a server
)

// stream is one end's view of the bytes of a flow. Positions wrap round.
type stream struct {
	next    uint32   // position of the first byte not sent yet
	unacked [][]byte // sent, the first at position base
	base    uint32
	queue   [][]byte // not sent yet

	want  uint32            // position of the next byte to receive
	early map[uint32][]byte // received ahead
	in    bytes.Buffer

	timeout time.Duration
	due     time.Time // of the next retransmission, zero when nothing is in flight
	repeats int
}

func newStream(local, remote uint32) *stream {
	return &stream{next: local, base: local, want: remote, early: make(map[uint32][]byte), timeout: retransmitFirst}
}

// write queues bytes to send.
func (s *stream) write(b []byte) {
	for len(b) > 0 {
		n := min(len(b), mss)
		s.queue = append(s.queue, b[:n])
		b = b[n:]
	}
}

// ready returns the packets that the window lets out now.
func (s *stream) ready(now time.Time) (out []segment) {
	for len(s.queue) > 0 && len(s.unacked) < window {
		b := s.queue[0]
		s.queue = s.queue[1:]
		out = append(out, segment{s.next, b})
		s.unacked = append(s.unacked, b)
		s.next += uint32(len(b))
	}
	if len(out) > 0 && s.due.IsZero() {
		s.due = now.Add(s.timeout)
	}
	return out
}

type segment struct {
	seq  uint32
	data []byte
}

// acked notes the other end's confirmation.
func (s *stream) acked(pos uint32, now time.Time) {
	progress := false
	for len(s.unacked) > 0 && int32(pos-(s.base+uint32(len(s.unacked[0])))) >= 0 {
		s.base += uint32(len(s.unacked[0]))
		s.unacked = s.unacked[1:]
		progress = true
	}
	if progress {
		s.timeout, s.repeats = retransmitFirst, 0
		s.due = now.Add(s.timeout)
	}
	if len(s.unacked) == 0 {
		s.due = time.Time{}
	}
}

// overdue returns what is to be sent again.
func (s *stream) overdue(now time.Time) []segment {
	if s.due.IsZero() || now.Before(s.due) {
		return nil
	}
	s.repeats++
	s.timeout = min(2*s.timeout, retransmitMost)
	s.due = now.Add(s.timeout)
	return []segment{{s.base, s.unacked[0]}}
}

// received takes data at a position.
func (s *stream) received(pos uint32, b []byte) {
	if int32(pos-s.want) >= 0 {
		s.early[pos] = b
	}
	for {
		b, ok := s.early[s.want]
		if !ok {
			return
		}
		delete(s.early, s.want)
		s.want += uint32(len(b))
		s.in.Write(b)
	}
}

// A message is its length in four bytes, an id in eight, and a body.
const messageHead = 12

// The body begins with the id as a request carries it.
func message(id uint64, size int) []byte {
	b := make([]byte, messageHead+size)
	binary.BigEndian.PutUint32(b, uint32(len(b)))
	binary.BigEndian.PutUint64(b[4:], id)
	copy(b[messageHead:], fmt.Sprintf("GET / HTTP/1.1\r\nRequest-Id: %016x\r\n\r\n", id))
	return b
}

// message returns the next whole message, nil while it is not complete.
func (s *stream) message() []byte {
	b := s.in.Bytes()
	if len(b) < messageHead {
		return nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n < messageHead || len(b) < n {
		return nil
	}
	return bytes.Clone(s.in.Next(n))
}

// whole reports whether the bytes received so far end with a message.
func (s *stream) whole() bool {
	b := s.in.Bytes()
	for len(b) >= messageHead {
		n := int(binary.BigEndian.Uint32(b))
		if n < messageHead || n > len(b) {
			return false
		}
		b = b[n:]
	}
	return len(b) == 0 && len(s.early) == 0
}

func messageID(m []byte) uint64 { return binary.BigEndian.Uint64(m[4:]) }
