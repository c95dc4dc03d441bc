package place

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	conn = snapshot.OccupiesConnection
	slot = snapshot.OccupiesSlot
)

func hosts(n int) []*snapshot.Host {
	var list []*snapshot.Host
	for i := range n {
		list = append(list, &snapshot.Host{
			ID: snapshot.HostID(i + 1), Slots: 2, QueueLimit: 2, ConnectionLimit: 50, Capacity: 2, WarmUp: 20 * time.Second,
		})
	}
	return list
}

// placeAll places n flows and returns how many each host got.
func placeAll(s *HostSet, now time.Duration, n int, o snapshot.Occupancy, preferred snapshot.HostID) map[snapshot.HostID]int {
	got := map[snapshot.HostID]int{}
	for range n {
		h := s.Choose(now, o, preferred)
		if h == nil {
			break
		}
		h.AddFlow(1, o == slot)
		got[h.ID]++
	}
	return got
}

// Guards against uneven spread, a preferred host that is not preferred, and
// limits that are exceeded.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name      string
		flows     int
		occupies  snapshot.Occupancy
		preferred snapshot.HostID
		want      map[snapshot.HostID]int
	}{
		{"the default wins a tie", 1, conn, 2, map[snapshot.HostID]int{2: 1}},
		{"connections go to the least loaded", 6, conn, 2, map[snapshot.HostID]int{1: 2, 2: 2, 3: 2}},
		{"the default's free slots come first", 2, slot, 2, map[snapshot.HostID]int{2: 2}},
		{"then the least loaded", 6, slot, 2, map[snapshot.HostID]int{1: 2, 2: 2, 3: 2}},
		{"slots and queues are limits", 100, slot, 2, map[snapshot.HostID]int{1: 4, 2: 4, 3: 4}},
		{"connections are a limit", 1000, conn, 2, map[snapshot.HostID]int{1: 50, 2: 50, 3: 50}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(placeAll(New(hosts(3)), 0, c.flows, c.occupies, c.preferred)).To(Equal(c.want))
		})
	}
}

// Guards against a cold host that gets its full part at once, or never.
func TestSlowStart(t *testing.T) {
	g := NewWithT(t)
	s := New(hosts(2))
	known := func(id snapshot.HostID) bool { return id == 3 }
	s.Update(0, hosts(3), known)
	h := s.Find(3)
	g.Expect(placeAll(s, 0, 60, conn, 3)[3]).To(BeNumerically("~", 3, 1), "60 connections by 2 : 2 : 0.2")
	g.Expect(s.Find(1).Weight(0, conn)).To(Equal(2.0))
	g.Expect(h.Weight(0, conn)).To(BeNumerically("~", 0.2))
	g.Expect(h.Weight(10*time.Second, slot)).To(BeNumerically("~", 1.1))
	g.Expect(h.Weight(20*time.Second, conn)).To(Equal(2.0))
}

// Guards against load reports that take a host out, outlive their time, or
// unbalance long-lived connections.
func TestLoadReports(t *testing.T) {
	g := NewWithT(t)
	s := New(hosts(3))
	h := s.Find(1)
	s.ApplyReport(0, 1, message.LoadReport{Load: 1})
	g.Expect(h.Weight(0, slot)).To(Equal(0.5))
	g.Expect(h.Weight(0, conn)).To(Equal(2.0))
	g.Expect(h.Usable()).To(BeTrue())
	g.Expect(h.Weight(4*time.Second, slot)).To(BeNumerically("~", 1.5))
	s.ApplyReport(0, 1, message.LoadReport{Load: 0.5})
	g.Expect(h.Weight(0, slot)).To(Equal(2.0), "within what lag explains")
}

// Guards against a fleet that health endpoints talk out of use.
func TestOwnWordIsLimitedToHalf(t *testing.T) {
	g := NewWithT(t)
	s := New(hosts(5))
	for id := snapshot.HostID(5); id > 0; id-- {
		s.ApplyReport(time.Duration(10-id)*time.Second, id, message.LoadReport{Draining: true})
	}
	usable := 0
	for _, h := range s.All() {
		if h.Usable() {
			usable++
		}
	}
	g.Expect(usable).To(Equal(3))
	g.Expect(s.Find(5).UnusableReason()).To(Equal("draining by its own report"), "the first to say so")
	s.ApplyReport(time.Minute, 5, message.LoadReport{})
	g.Expect(s.Find(5).Usable()).To(BeTrue())
	g.Expect(s.Find(3).Usable()).To(BeFalse(), "the next in line")

	s = New(hosts(5))
	for range probeMisses {
		g.Expect(s.Find(1).Usable()).To(BeTrue())
		s.ApplyReport(0, 1, message.LoadReport{ProbeFailed: true})
	}
	g.Expect(s.Find(1).UnusableReason()).To(Equal("health probe failed"))

	list := hosts(2)
	for _, h := range list {
		h.State = snapshot.HostDraining
	}
	s = New(list)
	g.Expect(s.Choose(0, conn, 1)).To(BeNil(), "the publication has no such limit")
}

// Guards against ejecting most of a group when the failures are elsewhere.
func TestEjectionIsLimitedToAThird(t *testing.T) {
	for size, want := range map[int]int{1: 0, 2: 0, 3: 1, 5: 1, 6: 2} {
		s := New(hosts(size))
		ejected := 0
		for _, h := range s.All() {
			for range failLimit {
				if s.RecordFailure(0, h, FailedHandshake) {
					ejected++
				}
			}
		}
		if ejected != want {
			t.Errorf("group of %d: %d ejected, want %d", size, ejected, want)
		}
	}
}

// Guards against an ejection without end, or without back-off.
func TestEjectionBacksOff(t *testing.T) {
	g := NewWithT(t)
	s := New(hosts(3))
	h := s.Find(1)
	now, waits := time.Duration(0), []time.Duration{}
	for range 9 {
		for !h.ejected {
			s.RecordFailure(now, h, FailedData)
		}
		waits = append(waits, h.ejectedUntil-now)
		now = h.ejectedUntil
		s.Tick(now)
	}
	g.Expect(waits[:3]).To(Equal([]time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second}))
	g.Expect(waits[8]).To(Equal(5 * time.Minute))
	s.RecordProgress(now, h)
	for range failLimit {
		s.RecordFailure(now, h, FailedData)
	}
	g.Expect(h.ejectedUntil-now).To(Equal(5*time.Second), "progress ends the back-off")
}

// Guards against an estimate of the wait that ignores slow hosts or the queue.
func TestWait(t *testing.T) {
	g := NewWithT(t)
	s := New(hosts(3))
	h := s.Find(1)
	const expected = 10 * time.Millisecond
	g.Expect(h.ExpectedWait(expected)).To(BeZero())
	h.AddFlow(1, true)
	h.AddFlow(1, true)
	h.AddFlow(1, true)
	g.Expect(h.ExpectedWait(expected)).To(Equal(10*time.Millisecond), "two ahead on two slots")
	for _, h := range s.All() {
		took := expected
		if h.ID == 1 {
			took = 6 * expected // four share two slots, so half of it is waiting
		}
		for range 2000 {
			h.AddFlow(1, true)
			h.RecordRequest(took)
			h.RemoveFlow(1, true)
		}
	}
	g.Expect(h.TimeInSlot(expected)).To(BeNumerically("~", 3*expected, expected/10))
	s.Tick(0)
	g.Expect(h.Weight(0, slot)).To(BeNumerically("~", 2.0/3, 0.01), "a slow host gets less")
	g.Expect(s.Find(2).Weight(0, slot)).To(Equal(2.0))
}

// Guards against flows of other instances that are not counted, or for ever.
func TestForeignCounts(t *testing.T) {
	g := NewWithT(t)
	s := New(hosts(2))
	s.SetForeignCounts(0, 9, []message.HostCount{{Host: 1, Connections: 10, Slots: 2}})
	s.SetForeignCounts(0, 8, []message.HostCount{{Host: 1, Connections: 5}})
	g.Expect(s.Find(1).TotalConnections()).To(Equal(15))
	g.Expect(s.Choose(0, slot, 1).ID).To(Equal(snapshot.HostID(2)))
	s.SetForeignCounts(foreignFor, 8, []message.HostCount{{Host: 1, Connections: 5}})
	s.Tick(foreignFor + 1)
	g.Expect(s.Find(1).TotalConnections()).To(Equal(5))
}
