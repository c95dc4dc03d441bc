package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/testkit/geneve"
	"egrettack.example/testkit/world"
	"egrettack.example/wire/control"
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
	codec, err := control.NewCodec([]control.Key{{ID: 1, Secret: random(rnd, control.MinSecretLen)}})
	if err != nil {
		return err
	}
	claims := func() []byte { return claim(rnd, codec, w, snapshot.InstanceID(i.ID)) }
	packets := func() []byte { return forged(rnd, w) }
	if err := c.datagrams(i.Data, rnd, packets); err != nil {
		return err
	}
	if err := c.datagrams(i.Control, rnd, claims); err != nil {
		return err
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

func (c *garbageCommand) datagrams(to netip.AddrPort, rnd *rand.Rand, forge func() []byte) error {
	conn, err := net.Dial("udp4", to.String())
	if err != nil {
		return trace.Wrap(err, "dial %s", to)
	}
	defer conn.Close()
	for n := range c.Count {
		d := random(rnd, rnd.IntN(1400))
		if n%2 == 0 {
			d = forge()
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
	// Every second one passes the reader of IPv4 headers, so that forged relay
	// headers and segments reach the decisions behind it.
	valid := rnd.IntN(2) == 0
	if valid {
		inner[2], inner[3] = 0, byte(len(inner))
		inner[6], inner[7] = 0x40, 0
	}
	if valid && len(inner) >= 40 {
		inner[32] = 0x50 | inner[32]&0x0f
	}
	dst := k.Address.Addr().As4()
	copy(inner[16:], dst[:])
	// An address outside all pools of callers.
	copy(inner[12:], []byte{10, 99, byte(rnd.Uint32()), byte(rnd.Uint32())})
	if len(inner) > 34 {
		inner[22], inner[23] = byte(k.Address.Port()>>8), byte(k.Address.Port())
		// Never a SYN: a forged SYN is a new flow like any other.
		inner[33] &^= 2
	}
	if valid {
		seal(inner[:20])
	}
	d := geneve.Append(nil, rnd.Uint32()&0xffffff, inner)
	if rnd.IntN(2) == 0 {
		return d
	}
	words := rnd.IntN(12)
	option := random(rnd, words*4)
	if words > 0 {
		option[0], option[1], option[2] = 0xff, 0xf0, 1
	}
	if valid {
		option = relay(rnd, w)
	}
	d[0] = byte(len(option) / 4)
	out := append(append([]byte(nil), d[:8]...), option...)
	return append(out, d[8:]...)
}

// relay returns a well-formed relay header that names a group of any service,
// with an older or far newer version than that in force.
func relay(rnd *rand.Rand, w *world.World) []byte {
	const body = 32
	b := make([]byte, 4+body)
	b[0], b[1], b[2], b[3] = 0xff, 0xf0, 1, body/4
	v := b[4:]
	v[0], v[1], v[3] = byte(rnd.IntN(6)), byte(rnd.IntN(4)), byte(rnd.IntN(2))
	binary.BigEndian.PutUint32(v[4:], w.Kinds[rnd.IntN(len(w.Kinds))].Number)
	binary.BigEndian.PutUint64(v[8:], rnd.Uint64()>>rnd.IntN(64))
	binary.BigEndian.PutUint32(v[16:], uint32(rnd.IntN(8)))
	binary.BigEndian.PutUint32(v[20:], w.Kinds[rnd.IntN(len(w.Kinds))].Number)
	binary.BigEndian.PutUint16(v[24:], uint16(1+rnd.IntN(2)))
	binary.BigEndian.PutUint32(v[28:], uint32(rnd.IntN(8)))
	return b
}

// claim returns a heartbeat, signed with a wrong key, of a peer that claims all
// first groups with a high epoch.
func claim(rnd *rand.Rand, codec *control.Codec, w *world.World, to snapshot.InstanceID) []byte {
	from := snapshot.InstanceID(w.Instances[rnd.IntN(len(w.Instances))].ID)
	h := &message.Heartbeat{From: from, Boot: 1 << 62, Seq: rnd.Uint64() >> 1, State: message.Ready, Version: 1}
	for _, k := range w.Kinds {
		for d := snapshot.DomainID(1); d <= 2; d++ {
			g := snapshot.GroupID{Service: snapshot.ServiceID(k.Number), Domain: d}
			h.Claims = append(h.Claims, message.Claim{Group: g, Epoch: 1 << 40})
		}
	}
	b, err := codec.Append(nil, to, &control.Message{From: from, Boot: h.Boot, Seq: h.Seq, Heartbeat: h})
	if err != nil {
		return nil
	}
	return b
}

// seal sets the checksum of an IPv4 header.
func seal(h []byte) {
	h[10], h[11] = 0, 0
	var sum uint32
	for i := 0; i < len(h); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(h[i:]))
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	binary.BigEndian.PutUint16(h[10:], ^uint16(sum))
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
