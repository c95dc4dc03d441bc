package steer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/catalog"
)

// tellEach lets the engines of two fixtures tell each other of contested flows.
func tellEach(l, other *fixture) {
	for _, pair := range [][2]*fixture{{l, other}, {other, l}} {
		for _, x := range pair[0].engine.TakeContests(pair[0].now) {
			pair[1].engine.LearnContest(pair[1].now, x)
		}
	}
}

// newContestedFlow sends a SYN and its copy through the first of two instances, which
// places them at two servers. The flow opens at the second.
func newContestedFlow(t *testing.T) (l, other *fixture, f Packet, first, second *catalog.Server) {
	l, other = newFixture(t), newFixture(t)
	f = Packet{Caller: l.newCaller(), Dest: feed, ACK: true, Seq: 101, Ack: 1}
	first = l.sendSYN(f.Caller, feed, 0).Server
	l.now += 200 * time.Millisecond
	other.now = l.now
	second = l.sendSYN(f.Caller, feed, 1).Server
	f.Token = second.Token
	return l, other, f, first, second
}

// Guards against a reset by a server whose answer to the first SYN is late: the routers have moved the flow to an instance that has seen nothing of it.
func TestLateAnswerDoesNotMoveAFlowToAnotherInstancesServer(t *testing.T) {
	l, other, f, first, second := newContestedFlow(t)
	tellEach(l, other)
	l.Expect(l.engine.Decide(l.now, &f)).To(Equal(Verdict{Action: Ask, Reason: Contested}))
	l.Expect(l.engine.DecideContested(l.now, &f).Server.ID).To(Equal(second.ID))
	tellEach(l, other)
	f.Token, f.Len = first.Token, 50
	v := other.engine.Decide(other.now, &f)
	l.Expect(v.Action).To(Equal(Forward))
	l.Expect(v.Reason).To(Equal(Contested))
	l.Expect(v.Server.ID).To(Equal(second.ID))
}

// Guards against two instances that take different servers for that of a flow, when the second gets a packet before it has been told of the first.
func TestInstanceAsksBeforeItDeliversAContestedFlow(t *testing.T) {
	l, other, f, first, second := newContestedFlow(t)
	tellEach(l, other)
	l.engine.DecideContested(l.now, &f)
	f.Token, f.Len = first.Token, 50
	l.Expect(other.engine.Decide(other.now, &f).Action).To(Equal(Ask))
	question, _ := other.engine.Contest(other.now, f.Key())
	other.engine.LearnContest(other.now, l.engine.LearnContest(l.now, question))
	l.Expect(other.engine.DecideContested(other.now, &f).Server.ID).To(Equal(second.ID))
}

// Guards against a late answer that counts for more than the opening of the flow, which an instance has seen before it knew that several servers answer.
func TestInstanceThatSawTheOpeningTellsTheServer(t *testing.T) {
	l, other, f, first, second := newContestedFlow(t)
	l.Expect(other.engine.Decide(other.now, &f).Server.ID).To(Equal(second.ID), "the news are on their way")
	tellEach(l, other)
	f.Token, f.Seq, f.Ack, f.Len = first.Token, 151, 1001, 50
	l.Expect(other.engine.Decide(other.now, &f).Server.ID).To(Equal(second.ID))
	l.Expect(l.engine.Decide(l.now, &f).Server.ID).To(Equal(second.ID))
}

// Guards against a token that changes at an instance that has not been told of the copies of the SYN.
func TestTokenThatChangesIsAskedAbout(t *testing.T) {
	l := newFixture(t)
	f := l.openFlowTo(l.serverByID(1))
	l.request(f, 101, 1)
	f.Token = l.serverByID(2).Token
	l.Expect(l.request(f, 101, 1)).To(Equal(Verdict{Action: Ask, Reason: Contested}))
	p := &Packet{Caller: f.Caller, Dest: f.Dest, ACK: true, Seq: 101, Ack: 1, Len: 50, Token: f.Token}
	l.Expect(l.engine.DecideContested(l.now, p).Server.ID).To(Equal(catalog.ServerID(1)), "no peer knows better")
	l.Expect(l.engine.TakeContests(l.now)).NotTo(BeEmpty())
}

// Guards against a second placement of a SYN whose flow is open, as a peer has told.
func TestLateCopyOfAContestedSYNIsDropped(t *testing.T) {
	l, other, f, _, _ := newContestedFlow(t)
	tellEach(l, other)
	l.engine.DecideContested(l.now, &f)
	tellEach(l, other)
	l.Expect(other.sendSYN(f.Caller, feed, 0)).To(HaveField("Reason", Duplicate))
}

// Guards against memory that grows with copies of SYNs, and against records that outlive their flows.
func TestContestsAreBounded(t *testing.T) {
	l := newFixture(t)
	for range maxContests + 10 {
		x := Contest{Key: Key{l.newCaller(), feed}, SYNSeq: 100}
		l.engine.LearnContest(l.now, x)
		l.engine.tellContest(x.Key)
	}
	l.Expect(l.engine.Contests(l.now)).To(HaveLen(maxContests))
	l.Expect(len(l.engine.TakeContests(l.now))).To(BeNumerically("<=", maxContestNews))
	l.now += time.Hour
	l.engine.Tick(l.now)
	l.Expect(l.engine.Contests(l.now)).To(BeEmpty())
}

// Guards against allocations for the packets of flows that are, and are not, contested.
func TestPacketsOfContestedFlowsNeedNoAllocation(t *testing.T) {
	l, _, contested, first, _ := newContestedFlow(t)
	l.engine.DecideContested(l.now, &contested)
	contested.Token = first.Token
	plain := Packet{Caller: l.newCaller(), Dest: feed, ACK: true, Seq: 101, Ack: 1, Token: first.Token}
	l.engine.Decide(l.now, &plain)
	for _, p := range []*Packet{&contested, &plain} {
		l.Expect(testing.AllocsPerRun(100, func() { l.engine.Decide(l.now, p) })).To(BeZero())
	}
}

// Guards against two instances that ask each other about a flow at the same time, and each take the server of their own packet.
func TestCrossingQuestionsAgreeOnTheHandshake(t *testing.T) {
	l, other, f, first, second := newContestedFlow(t)
	tellEach(l, other)
	late := f
	late.Token, late.Len = first.Token, 50
	l.Expect(other.engine.Decide(other.now, &late).Action).To(Equal(Ask))
	l.Expect(l.engine.Decide(l.now, &f).Action).To(Equal(Ask))
	for _, pair := range [][2]*fixture{{l, other}, {other, l}} {
		question, _ := pair[0].engine.Contest(pair[0].now, f.Key())
		pair[0].engine.LearnContest(pair[0].now, pair[1].engine.LearnContest(pair[1].now, question))
	}
	l.Expect(l.engine.DecideContested(l.now, &f).Server.ID).To(Equal(second.ID))
	l.Expect(other.engine.DecideContested(other.now, &late).Server.ID).To(Equal(second.ID))
}

// Guards against a flow that never opens because its first request overtook the end of its handshake.
func TestOvertakenEndOfTheHandshakeGoesToItsServer(t *testing.T) {
	l, _, f, first, second := newContestedFlow(t)
	request := f
	request.Token, request.Len = first.Token, 50
	l.Expect(l.decide(&request).Server.ID).To(Equal(first.ID))
	l.Expect(l.decide(&f).Server.ID).To(Equal(second.ID))
}

// Guards against a first request that is sent by its own token while the packet that it overtook waits beside it.
func TestWaitingPacketsAreComparedBeforeOneIsSent(t *testing.T) {
	l, _, f, first, second := newContestedFlow(t)
	request := f
	request.Token, request.Len = first.Token, 50
	l.Expect(l.engine.Decide(l.now, &request).Action).To(Equal(Ask))
	for _, p := range []*Packet{&request, &f} {
		l.engine.NoteSighting(l.now, p)
	}
	l.Expect(l.engine.DecideContested(l.now, &request).Server.ID).To(Equal(second.ID))
	l.Expect(l.engine.DecideContested(l.now, &f).Server.ID).To(Equal(second.ID))
}

// Guards against an entry of this instance that replaces what a peer has seen of the end of the handshake, once the number of the SYN is known.
func TestOwnEntryDoesNotReplaceABetterSighting(t *testing.T) {
	l := newFixture(t)
	f := l.openFlowTo(l.serverByID(1))
	l.request(f, 151, 1001)
	f.Token = l.serverByID(2).Token
	l.request(f, 151, 1001) // notes the contest without the SYN
	known := Contest{Key: Key{f.Caller, f.Dest}, SYNSeq: 151, Server: f.Token, Sighting: HandshakePacket}
	l.engine.LearnContest(l.now, known)
	known.SYNSeq, known.Server, known.Sighting = 100, 0, LaterPacket
	l.Expect(l.engine.LearnContest(l.now, known).Server).To(Equal(f.Token))
}
