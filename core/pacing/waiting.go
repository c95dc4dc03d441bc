package pacing

import (
	"slices"
	"time"
)

const (
	// maxWaiting limits the flows that wait.
	maxWaiting = 1024
	// rateWindow is the time over which the rate is measured at which the flows
	// that wait for a service are placed. Nothing is refused before for its sake.
	rateWindow = 300 * time.Millisecond
	// MaxRenewalDelay is the longest time that a renewal is late. The caller may have
	// gone on elsewhere if none has arrived by then.
	MaxRenewalDelay = 50 * time.Millisecond
)

// Waiting holds the new flows that wait for room at the servers, by service. A
// flow is identified by a key, and waits as long as it is renewed: the caller's
// further packets may arrive elsewhere. While a renewal is due the flow is neither
// placed nor refused. It is not safe for concurrent use.
type Waiting[K comparable, T any] struct {
	byService  map[string]*serviceQueue[keyed[K, T]]
	validUntil map[K]time.Duration // when the next renewal is due, of all flows that wait
	shares     []Share
	inShare    []int // flows that wait, by share
	mayPlace   func(now time.Duration, value T) bool
}

type keyed[K comparable, T any] struct {
	key   K
	value T
}

// serviceQueue is the flows that wait for one service.
type serviceQueue[T any] struct {
	Queue[T]
	measuredFrom  time.Duration // begin of the time over which placed is counted
	placed        int
	placedInShare []float64 // by share; a part of a flow may remain when measuredFrom moves
}

// NewWaiting returns a Waiting without flows.
func NewWaiting[K comparable, T any]() *Waiting[K, T] {
	return &Waiting[K, T]{byService: make(map[string]*serviceQueue[keyed[K, T]]), validUntil: make(map[K]time.Duration)}
}

// SetMayPlace sets a further condition for flows with room at the servers.
func (w *Waiting[K, T]) SetMayPlace(f func(now time.Duration, value T) bool) { w.mayPlace = f }

// Len returns the number of flows that wait.
func (w *Waiting[K, T]) Len() int { return len(w.validUntil) }

// Renew sets the time at which the next renewal of the flow with a key is due. It reports
// false if the flow does not wait.
func (w *Waiting[K, T]) Renew(key K, validUntil time.Duration) bool {
	if _, ok := w.validUntil[key]; !ok {
		return false
	}
	w.validUntil[key] = validUntil
	return true
}

// Remove removes the flow with a key, if it waits.
func (w *Waiting[K, T]) Remove(key K) {
	if _, ok := w.validUntil[key]; !ok {
		return
	}
	delete(w.validUntil, key)
	for _, q := range w.byService {
		q.flows = slices.DeleteFunc(q.flows, func(f Flow[keyed[K, T]]) bool {
			if f.Value.key != key {
				return false
			}
			w.count(f.Share, -1)
			return true
		})
	}
}

// Add lets a flow wait for a service. Its first renewal is due at validUntil. It reports
// false if too many wait already: see Yield.
func (w *Waiting[K, T]) Add(now time.Duration, service string, key K, validUntil time.Duration, f Flow[T]) bool {
	if len(w.validUntil) >= maxWaiting || w.atCeiling(f.Share) {
		return false
	}
	q := w.byService[service]
	if q == nil {
		q = &serviceQueue[keyed[K, T]]{placedInShare: make([]float64, len(w.shares))}
		w.byService[service] = q
	}
	if q.Len() == 0 {
		q.measure(now)
	}
	q.Add(Flow[keyed[K, T]]{keyed[K, T]{key, f.Value}, f.Priority, f.Opened, f.Target, f.Patience, f.Share})
	w.count(f.Share, 1)
	w.validUntil[key] = validUntil
	return true
}

// Lapse removes and returns the flows that were not renewed in time.
func (w *Waiting[K, T]) Lapse(now time.Duration) (lapsed []T) {
	if len(w.validUntil) == 0 {
		return nil
	}
	for _, q := range w.byService {
		q.flows = slices.DeleteFunc(q.flows, func(f Flow[keyed[K, T]]) bool {
			if now-w.validUntil[f.Value.key] <= MaxRenewalDelay {
				return false
			}
			delete(w.validUntil, f.Value.key)
			w.count(f.Share, -1)
			lapsed = append(lapsed, f.Value.value)
			return true
		})
	}
	return lapsed
}

// Place removes flows in their order and passes them to place, as long as
// hasRoom reports room for their service.
func (w *Waiting[K, T]) Place(now time.Duration, hasRoom func(service string) bool, place func(service string, value T)) {
	w.PlaceRanked(now, func(service string) func(int) Rank {
		if !hasRoom(service) {
			return nil
		}
		return func(int) Rank { return SharedRoom }
	}, func(p Placed[T]) { place(p.Service, p.Value) })
}

// Placed is a flow that waited and is placed.
type Placed[T any] struct {
	Service    string
	Value      T
	ValidUntil time.Duration // when its next renewal would have been due
}

// PlaceRanked is Place with room that depends on the share of a flow: rankRoom returns the
// ranks of the flows of a service by their share, which hold until the next one is placed, or
// nil if none has room.
func (w *Waiting[K, T]) PlaceRanked(now time.Duration, rankRoom func(service string) func(share int) Rank, place func(Placed[T])) {
	if len(w.validUntil) == 0 {
		return
	}
	for service, q := range w.byService {
		for q.Len() > 0 {
			rank := rankRoom(service)
			if rank == nil {
				break
			}
			f, ok := q.next(now, func(f *Flow[keyed[K, T]]) Rank {
				r := rank(f.Share)
				if r != NoRoom && now >= w.validUntil[f.Value.key] {
					return NoRoom
				}
				return r
			}, func(f *Flow[keyed[K, T]]) bool { return w.mayPlace == nil || w.mayPlace(now, f.Value.value) })
			if !ok {
				break
			}
			q.notePlaced(f.Share)
			placed := Placed[T]{service, f.Value.value, w.validUntil[f.Value.key]}
			delete(w.validUntil, f.Value.key)
			w.count(f.Share, -1)
			place(placed)
		}
	}
}

// measure begins to measure the rate anew.
func (q *serviceQueue[T]) measure(now time.Duration) {
	q.measuredFrom, q.placed = now, 0
	clear(q.placedInShare)
}

func (q *serviceQueue[T]) notePlaced(share int) {
	q.placed++
	if share < len(q.placedInShare) {
		q.placedInShare[share]++
	}
}

// Refuse removes and returns the flows that cannot be placed in time: an early
// refusal lets the caller try again while it still can.
func (w *Waiting[K, T]) Refuse(now time.Duration) (refused []T) {
	if len(w.validUntil) == 0 {
		return nil
	}
	for _, q := range w.byService {
		for _, f := range q.refuse(now, w.waitOf(now, q)) {
			if now >= w.validUntil[f.Value.key] {
				q.Add(f)
				continue
			}
			delete(w.validUntil, f.Value.key)
			w.count(f.Share, -1)
			refused = append(refused, f.Value.value)
		}
		q.slide(now)
	}
	return refused
}

// rate returns the number of flows that are placed in a second, by those placed in the
// measured time. It is 0 if it is not known yet.
func (q *serviceQueue[T]) rate(now time.Duration, placed float64) float64 {
	if elapsed := now - q.measuredFrom; elapsed >= rateWindow {
		return placed / elapsed.Seconds()
	}
	return 0
}

// slide moves the begin of the measured time, so that the rate is that of the last
// two windows at most.
func (q *serviceQueue[T]) slide(now time.Duration) {
	if now-q.measuredFrom < 2*rateWindow {
		return
	}
	for i, n := range q.placedInShare {
		q.placedInShare[i] = q.rate(now, n) * rateWindow.Seconds()
	}
	q.placed = int(q.rate(now, float64(q.placed)) * rateWindow.Seconds())
	q.measuredFrom = now - rateWindow
}
