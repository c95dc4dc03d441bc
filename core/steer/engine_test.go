package steer

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/catalog"
	"egrettack.example/core/token"
)

var (
	feed   = netip.MustParseAddrPort("198.18.0.1:443")
	upload = netip.MustParseAddrPort("198.18.0.2:443")
)

func server(id catalog.ServerID, service, domain string) catalog.Server {
	return catalog.Server{
		ID: id, Started: 1, Service: service, Domain: domain, Slots: 2, Revision: catalog.Revision(id),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
	}
}

// lab is an engine with two feed servers in its own failure domain, one
// elsewhere, and an upload server.
type lab struct {
	*WithT
	e       *Engine
	c       *catalog.Catalog
	now     time.Duration
	callers uint16
}

func newLab(t *testing.T) *lab {
	c := catalog.New()
	c.Apply(1, 1, 1, &catalog.Change{
		Revision: 10, Full: true,
		Config: &catalog.Config{Version: 1, Routes: []catalog.Route{
			{Dest: feed, Targets: []catalog.Target{{Service: "feed", Weight: 1}}},
			{Dest: upload, Targets: []catalog.Target{{Service: "upload", Weight: 1}}},
		}},
		Servers: []catalog.Server{
			server(1, "feed", "a"), server(2, "feed", "a"), server(3, "feed", "b"), server(4, "upload", "a"),
		},
	})
	return &lab{WithT: NewWithT(t), e: New(Config{Domain: "a", Seed: 1}, c), c: c, now: time.Second}
}

func (l *lab) caller() netip.AddrPort {
	l.callers++
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), 1024+l.callers)
}

func (l *lab) syn(from, to netip.AddrPort, n int) Verdict {
	return l.e.Decide(l.now, &Packet{Caller: from, Dest: to, SYN: true, Seq: 100, Retransmits: n})
}

// answer is the first packet after the handshake with a server.
func (l *lab) answer(from, to netip.AddrPort, s *catalog.Server) Verdict {
	return l.e.Decide(l.now, &Packet{Caller: from, Dest: to, ACK: true, Seq: 101, Ack: 1, Token: s.Token})
}

func (l *lab) known(id catalog.ServerID) (found *catalog.Server) {
	l.c.EachServer(func(s *catalog.Server) {
		if s.ID == id {
			found = s
		}
	})
	return found
}

// Guards against packets lost right after a start: before the catalog is
// complete they are held.
func TestHoldsBeforeTheFirstList(t *testing.T) {
	g := NewWithT(t)
	e := New(Config{Domain: "a"}, catalog.New())
	v := e.Decide(1, &Packet{Dest: feed, SYN: true})
	g.Expect(v.Action).To(Equal(Hold))
	g.Expect(v.Reason).To(Equal(NotLoaded))
}

// Guards against flows to services that the address does not lead to, and
// against bytes between failure domains while the own one has servers free.
func TestPlacesInTheOwnDomain(t *testing.T) {
	l := newLab(t)
	for range 4 {
		v := l.syn(l.caller(), feed, 0)
		l.Expect(v.Action).To(Equal(Forward))
		l.Expect(v.Server.ID).To(BeElementOf(catalog.ServerID(1), catalog.ServerID(2)))
	}
	l.Expect(l.syn(l.caller(), upload, 0).Server.ID).To(Equal(catalog.ServerID(4)))
}

// Guards against flows that leave the domain for the open flows of its servers,
// which do nothing most of the time, while those elsewhere are not known.
func TestOpenFlowsDoNotDriveFlowsAway(t *testing.T) {
	l := newLab(t)
	for range 160 {
		from := l.caller()
		s := l.syn(from, feed, 0).Server
		l.Expect(s.Domain).To(Equal("a"))
		l.answer(from, feed, s)
		// A request and its answer.
		l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: 101, Ack: 1, Len: 50, Token: s.Token})
		l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: 151, Ack: 1001, Token: s.Token})
	}
}

// Guards against a long queue in the own domain while another domain is idle.
func TestSpillsToAnotherDomain(t *testing.T) {
	l := newLab(t)
	got := map[catalog.ServerID]int{}
	// Two servers of two slots, with two more requests waiting for each slot.
	for range 2*2*(1+2) + 4 {
		got[l.syn(l.caller(), feed, 0).Server.ID]++
	}
	l.Expect(got[3]).To(BeNumerically(">", 0))
	l.Expect(got[1] - got[2]).To(BeNumerically("~", 0, 1))
}

// Guards against new flows to servers that leave.
func TestDrainingServersGetNoFlows(t *testing.T) {
	l := newLab(t)
	leaving := server(1, "feed", "a")
	leaving.Draining, leaving.Revision = true, 11
	l.c.Apply(l.now, l.now, l.now, &catalog.Change{Revision: 11, Servers: []catalog.Server{leaving}})
	for range 8 {
		l.Expect(l.syn(l.caller(), feed, 0).Server.ID).NotTo(Equal(catalog.ServerID(1)))
	}
	// Its open flows stay.
	l.Expect(l.answer(l.caller(), feed, l.known(1)).Action).To(Equal(Forward))
}

// Guards against flows that stay at an instance: an instance that has never
// seen a flow delivers its packets by the token.
func TestDeliversFlowsOfOthers(t *testing.T) {
	l := newLab(t)
	v := l.e.Decide(l.now, &Packet{Caller: l.caller(), Dest: feed, ACK: true, Seq: 500, Ack: 9, Len: 10, Token: l.known(3).Token})
	l.Expect(v.Action).To(Equal(Forward))
	l.Expect(v.Server.ID).To(Equal(catalog.ServerID(3)))
}

// Guards against a caller that reaches a server of another service with a
// token of its choice.
func TestTokensLeadToServicesOfTheRouteOnly(t *testing.T) {
	l := newLab(t)
	v := l.answer(l.caller(), feed, l.known(4))
	l.Expect(v.Action).To(Equal(Drop))
	l.Expect(v.Reason).To(Equal(WrongService))
}

// Guards against the address of a server that ended being used again by
// another service: the flow's packets name the old server, not the address.
func TestAddressUsedAgain(t *testing.T) {
	l := newLab(t)
	old := l.known(1)
	next := server(7, "upload", "a")
	next.Addr, next.Revision = old.Addr, 12
	l.c.Apply(l.now, l.now, l.now, &catalog.Change{
		Revision: 12, Servers: []catalog.Server{next}, Removed: []catalog.Removal{{ID: 1, Revision: 11}},
	})
	v := l.answer(l.caller(), feed, old)
	l.Expect(v.Server.ID).To(Equal(catalog.ServerID(1)))
	l.Expect(l.syn(l.caller(), upload, 0).Server.ID).To(BeElementOf(catalog.ServerID(4), catalog.ServerID(7)))
}

// Guards against flows that wait for a server that lost them: its new start
// has a new token, and the old flows are refused at once.
func TestServerBackUnderItsNumber(t *testing.T) {
	l := newLab(t)
	old := l.known(1)
	again := server(1, "feed", "a")
	again.Started, again.Revision = 2, 11
	l.c.Apply(l.now, l.now, l.now, &catalog.Change{Revision: 11, Servers: []catalog.Server{again}})
	v := l.answer(l.caller(), feed, old)
	l.Expect(v.Action).To(Equal(Reset))
	l.Expect(v.Reason).To(Equal(ServerGone))
	l.Expect(l.known(1).Token).NotTo(Equal(old.Token))
}

// Guards against a copy of an opening packet that goes to the same silent
// server again, and against counting the flow twice.
func TestCopiesGoElsewhere(t *testing.T) {
	l := newLab(t)
	from := l.caller()
	first := l.syn(from, feed, 0).Server
	l.now += 200 * time.Millisecond
	second := l.syn(from, feed, 1).Server
	l.Expect(second).NotTo(Equal(first))
	l.Expect(l.e.load(first).open).To(Equal(0))
	l.Expect(l.e.load(second).open).To(Equal(1))
	l.Expect(l.e.FlowCount()).To(Equal(1))
}

// Guards against a flow torn between two servers that both answered the
// opening packets: the token that the caller returns is that of the last
// answer, the flow is where the first packet after the handshake went.
func TestFlowStaysWhereItOpened(t *testing.T) {
	l := newLab(t)
	from := l.caller()
	first := l.syn(from, feed, 0).Server
	l.now += 200 * time.Millisecond
	second := l.syn(from, feed, 1).Server
	l.Expect(l.answer(from, feed, first).Server).To(Equal(first))
	v := l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: 101, Ack: 1, Len: 5, Token: second.Token})
	l.Expect(v.Server).To(Equal(first))
}

// Guards against new flows to a server that has fallen silent, long before its
// entry lapses, and against leaving it out for good.
func TestSilentServersAreAvoidedAndTried(t *testing.T) {
	l := newLab(t)
	silent := l.syn(l.caller(), feed, 0).Server
	l.now += 2 * silentAfter
	for range 6 {
		from := l.caller()
		v := l.syn(from, feed, 0)
		l.Expect(v.Server).NotTo(Equal(silent))
		l.answer(from, feed, v.Server)
	}
	l.now += trialEvery
	var trial netip.AddrPort
	for range 6 {
		if from := l.caller(); l.syn(from, feed, 0).Server == silent {
			trial = from
		}
	}
	l.Expect(trial.IsValid()).To(BeTrue())
	// One sign of life takes it back.
	l.answer(trial, feed, silent)
	l.Expect(l.e.load(silent).silent(l.now + 2*silentAfter)).To(BeFalse())
}

// Guards against all new flows going to a dead server whose entry lapsed while
// the store was away: it stays in use for a while, and its account has to be
// the one that the choice looks at.
func TestLapsedServersAreAvoidedWhenSilent(t *testing.T) {
	l := newLab(t)
	l.now = time.Minute
	dead := l.known(1)
	l.c.Apply(l.now, l.now, l.now, &catalog.Change{
		Revision: 12, Full: true, Servers: []catalog.Server{server(2, "feed", "a"), server(4, "upload", "a")},
	})
	l.e.pool("feed") // collects the candidates
	l.e.Tick(l.now)
	got := 0
	for range 40 {
		l.now += 20 * time.Millisecond
		from := l.caller()
		v := l.syn(from, feed, 0)
		if v.Server.ID == dead.ID {
			got++
		} else {
			l.answer(from, feed, v.Server)
			l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, RST: true, Token: v.Server.Token})
		}
		l.e.Tick(l.now)
	}
	l.Expect(got).To(BeNumerically("<=", 5), "flows placed on the dead server before it was avoided")
}

// Guards against refusals for want of a server that answers: when all are
// silent, new flows still go to one.
func TestAllSilent(t *testing.T) {
	l := newLab(t)
	for range 9 {
		l.syn(l.caller(), feed, 0)
	}
	l.now += 2 * silentAfter
	l.Expect(l.syn(l.caller(), feed, 0).Action).To(Equal(Forward))
}

// Guards against packets of addresses without a route reaching any server.
func TestNoRoute(t *testing.T) {
	l := newLab(t)
	other := netip.MustParseAddrPort("198.18.0.9:443")
	l.Expect(l.syn(l.caller(), other, 0)).To(Equal(Verdict{Action: Reset, Reason: NoRoute}))
	l.Expect(l.e.Decide(l.now, &Packet{Caller: l.caller(), Dest: other, RST: true}).Action).To(Equal(Drop))
}

// Guards against resets of flows whose server this instance merely does not
// know: an unknown token is refused only when the store was good for long
// enough before and read since.
func TestUnknownTokens(t *testing.T) {
	l := newLab(t)
	p := &Packet{Caller: l.caller(), Dest: feed, ACK: true, Ack: 5, Token: 12345}
	l.Expect(l.e.Decide(l.now, p).Action).To(Equal(Hold))
	l.Expect(l.e.DecideHeld(l.now, l.now, p).Action).To(Equal(Hold))
	l.Expect(l.e.HoldTimeoutVerdict().Action).To(Equal(Drop))
	for range 8 {
		l.now += 500 * time.Millisecond
		l.c.Confirm(l.now, 10)
	}
	heldAt := l.now - 100*time.Millisecond
	l.Expect(l.e.DecideHeld(l.now, heldAt, p)).To(Equal(Verdict{Action: Reset, Reason: ServerGone}))
	l.Expect(l.e.DecideHeld(l.now, l.now+1, p).Action).To(Equal(Hold), "the store was not read since the packet came")
}

// Guards against work that is counted for ever: requests and flows whose end
// went through another instance are forgotten.
func TestForgetsWorkOfOthers(t *testing.T) {
	l := newLab(t)
	from := l.caller()
	s := l.syn(from, feed, 0).Server
	l.answer(from, feed, s)
	l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: 101, Ack: 1, Len: 50, Token: s.Token})
	l.Expect(l.e.load(s).busy).To(Equal(1))
	for range 20 {
		l.now += requestLimit / 4
		l.e.Tick(l.now)
	}
	l.Expect(l.e.load(s).busy).To(Equal(0))
	l.Expect(l.e.load(s).open).To(Equal(1))
	for range 40 {
		l.now += time.Second
		l.e.Tick(l.now)
	}
	l.Expect(l.e.FlowCount()).To(Equal(0))
	l.Expect(l.e.load(s).open).To(Equal(0))
}

// Guards against a count of work that drifts: a request begins with data and
// ends with the acknowledgement of its answer.
func TestRequestsOfALongFlow(t *testing.T) {
	l := newLab(t)
	from := l.caller()
	s := l.syn(from, feed, 0).Server
	seq, ack := uint32(101), uint32(1<<32-2500) // positions wrap round on the way
	l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: seq, Ack: ack, Token: s.Token})
	l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: seq, Ack: ack, Len: 50, Token: s.Token})
	seq += 50
	for range 5 {
		ack += 1000
		l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: seq, Ack: ack, Token: s.Token})
		l.Expect(l.e.load(s).busy).To(Equal(0))
		l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: seq, Ack: ack, Len: 50, Token: s.Token})
		l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, Seq: seq, Ack: ack, Len: 50, Token: s.Token}) // sent again
		l.Expect(l.e.load(s).busy).To(Equal(1))
		seq += 50
	}
	l.e.Decide(l.now, &Packet{Caller: from, Dest: feed, ACK: true, FIN: true, Seq: seq, Ack: ack + 10, Token: s.Token})
	l.Expect(l.e.load(s).busy).To(Equal(0))
	l.Expect(l.e.load(s).open).To(Equal(0))
}

// Guards against tokens that no server can have.
func TestPacketWithoutToken(t *testing.T) {
	l := newLab(t)
	v := l.e.Decide(l.now, &Packet{Caller: l.caller(), Dest: feed, ACK: true, Token: token.Token(0)})
	l.Expect(v).To(Equal(Verdict{Action: Drop, Reason: NoToken}))
}
