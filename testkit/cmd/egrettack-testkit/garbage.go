package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/geneve"
	"egrettack.example/testkit/world"
)

type garbageCommand struct {
	withWorld
	Count int    `long:"count" default:"2000" description:"datagrams to each port"`
	Seed  uint64 `long:"seed" default:"1"`
	Args  struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"yes" required:"yes"`
}

func (c *garbageCommand) Execute([]string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	i, err := w.Instance(c.Args.Instance)
	if err != nil {
		return err
	}
	rnd := rand.New(rand.NewPCG(c.Seed, 5))
	for _, a := range []netip.AddrPort{i.Data, i.Control} {
		if err := c.datagrams(a, rnd, w); err != nil {
			return err
		}
	}
	for _, a := range []netip.AddrPort{i.RPC, i.HTTP} {
		if err := c.stream(a, rnd); err != nil {
			return err
		}
	}
	return nil
}

// pace keeps the socket buffer of the receiver from hiding most datagrams.
const pace = 20 * time.Microsecond

func (c *garbageCommand) datagrams(to netip.AddrPort, rnd *rand.Rand, w *world.World) error {
	conn, err := net.Dial("udp4", to.String())
	if err != nil {
		return trace.Wrap(err, "dial %s", to)
	}
	defer conn.Close()
	for n := range c.Count {
		d := random(rnd, rnd.IntN(1400))
		if n%2 == 0 {
			d = forged(rnd, w)
		}
		// The receiver may be gone; that it still serves is checked elsewhere.
		_, _ = conn.Write(d)
		time.Sleep(pace)
	}
	return nil
}

// forged returns a valid Geneve datagram for an address of a service, with
// random options, flags, ports and lengths.
func forged(rnd *rand.Rand, w *world.World) []byte {
	k := w.Kinds[rnd.IntN(len(w.Kinds))]
	inner := random(rnd, 20+rnd.IntN(60))
	inner[0], inner[9] = 0x45, 6
	dst := k.Address.Addr().As4()
	copy(inner[16:], dst[:])
	// An address outside all pools of callers.
	copy(inner[12:], []byte{10, 99, byte(rnd.Uint32()), byte(rnd.Uint32())})
	if len(inner) > 34 {
		inner[22], inner[23] = byte(k.Address.Port()>>8), byte(k.Address.Port())
		// Never a SYN: a forged SYN is a new flow like any other.
		inner[33] &^= 2
	}
	d := geneve.Append(nil, rnd.Uint32()&0xffffff, inner)
	if rnd.IntN(2) == 0 {
		return d
	}
	words := rnd.IntN(8)
	d[0] = byte(words)
	out := append(append([]byte(nil), d[:8]...), random(rnd, words*4)...)
	if words > 0 {
		out[8], out[9], out[10] = 0xff, 0xf0, 1
	}
	return append(out, d[8:]...)
}

func (c *garbageCommand) stream(to netip.AddrPort, rnd *rand.Rand) error {
	for range 20 {
		conn, err := net.DialTimeout("tcp4", to.String(), time.Second)
		if err != nil {
			return trace.Wrap(err, "dial %s", to)
		}
		_, _ = conn.Write(random(rnd, 1+rnd.IntN(5000)))
		conn.Close()
	}
	return nil
}

func random(rnd *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rnd.Uint32())
	}
	return b
}
