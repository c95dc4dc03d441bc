package control

import (
	"errors"
	"sync"

	"egrettack.example/core/snapshot"
)

// Errors of ReplayFilter.Accept.
var (
	ErrReplay  = errors.New("control: datagram is a replay or is too old")
	ErrOldBoot = errors.New("control: datagram from an earlier process of its sender")
)

// replayWindowLen is the number of sequence numbers below the highest one that
// are still accepted, once each, since networks reorder datagrams.
const replayWindowLen = 64

// ReplayFilter rejects replayed datagrams. Its state is not persisted: after a
// restart, old datagrams of a peer are accepted until one with a newer boot time
// or sequence number arrives. It is safe for concurrent use.
type ReplayFilter struct {
	mu      sync.Mutex
	senders map[snapshot.InstanceID]*senderState
}

type senderState struct {
	boot    uint64
	windows [typeEnd]replayWindow
}

// replayWindow records which sequence numbers of one sender and type were
// received.
type replayWindow struct {
	highest  uint64
	received uint64 // bit i is set if highest-1-i was received
}

// NewReplayFilter returns a filter that has accepted no datagrams yet.
func NewReplayFilter() *ReplayFilter {
	return &ReplayFilter{senders: make(map[snapshot.InstanceID]*senderState)}
}

// Accept records m and returns nil if m is new, or else ErrReplay or ErrOldBoot.
// m must be authenticated. A heartbeat is accepted only if it is newer than all
// earlier ones, since it states the sender's current state; datagrams of the
// other types may arrive out of order.
func (f *ReplayFilter) Accept(m *Message) error {
	t := m.Type()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.senders[m.From]
	if s == nil || m.Boot > s.boot {
		s = &senderState{boot: m.Boot}
		f.senders[m.From] = s
	}
	if m.Boot < s.boot {
		return ErrOldBoot
	}
	if !s.windows[t].accept(m.Seq, t == Heartbeat) {
		return ErrReplay
	}
	return nil
}

// accept reports whether seq is new and records it. Valid sequence numbers start
// at 1. With newestOnly set, only a number above the highest one is accepted.
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
