package pacing

import (
	"slices"
	"time"
)

// Rank tells whether a flow has room at the servers, and which flows are placed first.
type Rank uint8

// Ranks, in ascending order.
const (
	NoRoom         Rank = iota
	SharedRoom          // room that is free for all
	GuaranteedRoom      // room within the guaranteed part of the flow's share
)

// Share is the part of the queue that the flows of a share have, from 0 to 1.
type Share struct{ Guarantee, Ceiling float64 }

// SetShares sets the shares of the queue. shareOf returns the place of a waiting flow's
// share in the list.
func (w *Waiting[K, T]) SetShares(now time.Duration, list []Share, shareOf func(T) int) {
	w.shares, w.inShare = list, make([]int, len(list))
	for _, q := range w.byService {
		q.placedInShare = make([]float64, len(list))
		q.measure(now)
	}
	w.UpdateShares(shareOf)
}

// UpdateShares counts the waiting flows anew by their shares, which shareOf returns: routes may
// have changed.
func (w *Waiting[K, T]) UpdateShares(shareOf func(T) int) {
	clear(w.inShare)
	for _, q := range w.byService {
		for i := range q.flows {
			f := &q.flows[i]
			f.Share = shareOf(f.Value.value)
			w.count(f.Share, 1)
		}
	}
}

// LenOf returns the number of flows of a share that wait.
func (w *Waiting[K, T]) LenOf(share int) int {
	if share >= len(w.inShare) {
		return 0
	}
	return w.inShare[share]
}

func (w *Waiting[K, T]) count(share, n int) {
	if share < len(w.inShare) {
		w.inShare[share] += n
	}
}

// atCeiling reports whether no further flow of a share may wait.
func (w *Waiting[K, T]) atCeiling(share int) bool {
	return share < len(w.shares) && float64(w.inShare[share]) >= w.shares[share].Ceiling*maxWaiting
}

// excess returns the flows of a share beyond its guaranteed part.
func (w *Waiting[K, T]) excess(share int) float64 {
	return float64(w.inShare[share]) - w.shares[share].Guarantee*maxWaiting
}

// Yield removes and returns a flow that yields its place in a full queue to a flow of
// another share, which is below its guaranteed part. It is the last one of the share that
// exceeds its part by most. due is set if its renewal is due, so that it must not be
// refused. ok is false if no flow has to yield.
func (w *Waiting[K, T]) Yield(now time.Duration, share int) (service string, value T, due, ok bool) {
	yielding, ok := w.yielding(share)
	if !ok || len(w.validUntil) < maxWaiting || w.atCeiling(share) {
		return "", value, false, false
	}
	f, service := w.removeLast(now, yielding)
	due = now >= w.validUntil[f.Value.key]
	delete(w.validUntil, f.Value.key)
	return service, f.Value.value, due, true
}

// yielding returns the share that exceeds its part by most, and reports whether one of its
// flows yields its place to another share.
func (w *Waiting[K, T]) yielding(share int) (largest int, ok bool) {
	if share >= len(w.shares) || w.excess(share) > -1 {
		return 0, false
	}
	for i := range w.shares {
		if w.excess(i) > w.excess(largest) {
			largest = i
		}
	}
	return largest, w.excess(largest) > 0
}

// Limit is what keeps a flow from waiting.
type Limit uint8

// Limits.
const (
	NoLimit    Limit = iota // it may wait
	QueueLimit              // too many flows wait in all
	ShareLimit              // its share has the largest part of the queue that it may take
)

// Limit returns what keeps a flow of a share from waiting. One for which another would yield
// its place may wait.
func (w *Waiting[K, T]) Limit(share int) Limit {
	_, yields := w.yielding(share)
	switch {
	case w.atCeiling(share):
		return ShareLimit
	case len(w.validUntil) < maxWaiting, yields:
		return NoLimit
	}
	return QueueLimit
}

// removeLast removes and returns the flow of a share that would be placed last.
func (w *Waiting[K, T]) removeLast(now time.Duration, share int) (last Flow[keyed[K, T]], service string) {
	at := -1
	for s, q := range w.byService {
		for i := range q.flows {
			f := &q.flows[i]
			if f.Share == share && (at < 0 || compare(now, f, &last) > 0) {
				last, service, at = *f, s, i
			}
		}
	}
	q := w.byService[service]
	q.flows = slices.Delete(q.flows, at, at+1)
	w.count(share, -1)
	return last, service
}

// waitOf returns the time after which a flow is placed, as the last flows show. A share
// with a guarantee may be placed at a higher rate than its turn among all flows tells, and one
// with a ceiling at a lower one: with both, only the rate of its own flows tells.
func (w *Waiting[K, T]) waitOf(now time.Duration, q *serviceQueue[keyed[K, T]]) func(f *Flow[keyed[K, T]], ahead, aheadInShare int) time.Duration {
	rate := q.rate(now, float64(q.placed))
	return func(f *Flow[keyed[K, T]], ahead, aheadInShare int) time.Duration {
		inTurn := wait(ahead, rate)
		if f.Share >= len(w.shares) {
			return inTurn
		}
		share, ofShare := w.shares[f.Share], q.rate(now, q.placedInShare[f.Share])
		switch {
		case ofShare <= 0:
			return inTurn
		case share.Ceiling < 1 && share.Guarantee > 0:
			return wait(aheadInShare, ofShare)
		case share.Ceiling < 1:
			return max(inTurn, wait(aheadInShare, ofShare))
		case share.Guarantee > 0:
			return min(inTurn, wait(aheadInShare, ofShare))
		}
		return inTurn
	}
}
