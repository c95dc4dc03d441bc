package group_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

var secondGroup = snapshot.GroupID{Service: 7, Domain: 2, Index: 1}

// Guards against forwarding a packet of a known flow to another host.
func TestFlowKeepsItsHost(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(5)
	tab := f.table(group.Config{})
	for n := range 50 {
		h := open(t, tab, 0, feed, n)
		for _, r := range []*group.Request{
			syn(feed, n, 100), // retransmission
			syn(feed, n, 999), // another SYN while the flow is open
			request(feed, n, flow.ACK|flow.PSH, 101, 5001, 80),
			withOp(ack(feed, n, 100), group.OpLookup),
			withOp(ack(feed, n, 100), group.OpDefault),
		} {
			g.Expect(tab.Decide(time.Second, r)).To(And(
				HaveField("Verdict", group.Forward), HaveField("Host", h)))
		}
	}
}

// Guards against treating a new flow on a reused 5-tuple as the earlier flow.
func TestReusedTupleIsANewFlow(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	f.slots, f.queue = 1, 0
	tab := f.table(group.Config{})
	open(t, tab, 0, lookup, 1)
	g.Expect(tab.Decide(0, syn(lookup, 2, 100)).Verdict).To(Equal(group.Refuse))
	tab.Decide(0, request(lookup, 1, flow.FIN|flow.ACK, 101, 5001, 0))
	g.Expect(tab.Stats(0).Hosts[0].Slots).To(BeZero())
	open(t, tab, 0, lookup, 2)
	d := tab.Decide(0, syn(lookup, 1, 7777))
	g.Expect(d).To(And(HaveField("Verdict", group.Refuse), HaveField("Reason", group.ReasonNoSlot)))
	g.Expect(d.Reset).To(Equal(flow.Reset{Key: key(lookup, 1), Ack: 7778, WithAck: true}))
}

// Guards against ending a flow because of a forged RST, which the host ignores.
func TestForgedResetIsForwardedOnly(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	open(t, tab, 0, feed, 1)
	tab.Decide(0, request(feed, 1, flow.RST, 0x7fff0000, 0, 0))
	g.Expect(tab.Stats(0).Hosts[0].Connections).To(Equal(1))
	tab.Decide(0, request(feed, 1, flow.RST, 101, 0, 0))
	g.Expect(tab.Stats(0).Hosts[0].Connections).To(BeZero())
}

// Guards against placing a spilled flow again, or spilling it twice.
func TestSpillOnce(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	f.slots, f.queue = 1, 0
	tab := f.table(group.Config{})
	open(t, tab, 0, lookup, 1)
	r := syn(lookup, 2, 100)
	r.SpillTo = secondGroup
	g.Expect(tab.Decide(0, r)).To(And(HaveField("Verdict", group.Redirect), HaveField("Group", secondGroup)))
	tab.Decide(0, request(lookup, 1, flow.RST, 101, 0, 0))
	g.Expect(tab.Decide(0, r).Verdict).To(Equal(group.Redirect), "a SYN retransmitted after a slot became free")
	g.Expect(tab.Decide(0, ack(lookup, 2, 100)).Group).To(Equal(secondGroup))

	open(t, tab, 0, lookup, 3)
	s := withOp(syn(lookup, 4, 100), group.OpSpill)
	s.SpillTo = secondGroup
	g.Expect(tab.Decide(0, s).Verdict).To(Equal(group.Refuse), "a spilled flow is not spilled again")
}

// Guards against forwarding a flow without an entry to its default host when
// another instance may have an entry for it, or when its address has moved.
func TestMissAndDefault(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(5)
	tab := f.table(group.Config{})
	g.Expect(tab.Decide(0, ack(feed, 1, 100)).Verdict).To(Equal(group.Miss))
	g.Expect(tab.Decide(0, withOp(ack(feed, 1, 100), group.OpLookup)).Verdict).To(Equal(group.Miss))
	moved := withOp(ack(feed, 1, 100), group.OpDefault)
	moved.NoDefault = true
	g.Expect(tab.Decide(0, moved)).To(And(HaveField("Verdict", group.Drop), HaveField("Reason", group.ReasonMoved)))
	d := tab.Decide(0, withOp(ack(feed, 1, 100), group.OpDefault))
	g.Expect(d.Verdict).To(Equal(group.Forward))
	g.Expect(tab.Decide(0, ack(feed, 1, 100))).To(HaveField("Host", d.Host), "the flow has an entry now")
	g.Expect(tab.Stats(0).Flows).To(Equal(1))
}

// Guards against forwarding flows of a removed host to another host, and against
// leaving them without a reset.
func TestHostGoneResetsFlows(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(2)
	tab := f.table(group.Config{})
	at := make(map[int]snapshot.HostID)
	for n := range 10 {
		at[n] = open(t, tab, 0, feed, n)
	}
	f.ids = f.ids[1:]
	s, gr := f.snapshot()
	tab.UpdateSnapshot(time.Second, s, gr)
	aborts := 0
	for n := range 5 {
		d := tab.Decide(time.Second, ack(feed, n, 100))
		if at[n] != 1 {
			g.Expect(d).To(And(HaveField("Verdict", group.Forward), HaveField("Host", at[n])))
			continue
		}
		g.Expect(d.Verdict).To(Equal(group.Abort))
		g.Expect(d.Reset).To(Equal(flow.Reset{Key: key(feed, n), Seq: 5001}))
		aborts++
	}
	g.Expect(aborts).To(BeNumerically(">", 0))
	for range 2000 {
		aborts += len(tab.Tick(time.Second))
	}
	g.Expect(aborts).To(Equal(5))
	g.Expect(tab.Stats(time.Second)).To(HaveField("Flows", 5))
}

// Guards against counting or placing a flow that is only a learned redirect here.
func TestLearn(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(2)
	tab := f.table(group.Config{})
	own := snapshot.GroupID{Service: 7, Domain: 1}
	tab.Learn(0, &message.Learn{Group: own, HeldBy: secondGroup, Entry: message.Entry{Key: key(feed, 1), Kind: feed, ISN: 9, Established: true}})
	g.Expect(tab.Decide(0, ack(feed, 1, 9))).To(And(HaveField("Verdict", group.Redirect), HaveField("Group", secondGroup)))
	g.Expect(tab.Stats(0).Hosts[0].Connections + tab.Stats(0).Hosts[1].Connections).To(BeZero())
	tab.Learn(0, &message.Learn{Group: own, HeldBy: own, Entry: message.Entry{Key: key(feed, 2), Host: 2, Kind: feed, ISN: 9, Established: true}})
	g.Expect(tab.Decide(0, ack(feed, 2, 9))).To(And(HaveField("Verdict", group.Forward), HaveField("Host", snapshot.HostID(2))))
}

// Guards against resetting flows of a host on which all flows stall, and against
// not resetting a flow that stalls while other flows of its host make progress.
func TestSilentFlowIsReset(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	open(t, tab, 0, feed, 1)
	open(t, tab, 0, feed, 2)
	data := request(feed, 1, flow.ACK|flow.PSH, 101, 5001, 50)
	for _, ms := range []int{0, 200, 600, 1400, 3000} {
		g.Expect(tab.Decide(time.Duration(ms)*time.Millisecond, data).Verdict).To(Equal(group.Forward))
	}
	tab.Decide(3500*time.Millisecond, request(feed, 2, flow.ACK, 101, 6000, 0))
	d := tab.Decide(6200*time.Millisecond, data)
	g.Expect(d).To(And(HaveField("Verdict", group.Abort), HaveField("Reason", group.ReasonSilent)))
	g.Expect(d.Reset).To(Equal(flow.Reset{Key: key(feed, 1), Seq: 5001}))
	g.Expect(tab.Stats(0).Hosts[0].Connections).To(Equal(1))
}

// Guards against treating keep-alives, which repeat sequence numbers by design,
// as retransmissions of a silent flow.
func TestKeepAlivesAreNotSilence(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	open(t, tab, 0, feed, 1)
	open(t, tab, 0, feed, 2)
	tab.Decide(0, request(feed, 1, flow.ACK|flow.PSH, 101, 5001, 50))
	for i := range 20 {
		now := time.Duration(i+1) * 15 * time.Second
		tab.Decide(now, request(feed, 2, flow.ACK, 101, 6000+uint32(i), 0))
		g.Expect(tab.Decide(now, request(feed, 1, flow.ACK, 150, 5001, uint16(i%2))).Verdict).To(Equal(group.Forward))
	}
}

// Guards against sending datagrams of one flow to different hosts, and against
// replying to UDP datagrams that are not placed.
func TestUDP(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(3)
	f.max = 2
	tab := f.table(group.Config{})
	first := tab.Decide(0, syn(probe, 1, 0))
	g.Expect(first.Verdict).To(Equal(group.Forward))
	g.Expect(tab.Decide(time.Second, syn(probe, 1, 0))).To(Equal(first))
	for n := 2; n < 10; n++ {
		if d := tab.Decide(0, syn(probe, n, 0)); d.Verdict != group.Forward {
			g.Expect(d).To(Equal(group.Decision{Verdict: group.Drop, Reason: group.ReasonUDPUnavailable}))
		}
	}
	for i := range 2000 {
		tab.Tick(time.Duration(i) * 50 * time.Millisecond)
	}
	g.Expect(tab.Stats(0).Flows).To(BeZero(), "UDP flows end by the idle time-out")
}

// Guards against placing new flows on a host whose kernel responds but whose
// program hangs.
func TestEjection(t *testing.T) {
	for name, fail := range map[string]func(tab *group.Table, now time.Duration, n int){
		"no handshake": func(tab *group.Table, now time.Duration, n int) {
			tab.Decide(now+time.Second, syn(lookup, n, 100))
		},
		"no answer": func(tab *group.Table, now time.Duration, n int) {
			tab.Decide(now, ack(lookup, n, 100))
			for range 4 {
				tab.Decide(now+time.Second, request(lookup, n, flow.ACK|flow.PSH, 101, 5001, 40))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := defaultFleet(3)
			tab := f.table(group.Config{})
			failed := 0
			place := func(now time.Duration, n int) snapshot.HostID {
				h := tab.Decide(now, syn(lookup, n, 100)).Host
				if h == 1 {
					fail(tab, now, n)
					failed++
				} else {
					tab.Decide(now, ack(lookup, n, 100))
					tab.Decide(now, request(lookup, n, flow.ACK, 101, 5002, 0))
				}
				tab.Decide(now, request(lookup, n, flow.RST, 101, 0, 0))
				return h
			}
			for n := range 40 {
				place(0, n)
			}
			g.Expect(failed).To(Equal(3))
			g.Expect(tab.Stats(0).Hosts[0].Why).To(Equal("ejected"))
			tab.Tick(6 * time.Second)
			g.Expect(tab.Stats(0).Hosts[0].Usable).To(BeTrue(), "usable again after the back-off")
			for n := 40; n < 80; n++ {
				place(6*time.Second, n)
			}
			g.Expect(failed).To(Equal(4), "one more failure ejects it again")
			tab.Tick(12 * time.Second)
			g.Expect(tab.Stats(0).Hosts[0].Usable).To(BeFalse(), "the back-off doubles")
		})
	}
}

// reordered opens flows and sends a burst of eight segments on each, of which four
// are lost and the others overtake each other on their ways through several
// instances.
func reordered(t *testing.T, tab *group.Table, flows int) {
	for n := range flows {
		open(t, tab, 0, feed, n)
		for _, i := range []uint32{7, 1, 3, 4} {
			r := request(feed, n, flow.ACK, 101+1000*i, 5001, 1000)
			NewWithT(t).Expect(tab.Decide(time.Duration(n)*time.Millisecond, r).Verdict).To(Equal(group.Forward))
		}
	}
}

// Guards against ejecting a host because segments of new flows overtook each other.
func TestReorderedSegmentsDoNotEject(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(3)
	tab := f.table(group.Config{})
	reordered(t, tab, 30)
	for _, h := range tab.Stats(0).Hosts {
		g.Expect(h.Connections).To(BeNumerically(">=", 3), "three failures eject a host")
		g.Expect(h.Usable).To(BeTrue(), "host %d: %s", h.Host, h.Why)
	}
}

// Guards against resetting a flow whose segments overtook each other at its first
// retransmission, which comes after 3 s if the SYN was retransmitted too (RFC 6298, 5.7).
func TestReorderedSegmentsAreNotSilence(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	reordered(t, tab, 2)
	tab.Decide(2500*time.Millisecond, request(feed, 1, flow.ACK, 8101, 6000, 0))
	r := request(feed, 0, flow.ACK, 101, 5001, 1000)
	g.Expect(tab.Decide(3*time.Second, r)).To(HaveField("Verdict", group.Forward))
	for range 2000 {
		g.Expect(tab.Tick(3500 * time.Millisecond)).To(BeEmpty())
	}
}

// Guards against no reset of a flow that is silent although each of its
// retransmissions, in bursts of several segments, begins below the highest one.
func TestRetransmittedBurstsAreSilence(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	open(t, tab, 0, feed, 1)
	open(t, tab, 0, feed, 2)
	for _, ms := range []int{0, 200, 600, 1400} {
		for seq := range uint32(3) {
			r := request(feed, 1, flow.ACK, 101+1000*seq, 5001, 1000)
			g.Expect(tab.Decide(time.Duration(ms+int(seq))*time.Millisecond, r).Verdict).To(Equal(group.Forward))
		}
	}
	tab.Decide(2900*time.Millisecond, request(feed, 2, flow.ACK, 101, 6000, 0))
	d := tab.Decide(3*time.Second, request(feed, 1, flow.ACK, 101, 5001, 1000))
	g.Expect(d).To(And(HaveField("Verdict", group.Abort), HaveField("Reason", group.ReasonSilent)))
}
