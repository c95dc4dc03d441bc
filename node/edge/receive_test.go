package edge

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
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

// Guards against an instance under overload that takes all SYNs for old since its socket is never empty, and against one that takes old ones for new.
func TestAgeOfPacketsInABacklog(t *testing.T) {
	g := NewWithT(t)
	server, caller := listenLoopback(t), listenLoopback(t)
	clk := newBootClock()
	r, err := newPacketReader(server, clk)
	g.Expect(err).NotTo(HaveOccurred())
	var wg sync.WaitGroup
	var stop atomic.Bool
	wg.Go(func() {
		b := make([]byte, 34)
		for !stop.Load() {
			binary.BigEndian.PutUint64(b, uint64(clk.now()))
			if _, err := caller.WriteTo(b, server.LocalAddr()); err != nil {
				return
			}
		}
	})
	defer wg.Wait()
	defer stop.Store(true)
	const length, work = 2 * time.Second, 20 * time.Microsecond
	b := make([]byte, readBuffer)
	for began := clk.now(); clk.now()-began < length; {
		_, err := r.read(b)
		g.Expect(err).NotTo(HaveOccurred())
		sent := time.Duration(binary.BigEndian.Uint64(b))
		if r.after > clk.now() || sent+50*time.Millisecond < r.after {
			t.Fatalf("a packet that was sent at %s is said to have arrived after %s", sent, r.after)
		}
		for end := clk.now() + work; clk.now() < end; {
		}
	}
	g.Expect(clk.now() - r.after).To(BeNumerically("<", length/2))
}
