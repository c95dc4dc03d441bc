// Package pacing orders the new flows that wait while the backend servers have as
// much work as they can do in time. It answers short peaks: many callers that
// return at once after an outage, or a burst. It has no clock and does no I/O.
package pacing

import (
	"cmp"
	"slices"
	"time"
)

// Flow is a new flow that waits.
type Flow[T any] struct {
	Value    T
	Priority int           // 0 is the highest
	Opened   time.Duration // when the caller began to open the flow
	Target   time.Duration // time from Opened within which the caller wants the response
	Patience time.Duration // time from Opened after which the caller gives up
	Share    int           // place in the list of shares; 0 if there is none
}

// late reports whether the response can no longer arrive within the target.
func (f *Flow[T]) late(now time.Duration) bool { return now-f.Opened >= f.Target }

// Queue is the flows that wait for one service. The zero value is an empty queue.
// It is not safe for concurrent use.
type Queue[T any] struct{ flows []Flow[T] }

// Len returns the number of flows that wait.
func (q *Queue[T]) Len() int { return len(q.flows) }

// Add adds a flow.
func (q *Queue[T]) Add(f Flow[T]) { q.flows = append(q.flows, f) }

// compare orders the flows: those that can still be answered within their target
// come first, so that the callers that have waited longest do not make all
// others late as well. Among equals the higher priority comes first. Of the flows
// in time the last one comes first: in an overload that lasts, serving the first
// ones first would answer all of them just too late. Of the late ones that comes
// first whose caller gives up first.
func compare[T any](now time.Duration, a, b *Flow[T]) int {
	late := a.late(now)
	if late != b.late(now) {
		if late {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if late {
		return cmp.Compare(a.Opened+a.Patience, b.Opened+b.Patience)
	}
	return cmp.Compare(b.Opened, a.Opened)
}

// Next removes and returns the flow that is to be placed next. It reports false
// if none waits.
func (q *Queue[T]) Next(now time.Duration) (f Flow[T], ok bool) {
	return q.next(now, func(*Flow[T]) Rank { return SharedRoom }, func(*Flow[T]) bool { return true })
}

// next is Next among the flows that have room and may be placed. Those with a higher rank come
// first. mayPlace is asked of the first flow, and of all only if that one may not.
func (q *Queue[T]) next(now time.Duration, rank func(*Flow[T]) Rank, mayPlace func(*Flow[T]) bool) (f Flow[T], ok bool) {
	first := q.first(now, rank)
	if first >= 0 && !mayPlace(&q.flows[first]) {
		first = q.first(now, func(f *Flow[T]) Rank {
			r := rank(f)
			if r != NoRoom && !mayPlace(f) {
				return NoRoom
			}
			return r
		})
	}
	if first < 0 {
		return f, false
	}
	f = q.flows[first]
	q.flows = slices.Delete(q.flows, first, first+1)
	return f, true
}

// first returns the place of the flow that is to be placed next, -1 if none has room.
func (q *Queue[T]) first(now time.Duration, rank func(*Flow[T]) Rank) int {
	first, best := -1, NoRoom
	for i := range q.flows {
		r := rank(&q.flows[i])
		if r > best || r == best && r != NoRoom && compare(now, &q.flows[i], &q.flows[first]) < 0 {
			first, best = i, r
		}
	}
	return first
}

// Refuse removes and returns the flows that will not be placed before their
// callers give up, at the given number of flows placed in a second. With 0 the
// rate is not known, and only flows are returned whose callers have given up.
func (q *Queue[T]) Refuse(now time.Duration, rate float64) []Flow[T] {
	return q.refuse(now, func(_ *Flow[T], ahead, _ int) time.Duration { return wait(ahead, rate) })
}

// wait returns the time after which a flow is placed that has others ahead of it, at the
// given number of flows placed in a second. It is 0 if the rate is not known.
func wait(ahead int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// refuse removes and returns the flows whose callers give up before the time that wait
// returns for the flow, with the number of flows ahead of it in all and of its share.
func (q *Queue[T]) refuse(now time.Duration, wait func(f *Flow[T], ahead, aheadInShare int) time.Duration) (refused []Flow[T]) {
	slices.SortStableFunc(q.flows, func(a, b Flow[T]) int { return compare(now, &a, &b) })
	kept, inShare := q.flows[:0], make(map[int]int)
	for _, f := range q.flows {
		if now+wait(&f, len(kept), inShare[f.Share])-f.Opened >= f.Patience {
			refused = append(refused, f)
			continue
		}
		kept = append(kept, f)
		inShare[f.Share]++
	}
	clear(q.flows[len(kept):])
	q.flows = kept
	return refused
}
