package group_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// modelFlow is the expected state of an open flow.
type modelFlow struct {
	host         snapshot.HostID
	isn, seq     uint32
	born, active time.Duration
	established  bool
	closing      bool
	adopted      bool // added at its default host after a failover, with an unknown ISN
}

type flowID struct {
	kind snapshot.KindID
	n    int
}

// machine is a state machine that applies random actions to a table, its backup
// and its successors, and compares the results with a model.
type machine struct {
	fleet      fleet
	tab        *group.Table
	copies     *group.Copies
	flows      map[flowID]*modelFlow
	lastDemand map[snapshot.KindID]time.Duration
	now        time.Duration
	epoch      uint64
	isn        uint32
	nextID     snapshot.HostID
	// lost are flows that a failover broke. The new owner may have added them
	// at their default host, so they are not used from then on.
	lost map[flowID]bool
}

type flowAge int

const (
	ageFresh flowAge = iota
	ageUncertain
	ageExpired
)

const timestampSlack = 50 * time.Millisecond // tolerance for timestamps, which are in milliseconds

func newMachine() *machine {
	m := &machine{
		fleet: defaultFleet(4), flows: map[flowID]*modelFlow{}, copies: group.NewCopies(),
		lastDemand: map[snapshot.KindID]time.Duration{}, epoch: 1, isn: 1000, nextID: 5,
		lost: map[flowID]bool{},
	}
	m.fleet.max = 8
	for _, k := range m.fleet.kinds {
		k.Deadline = 0 // TestDeadlineRefusesByEstimatedWait covers the estimate of the wait
		m.lastDemand[k.ID] = -time.Hour
	}
	m.tab = m.fleet.table(group.Config{})
	m.tab.StartCopies(0)
	return m
}

func (m *machine) kind(id snapshot.KindID) *snapshot.Kind {
	for _, k := range m.fleet.kinds {
		if k.ID == id {
			return k
		}
	}
	return nil
}

// flowAge tells whether the table must still have an entry for the flow. Within
// timestampSlack of the idle time it may or may not, and the flow is not used.
func (m *machine) flowAge(id flowID, f *modelFlow) flowAge {
	idle := m.kind(id.kind).IdleTimeout
	switch {
	case f.closing:
		idle = 2 * time.Second
	case !f.established:
		idle = 40 * time.Second
	}
	switch since := m.now - f.active; {
	case since < idle-timestampSlack:
		return ageFresh
	case since < idle+timestampSlack || f.closing && since < time.Minute+timestampSlack:
		return ageUncertain
	}
	return ageExpired
}

func (m *machine) gone(h snapshot.HostID) bool { return !slices.Contains(m.fleet.ids, h) }

func (m *machine) drawFlowID(t *rapid.T) flowID {
	return flowID{
		snapshot.KindID(rapid.IntRange(int(feed), int(probe)).Draw(t, "kind")),
		rapid.IntRange(0, 25).Draw(t, "flow"),
	}
}

// resourceUse is the use of one resource, from exported counts.
type resourceUse struct {
	capacity, free  int
	use, guarantees map[snapshot.KindID]int
}

func (m *machine) resourceUse(o snapshot.Occupancy) resourceUse {
	r := resourceUse{use: map[snapshot.KindID]int{}, guarantees: map[snapshot.KindID]int{}}
	for _, h := range m.tab.Stats(m.now).Hosts {
		if !h.Usable {
			continue
		}
		limit, used := m.fleet.max, h.Connections
		if o == snapshot.OccupiesSlot {
			limit, used = m.fleet.slots+m.fleet.queue, h.Slots
		}
		r.capacity += limit
		r.free += max(0, limit-used)
	}
	for _, k := range m.fleet.kinds {
		if k.Occupies == o {
			r.use[k.ID] = m.tab.InUse(k.ID)
			if k.Share > 0 {
				r.guarantees[k.ID] = max(1, int(k.Share*float64(r.capacity)))
			}
		}
	}
	return r
}

// reserved is the free capacity that must remain for other kinds after an
// admission beyond the guarantee.
func (m *machine) reserved(r resourceUse, except snapshot.KindID) int {
	sum := 0
	for id, guarantee := range r.guarantees {
		switch {
		case id == except:
		case m.now-m.lastDemand[id] < 10*time.Second:
			sum += max(0, guarantee-r.use[id])
		default:
			sum++
		}
	}
	return sum
}

func (m *machine) openFlow(t *rapid.T) {
	id := m.drawFlowID(t)
	f := m.flows[id]
	// A flow on a removed host may have been reset, and its entry deleted.
	if f != nil && (m.flowAge(id, f) == ageExpired || m.gone(f.host) && f.established) {
		delete(m.flows, id)
		f = nil
	}
	if m.lost[id] || f != nil && m.flowAge(id, f) == ageUncertain {
		return
	}
	isn := m.isn
	if m.isn += 1000; f != nil && !f.adopted && rapid.Bool().Draw(t, "retransmit") {
		isn = f.isn
	}
	usable := map[snapshot.HostID]bool{}
	for _, h := range m.tab.Stats(m.now).Hosts {
		usable[h.Host] = h.Usable
	}
	kind := m.kind(id.kind)
	before := m.resourceUse(kind.Occupies)
	d := m.tab.Decide(m.now, syn(id.kind, id.n, isn))
	if f != nil && (isn == f.isn || !f.closing && !m.gone(f.host)) {
		m.checkRepeatedSYN(t, id, f, d)
		return
	}
	m.lastDemand[id.kind] = m.now
	if d.Verdict != group.Forward {
		m.checkRefusal(t, id, d, before)
		return
	}
	if !usable[d.Host] || m.gone(d.Host) || m.fleet.draining[d.Host] {
		t.Fatalf("%v was placed on host %d, which accepts no new flows", id, d.Host)
	}
	// Flows added after a failover may exceed a limit, new flows never.
	for _, h := range m.tab.Stats(m.now).Hosts {
		if h.Host == d.Host && (h.Connections > m.fleet.max || kind.Occupies == snapshot.OccupiesSlot && h.Slots > m.fleet.slots+m.fleet.queue) {
			t.Fatalf("%v exceeds the limits of its host: %+v", id, h)
		}
	}
	after := m.resourceUse(kind.Occupies)
	if after.use[id.kind] > after.guarantees[id.kind] && after.free < m.reserved(after, id.kind) {
		t.Fatalf("%v borrowed reserved capacity: %+v, reserved %d", id, after, m.reserved(after, id.kind))
	}
	if float64(after.use[id.kind]) > max(kind.Ceiling*float64(after.capacity), float64(after.guarantees[id.kind]))+1 {
		t.Fatalf("%v exceeds its ceiling: %+v", id, after)
	}
	m.flows[id] = &modelFlow{
		host: d.Host, isn: isn, seq: isn + 1, born: m.now, active: m.now,
		established: id.kind == probe,
	}
}

// checkRepeatedSYN checks the answer to a SYN of an open flow.
func (m *machine) checkRepeatedSYN(t *rapid.T, id flowID, f *modelFlow, d group.Decision) {
	switch {
	case m.gone(f.host):
		if d.Verdict != group.Drop {
			t.Fatalf("%v: SYN to a removed host: got %+v, want Drop", id, d)
		}
		return
	case d.Verdict == group.Refuse:
		t.Fatalf("%v was refused after it was forwarded", id)
	case d.Verdict != group.Forward || d.Host != f.host:
		t.Fatalf("%v on host %d: %+v", id, f.host, d)
	}
	f.active = m.now
}

// checkRefusal checks that there was no room for the flow.
func (m *machine) checkRefusal(t *rapid.T, id flowID, d group.Decision, r resourceUse) {
	want := group.Refuse
	if id.kind == probe {
		want = group.Drop
	}
	if d.Verdict != want {
		t.Fatalf("%v: %+v", id, d)
	}
	conns := m.resourceUse(snapshot.OccupiesConnection)
	if r.use[id.kind] < r.guarantees[id.kind] && r.free > 0 && conns.free > 0 && d.Reason != group.ReasonConnectionLimit {
		t.Fatalf("%v was refused (%s) within its guarantee: %+v", id, d.Reason, r)
	}
	delete(m.flows, id)
}

// sendPacket sends a packet of an open flow.
func (m *machine) sendPacket(t *rapid.T) {
	id := m.drawFlowID(t)
	f := m.flows[id]
	if f == nil || m.flowAge(id, f) != ageFresh || id.kind == probe && m.gone(f.host) {
		return
	}
	flags, size := flow.ACK, uint16(0)
	if id.kind != probe {
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			flags |= flow.FIN
		case 1:
			flags = flow.RST
		default:
			size = 20
		}
	}
	r := request(id.kind, id.n, flags, f.seq, 5001, size)
	f.seq += uint32(size)
	d := m.tab.Decide(m.now, r)
	if d.Verdict == group.Miss && !m.gone(f.host) {
		t.Fatalf("%v has no entry", id)
	}
	if m.gone(f.host) {
		if id.kind != probe && flags&flow.RST == 0 && d.Verdict != group.Abort && d.Verdict != group.Miss {
			t.Fatalf("%v on a removed host: got %+v, want Abort or Miss", id, d)
		}
		delete(m.flows, id)
		return
	}
	if d.Verdict != group.Forward || d.Host != f.host {
		t.Fatalf("%v on host %d: %+v", id, f.host, d)
	}
	f.active, f.established = m.now, true
	if flags&(flow.FIN|flow.RST) != 0 {
		f.closing = true
	}
}

func (m *machine) changeHosts(t *rapid.T) {
	switch i := rapid.IntRange(0, len(m.fleet.ids)-1).Draw(t, "host"); rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		if len(m.fleet.ids) < 7 {
			m.fleet.ids = append(m.fleet.ids, m.nextID)
			m.nextID++
		}
	case 1:
		if len(m.fleet.ids) > 1 {
			m.fleet.ids = slices.Delete(m.fleet.ids, i, i+1)
		}
	case 2:
		id := m.fleet.ids[i]
		m.fleet.draining[id] = !m.fleet.draining[id]
	}
	s, g := m.fleet.snapshot()
	m.tab.UpdateSnapshot(m.now, s, g)
}

func (m *machine) report(t *rapid.T) {
	h := rapid.SampledFrom(m.fleet.ids).Draw(t, "host")
	m.tab.ApplyLoadReport(m.now, h, message.LoadReport{
		Load:        rapid.Float64Range(0, 1).Draw(t, "load"),
		Draining:    rapid.Bool().Draw(t, "draining"),
		ProbeFailed: rapid.Bool().Draw(t, "failed"),
	})
	out := 0
	for _, s := range m.tab.Stats(m.now).Hosts {
		if s.Why == "draining by its own report" || s.Why == "health probe failed" {
			out++
		}
	}
	if out*2 > len(m.fleet.ids) {
		t.Fatalf("%d of %d hosts are unusable because of their own reports", out, len(m.fleet.ids))
	}
}

// transferCopies advances the copy stream over a link that loses datagrams.
func (m *machine) transferCopies(t *rapid.T) {
	for range rapid.IntRange(1, 5).Draw(t, "batches") {
		b, ok := m.tab.NextCopies(m.now, rapid.IntRange(1, 6).Draw(t, "size"))
		if !ok || rapid.Bool().Draw(t, "lost") {
			continue
		}
		if len(b.Entries)+len(b.Ended) > 6 {
			t.Fatalf("batch of %d entries and %d ended flows, want at most 6 in all", len(b.Entries), len(b.Ended))
		}
		if ack, ok := m.copies.Apply(m.now, &b); ok && !rapid.Bool().Draw(t, "ack lost") {
			m.tab.Acknowledge(ack)
		}
	}
}

// settleCopies runs the copy stream without loss until nothing is due.
func (m *machine) settleCopies(t *rapid.T) {
	for range 1000 {
		m.now += 100 * time.Millisecond // lost batches are sent again
		b, ok := m.tab.NextCopies(m.now, 50)
		if ok {
			if ack, ok := m.copies.Apply(m.now, &b); ok {
				m.tab.Acknowledge(ack)
			}
			continue
		}
		if m.tab.CopiesSettled() {
			return
		}
	}
	t.Fatalf("the copy stream does not finish: %+v", m.tab.Stats(m.now))
}

// failOver replaces the table by one from the backup. Flows older than 2 s must
// keep their host.
func (m *machine) failOver(t *rapid.T) {
	if rapid.Bool().Draw(t, "settled") {
		m.settleCopies(t)
	}
	settled := m.tab.CopiesSettled()
	entries, base, _ := m.copies.Promote(m.now)
	m.replaceTable(base, entries)
	for _, id := range m.sortedFlows() {
		f := m.flows[id]
		// The copy of a closing flow may be older than its FIN.
		if m.flowAge(id, f) != ageFresh || m.gone(f.host) || f.closing {
			delete(m.flows, id)
			m.lost[id] = true
			continue
		}
		probing := request(id.kind, id.n, flow.ACK, f.seq, 5001, 0)
		d := m.tab.Decide(m.now, withOp(probing, group.OpLookup))
		if d.Verdict == group.Miss {
			d = m.tab.Decide(m.now, withOp(probing, group.OpDefault))
			f.adopted = true
		}
		switch {
		case d.Verdict == group.Forward && d.Host == f.host:
			f.active, f.established = m.now, true
		case settled && m.now-f.born > 2*time.Second+timestampSlack && f.established:
			t.Fatalf("%v (age %s) on host %d is lost by the failover: %+v", id, m.now-f.born, f.host, d)
		default:
			delete(m.flows, id)
			m.lost[id] = true
		}
	}
}

// sortedFlows returns the flows in a fixed order, so that runs are reproducible.
func (m *machine) sortedFlows() []flowID {
	return slices.SortedFunc(maps.Keys(m.flows), func(a, b flowID) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.n, b.n))
	})
}

func (m *machine) replaceTable(base []snapshot.HostID, entries []message.Entry) {
	m.epoch++
	m.tab = m.fleet.table(group.Config{Epoch: m.epoch, Base: base})
	m.tab.Import(m.now, entries)
	m.copies = group.NewCopies()
	m.tab.StartCopies(m.now)
	for _, k := range m.fleet.kinds {
		m.lastDemand[k.ID] = -time.Hour
	}
}

// handOver pulls all flows while packets continue to arrive. None may be lost.
func (m *machine) handOver(t *rapid.T) {
	var entries []message.Entry
	var cursor uint64
	for {
		reply := m.tab.Pull(m.now, cursor, rapid.IntRange(1, 9).Draw(t, "page"))
		entries = append(entries, reply.Entries...)
		if cursor = reply.Next; reply.Done {
			old := m.tab
			if d := old.Decide(m.now, syn(feed, 999, 1)); d.Verdict != group.Miss || old.AcceptsNewFlows() {
				t.Fatalf("the previous owner still places new flows: %+v", d)
			}
			m.replaceTable(reply.Base, entries)
			break
		}
		switch rapid.IntRange(0, 2).Draw(t, "between") {
		case 0:
			m.openFlow(t)
		case 1:
			m.sendPacket(t)
		}
	}
	for _, id := range m.sortedFlows() {
		f := m.flows[id]
		if m.flowAge(id, f) != ageFresh {
			delete(m.flows, id)
			m.lost[id] = true
			continue
		}
		f.active = m.now // as far as the new owner knows
		if f.established && !m.gone(f.host) && !f.closing {
			d := m.tab.Decide(m.now, withOp(request(id.kind, id.n, flow.ACK, f.seq, 5001, 0), group.OpLookup))
			if d.Verdict != group.Forward || d.Host != f.host {
				t.Fatalf("%v on host %d is lost by the handover: %+v", id, f.host, d)
			}
		}
	}
}

func (m *machine) checkCounts(t *rapid.T) {
	if err := m.tab.CheckCounts(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a flow whose host changes while it is open, counts that differ
// from the entries, new flows on hosts that accept none, refusals of flows that
// were forwarded, exceeded limits and ceilings, refusals within a guarantee, and
// flows lost by a handover or by a backup that has confirmed all copies.
func TestTableStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"open":   m.openFlow,
			"open2":  m.openFlow,
			"open3":  m.openFlow,
			"packet": m.sendPacket,
			"again":  m.sendPacket,
			"hosts":  m.changeHosts,
			"report": m.report,
			"copy":   m.transferCopies,
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "ticks") {
					m.tab.Tick(m.now)
				}
			},
			"failOver": m.failOver,
			"handOver": m.handOver,
			"":         m.checkCounts,
		})
	})
}
