package bench

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/flow"
	"egrettack.example/testkit/geneve"
	"egrettack.example/testkit/world"
)

// packetLen is an IPv4 and a TCP header and 10 bytes of payload.
const packetLen = 50

// Open opens n flows at the given rate a second, as the fabric does: a SYN and a
// data packet of each flow go to two different instances. first numbers them,
// so that two calls do not open the same. The flows are of the feed, in a large
// cluster of all kinds by turns.
func (c *Cluster) Open(first, n, instances int, rate float64) error {
	kinds := c.World.Kinds
	if !c.spec.Large {
		k, err := c.World.Kind(feed)
		if err != nil {
			return err
		}
		kinds = []world.Kind{k}
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return trace.Wrap(err, "open caller socket")
	}
	defer conn.Close()
	// The data packet follows when the SYN has surely been decided on.
	const lag = 64
	start := time.Now()
	for i := range n + lag {
		if i < n {
			c.inject(conn, flowPacket(kinds, first+i, flow.SYN), (first+i)%instances)
		}
		if i >= lag {
			c.inject(conn, flowPacket(kinds, first+i-lag, flow.ACK|flow.PSH), (first+i+7)%instances)
		}
		if due := start.Add(time.Duration(float64(i) / rate * float64(time.Second))); i%16 == 0 {
			time.Sleep(time.Until(due))
		}
	}
	return nil
}

func (c *Cluster) inject(conn *net.UDPConn, inner []byte, to int) {
	// A datagram that the loopback loses is a lost packet.
	_, _ = conn.WriteToUDPAddrPort(geneve.Append(nil, 0, inner), c.World.Instances[to].Data)
}

// flowPacket returns the packet of flow n of the test network 10.64.0.0/10.
func flowPacket(kinds []world.Kind, n int, flags flow.Flags) []byte {
	to := kinds[n%len(kinds)].Address
	dst := to.Addr().As4()
	b := make([]byte, packetLen)
	b[0], b[8], b[9] = 0x45, 64, byte(flow.TCP)
	payload := 10
	seq, ack := uint32(n)*1000+1, uint32(1000)
	if flags.Has(flow.SYN) {
		payload, seq, ack = 0, seq-1, 0
	}
	b = b[:40+payload]
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	binary.BigEndian.PutUint32(b[12:], 10<<24|64<<16|uint32(n>>14))
	copy(b[16:], dst[:])
	var sum uint32
	for i := 0; i < 20; i += 2 {
		sum += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	sum = sum>>16 + sum&0xffff
	sum += sum >> 16
	binary.BigEndian.PutUint16(b[10:], ^uint16(sum))
	binary.BigEndian.PutUint16(b[20:], 10000+uint16(n&0x3fff))
	binary.BigEndian.PutUint16(b[22:], to.Port())
	binary.BigEndian.PutUint32(b[24:], seq)
	binary.BigEndian.PutUint32(b[28:], ack)
	b[32], b[33] = 5<<4, byte(flags)
	return b
}
