package edge

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the load.
const (
	lookupBudget = 1200 * time.Millisecond
	uploadBudget = 5 * time.Second
	lookupPause  = 120 * time.Millisecond // mean, between the lookups of a flow
	freshPause   = 150 * time.Millisecond // mean, between flows for one request
	uploadSize   = 20_000                 // bytes
	requestSize  = 300                    // bytes
	retries      = 2                      // of a request that may be repeated
	fewRequests  = 6                      // of a flow that ends soon
	idlePause    = 100 * time.Millisecond // mean, between flows that are idle for a while
	idleMost     = 4 * time.Second        // that a flow is idle beyond the time until instances are in touch
)

// sample is the outcome of one request.
type sample struct {
	at  time.Duration // since the start of the city, when it was sent
	err error         // nil if it was served
}

// Counts are the requests of a run.
type Counts struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
	Failed int `json:"failed"`

	Reasons map[string]int `json:"reasons,omitempty"` // of those that failed, by the error
}

var lastID atomic.Uint64

// Load lets all callers work until ctx is done, and returns what became of
// their requests.
func (c *City) Load(ctx context.Context) Counts {
	var wg sync.WaitGroup
	for _, k := range c.callers {
		for range 2 {
			wg.Go(func() { k.lookups(ctx, math.MaxInt, lookupPause) })
			wg.Go(func() { k.fresh(ctx, Feed, requestSize, lookupBudget) })
		}
		wg.Go(func() { k.fresh(ctx, Upload, uploadSize, uploadBudget) })
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var n Counts
	for _, s := range c.served {
		n.Asked++
		if s.err == nil {
			n.Served++
			continue
		}
		n.Failed++
		if n.Reasons == nil {
			n.Reasons = make(map[string]int)
		}
		n.Reasons[s.err.Error()]++
	}
	return n
}

func (c *City) note(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = append(c.served, sample{began.Sub(c.started), err})
}

func pause(mean time.Duration) { time.Sleep(around(mean)) }

func around(mean time.Duration) time.Duration { return mean/2 + rand.N(mean+1) }

// oneOf reports true for one of so many calls, and never for 0.
func oneOf(n int) bool { return n > 0 && rand.IntN(n) == 0 }

// between draws a pause between two requests of a flow, of a mean length unless it is a
// long one.
func (cfg *Config) between(mean time.Duration) time.Duration {
	if oneOf(cfg.LongPauses) {
		return rand.N(cfg.LongPause)
	}
	return around(mean)
}

// sleep waits for a while, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// lookups keeps a flow open for a number of requests that may be repeated, with pauses
// of a mean length between them, and then opens the next.
func (k *Caller) lookups(ctx context.Context, requests int, mean time.Duration) {
	var f *flow
	left := 0
	for ctx.Err() == nil {
		began := time.Now()
		deadline := began.Add(lookupBudget)
		if f != nil && (f.ended() || left <= 0) {
			f.end()
			f = nil
		}
		var err error
		for try := 0; try <= retries && time.Now().Before(deadline); try++ {
			if f == nil {
				if f, err = k.open(k.city.Dest(Feed)); err != nil {
					continue
				}
				left = requests
				var rested time.Duration
				rested, err = f.rest()
				deadline = deadline.Add(rested)
			}
			left--
			if err == nil {
				err = f.do(lastID.Add(1), requestSize, deadline)
			}
			if err == nil {
				break
			}
			f.finish(err)
			f = nil
		}
		k.city.note(began, err)
		sleep(ctx, k.city.cfg.between(mean))
	}
	if f != nil {
		f.end()
	}
}

// finish ends a flow after a request on it. Callers say so where the server
// still has the flow, also when they gave up.
func (f *flow) finish(err error) {
	if err == nil || errors.Is(err, errFailed) || errors.Is(err, errDeadline) {
		f.end()
		return
	}
	f.close()
}

// fresh opens a flow for each request. A request is repeated only if its flow
// never opened.
func (k *Caller) fresh(ctx context.Context, service string, size int, budget time.Duration) {
	for ctx.Err() == nil {
		began := time.Now()
		var err error
		for try := 0; try <= retries && time.Since(began) < budget; try++ {
			var f *flow
			if f, err = k.open(k.city.Dest(service)); err != nil {
				continue
			}
			var rested time.Duration
			if rested, err = f.rest(); err == nil {
				err = f.do(lastID.Add(1), size, began.Add(budget+rested))
			}
			f.finish(err)
			break
		}
		k.city.note(began, err)
		pause(freshPause)
	}
}

// idle opens flows until ctx is done, which are idle for some seconds between two
// requests.
func (k *Caller) idle(ctx context.Context) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		wg.Go(func() { k.useTwice(time.Now().Add(k.city.cfg.Settle + rand.N(idleMost))) })
		pause(idlePause)
	}
	wg.Wait()
}

// useTwice opens a flow for two requests, the second at a later time.
func (k *Caller) useTwice(later time.Time) {
	began := time.Now()
	f, err := k.open(k.city.Dest(Feed))
	if err == nil {
		var rested time.Duration
		if rested, err = f.rest(); err == nil {
			err = f.do(lastID.Add(1), requestSize, began.Add(flowBound+rested))
		}
		if err == nil {
			time.Sleep(time.Until(later))
			if !f.ended() {
				k.city.note(began, nil)
				began = time.Now()
				err = f.do(lastID.Add(1), requestSize, began.Add(flowBound))
			}
		}
		f.finish(err)
	}
	k.city.note(began, err)
}
