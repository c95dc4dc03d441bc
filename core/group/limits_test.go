package group_test

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Guards against requests that wait longer than their deadline, and against an
// estimate of the wait that includes callers that have disappeared, which would
// refuse requests on idle hosts.
func TestDeadlineRefusesByEstimatedWait(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	f.queue = 40
	f.kinds[1].Deadline, f.kinds[1].ServiceTime = 50*time.Millisecond, 10*time.Millisecond
	tab := f.table(group.Config{})
	const later = time.Minute
	for n := range 2 {
		open(t, tab, 0, lookup, 100+n)
	}
	for range 500 {
		tab.Tick(later)
	}
	g.Expect(tab.Stats(later).Flows).To(BeZero())
	admitted := 0
	for n := range 40 {
		d := tab.Decide(later, syn(lookup, n, 100))
		if d.Verdict != group.Forward {
			g.Expect(d.Reason).To(Equal(group.ReasonDeadline))
			break
		}
		admitted++
	}
	// Two run. The k-th of those that wait has an estimated wait of
	// k x 10 ms / 2 slots.
	g.Expect(admitted).To(Equal(2 + 10))
}

// Guards against queueing requests while the second group may have free slots,
// and against unlimited spilling when all groups are busy.
func TestEarlySpill(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(2)
	f.queue = 10
	tab := f.table(group.Config{})
	var spilled []int
	for n := range 28 {
		r := syn(lookup, n, 100)
		r.SpillTo = secondGroup
		if d := tab.Decide(0, r); d.Verdict == group.Redirect {
			spilled = append(spilled, n)
		}
	}
	// With four requests waiting for the two slots of each host, the estimated
	// wait is twice the time in a slot.
	g.Expect(spilled).To(Equal([]int{10, 11, 12, 13}), "at most as many as the group has slots")
	tab.Decide(0, request(lookup, 10, flow.FIN|flow.ACK, 101, 5001, 0))
	r := syn(lookup, 99, 100)
	r.SpillTo = secondGroup
	g.Expect(tab.Decide(0, r).Verdict).To(Equal(group.Redirect), "one spilled flow has ended")
}

// Guards against a flood that fills the table with redirects or other entries.
func TestTableLimits(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	f.max = 1
	tab := f.table(group.Config{})
	open(t, tab, 0, feed, 0)
	redirects := 0
	for n := 1; n < 3000; n++ {
		r := syn(feed, n, 100)
		r.SpillTo = secondGroup
		if tab.Decide(0, r).Verdict == group.Redirect {
			redirects++
		}
	}
	g.Expect(redirects).To(Equal(1024))

	f = defaultFleet(1)
	tab = f.table(group.Config{MaxFlows: 3})
	for n := range 3 {
		open(t, tab, 0, feed, n)
	}
	g.Expect(tab.Decide(0, syn(feed, 3, 100))).To(And(
		HaveField("Verdict", group.Refuse), HaveField("Reason", group.ReasonTableFull)))
	g.Expect(tab.Decide(0, withOp(ack(feed, 4, 100), group.OpDefault)).Verdict).To(Equal(group.Forward))
	g.Expect(tab.Stats(0).Flows).To(Equal(3), "a flow without an entry is forwarded but gets no entry")
}

// Guards against retransmissions of a refused SYN that count as demand, which
// would keep capacity reserved for a kind without new flows.
func TestRefusedRetransmissionIsNotDemand(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	f.slots, f.queue = 1, 3
	f.kinds[1].Share, f.kinds[1].Ceiling, f.kinds[1].Deadline = 0.5, 0.5, 0
	other := *f.kinds[1]
	other.ID, other.Name, other.Class, other.Share, other.Ceiling = 4, "other", 1, 0, 1
	f.kinds = append(f.kinds, &other)
	tab := f.table(group.Config{})
	for n := range 2 {
		open(t, tab, 0, lookup, n)
	}
	refused := syn(lookup, 2, 100)
	for s := range 12 {
		g.Expect(tab.Decide(time.Duration(s)*time.Second, refused).Verdict).To(Equal(group.Refuse))
	}
	for n := range 2 {
		tab.Decide(12*time.Second, request(lookup, n, flow.RST, 101, 0, 0))
	}
	admitted := 0
	for n := range 5 {
		r := syn(lookup, 50+n, 100)
		r.Kind, r.Packet.Key.DstPort = 4, 7004
		if tab.Decide(12*time.Second, r).Verdict == group.Forward {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(3), "of four places one is reserved for the inactive kind")
}

// Guards against slots that stay in use for callers that never complete the
// handshake, and against not counting a flow whose handshake completes late.
func TestUnfinishedHandshake(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	tab.Decide(0, syn(lookup, 1, 100))
	g.Expect(tab.Stats(0).Hosts[0].Slots).To(Equal(1))
	tick := func(now time.Duration) {
		for range 200 {
			tab.Tick(now)
		}
	}
	tick(11 * time.Second)
	g.Expect(tab.Stats(0)).To(And(HaveField("Flows", 1), HaveField("Hosts", ConsistOf(HaveField("Slots", 0)))))
	tab.Decide(12*time.Second, ack(lookup, 1, 100))
	g.Expect(tab.Stats(0).Hosts[0].Slots).To(Equal(1))
	tab.Decide(12*time.Second, syn(lookup, 2, 100))
	tick(53 * time.Second)
	g.Expect(tab.Stats(0).Flows).To(BeZero())
}

// Guards against resetting a flow whose earlier SYN carried a request (TCP fast
// open): the caller would repeat a request that the host may have processed.
func TestSYNToRemovedHostIsDropped(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(2)
	tab := f.table(group.Config{})
	h := tab.Decide(0, syn(lookup, 1, 100)).Host
	f.ids = []snapshot.HostID{3 - h}
	s, gr := f.snapshot()
	tab.UpdateSnapshot(0, s, gr)
	g.Expect(tab.Decide(time.Second, syn(lookup, 1, 100))).To(Equal(
		group.Decision{Verdict: group.Drop, Reason: group.ReasonHostGone}))
}

// Guards against resetting a flow of another instance as silent because its
// sequence numbers are not known yet.
func TestImportedFlowIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	tab.Import(0, []message.Entry{{Key: key(feed, 1), Host: 1, Kind: feed, ISN: 100, Established: true, Age: time.Hour}})
	open(t, tab, 0, feed, 2)
	// The flow has sent 3 GB, so its sequence numbers appear to be before its ISN.
	for i := range 20 {
		now := time.Duration(i) * time.Second
		tab.Decide(now, request(feed, 2, flow.ACK, 101, 6000+uint32(i), 0))
		seq := uint32(3<<30) + uint32(i)*50
		g.Expect(tab.Decide(now, request(feed, 1, flow.ACK|flow.PSH, seq, 5001, 50)).Verdict).To(Equal(group.Forward))
	}
}

// Guards against resetting flows on hosts that moved to another group, and
// against not reporting them to the owner of that group.
func TestHostMovedToAnotherGroup(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(4)
	tab := f.table(group.Config{})
	hosts := map[int]snapshot.HostID{}
	held := uint32(0)
	for n := range 12 {
		if hosts[n] = open(t, tab, 0, feed, n); hosts[n] == 4 {
			held++
		}
	}
	s, gr := f.snapshot()
	smaller := *gr
	smaller.Hosts = gr.Hosts[:3]
	tab.UpdateSnapshot(0, s, &smaller)
	for n, h := range hosts {
		g.Expect(tab.Decide(0, ack(feed, n, 100))).To(And(HaveField("Verdict", group.Forward), HaveField("Host", h)))
	}
	g.Expect(tab.ForeignCounts()).To(Equal([]message.HostCount{{Host: 4, Connections: held}}))
	for n := 20; n < 40; n++ {
		g.Expect(open(t, tab, 0, feed, n)).NotTo(Equal(snapshot.HostID(4)))
	}
}

// Guards against copying short flows, and flows whose host the backup can derive
// because it is their default host.
func TestOnlyOldFlowsOffDefaultHostAreCopied(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(3)
	tab := f.table(group.Config{})
	tab.StartCopies(0)
	reference := f.table(group.Config{}) // used to compute default hosts
	wantCopied, closedEarly := 0, 0
	for n := range 60 {
		h := open(t, tab, 0, feed, n)
		if reference.Decide(0, withOp(ack(feed, n, 100), group.OpDefault)).Host == h {
			continue
		}
		if closedEarly < 5 {
			tab.Decide(time.Second, request(feed, n, flow.FIN|flow.ACK, 101, 5001, 0))
			closedEarly++
			continue
		}
		wantCopied++
	}
	count := func(now time.Duration) (n int) {
		for b, ok := tab.NextCopies(now, 7); ok; b, ok = tab.NextCopies(now, 7) {
			n += len(b.Entries)
			tab.Acknowledge(ackOf(&b))
		}
		return n
	}
	g.Expect(wantCopied).To(BeNumerically(">", 0))
	g.Expect(count(1750 * time.Millisecond)).To(BeZero())
	// A flow older than 2 s must survive the owner's failure, so it is copied earlier.
	g.Expect(count(1850 * time.Millisecond)).To(Equal(wantCopied))
	g.Expect(count(time.Minute)).To(BeZero())
	for n := range 60 {
		tab.Decide(time.Minute, request(feed, n, flow.RST, 101, 0, 0))
	}
	for range 500 {
		tab.Tick(2 * time.Minute)
	}
	ended := 0
	for b, ok := tab.NextCopies(2*time.Minute, 7); ok; b, ok = tab.NextCopies(2*time.Minute, 7) {
		ended += len(b.Ended)
		tab.Acknowledge(ackOf(&b))
	}
	g.Expect(ended).To(Equal(wantCopied), "the backup is told of the end of all copied flows")
}

// Guards against copies that remain after the end of their stream or epoch, and
// against batches applied out of order.
func TestBackupAppliesBatchesInOrder(t *testing.T) {
	g := NewWithT(t)
	entry := func(n int) []message.Entry { return []message.Entry{{Key: key(feed, n), Host: 2, Kind: feed}} }
	c := group.NewCopies()
	apply := func(epoch, seq uint64, n int) bool {
		_, ok := c.Apply(0, &message.CopyBatch{Epoch: epoch, Seq: seq, Entries: entry(n), Base: []snapshot.HostID{snapshot.HostID(epoch)}})
		return ok
	}
	g.Expect(apply(3, 2, 0)).To(BeFalse(), "the first batch is missing")
	g.Expect(apply(3, 1, 1)).To(BeTrue())
	g.Expect(apply(3, 3, 3)).To(BeFalse(), "a batch is missing")
	g.Expect(apply(3, 2, 2)).To(BeTrue())
	g.Expect(apply(3, 1, 9)).To(BeTrue(), "a retransmitted batch is confirmed")
	g.Expect(c.Len()).To(Equal(2))
	g.Expect(apply(2, 1, 4)).To(BeFalse(), "an older epoch")
	g.Expect(apply(3, 1<<32|1, 5)).To(BeTrue(), "a new stream in the same epoch")
	g.Expect(c.Len()).To(Equal(1))
	g.Expect(apply(4, 1, 6)).To(BeTrue(), "a new epoch")
	entries, base, epoch := c.Promote(time.Second)
	g.Expect(entries).To(HaveLen(1))
	g.Expect(entries[0].Age).To(Equal(time.Second))
	g.Expect(base).To(Equal([]snapshot.HostID{4}))
	g.Expect(epoch).To(Equal(uint64(4)))
}

// Guards against a base list that reaches the backup before the copies that it
// requires: the backup must be able to take over after any batch.
func TestBaseListFollowsCopies(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(3)
	tab := f.table(group.Config{})
	copies := group.NewCopies()
	tab.StartCopies(0)
	hosts := map[int]snapshot.HostID{} // hosts by flow number; the backup must know these at any time
	fresh := map[int]snapshot.HostID{} // the backup must know these once all copies are acknowledged
	now := time.Duration(0)
	var s *snapshot.Snapshot
	var gr *snapshot.Group
	check := func(flows map[int]snapshot.HostID) {
		entries, base, _ := copies.Promote(now)
		nextOwner := group.New(now, group.Config{Snapshot: s, Group: gr, Epoch: 2, Base: base})
		nextOwner.Import(now, entries)
		for n, h := range flows {
			r := withOp(ack(feed, n, 100), group.OpLookup)
			d := nextOwner.Decide(now, r)
			if d.Verdict == group.Miss {
				d = nextOwner.Decide(now, withOp(r, group.OpDefault))
			}
			g.Expect(d).To(HaveField("Host", h), "flow %d with base list %v", n, base)
		}
	}
	next := 0
	for _, ids := range [][]snapshot.HostID{{1, 2, 3}, {1, 2, 3, 4}, {1, 2, 3, 4, 5, 6}, {1, 2, 3}} {
		f.ids = ids
		s, gr = f.snapshot()
		tab.UpdateSnapshot(now, s, gr)
		for len(fresh) < 20 {
			fresh[next] = open(t, tab, now, feed, next)
			next++
		}
		now += 3 * time.Second
		if ids[len(ids)-1] > 3 {
			for range 10 { // all batches are lost
				now += 100 * time.Millisecond
				tab.NextCopies(now, 100)
			}
			g.Expect(tab.BaseSettled()).To(BeFalse(), "the backup has confirmed nothing")
		}
		for i := range 100 {
			now += 300 * time.Millisecond
			b, ok := tab.NextCopies(now, 4)
			if ok && i%3 != 0 { // every third datagram is lost
				if ack, ok := copies.Apply(now, &b); ok && i%4 != 0 {
					tab.Acknowledge(ack)
				}
			}
			check(hosts)
			if tab.CopiesSettled() {
				check(fresh)
			}
		}
		g.Expect(tab.CopiesSettled()).To(BeTrue())
		maps.Copy(hosts, fresh)
		clear(fresh)
		maps.DeleteFunc(hosts, func(_ int, h snapshot.HostID) bool { return h > 3 }) // the last host list ends these flows
	}
}

// Guards against a handover after a change of the host list that gives flows
// without an entry another default host.
func TestPullReplyHasInitialBaseList(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(4)
	initial := []snapshot.HostID{1, 2, 3}
	tab := f.table(group.Config{Base: initial})
	tab.StartCopies(0)
	for now := time.Duration(0); !tab.CopiesSettled(); now += time.Second {
		if b, ok := tab.NextCopies(now, 9); ok {
			tab.Acknowledge(ackOf(&b))
		}
	}
	g.Expect(tab.Pull(0, 0, 10)).To(And(HaveField("Base", initial), HaveField("Done", true)))
	g.Expect(tab.Decide(0, syn(feed, 1, 100))).To(And(
		HaveField("Verdict", group.Miss), HaveField("Reason", group.ReasonHandover)))
	tab.CancelPull()
	open(t, tab, 0, feed, 1)
}

// Guards against an explanation that differs from the decision, or that changes
// the state of the table.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(2)
	f.max = 1
	tab := f.table(group.Config{})
	for n := range 2 {
		told := tab.Explain(0, key(feed, n), feed)
		h := open(t, tab, 0, feed, n)
		g.Expect(told).To(HaveSuffix("a new flow goes to host %d", h))
		g.Expect(tab.Explain(0, key(feed, n), feed)).To(HavePrefix("entry on host %d: state=established", h))
	}
	g.Expect(tab.Explain(0, key(feed, 2), feed)).To(HaveSuffix("no room: no_slot (admission: ceiling, in use 2, guaranteed 1)"))
	r := syn(feed, 2, 100)
	r.SpillTo = secondGroup
	tab.Decide(0, r)
	g.Expect(tab.Explain(0, key(feed, 2), feed)).To(Equal("redirected to group 7.2.1"))
	g.Expect(tab.Explain(0, key(feed, 3), 99)).To(Equal("no entry; kind 99 is not defined"))
}

// Guards against a next owner that misses changes made while pages are sent, or
// that counts flows closed in the meantime.
func TestPullIncludesConcurrentChanges(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(5)
	f.queue = 10
	owner, nextOwner := f.table(group.Config{}), f.table(group.Config{Epoch: 2})
	for n := range 12 {
		open(t, owner, 0, lookup, n)
	}
	n, cursor := 0, uint64(0)
	for {
		reply := owner.Pull(0, cursor, 2)
		nextOwner.Import(0, reply.Entries)
		if cursor = reply.Next; reply.Done {
			break
		}
		if n < 12 {
			flags := []flow.Flags{flow.FIN | flow.ACK, flow.RST, flow.ACK}[n%3]
			owner.Decide(0, request(lookup, n, flags, 101, 5001, 0))
			open(t, owner, 0, lookup, 20+n)
			n++
		}
	}
	g.Expect(n).To(Equal(12))
	for i, h := range owner.Stats(0).Hosts {
		g.Expect(nextOwner.Stats(0).Hosts[i]).To(And(HaveField("Slots", h.Slots), HaveField("Connections", h.Connections)))
	}
	g.Expect(nextOwner.CheckCounts()).To(Succeed())
	for n := range 32 {
		if n < 12 || n >= 20 {
			want := owner.Decide(0, withOp(ack(lookup, n, 100), group.OpLookup))
			got := nextOwner.Decide(0, withOp(ack(lookup, n, 100), group.OpLookup))
			g.Expect(got.Host).To(Equal(want.Host), "flow %d", n)
		}
	}
}
