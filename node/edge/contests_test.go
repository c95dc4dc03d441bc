package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/catalog"
	"egrettack.example/core/fleet"
	"egrettack.example/core/steer"
	"egrettack.example/core/token"
)

// startContested starts an instance with two servers that share a socket, and sends it the
// first copy of a SYN, whose original it has not seen.
func startContested(t *testing.T) (*harness, *runningInstance) {
	l := newHarness(t)
	second := l.store.state.Servers[0]
	second.ID, second.Name, second.Revision = 2, "host-2", 5
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: l.ip(98).AsSlice()})
	l.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	second.Addr = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	l.store.state.Servers = append(l.store.state.Servers, second)
	first := l.store.state.Servers[0].Addr
	go func() { // passes what host-2 gets to the socket of the harness
		b := make([]byte, readBuffer)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(b[:n], first)
		}
	}()
	i := l.start(1, l.store)
	l.Eventually(func() int { return l.readyStatus(1) }).Should(Equal(http.StatusOK))
	return l, i
}

// openContested opens a flow at host-2 by way of instance 1, whose SYN another server may
// have got as well.
func (l *harness) openContested() {
	l.sendPacket(1, "SYN1")
	l.Expect(l.receive(time.Second)).To(HaveSuffix(" SYN1"))
	l.sendPacket(1, packetOf(2, "open"))
	l.Expect(l.receive(time.Second)).To(Equal("host-2 " + packetOf(2, "open")))
}

// packetOf returns a packet with the token of a server.
func packetOf(id catalog.ServerID, request string) string {
	return fmt.Sprint(uint64(token.ForServer(uint64(id))), " ", request)
}

// Guards against a flow that moves with the token of a late answer when the routers send it to another instance.
func TestLateAnswerDoesNotMoveAFlowThatChangesItsInstance(t *testing.T) {
	l, i := startContested(t)
	l.start(2, l.store)
	l.Eventually(func() int { return l.readyStatus(2) }).Should(Equal(http.StatusOK))
	l.openContested()
	l.Eventually(i.log.String).Should(MatchRegexp(`msg="contested flow" caller=\S+ dest=\S+ token=\d+ seen=first_data not_answered=0`))
	l.sendPacket(2, packetOf(1, "late"))
	l.Expect(l.receive(time.Second)).To(Equal("host-2 " + packetOf(1, "late")))
}

// Guards against an instance that starts, becomes ready and does not know of contested flows.
func TestStartingInstanceKnowsContestedFlows(t *testing.T) {
	l, _ := startContested(t)
	l.openContested()
	l.start(2, l.store)
	l.Eventually(func() int { return l.readyStatus(2) }).Should(Equal(http.StatusOK))
	l.sendPacket(2, packetOf(1, "late"))
	l.Expect(l.receive(time.Second)).To(Equal("host-2 " + packetOf(1, "late")))
}

// Guards against a planned stop that leaves contested flows to an instance that does not know them.
func TestStoppingInstanceLeavesContestedFlowsToOneThatStays(t *testing.T) {
	l, i := startContested(t)
	i.mu.Lock()
	i.settings.StopGrace.Duration = 6 * time.Second
	i.mu.Unlock()
	l.openContested()
	i.stop()
	time.Sleep(2 * minDrainTime)
	select {
	case <-i.done:
		t.Fatal("the instance left before another one had its contested flows")
	default:
	}
	l.start(2, l.store)
	l.Eventually(func() int { return l.readyStatus(2) }).Should(Equal(http.StatusOK))
	l.Expect(<-i.done).To(Succeed())
	i.done <- nil // for the cleanup
	l.sendPacket(2, packetOf(1, "late"))
	l.Expect(l.receive(time.Second)).To(Equal("host-2 " + packetOf(1, "late")))
}

// Guards against packets that wait for the answer of a peer that has died.
func TestDeadPeerDoesNotHoldUpContestedFlows(t *testing.T) {
	l, i := startContested(t)
	i.mu.Lock()
	i.peers.fleet.RecordMessage(i.clock.now(), fleet.Identity{Addr: netip.MustParseAddr("127.70.0.77"), Domain: "a"})
	i.mu.Unlock()
	l.openContested()
	l.Eventually(i.log.String).Should(MatchRegexp(`msg="contested flow" .* not_answered=1 waited=\d+\.?\d*ms packets=1`))
}

// Guards against an instance of a large domain that tells, and is told of, contested flows only by some of its peers for seconds after its start.
func TestStartedInstanceKnowsItsDomain(t *testing.T) {
	const members, domains = 100, 2
	w := newSimulation(members, domains, 1, t.Fatalf)
	w.run(20 * time.Second)
	m := w.members[7]
	m.restart(time.Minute) // the others forget it
	w.run(time.Minute + contestWait)
	g := NewWithT(t)
	g.Expect(len(m.flowPeers(m.clock.now()))).To(BeNumerically(">=", members/domains-1))
	for n, x := range w.members {
		if x != m && x.domain == m.domain {
			g.Expect(x.flowPeers(x.clock.now())).To(ContainElement(m.addr), "member %d", n)
		}
	}
}

// contest lets the member place the copy of a SYN, and get the first packet of its flow.
func (m *member) contest(n int) {
	p := steer.Packet{
		Caller: netip.AddrPortFrom(m.addr, uint16(n)), Dest: m.sim.lastConfig().Routes[0].Dest,
		SYN: true, Seq: m.sim.random.Uint32(), Retransmits: 1,
	}
	now := m.clock.now()
	m.execute(now, 0, m.engine.Decide(now, &p), &p, nil, nil)
	p.SYN, p.ACK, p.Seq, p.Token = false, true, p.Seq+1, token.ForServer(1)
	m.schedule(10*time.Millisecond, func() {
		now := m.clock.now()
		m.execute(now, 0, m.engine.Decide(now, &p), &p, nil, nil)
	})
}

// Guards against control traffic above the limit when a share of the SYNs, or of their answers, is lost.
func TestControlTrafficOfContestedFlows(t *testing.T) {
	const (
		lasts            = 20 * time.Second
		members          = 420
		newFlowsASecond  = 40
		contestedPercent = 0.2 // 0.1% of the packets lost
	)
	w := newSimulation(members, 7, 1, t.Fatalf)
	w.publishRoutes(w.makeRoutes(1))
	w.servers = []catalog.Server{{
		ID: 1, Name: "host-1", Started: 1, Service: w.lastConfig().Routes[0].Targets[0].Service, Domain: "d0", Slots: 1000, Revision: 1,
		Addr: netip.MustParseAddrPort("10.9.9.9:80"),
	}}
	w.run(30 * time.Second)
	closed := listenLoopback(t)
	closed.Close()
	for _, m := range w.members {
		m.packets, m.socket = fakePackets{}, closed
		m.receivedBytes, m.sentBytes = 0, 0
	}
	contested := 0
	for range int(lasts.Seconds() * members * newFlowsASecond * contestedPercent / 100) {
		m := w.members[w.random.IntN(members)]
		contested++
		n := contested
		m.schedule(time.Duration(w.random.Int64N(int64(lasts))), func() { m.contest(n) })
	}
	w.run(lasts)
	most, sum, known := 0, 0, 0
	for _, m := range w.members {
		most, sum, known = max(most, m.sentBytes, m.receivedBytes), sum+m.sentBytes, max(known, m.engine.ContestCount())
	}
	perSecond := int(lasts / time.Second)
	t.Logf("%d contested flows: busiest %d B/s, mean %d B/s sent; a member knows up to %d", contested, most/perSecond, sum/perSecond/members, known)
	if most/perSecond > controlLimit {
		t.Errorf("a member sends or receives %d B/s, want at most %d", most/perSecond, controlLimit)
	}
	if known < contested/7/2 {
		t.Errorf("members know up to %d contested flows, want those of their domain, about %d", known, contested/7)
	}
}

// Guards against an instance that wakes after a pause and decides on a contested flow before it reads what its peers answered meanwhile.
func TestQuestionOfAPausedInstanceIsNotDecidedOn(t *testing.T) {
	g := NewWithT(t)
	clk := &manualClock{time: time.Second}
	i := newIdleInstance(clk, &partStore{})
	i.packets = fakePackets{}
	i.peers.send = func([]byte, netip.AddrPort) error { return nil }
	i.peers.background = func(f func()) { f() }
	var asked sync.Once
	i.sleep = func(context.Context, time.Duration) error {
		asked.Do(i.mu.Unlock) // as when f runs concurrently
		clk.time += 3 * time.Second
		return nil
	}
	i.peers.fleet.RecordMessage(clk.time, fleet.Identity{Addr: netip.MustParseAddr("10.0.0.2"), Domain: "a"})
	p := &steer.Packet{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Dest: netip.MustParseAddrPort("198.18.0.1:443"), ACK: true, Seq: 1, Token: 5}
	i.engine.LearnContest(clk.time, steer.Contest{Key: p.Key()})
	i.mu.Lock()
	i.askPeers(clk.time, nil, p)
	x, _ := i.engine.Contest(clk.time, p.Key())
	g.Expect(x.Server).To(BeZero())
	g.Expect(i.contests.questions).To(BeEmpty())
}

// Guards against a peer that never hears of a contested flow because it could not be reached for a while.
func TestPeerThatWasCutOffIsToldOfContestedFlows(t *testing.T) {
	const members = 3
	w := newSimulation(members, 1, 1, t.Fatalf)
	w.publishRoutes(w.makeRoutes(1))
	w.servers = []catalog.Server{{
		ID: 1, Name: "host-1", Started: 1, Service: w.lastConfig().Routes[0].Targets[0].Service, Domain: "d0", Slots: 1000, Revision: 1,
		Addr: netip.MustParseAddrPort("10.9.9.9:80"),
	}}
	w.run(5 * time.Second)
	closed := listenLoopback(t)
	closed.Close()
	for _, m := range w.members {
		m.packets, m.socket = fakePackets{}, closed
	}
	w.partition(1, 4*time.Second)
	w.members[0].contest(1)
	w.members[1].contest(2)
	w.members[2].contest(3)
	w.run(4*time.Second + 2*questionRepeatInterval)
	g := NewWithT(t)
	for n, m := range w.members {
		g.Expect(m.engine.ContestCount()).To(Equal(members), "member %d", n)
	}
}
