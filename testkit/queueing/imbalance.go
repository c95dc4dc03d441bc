package queueing

import (
	"math"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/rank"
	"egrettack.example/core/snapshot"
)

// Kinds of the imbalance model.
const (
	feed snapshot.KindID = iota + 1
	lookup
)

const (
	meanService = 12 * time.Millisecond
	modelFeeds  = 22_500 // on average, 1,500 for each of 15 hosts
	feedLife    = 40 * time.Second
)

func imbalanceKinds() []*snapshot.Kind {
	return []*snapshot.Kind{
		{ID: feed, Class: 1, Share: 0.5, Ceiling: 1, Occupies: snapshot.OccupiesConnection, IdleTimeout: time.Hour},
		{
			ID: lookup, Class: 0, Share: 0.5, Ceiling: 1, Occupies: snapshot.OccupiesSlot,
			Deadline: 2 * time.Second, ServiceTime: meanService, IdleTimeout: time.Minute,
		},
	}
}

// byHash is rendezvous hashing over all hosts.
func byHash(m *model, k flow.Key, _ snapshot.KindID) (placed, bool) {
	best, most := snapshot.HostID(0), math.Inf(-1)
	for id := range m.hosts {
		if s := rank.Score(1, k.Hash(1), uint64(id), 1); s > most {
			best, most = id, s
		}
	}
	return placed{host: best, end: func() {}}, true
}

// byTwoChoices takes the less loaded of two random hosts, as seen by the one of
// six instances that the flow happens to reach, which knows its own flows only.
func byTwoChoices() picker {
	type seen struct {
		instance int
		host     snapshot.HostID
		kind     snapshot.KindID
	}
	flows := map[seen]int{}
	return func(m *model, _ flow.Key, kind snapshot.KindID) (placed, bool) {
		inst := m.rng.IntN(6)
		pick := func() seen { return seen{inst, snapshot.HostID(1 + m.rng.IntN(len(m.hosts))), kind} }
		s, other := pick(), pick()
		if flows[other] < flows[s] {
			s = other
		}
		flows[s]++
		return placed{host: s.host, end: func() { flows[s]-- }}, true
	}
}

// imbalance is one measurement, or the sum of several.
type imbalance struct{ p99, conns, slots, refused, spilled, copied, runs float64 }

func (s *imbalance) add(o imbalance) {
	s.p99 += o.p99
	s.conns += o.conns
	s.slots += o.slots
	s.refused += o.refused
	s.spilled += o.spilled
	s.copied += o.copied
	s.runs++
}

func (s *imbalance) metrics() []Metric {
	return []Metric{
		{"p99-ms", s.p99 / s.runs},
		{"conns-high/mean", s.conns / s.runs},
		{"slots-high/mean", s.slots / s.runs},
		{"refused-%", s.refused / s.runs},
		{"spilled-%", s.spilled / s.runs},
		{"copied-feeds-%", s.copied / s.runs},
	}
}

func measureImbalance(seed uint64, load float64, odd bool, size int, pick picker) imbalance {
	spec := snapshot.Host{Slots: 2, QueueLimit: 40, ConnectionLimit: 4000, WarmUp: 30 * time.Second}
	m := newModel(seed, 15, size, spec, imbalanceKinds())
	m.pick = pick
	speed := 15.0
	if odd {
		m.oddHosts()
		speed = 14.5
	}
	addFeed := func() {
		if p, ok := m.open(feed); ok {
			m.after(m.exp(feedLife), p.end)
		}
	}
	for range modelFeeds {
		addFeed()
	}
	m.arrivals(func() float64 { return modelFeeds / feedLife.Seconds() }, addFeed)
	var sojourns []time.Duration
	var refused, lookups float64
	rate := load * speed * 2 / meanService.Seconds()
	m.arrivals(func() float64 { return rate }, func() {
		lookups++
		if !m.request(lookup, m.exp(meanService), func(d time.Duration) { sojourns = append(sojourns, d) }) {
			refused++
		}
	})
	m.run(60 * time.Second) // past the warm-up and one and a half lives of a feed
	sojourns, m.spilled, lookups, refused = nil, 0, 0, 0
	for _, h := range m.hosts {
		h.integrate(m.now)
		h.inProgress = 0
	}
	out := imbalance{}
	const samples = 40
	for range samples {
		m.run(m.now + time.Second)
		out.conns += m.highestOverMean(func(h *modelHost) float64 { return float64(h.conns) }) / samples
	}
	out.p99 = float64(percentile(sojourns, 0.99).Microseconds()) / 1000
	out.slots = m.highestOverMean(func(h *modelHost) float64 { h.integrate(m.now); return h.inProgress })
	out.copied = m.copiedFeeds()
	out.refused = 100 * refused / lookups
	out.spilled = 100 * float64(m.spilled) / lookups
	return out
}

// oddHosts makes four of the hosts differ from what is published of them.
func (m *model) oddHosts() {
	cold := m.hosts[2]
	cold.speed = func(now time.Duration) float64 { return min(1, 0.2+0.8*now.Seconds()/30) }
	for _, t := range m.tables {
		t.ApplyLoadReport(0, 2, message.LoadReport{Cold: true})
	}
	m.hosts[5].speed = func(time.Duration) float64 { return 0.5 }
	m.hosts[8].load = saying(1)
	m.hosts[11].load = saying(0)
}

// copiedFeeds is the part of the open connections, nearly all of them feeds,
// that a backup needs copies of.
func (m *model) copiedFeeds() float64 {
	copied, conns := 0, 0
	for _, t := range m.tables {
		for _, h := range t.Stats(m.now).Hosts {
			conns += h.Connections
		}
		t.StartCopies(m.now)
		for b, ok := t.NextCopies(m.now, 200); ok; b, ok = t.NextCopies(m.now, 200) {
			for _, e := range b.Entries {
				if !e.Closing { // feeds of the model end more often than real ones
					copied++
				}
			}
			t.Acknowledge(message.CopyAck{Group: b.Group, Epoch: b.Epoch, Seq: b.Seq})
		}
	}
	return 100 * float64(copied) / float64(max(1, conns))
}
