package geneve

import (
	"bytes"
	"errors"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

func sample(traced bool) Header {
	h := Header{
		VNI: 0xABCDEF, Relayed: true, Traced: traced,
		Relay: engine.Relay{
			Op: group.OpSpill, Hops: 2, Requester: 420, NextCandidate: 419, Service: 0xABCDEF, Version: 1 << 40,
			Group: snapshot.GroupID{Service: 0xABCDEF, Domain: 7, Index: 700},
		},
	}
	if traced {
		h.Trace = Trace{TraceID: [16]byte{1, 2, 3, 15: 9}, SpanID: [8]byte{4, 7: 5}, Flags: 1}
	}
	return h
}

func encode(h Header, inner []byte) []byte {
	b := make([]byte, h.Len(), h.Len()+len(inner))
	h.Write(b)
	return append(b, inner...)
}

// Guards against fields that are lost or swapped in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	for name, want := range map[string]Header{"plain": {VNI: 7}, "relayed": sample(false), "traced": sample(true)} {
		var got Header
		b := encode(want, []byte("inner"))
		if err := Read(b, &got); err != nil || string(b[got.InnerOffset:]) != "inner" {
			t.Fatalf("%s: wrong inner packet at offset %d, error %v", name, got.InnerOffset, err)
		}
		if got.InnerOffset = 0; got != want {
			t.Errorf("%s: got %+v\nwant %+v", name, got, want)
		}
	}
}

// Guards against a header that other implementations of RFC 8926 decode differently.
func TestOtherImplementation(t *testing.T) {
	h := sample(true)
	var g layers.Geneve
	if err := g.DecodeFromBytes(encode(h, []byte{1}), gopacket.NilDecodeFeedback); err != nil {
		t.Fatal(err)
	}
	if g.VNI != h.VNI || g.Protocol != layers.EthernetTypeIPv4 || len(g.Options) != 1 {
		t.Fatalf("gopacket decoded %+v, want VNI %#x, IPv4 and one option", g, h.VNI)
	}
	if o := g.Options[0]; o.Class != relayClass || o.Type != relayType {
		t.Fatalf("option has class %#x and type %d, want %#x and %d", o.Class, o.Type, relayClass, relayType)
	}
}

// Guards against accepting invalid headers and against rejecting unknown options
// that are not critical.
func TestReadRejects(t *testing.T) {
	good := encode(sample(true), nil)
	patch := func(at int, v byte) []byte {
		b := bytes.Clone(good)
		b[at] = v
		return b
	}
	plain := Header{VNI: 1}
	withOption := func(o ...byte) []byte {
		b := append(encode(plain, nil), o...)
		b[0] = byte(len(o) / 4)
		return b
	}
	for _, c := range []struct {
		name string
		b    []byte
		want error
	}{
		{"empty", nil, ErrShort},
		{"truncated in options", good[:len(good)-1], ErrShort},
		{"version 1", patch(0, good[0]|0x40), ErrVersion},
		{"control packet", patch(1, 0x80), ErrControl},
		{"inner IPv6", patch(2, 0x86), ErrProtocol},
		{"unknown operation", patch(HeaderLen+optionHeaderLen+1, 0x0F), ErrOption},
		{"option longer than the header", patch(HeaderLen+3, 0x1F), ErrOption},
		{"trace flag without trace context", patch(HeaderLen+3, relayLen/4), ErrOption},
		{"unknown critical option", withOption(1, 2, 0x83, 0), ErrCritical},
		{"unknown option that is not critical", withOption(1, 2, 3, 1, 0, 0, 0, 0), nil},
	} {
		var h Header
		if err := Read(c.b, &h); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against out-of-range reads and against headers that change when they are
// decoded and encoded again.
func FuzzRead(f *testing.F) {
	f.Add(encode(sample(true), []byte("inner")))
	f.Add(encode(sample(false), nil))
	f.Add(encode(Header{VNI: 3}, []byte{0x45}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var h, again Header
		if Read(b, &h) != nil {
			return
		}
		if h.InnerOffset > len(b) {
			t.Fatalf("inner packet at offset %d of %d bytes", h.InnerOffset, len(b))
		}
		if err := Read(encode(h, nil), &again); err != nil {
			t.Fatalf("encoded header is rejected: %v", err)
		}
		h.InnerOffset = h.Len()
		if !h.Relayed {
			h.Relay, h.Traced = engine.Relay{}, false
		}
		if !h.Traced {
			h.Trace = Trace{}
		}
		if again != h {
			t.Fatalf("decoded %+v, after encoding again %+v", h, again)
		}
	})
}

// Guards against allocations on the forwarding path.
func TestNoAllocation(t *testing.T) {
	b := encode(sample(true), []byte("inner"))
	var h Header
	if n := testing.AllocsPerRun(100, func() { _ = Read(b, &h); h.Write(b) }); n != 0 {
		t.Fatalf("Read and Write made %v allocations, want none", n)
	}
}
