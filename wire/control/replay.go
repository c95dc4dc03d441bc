package control

import (
	"errors"
	"sync"

	"egrettack.example/core/snapshot"
)

// Errors of Guard.Accept.
var (
	ErrReplay  = errors.New("control: datagram was received before or is too old")
	ErrOldBoot = errors.New("control: datagram of an earlier run of its sender")
)

// windowLen is the number of sequence numbers below the highest that may still
// arrive once each, since networks reorder datagrams.
const windowLen = 64

// Guard rejects datagrams that were received before. Its memory ends with the
// process: after a restart a peer's earlier datagrams pass until the first of
// a newer run or number arrives. Guard is safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	senders map[snapshot.InstanceID]*sender
}

type sender struct {
	boot    uint64
	windows [types]window
}

// window holds the highest number received and a bit for each of the numbers
// below it.
type window struct {
	top  uint64
	seen uint64
}

// NewGuard returns a guard that has seen nothing.
func NewGuard() *Guard { return &Guard{senders: make(map[snapshot.InstanceID]*sender)} }

// Accept reports whether m is new, and remembers it. m must be authentic. A
// heartbeat is accepted only if it is newer than all before, since it states
// the present; the other types may overtake one another.
func (g *Guard) Accept(m *Message) error {
	t := m.Type()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.senders[m.From]
	if s == nil || m.Boot > s.boot {
		s = &sender{boot: m.Boot}
		g.senders[m.From] = s
	}
	if m.Boot < s.boot {
		return ErrOldBoot
	}
	if !s.windows[t].accept(m.Seq, t == Heartbeat) {
		return ErrReplay
	}
	return nil
}

// accept takes numbers from 1.
func (w *window) accept(seq uint64, strict bool) bool {
	switch {
	case seq == 0:
		return false
	case seq > w.top:
		if shift := seq - w.top; shift <= windowLen && w.top > 0 {
			w.seen = w.seen<<shift | 1<<(shift-1)
		} else {
			w.seen = 0
		}
		w.top = seq
		return true
	case seq == w.top || strict:
		return false
	}
	back := w.top - seq
	if back > windowLen {
		return false
	}
	bit := uint64(1) << (back - 1)
	if w.seen&bit != 0 {
		return false
	}
	w.seen |= bit
	return true
}
