package admit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/snapshot"
)

const (
	ticket snapshot.KindID = iota + 1
	photo
	feed
	spare // no share
)

// control has 20 places and 100 connections, all free.
func control() *Controller {
	c := New([]*snapshot.Kind{
		{ID: ticket, Class: 0, Share: 0.3, Ceiling: 0.8, Occupies: snapshot.OccupiesSlot},
		{ID: photo, Class: 2, Share: 0.2, Ceiling: 0.9, Occupies: snapshot.OccupiesSlot},
		{ID: feed, Class: 1, Share: 0.001, Ceiling: 1, Occupies: snapshot.OccupiesConnection},
		{ID: spare, Class: 3, Ceiling: 1, Occupies: snapshot.OccupiesSlot},
	})
	c.SetCapacity(snapshot.OccupiesSlot, 20)
	c.SetFree(snapshot.OccupiesSlot, 20)
	c.SetCapacity(snapshot.OccupiesConnection, 100)
	c.SetFree(snapshot.OccupiesConnection, 100)
	return c
}

// fill admits requests of a kind until one is refused and returns their number.
func fill(c *Controller, now time.Duration, k snapshot.KindID) (int, Decision) {
	for n := 0; ; n++ {
		c.RecordDemand(now, k)
		if r := c.Check(now, k); r != Admitted {
			return n, r
		}
		c.AddInUse(k, 1)
		c.SetFree(snapshot.OccupiesSlot, c.pools[snapshot.OccupiesSlot].free-1)
	}
}

// Guards against a share that is rounded to nothing or up to more than it is.
func TestGuarantees(t *testing.T) {
	g := NewWithT(t)
	c := control()
	for k, want := range map[snapshot.KindID]int{ticket: 6, photo: 4, feed: 1, spare: 0} {
		g.Expect(c.Guarantee(k)).To(Equal(want), "kind %d", k)
	}
	c.Configure([]*snapshot.Kind{{ID: ticket, Share: 0.29, Occupies: snapshot.OccupiesSlot}})
	c.SetCapacity(snapshot.OccupiesSlot, 100)
	g.Expect(c.Guarantee(ticket)).To(Equal(29), "0.29 x 100 is below 29 in floating point")
}

// Guards against a flood that takes what others are guaranteed, and against
// guaranteed capacity that lies idle while nobody wants it.
func TestBorrowing(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name   string
		before func(c *Controller)
		kind   snapshot.KindID
		want   int
		why    Decision
	}{
		{"idle kinds keep one place each", func(*Controller) {}, spare, 18, Reserved},
		{"ceiling", func(*Controller) {}, ticket, 16, Ceiling},
		{"an active kind keeps its guarantee", func(c *Controller) { c.RecordDemand(now-9*time.Second, ticket) }, photo, 14, Reserved},
		{"a kind is active for 10 s", func(c *Controller) { c.RecordDemand(now-10*time.Second, ticket) }, photo, 18, Ceiling},
		{"what is in use is no longer reserved", func(c *Controller) {
			c.RecordDemand(now, ticket)
			c.AddInUse(ticket, 5)
			c.SetFree(snapshot.OccupiesSlot, 15)
		}, photo, 14, Reserved},
		{"a kind that yields keeps its guarantee", func(c *Controller) { c.RecordRefusal(now-199*time.Millisecond, ticket) }, photo, 4, Yielding},
		{"yielding ends", func(c *Controller) { c.RecordRefusal(now-200*time.Millisecond, ticket) }, photo, 18, Ceiling},
		{"the more urgent does not yield", func(c *Controller) { c.RecordRefusal(now, photo) }, ticket, 16, Ceiling},
		{"other resources do not yield", func(c *Controller) { c.RecordRefusal(now, feed) }, photo, 18, Ceiling},
		{"no place", func(c *Controller) { c.SetFree(snapshot.OccupiesSlot, 0) }, ticket, 0, Full},
		{"not configured", func(*Controller) {}, 99, 0, Undefined},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctl := control()
			c.before(ctl)
			n, why := fill(ctl, now, c.kind)
			g.Expect(n).To(Equal(c.want))
			g.Expect(why).To(Equal(c.why))
		})
	}
}

// Guards against a flood that lets its requests wait in front of those of kinds
// within their guarantees, and against hindering kinds that nobody competes with.
func TestFloodsOthers(t *testing.T) {
	g := NewWithT(t)
	c := control()
	c.AddInUse(photo, 4)
	c.RecordRefusal(0, photo)
	g.Expect(c.StarvesOthers(0, photo)).To(BeFalse(), "nobody else has demand")
	c.RecordDemand(0, ticket)
	g.Expect(c.StarvesOthers(0, photo)).To(BeTrue())
	g.Expect(c.StarvesOthers(YieldWindow, photo)).To(BeFalse(), "the flood is over")
	c.AddInUse(ticket, 6)
	g.Expect(c.StarvesOthers(0, photo)).To(BeFalse(), "the other has its guarantee")
	c.AddInUse(ticket, -1)
	c.AddInUse(photo, -1)
	g.Expect(c.StarvesOthers(0, photo)).To(BeFalse(), "within its own guarantee")
}
