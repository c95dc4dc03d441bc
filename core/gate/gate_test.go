package gate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	feed   = netip.MustParseAddrPort("198.18.0.1:80")
	lookup = netip.MustParseAddrPort("198.18.0.1:443")
)

// The service of the simulation: slots of all servers, places to wait for them,
// mean time of the work and target of both kinds.
const (
	slots  = 28
	places = 112
	work   = 22 * time.Millisecond
	way    = 4 * time.Millisecond
	target = 90 * time.Millisecond
)

// sim is a queue of a service in virtual time behind the gates of a few
// instances, which do not know of each other.
type sim struct {
	now     time.Duration
	random  *rand.Rand
	gates   []*Gate
	events  queue
	working int
	waiting []*job
	rates   map[netip.AddrPort]float64 // a second
	got     map[netip.AddrPort]*result
}

type job struct {
	kind  netip.AddrPort
	gate  *Gate
	began time.Duration
	try   int
}

type result struct{ asked, inTime, refused int }

type event struct {
	at  time.Duration
	run func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(gated bool) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(3, 3)), got: map[netip.AddrPort]*result{feed: {}, lookup: {}},
		rates: map[netip.AddrPort]float64{feed: 83, lookup: 291},
	}
	for range 4 {
		g := New(s.random.Uint64())
		if !gated {
			g = nil
		}
		s.gates = append(s.gates, g)
	}
	for kind := range s.rates {
		s.arrive(kind)
	}
	s.step()
	return s
}

func (s *sim) after(d time.Duration, f func()) { heap.Push(&s.events, event{s.now + d, f}) }

func (s *sim) run(lasts time.Duration) {
	end := s.now + lasts
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) step() {
	for _, g := range s.gates {
		if g != nil {
			g.Step(s.now)
			g.SetShedding(len(s.waiting) >= places)
		}
	}
	s.after(StepEvery, s.step)
}

func (s *sim) arrive(kind netip.AddrPort) {
	s.after(time.Duration(s.random.ExpFloat64()/s.rates[kind]*float64(time.Second)), func() {
		s.got[kind].asked++
		s.ask(&job{kind: kind, began: s.now})
		s.arrive(kind)
	})
}

// ask sends a request, which is tried three times with a pause between.
func (s *sim) ask(j *job) {
	g := s.gates[s.random.IntN(len(s.gates))]
	switch {
	case g != nil && !g.Admit(j.kind), len(s.waiting) >= places:
		if g != nil && len(s.waiting) >= places {
			g.Answered(s.now, j.kind, Answer{Failed: true, Target: target})
		}
		if j.try++; j.try < 3 {
			s.after(20*time.Millisecond, func() { s.ask(j) })
		} else {
			s.got[j.kind].refused++
		}
	default:
		j.gate = g
		if g != nil {
			g.Began(j.kind)
		}
		s.waiting = append(s.waiting, j)
		s.serve()
	}
}

func (s *sim) serve() {
	for s.working < slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.working++
		spread := math.Exp(0.5*s.random.NormFloat64() - 0.125)
		s.after(time.Duration(spread*float64(work)), func() {
			s.working--
			s.serve()
			s.after(way, func() { s.answer(j) })
		})
	}
}

func (s *sim) answer(j *job) {
	took := s.now - j.began
	if took <= target {
		s.got[j.kind].inTime++
	}
	if j.gate != nil {
		j.gate.Ended(j.kind)
		j.gate.Answered(s.now, j.kind, Answer{Took: took, Target: target})
	}
}

// part plays for a while and returns the parts of each kind in time.
func (s *sim) part(lasts time.Duration) map[netip.AddrPort]float64 {
	for _, r := range s.got {
		*r = result{}
	}
	s.run(lasts)
	parts := make(map[netip.AddrPort]float64)
	for kind, r := range s.got {
		parts[kind] = float64(r.inTime) / float64(r.asked)
	}
	return parts
}

func (s *sim) limited() (n int) {
	for _, g := range s.gates {
		if g != nil && g.State().Limit > 0 {
			n++
		}
	}
	return n
}

// Guards against refusals at the usual load, for which nothing would be
// refused by the servers.
func TestNoRefusalsInCalm(t *testing.T) {
	g := NewWithT(t)
	s := newSim(true)
	s.run(time.Minute)
	s.rates[lookup] *= 2
	parts := s.part(time.Minute)
	g.Expect(s.got[lookup].refused + s.got[feed].refused).To(BeZero())
	g.Expect(parts[lookup]).To(BeNumerically(">", 0.99))
}

// Guards against a flood of one kind that leaves the other nothing, and against
// servers that work only for answers that come too late.
func TestFlood(t *testing.T) {
	for name, flood := range map[string]struct {
		kind, other netip.AddrPort
		x           float64
	}{
		"lookups": {lookup, feed, 6},
		"feeds":   {feed, lookup, 14},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			play := func(gated bool) (parts map[netip.AddrPort]float64, useful float64, s *sim) {
				s = newSim(gated)
				s.run(30 * time.Second)
				s.rates[flood.kind] *= flood.x
				s.run(time.Second)
				parts = s.part(20 * time.Second)
				inTime := s.got[feed].inTime + s.got[lookup].inTime
				capacity := slots * float64(20*time.Second) / float64(work)
				s.rates[flood.kind] /= flood.x
				return parts, float64(inTime) / capacity, s
			}
			without, wasted, _ := play(false)
			with, useful, s := play(true)
			t.Logf("the other kind in time: %.2f without, %.2f with; useful work %.2f, %.2f", without[flood.other], with[flood.other], wasted, useful)
			g.Expect(with[flood.other]).To(BeNumerically(">", 0.9))
			g.Expect(useful).To(BeNumerically(">", 0.8))
			g.Expect(useful).To(BeNumerically(">", 2*wasted), "useful work without the gate")
			// The limits are lifted after it.
			s.run(openAfter + 2*time.Second)
			g.Expect(s.limited()).To(BeZero())
		})
	}
}

// Guards against failures of a few servers, which answer quickly that they
// failed, that count as load.
func TestFailuresOfAFewAreNoLoad(t *testing.T) {
	g := NewWithT(t)
	gate := New(1)
	now := time.Second
	for range 200 {
		gate.Answered(now, feed, Answer{Took: work, Target: target})
		gate.Answered(now, feed, Answer{Took: time.Millisecond, Target: target, Failed: true})
		gate.Answered(now, feed, Answer{Took: time.Millisecond, Target: target, Failed: true})
		now += 10 * time.Millisecond
		gate.Step(now)
	}
	g.Expect(gate.State().Limit).To(BeZero())
	gate.SetShedding(true)
	for range 200 {
		gate.Answered(now, feed, Answer{Took: time.Millisecond, Target: target, Failed: true})
		now += 10 * time.Millisecond
		gate.Step(now)
	}
	g.Expect(gate.State().Limit).To(BeNumerically(">", 0))
}

// Guards against a flood of minutes that becomes the usual time of an answer.
func TestBaseTimeOutlastsAFlood(t *testing.T) {
	g := NewWithT(t)
	var b baseTime
	now := time.Second
	feed := func(took, lasts time.Duration) {
		for end := now + lasts; now < end; now += 50 * time.Millisecond {
			b.add(now, took)
		}
	}
	feed(20*time.Millisecond, time.Minute)
	feed(200*time.Millisecond, 3*time.Minute)
	g.Expect(time.Duration(b.value())).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
	feed(200*time.Millisecond, buckets*bucketTime)
	g.Expect(time.Duration(b.value())).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
}
