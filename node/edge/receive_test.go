package edge

import (
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func listenLoopback(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against taking a packet that has waited in the socket for one that has just arrived.
func TestWaitInTheSocketCounts(t *testing.T) {
	g := NewWithT(t)
	server, caller := listenLoopback(t), listenLoopback(t)
	clk := newBootClock()
	r, err := newPacketReader(server, clk)
	g.Expect(err).NotTo(HaveOccurred())
	send := func(text string) {
		_, err := caller.WriteTo([]byte(text), server.LocalAddr())
		g.Expect(err).NotTo(HaveOccurred())
	}
	b := make([]byte, readBuffer)
	read := func() (string, time.Duration) {
		n, err := r.read(b)
		g.Expect(err).NotTo(HaveOccurred())
		return string(b[:n]), clk.now() - r.after
	}
	send("first")
	read()
	// The reader waits for long, the packet does not.
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 10 {
			time.Sleep(tickInterval)
			g.Expect(r.checkEmpty()).To(Succeed())
		}
		send("fresh")
	})
	text, age := read()
	wg.Wait()
	g.Expect(text).To(Equal("fresh"))
	g.Expect(age).To(BeNumerically("<", 5*tickInterval))
	// Nothing reads for a while.
	send("old")
	sent := clk.now()
	time.Sleep(5 * tickInterval)
	g.Expect(r.checkEmpty()).To(Succeed())
	text, age = read()
	g.Expect(text).To(Equal("old"))
	g.Expect(age).To(BeNumerically(">=", clk.now()-sent-time.Millisecond))
}
