// Package processor orders the packets of an instance whose processor does not keep up with
// them. It has no clock and does no I/O of its own.
//
// Packets of open flows go first, in the order in which they came. SYNs wait for their
// turn, which the kinds of request take by their parts. One that has waited for too long is
// refused.
package processor

import (
	"sync/atomic"
	"time"
)

const (
	// MaxWait is the upper limit of the time for which a SYN waits for the processor. Peers wait for
	// 30 ms for what an instance knows of a flow, and drop the flow's packets if it takes longer.
	MaxWait = 25 * time.Millisecond
	// maxRoundPart is the longest time between two turns that counts as waiting for the processor,
	// as a part of the longest wait. What is longer is no work: the process was paused, or has used up a quota.
	maxRoundPart = 0.4
	// maxReads and maxRefusals limit the packets that are read and the SYNs that are refused
	// for each SYN that has its turn.
	maxReads    = 64
	maxRefusals = 8
	// reportInterval is the time between the reports of a shortage that goes on.
	reportInterval = time.Second
	// maxWaiting limits the SYNs that wait.
	maxWaiting = 1024
	// minPart is the least part of the turns of a kind.
	minPart = 0.01
)

// Class is a kind of request as the order of turns sees it.
type Class struct {
	ID        int
	Guarantee float64 // part of the turns, 0 to 1, while others want it
	Ceiling   float64 // largest part meanwhile
}

// Packet is a packet that was read.
type Packet[T any] struct {
	Value T
	SYN   bool
	Class Class // of a SYN
}

// Handler reads and handles packets.
type Handler[T any] interface {
	// Now returns the time since an arbitrary origin.
	Now() time.Duration
	// Read returns the next packet. It does not wait for one.
	Read() (Packet[T], bool)
	// Handle handles a packet that has its turn.
	Handle(T)
	// Refuse refuses a SYN that has waited for the given time.
	Refuse(v T, waited time.Duration)
	// Report tells of a shortage that goes on, each second.
	Report(Summary)
	// MaxWait returns the longest time for which a SYN waits, 0 if none is to wait any more.
	MaxWait() time.Duration
}

// Summary is the outcome of the SYNs of a shortage up to now.
type Summary struct {
	Duration time.Duration
	Packets  int // of open flows
	Placed   int // SYNs that had their turn
	Refused  int
	// Most is the class with the most SYNs, and OfMost their number.
	Most, OfMost int
	LongestWait  time.Duration // of a SYN that had its turn
}

// Backlog has the SYNs that wait for the processor. Only Waiting is safe for concurrent use.
type Backlog[T any] struct {
	classes []*class[T] // with SYNs that wait, or that had some in this shortage
	waiting atomic.Int64
	maxWait time.Duration
	virtual float64       // of the class that had the last turn
	worked  time.Duration // time since the begin, without pauses
	turnAt  time.Duration // time of the last turn
	summary Summary
}

type class[T any] struct {
	Class
	syns    []syn[T] // in order of arrival
	virtual float64  // turns, each weighted by the inverse of the class's part
	part    float64  // of the turns
	total   int
}

type syn[T any] struct {
	value T
	since time.Duration // on the clock of worked
}

// Waiting returns the number of SYNs that wait.
func (b *Backlog[T]) Waiting() int { return int(b.waiting.Load()) }

// Run handles packets, beginning with one that was read, until none wait, or until
// SYNs are to wait no more.
func (b *Backlog[T]) Run(h Handler[T], first Packet[T]) Summary {
	began := h.Now()
	reportedAt := began
	b.maxWait = h.MaxWait()
	b.classes, b.virtual, b.worked, b.turnAt, b.summary = nil, 0, 0, began, Summary{}
	b.waiting.Store(0) // a failure may have ended the run before
	b.take(h, first)
	for {
		noneLeft := b.read(h)
		now := h.Now()
		b.worked += min(now-b.turnAt, time.Duration(maxRoundPart*float64(b.maxWait)))
		b.turnAt = now
		if now-reportedAt >= reportInterval {
			reportedAt = now
			h.Report(b.summarize(now - began))
		}
		if b.maxWait = h.MaxWait(); b.maxWait > 0 {
			b.refuseLate(h)
		}
		c := b.next()
		if c == nil {
			if noneLeft {
				break
			}
			continue
		}
		b.setParts()
		s := b.remove(c)
		b.virtual = c.virtual
		c.virtual += 1 / c.part
		b.summary.Placed++
		b.summary.LongestWait = max(b.summary.LongestWait, b.worked-s.since)
		h.Handle(s.value)
	}
	return b.summarize(h.Now() - began)
}

func (b *Backlog[T]) summarize(duration time.Duration) Summary {
	s := b.summary
	s.Duration = duration
	for _, c := range b.classes {
		if c.total > s.OfMost {
			s.Most, s.OfMost = c.ID, c.total
		}
	}
	return s
}

// read takes packets, and reports whether none is left to be read here.
func (b *Backlog[T]) read(h Handler[T]) bool {
	if b.maxWait == 0 {
		return true
	}
	for range maxReads {
		p, ok := h.Read()
		if !ok {
			return true
		}
		b.take(h, p)
	}
	return false
}

// take handles a packet of an open flow, and lets a SYN wait.
func (b *Backlog[T]) take(h Handler[T], p Packet[T]) {
	if !p.SYN {
		b.summary.Packets++
		h.Handle(p.Value)
		return
	}
	c := b.class(p.Class)
	if len(c.syns) == 0 {
		c.virtual = max(c.virtual, b.virtual)
	}
	c.syns = append(c.syns, syn[T]{p.Value, b.worked})
	c.total++
	if b.waiting.Add(1) > maxWaiting {
		b.refuse(h, b.largest())
	}
}

func (b *Backlog[T]) class(k Class) *class[T] {
	for _, c := range b.classes {
		if c.ID == k.ID {
			c.Class = k
			return c
		}
	}
	c := &class[T]{Class: k}
	b.classes = append(b.classes, c)
	return c
}

// setParts divides the turns among the classes with SYNs: each gets its guarantee and an equal
// part of the rest, up to its ceiling.
func (b *Backlog[T]) setParts() {
	sum, left := 0.0, 0
	for _, c := range b.classes {
		c.part = 0
		if len(c.syns) > 0 {
			sum += c.Guarantee
			left++
		}
	}
	scale := 1 / max(sum, 1)
	for rest, again := 1-sum*scale, true; again; {
		again = false
		for _, c := range b.classes {
			if c.part > 0 || len(c.syns) == 0 {
				continue
			}
			if g := c.Guarantee * scale; g+rest/float64(left) > c.Ceiling {
				c.part, rest, left, again = max(c.Ceiling, minPart), rest-(c.Ceiling-g), left-1, true
			}
		}
		for _, c := range b.classes {
			if !again && c.part == 0 && len(c.syns) > 0 {
				c.part = max(c.Guarantee*scale+rest/float64(left), minPart)
			}
		}
	}
}

// next returns the class that has the next turn, nil if no SYN waits.
func (b *Backlog[T]) next() (best *class[T]) {
	for _, c := range b.classes {
		if len(c.syns) > 0 && (best == nil || c.virtual < best.virtual) {
			best = c
		}
	}
	return best
}

// largest returns the class whose waiting SYNs exceed its part by most.
func (b *Backlog[T]) largest() (most *class[T]) {
	var excess float64
	b.setParts()
	for _, c := range b.classes {
		if x := float64(len(c.syns)) / max(c.part, minPart); most == nil || x > excess {
			most, excess = c, x
		}
	}
	return most
}

// refuseLate refuses SYNs that have waited for too long.
func (b *Backlog[T]) refuseLate(h Handler[T]) {
	for n := 0; n < maxRefusals; {
		before := n
		for _, c := range b.classes {
			if n < maxRefusals && len(c.syns) > 0 && b.worked-c.syns[0].since > b.maxWait {
				b.refuse(h, c)
				n++
			}
		}
		if n == before {
			return
		}
	}
}

func (b *Backlog[T]) refuse(h Handler[T], c *class[T]) {
	s := b.remove(c)
	b.summary.Refused++
	h.Refuse(s.value, b.worked-s.since)
}

// remove removes the SYN of a class that has waited for the longest time.
func (b *Backlog[T]) remove(c *class[T]) syn[T] {
	s := c.syns[0]
	c.syns[0] = syn[T]{} // frees the packet
	c.syns = c.syns[1:]
	b.waiting.Add(-1)
	return s
}
