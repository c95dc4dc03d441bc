// Package queueing is a discrete-event model of one service: callers, hosts that
// run requests first come, first served, and the real group tables of core/group
// that place the flows. It measures imbalance and floods in virtual time, beside
// baselines that place without knowledge or without admission.
package queueing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// model is a discrete-event queueing model of one service: callers, hosts that
// run requests first come, first served, and the real tables that place them.
type model struct {
	now     time.Duration
	rng     *rand.Rand
	events  eventQueue
	serial  uint64
	service *snapshot.Service
	hosts   map[snapshot.HostID]*modelHost
	tables  []*group.Table
	pick    picker
	nextKey int
	spilled int
}

// picker places a flow. delay is what a spill adds to the way of the request.
type picker func(m *model, k flow.Key, kind snapshot.KindID) (p placed, ok bool)

type placed struct {
	host  snapshot.HostID
	delay time.Duration
	end   func()
}

// spillDelay is the way of a SYN and of a request from the owner of the first
// group to that of the second, in another domain.
const spillDelay = 10 * time.Millisecond

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (m *model) after(d time.Duration, run func()) {
	m.serial++
	heap.Push(&m.events, event{m.now + d, m.serial, run})
}

func (m *model) exp(mean time.Duration) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * float64(mean))
}

// run handles events until end.
func (m *model) run(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// every calls run at intervals.
func (m *model) every(d time.Duration, run func()) {
	m.after(d, func() { run(); m.every(d, run) })
}

type job struct {
	service time.Duration
	done    func()
}

type modelHost struct {
	spec    snapshot.Host
	speed   func(now time.Duration) float64
	load    func(busy float64) float64 // what it reports, given its true load
	running int
	queue   []job
	conns   int
	// integral over time of the requests in progress
	inProgress float64
	changed    time.Duration
}

func (h *modelHost) integrate(now time.Duration) {
	d := (now - h.changed).Seconds()
	h.inProgress += d * float64(h.running+len(h.queue))
	h.changed = now
}

// submit queues a request on the host.
func (m *model) submit(id snapshot.HostID, j job) {
	h := m.hosts[id]
	h.integrate(m.now)
	h.queue = append(h.queue, j)
	m.start(h)
}

func (m *model) start(h *modelHost) {
	for h.running < h.spec.Slots && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		m.after(time.Duration(float64(j.service)/h.speed(m.now)), func() {
			h.integrate(m.now)
			h.running--
			j.done()
			m.start(h)
		})
	}
}

func steady(time.Duration) float64  { return 1 }
func truthful(busy float64) float64 { return busy }
func saying(load float64) func(float64) float64 {
	return func(float64) float64 { return load }
}

// newModel builds hosts and tables; spec is copied for each host.
func newModel(seed uint64, hosts, groupSize int, spec snapshot.Host, kinds []*snapshot.Kind) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[snapshot.HostID]*modelHost{}, pick: byGroups}
	in := snapshot.Input{
		Version: 1, GroupSize: groupSize, Domains: []snapshot.Domain{{ID: 1}},
		Services: []snapshot.Service{{ID: 7, Kinds: kinds}},
	}
	for i := range hosts {
		h := spec
		h.ID, h.Domain, h.Service = snapshot.HostID(i+1), 1, 7
		in.Hosts = append(in.Hosts, h)
		m.hosts[h.ID] = &modelHost{spec: h, speed: steady, load: truthful}
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		panic(err)
	}
	m.service = s.Services[7]
	for _, g := range m.service.Groups {
		m.tables = append(m.tables, group.New(0, group.Config{Group: g, Snapshot: s, Epoch: 1}))
	}
	m.every(50*time.Millisecond, func() {
		for _, t := range m.tables {
			t.Tick(m.now)
		}
	})
	m.every(time.Second, m.reports)
	return m
}

// reports delivers what hosts said half a second ago.
func (m *model) reports() {
	for i, g := range m.service.Groups {
		for _, spec := range g.Hosts {
			h := m.hosts[spec.ID]
			load := h.load(float64(h.running) / float64(h.spec.Slots))
			m.after(500*time.Millisecond, func() { m.tables[i].ApplyLoadReport(m.now, spec.ID, message.LoadReport{Load: load}) })
		}
	}
}

// byGroups places as the owners of the flow's first and second group do.
func byGroups(m *model, k flow.Key, kind snapshot.KindID) (placed, bool) {
	rank := m.service.Rank(k)
	p := flow.Packet{Key: k, Flags: flow.SYN, Seq: uint32(m.serial)}
	r := group.Request{Packet: &p, Kind: kind}
	if rank[1] >= 0 {
		r.SpillTo = m.service.Groups[rank[1]].ID
	}
	tables := []*group.Table{m.tables[rank[0]]}
	d := tables[0].Decide(m.now, &r)
	out := placed{}
	if d.Verdict == group.Redirect {
		tables = append(tables, m.tables[rank[1]])
		d = tables[1].Decide(m.now, &group.Request{Packet: &p, Kind: kind, Op: group.OpSpill})
		out.delay = spillDelay
		m.spilled++
	}
	if d.Verdict != group.Forward {
		return out, false
	}
	tell := func(p flow.Packet) {
		p.Key = k
		for _, t := range tables {
			t.Decide(m.now, &group.Request{Packet: &p, Kind: kind})
		}
	}
	tell(flow.Packet{Flags: flow.ACK, Seq: p.Seq + 1, Ack: 5001})
	out.host = d.Host
	out.end = func() { tell(flow.Packet{Flags: flow.FIN | flow.ACK, Seq: p.Seq + 1, Ack: 5002}) }
	return out, true
}

// open places a flow.
func (m *model) open(kind snapshot.KindID) (placed, bool) {
	m.nextKey++
	n := m.nextKey
	k := flow.Key{
		Src: flow.Addr(0x0a000000 + n>>14), SrcPort: uint16(1024 + n&0x3fff),
		Dst: 0x0a090001, DstPort: 7000 + uint16(feed), Proto: flow.TCP,
	}
	k.DstPort = 7000 + uint16(kind)
	p, ok := m.pick(m, k, kind)
	if !ok {
		return p, false
	}
	h := m.hosts[p.host]
	h.conns++
	end := p.end
	p.end = func() {
		h.conns--
		end()
	}
	return p, true
}

// request places a flow and runs its request. done gets the time it took.
func (m *model) request(kind snapshot.KindID, service time.Duration, done func(time.Duration)) bool {
	p, ok := m.open(kind)
	if !ok {
		return false
	}
	start := m.now
	m.after(p.delay, func() {
		m.submit(p.host, job{service, func() { p.end(); done(m.now - start) }})
	})
	return true
}

// arrivals calls run as a Poisson process of the given rate a second.
func (m *model) arrivals(rate func() float64, run func()) {
	r := rate()
	if r <= 0 {
		m.after(100*time.Millisecond, func() { m.arrivals(rate, run) })
		return
	}
	m.after(m.exp(time.Duration(float64(time.Second)/r)), func() { run(); m.arrivals(rate, run) })
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(p*float64(len(list))))]
}

// highestOverMean compares the hosts.
func (m *model) highestOverMean(of func(*modelHost) float64) float64 {
	highest, sum := 0.0, 0.0
	for _, h := range m.hosts {
		highest = max(highest, of(h))
		sum += of(h)
	}
	return highest / (sum / float64(len(m.hosts)))
}
