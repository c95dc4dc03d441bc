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

// replayWindowLen is the number of sequence numbers below the highest that may still
// arrive once each, since networks reorder datagrams.
const replayWindowLen = 64

// ReplayFilter rejects datagrams that were received before. Its memory ends with the
// process: after a restart a peer's earlier datagrams pass until the first of
// a newer run or number arrives. ReplayFilter is safe for concurrent use.
type ReplayFilter struct {
	mu      sync.Mutex
	senders map[snapshot.InstanceID]*senderState
}

type senderState struct {
	boot    uint64
	windows [typeEnd]replayWindow
}

// replayWindow holds the highest number received and a bit for each of the numbers
// below it.
type replayWindow struct {
	highest  uint64
	received uint64
}

// NewReplayFilter returns a guard that has seen nothing.
func NewReplayFilter() *ReplayFilter { return &ReplayFilter{senders: make(map[snapshot.InstanceID]*senderState)} }

// Accept reports whether m is new, and remembers it. m must be authentic. A
// heartbeat is accepted only if it is newer than all before, since it states
// the present; the other types may overtake one another.
func (g *ReplayFilter) Accept(m *Message) error {
	t := m.Type()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.senders[m.From]
	if s == nil || m.Boot > s.boot {
		s = &senderState{boot: m.Boot}
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
func (w *replayWindow) accept(seq uint64, newestOnly bool) bool {
	switch {
	case seq == 0:
		return false
	case seq > w.highest:
		if shift := seq - w.highest; shift <= replayWindowLen && w.highest > 0 {
			w.received = w.received<<shift | 1<<(shift-1)
		} else {
			w.received = 0
		}
		w.highest = seq
		return true
	case seq == w.highest || newestOnly:
		return false
	}
	distance := w.highest - seq
	if distance > replayWindowLen {
		return false
	}
	bit := uint64(1) << (distance - 1)
	if w.received&bit != 0 {
		return false
	}
	w.received |= bit
	return true
}
