package steer

import (
	"slices"
	"time"

	"egrettack.example/core/catalog"
)

const (
	// silentAfter is how long an opening packet may stay unanswered, with no
	// other sign of life from its server, before the server is avoided. A
	// handshake takes 15 ms to the farthest failure domain.
	silentAfter = 60 * time.Millisecond
	// trialEvery is the interval at which an avoided server gets a new flow to
	// see whether it is back.
	trialEvery = time.Second
	// crossPenalty is by how much, in loads of a whole server, a server of the
	// own failure domain may be busier than one elsewhere and still be taken:
	// bytes between domains are dear, and each exchange takes longer.
	crossPenalty = 1.5
	// silentPenalty puts avoided servers behind all others.
	silentPenalty = 100
	// openWeight is the part of a request that an open flow counts as: it may
	// start one at any time.
	openWeight = 0.05
	// coldSpeed is the speed of a server that has just started.
	coldSpeed = 0.5
)

// load is what an instance knows of the work at a server.
type load struct {
	open, busy int
	waiting    time.Duration // of the first opening packet since the last sign of life, 0 for none
	trial      time.Duration // of the last opening packet
	mean       float64       // mean time of requests, seconds
}

func (e *Engine) load(s *catalog.Server) *load {
	l := e.loads[s]
	if l == nil {
		l = &load{}
		e.loads[s] = l
	}
	return l
}

func (l *load) sent(now time.Duration) {
	if l.waiting == 0 {
		l.waiting = max(now, 1)
	}
	l.trial = now
}

func (l *load) alive(time.Duration) { l.waiting = 0 }

func (l *load) answered(d time.Duration) {
	const remember = 0.05 // weight of one request in the mean
	l.mean += remember * (d.Seconds() - l.mean)
}

// silent reports whether the server is avoided.
func (l *load) silent(now time.Duration) bool {
	return l.waiting > 0 && now-l.waiting > silentAfter && now-l.trial < trialEvery
}

// level is the load that one more request gives the server, 1 for all slots.
func (e *Engine) level(now time.Duration, s *catalog.Server) float64 {
	l := e.load(s)
	speed := 1.0
	if now < s.FirstSeen+s.Cold {
		speed = coldSpeed
	}
	x := (float64(l.busy+1) + openWeight*float64(l.open)) / (float64(max(s.Slots, 1)) * speed)
	if s.Domain != e.cfg.Domain {
		x += crossPenalty
	}
	if l.silent(now) {
		x += silentPenalty
	}
	return x
}

// choose returns the least loaded server for a new flow of the route, nil if
// there is none. Servers that f has tried come last.
func (e *Engine) choose(now time.Duration, r *catalog.Route, f *entry) (best *catalog.Server, least float64) {
	ties := 0
	for _, s := range e.catalog.Service(e.target(r)) {
		if s.Draining {
			continue
		}
		x := e.level(now, s)
		if f != nil && slices.Contains(f.tried, s) {
			x += 2 * silentPenalty
		}
		switch {
		case best == nil || x < least:
			best, least, ties = s, x, 1
		case x == least:
			if ties++; e.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best, least
}

// target draws one of the route's services by weight.
func (e *Engine) target(r *catalog.Route) string {
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	x := e.random.IntN(total)
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
