package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/steer"
	wire "egrettack.example/wire/fleet"
)

// panickingPackets panics on packets that begin with "PANIC".
type panickingPackets struct{ fakePackets }

func (f panickingPackets) Decode(b []byte, p *steer.Packet) error {
	if strings.HasPrefix(string(b), "PANIC") {
		panic("malformed packet")
	}
	return f.fakePackets.Decode(b, p)
}

// Guards against one malformed packet, peer message, call or item of the store that
// ends the process, and against a failure that leaves the instance locked.
func TestPanicIsContained(t *testing.T) {
	l := newHarness(t)
	l.packets = panickingPackets{fakePackets{l.dest}}
	l.store.panics = 1
	i := l.start(1, l.store)
	l.Eventually(i.log.String).Should(MatchRegexp(`msg="a failure was contained" in="read of the store" error="malformed item"`))
	l.Eventually(func() int { return l.readyStatus(1) }).Should(Equal(http.StatusOK))
	l.sendPacket(1, "PANIC")
	l.Eventually(i.log.String).Should(MatchRegexp(`msg="a failure was contained" in=packet error="malformed packet"`))
	i.mu.Lock()
	i.peers.send = func([]byte, netip.AddrPort) error { panic("malformed message") }
	i.mu.Unlock()
	gossip, err := wire.Encode(&wire.Message{Kind: wire.Gossip, Domain: "a"})
	l.Expect(err).NotTo(HaveOccurred())
	c, err := net.Dial("udp4", netip.AddrPortFrom(l.ip(1), 7720).String())
	l.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = c.Write(gossip)
	l.Expect(err).NotTo(HaveOccurred())
	l.Eventually(i.log.String).Should(MatchRegexp(`msg="a failure was contained" in="peer message"`))
	i.mu.Lock()
	i.peers.send = func([]byte, netip.AddrPort) error { return nil }
	members := i.peers.fleet
	i.peers.fleet = nil
	i.mu.Unlock()
	_, err = FetchStatus(context.Background(), netip.AddrPortFrom(l.ip(1), 7720))
	l.Expect(err).To(MatchError(ContainSubstring("see the log of the instance")))
	i.mu.Lock()
	i.peers.fleet = members
	i.mu.Unlock()
	l.sendPacket(1, "SYN")
	l.Expect(l.receive(time.Second)).To(Equal("host-1 SYN"))
}

// failingListener fails to accept a number of connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

var errTooManyFiles = errors.New("accept4: too many open files")

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, errTooManyFiles
	}
	return f.Listener.Accept()
}

// Guards against an instance that ends because connections cannot be accepted for
// a while, as when its file descriptors are used up.
func TestAcceptErrorsAreSurvived(t *testing.T) {
	l := newHarness(t)
	i := l.start(1, l.store)
	l.Eventually(func() int { return l.readyStatus(1) }).Should(Equal(http.StatusOK))
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	l.Expect(err).NotTo(HaveOccurred())
	f := &failingListener{Listener: plain}
	f.failures.Store(3)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.serveCalls(ctx, f) }()
	l.Eventually(func() error {
		_, err := FetchStatus(context.Background(), plain.Addr().(*net.TCPAddr).AddrPort())
		return err
	}, "5s").Should(Succeed())
	cancel()
	l.Expect(<-done).NotTo(HaveOccurred())
	l.Expect(i.log.String()).To(ContainSubstring(fmt.Sprintf("error=%q", errTooManyFiles)))
}
