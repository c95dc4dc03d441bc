package group_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

// Guards against the refusal of a flow that was already forwarded because the
// group is full: the host may be processing its request.
func TestFullGroupForwardsKnownFlows(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(2)
	tab := f.table(group.Config{})
	n := 0
	for ; tab.Decide(0, syn(lookup, n, 100)).Verdict == group.Forward; n++ {
	}
	g.Expect(n).To(Equal(8))
	for i := range n {
		for _, r := range []*group.Request{
			syn(lookup, i, 100),
			ack(lookup, i, 100),
			request(lookup, i, flow.ACK|flow.PSH, 101, 5001, 80),
			syn(lookup, i, 100), // a late duplicate
		} {
			g.Expect(tab.Decide(time.Second, r)).To(HaveField("Verdict", group.Forward), "flow %d", i)
		}
		g.Expect(tab.Decide(time.Second, syn(lookup, n, 100))).To(HaveField("Verdict", group.Refuse))
	}
}

// Guards against a base list that reaches the backup before the copies of the
// flows that are not on their default host of this list. If the owner failed in
// between, these flows would be lost.
func TestBaseListFollowsCopiesOfAddedHost(t *testing.T) {
	f := defaultFleet(3)
	tab := f.table(group.Config{})
	tab.StartCopies(0)
	copies := group.NewCopies()
	at := make(map[int]snapshot.HostID)
	for n := range 60 {
		at[n] = open(t, tab, 0, feed, n)
	}
	now := 3 * time.Second
	step := func() bool {
		b, ok := tab.NextCopies(now, 4)
		if ok {
			ack, _ := copies.Apply(now, &b)
			tab.Acknowledge(ack)
		}
		return ok
	}
	for step() {
	}
	f.ids = append(f.ids, 4)
	s, gr := f.snapshot()
	tab.UpdateSnapshot(now, s, gr)
	for more := true; more; {
		more = step()
		entries, base, _ := copies.Promote(now)
		next := f.table(group.Config{Epoch: 2, Base: base})
		next.Import(now, entries)
		for n, h := range at {
			r := withOp(ack(feed, n, 100), group.OpDefault)
			if d := next.Decide(now, r); d.Verdict != group.Forward || d.Host != h {
				t.Fatalf("flow %d on host %d is lost by the backup: %+v", n, h, d)
			}
		}
	}
}

// Guards against retransmissions of a refused SYN that count as demand, which
// would prevent other kinds from borrowing the unused share.
func TestRefusedRetransmissionDoesNotKeepShare(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	f.slots, f.queue = 4, 0
	f.kinds[0].Occupies, f.kinds[0].Share, f.kinds[0].Ceiling = snapshot.OccupiesSlot, 0, 1
	f.kinds[1].Deadline = 0
	tab := f.table(group.Config{})
	borrow := func(now time.Duration, from int) int {
		n := 0
		for tab.Decide(now, syn(feed, from+n, 100)).Verdict == group.Forward {
			n++
		}
		return n
	}
	g.Expect(borrow(0, 0)).To(Equal(3), "one slot is reserved for the inactive kind")
	g.Expect(tab.Decide(0, syn(lookup, 1, 100)).Verdict).To(Equal(group.Forward))
	g.Expect(tab.Decide(0, syn(lookup, 2, 100)).Verdict).To(Equal(group.Refuse))
	g.Expect(tab.Decide(8*time.Second, syn(lookup, 2, 100)).Verdict).To(Equal(group.Refuse))
	for n := range 3 {
		tab.Decide(9*time.Second, request(feed, n, flow.RST, 101, 0, 0))
	}
	tab.Decide(9*time.Second, request(lookup, 1, flow.RST, 101, 0, 0))
	g.Expect(borrow(12*time.Second, 10)).To(Equal(3), "the last demand was 12 s ago")
}
