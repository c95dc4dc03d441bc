package queueing

import (
	"math/rand/v2"
	"time"

	"egrettack.example/core/snapshot"
)

// Spread compares ways in which the instances of a failure domain place new flows on its
// servers with affinity by token: most requests are of long flows, which stay where they
// were placed, and an instance sees its own flows only.
type Spread struct {
	Name string
	pick func(m *spreadModel, instance int) int
}

// Spreads returns the ways that are compared, the one in use first and a queue that all
// servers share last.
func Spreads() []Spread {
	return []Spread{
		{"own counts", (*spreadModel).byOwnCounts},
		{"subset of a third", func(m *spreadModel, i int) int { return m.leastOwn(i, m.subset(i, spreadServers/3)) }},
		{"sums of 1 s", func(m *spreadModel, i int) int { return m.leastReported(i, m.all) }},
		{"sums, better of two", func(m *spreadModel, i int) int { return m.leastReported(i, m.draw(m.all, 2)) }},
		{"sums, best of eight", func(m *spreadModel, i int) int { return m.leastReported(i, m.draw(m.all, 8)) }},
		{"sums of open flows, by speed", func(m *spreadModel, i int) int { return m.leastBySpeed(i, m.draw(m.all, 8)) }},
		{"own counts, by speed", func(m *spreadModel, i int) int {
			return m.least(m.all, func(s int) float64 { return (m.own[i][s].load() + 1) / m.speeds[s] })
		}},
		{"own counts, better of two by speed and sums", func(m *spreadModel, i int) int {
			return m.least(m.draw(m.all, 2), func(s int) float64 {
				return (m.own[i][s].load() + openWeight*float64(m.reported[s].open) + 1) / m.speeds[s]
			})
		}},
		{"own counts, better of two by speed", func(m *spreadModel, i int) int {
			return m.least(m.draw(m.all, 2), func(s int) float64 { return (m.own[i][s].load() + 1) / m.speeds[s] })
		}},
		{"own counts, better of three by speed", func(m *spreadModel, i int) int {
			return m.least(m.draw(m.all, 3), func(s int) float64 { return (m.own[i][s].load() + 1) / m.speeds[s] })
		}},
		{"own counts, drawn by speed", func(m *spreadModel, i int) int {
			return m.leastOwn(i, m.drawBySpeed(2))
		}},
		{"own counts, eight drawn by speed", func(m *spreadModel, i int) int {
			return m.leastOwn(i, m.drawBySpeed(8))
		}},
		{"own counts and sums, two drawn by speed", func(m *spreadModel, i int) int {
			return m.least(m.drawBySpeed(2), func(s int) float64 {
				return (m.own[i][s].load() + openWeight*float64(m.reported[s].open) + 1) / m.speeds[s]
			})
		}},
		{"own counts and sums of open flows, by speed", func(m *spreadModel, i int) int {
			return m.least(m.all, func(s int) float64 {
				return (float64(m.own[i][s].inFlight) + openWeight*float64(m.reported[s].open+m.since[i][s]) + 1) / m.speeds[s]
			})
		}},
		{"known to all", (*spreadModel).byTruth},
	}
}

const (
	spreadInstances = 28
	spreadServers   = 40
	spreadSlots     = 2
	spreadWork      = 40 * time.Millisecond
	spreadFlowLife  = time.Minute
	spreadInterval  = time.Second // mean time between the requests of a long flow
	spreadReports   = time.Second // interval at which instances report
	// spreadShort is the share of the requests that open a flow each.
	spreadShort = 0.25
	maxSpeed    = 1.7
	// openWeight is the part of a request that an open flow counts as.
	openWeight = 0.05
)

// counts is the flows and requests at a server.
type counts struct{ open, inFlight int }

func (c counts) load() float64 { return float64(c.inFlight) + openWeight*float64(c.open) }

// spreadModel is one failure domain.
type spreadModel struct {
	model
	servers  []*modelHost
	speeds   []float64
	own      [][]counts // by instance and server
	truth    []counts   // by server
	reported []counts   // truth at the last report
	since    [][]int    // flows placed since the last report, by instance and server
	all      []int
	sojourns []time.Duration
}

func newSpreadModel(seed uint64, uneven bool) *spreadModel {
	m := &spreadModel{model: model{rng: rand.New(rand.NewPCG(seed, 2)), hosts: map[snapshot.HostID]*modelHost{}}}
	for i := range spreadServers {
		speed := 1.0
		if uneven {
			speed = [3]float64{0.7, 0.7, 1.7}[i%3]
		}
		h := &modelHost{spec: snapshot.Host{Slots: spreadSlots}, speed: func(time.Duration) float64 { return speed }, load: truthful}
		m.hosts[snapshot.HostID(i)] = h
		m.servers, m.speeds, m.all = append(m.servers, h), append(m.speeds, speed), append(m.all, i)
	}
	for range spreadInstances {
		m.own, m.since = append(m.own, make([]counts, spreadServers)), append(m.since, make([]int, spreadServers))
	}
	m.truth, m.reported = make([]counts, spreadServers), make([]counts, spreadServers)
	m.every(spreadReports, func() {
		copy(m.reported, m.truth)
		for _, s := range m.since {
			clear(s)
		}
	})
	return m
}

// least returns the server with the lowest cost, a random one among equals.
func (m *spreadModel) least(list []int, cost func(s int) float64) int {
	best, lowest, ties := list[0], 0.0, 0
	for _, s := range list {
		switch x := cost(s); {
		case ties == 0 || x < lowest:
			best, lowest, ties = s, x, 1
		case x == lowest:
			if ties++; m.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (m *spreadModel) leastOwn(i int, list []int) int {
	return m.least(list, func(s int) float64 { return m.own[i][s].load() })
}

func (m *spreadModel) byOwnCounts(i int) int { return m.leastOwn(i, m.all) }

func (m *spreadModel) leastReported(i int, list []int) int {
	return m.least(list, func(s int) float64 { return m.reported[s].load() + float64(m.since[i][s]) })
}

// leastBySpeed counts open flows alone, which change slowly, by the speed of the server.
func (m *spreadModel) leastBySpeed(i int, list []int) int {
	return m.least(list, func(s int) float64 { return float64(m.reported[s].open+m.since[i][s]) / m.speeds[s] })
}

func (m *spreadModel) byTruth(int) int {
	return m.least(m.all, func(s int) float64 { return (m.truth[s].load() + 1) / m.speeds[s] })
}

// draw returns n of the servers.
func (m *spreadModel) draw(list []int, n int) []int {
	some := make([]int, n)
	for k := range some {
		some[k] = list[m.rng.IntN(len(list))]
	}
	return some
}

// drawBySpeed draws n of the servers with probabilities in proportion to their speeds.
func (m *spreadModel) drawBySpeed(n int) []int {
	some := make([]int, 0, n)
	for len(some) < n {
		if s := m.rng.IntN(len(m.all)); m.rng.Float64()*maxSpeed < m.speeds[s] {
			some = append(some, s)
		}
	}
	return some
}

// subset returns n servers of an instance, so that each server has as many instances.
func (m *spreadModel) subset(i, n int) []int {
	some := make([]int, n)
	for k := range some {
		some[k] = (i*spreadServers/spreadInstances + k*3) % spreadServers
	}
	return some
}

// request runs a request of a flow at a server. The first packet of each is seen by
// the instance that placed the flow.
func (m *spreadModel) request(i, s int, done func()) {
	start := m.now
	m.own[i][s].inFlight++
	m.truth[s].inFlight++
	m.submit(snapshot.HostID(s), job{m.exp(spreadWork), func() {
		m.own[i][s].inFlight--
		m.truth[s].inFlight--
		m.sojourns = append(m.sojourns, m.now-start)
		done()
	}})
}

// openFlow places a flow for the given time; 0 means for one request.
func (m *spreadModel) openFlow(pick func(*spreadModel, int) int, life time.Duration) {
	i := m.rng.IntN(spreadInstances)
	s := pick(m, i)
	m.own[i][s].open++
	m.truth[s].open++
	m.since[i][s]++
	end := m.now + life
	var next func()
	next = func() {
		if m.now >= end {
			m.own[i][s].open--
			m.truth[s].open--
			return
		}
		m.after(m.exp(spreadInterval), func() { m.request(i, s, next) })
	}
	m.request(i, s, next)
}

// MeasureSpread returns what callers get at a load, as a share of the slots, and how uneven
// the requests in progress are. With uneven set, the servers have speeds of 0.7 and 1.7.
func MeasureSpread(v Spread, load float64, uneven bool, runs int) []Metric {
	var p50, p99, p999, high float64
	for seed := range runs {
		m := newSpreadModel(uint64(seed+1), uneven)
		speed := 0.0
		for _, x := range m.speeds {
			speed += x
		}
		rate := load * speed * spreadSlots / spreadWork.Seconds()
		flows := rate * (1 - spreadShort) * (spreadInterval + spreadWork).Seconds() // long ones that are open
		m.arrivals(func() float64 { return flows / spreadFlowLife.Seconds() }, func() { m.openFlow(v.pick, m.exp(spreadFlowLife)) })
		m.arrivals(func() float64 { return rate * spreadShort }, func() { m.openFlow(v.pick, 0) })
		for range int(flows) {
			m.after(time.Duration(m.rng.Float64()*float64(spreadFlowLife)), func() { m.openFlow(v.pick, m.exp(spreadFlowLife)) })
		}
		m.run(2 * spreadFlowLife)
		m.sojourns = nil
		for _, h := range m.hosts {
			h.integrate(m.now)
			h.inProgress = 0
		}
		m.run(3 * spreadFlowLife)
		p50 += percentile(m.sojourns, 0.5).Seconds() * 1000 / float64(runs)
		p99 += percentile(m.sojourns, 0.99).Seconds() * 1000 / float64(runs)
		p999 += percentile(m.sojourns, 0.999).Seconds() * 1000 / float64(runs)
		high += m.highestOverMean(func(h *modelHost) float64 { h.integrate(m.now); return h.inProgress }) / float64(runs)
	}
	return []Metric{{"p50-ms", p50}, {"p99-ms", p99}, {"p99.9-ms", p999}, {"busiest/mean", high}}
}
