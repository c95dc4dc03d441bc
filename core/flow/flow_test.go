package flow

import (
	"net/netip"
	"testing"
)

// Guards against a byte-order fault between the packet reader and the lists.
func TestAddrRoundTrip(t *testing.T) {
	a := netip.MustParseAddr("10.1.2.3")
	if got := AddrFrom(a); got != 0x0a010203 || got.Netip() != a {
		t.Fatalf("AddrFrom(%s) = %#x, back %s", a, uint32(got), got.Netip())
	}
	if got := AddrFrom(netip.MustParseAddr("2001:db8::1")); got != 0 {
		t.Fatalf("IPv6 address converted to %s", got)
	}
	if got := AddrFrom(netip.MustParseAddr("::ffff:10.1.2.3")); got != 0x0a010203 {
		t.Fatalf("mapped address converted to %s", got)
	}
}

// Guards against a hash that ignores a field: two flows that differ in one
// field only must not fall together.
func TestHashUsesEveryField(t *testing.T) {
	base := Key{Src: 1, Dst: 2, SrcPort: 3, DstPort: 4, Proto: TCP}
	variants := []Key{base, base, base, base, base}
	variants[0].Src++
	variants[1].Dst++
	variants[2].SrcPort++
	variants[3].DstPort++
	variants[4].Proto = UDP
	for i, v := range variants {
		if v.Hash(1) == base.Hash(1) {
			t.Errorf("variant %d has the same hash", i)
		}
	}
	if base.Hash(1) == base.Hash(2) {
		t.Error("the seed does not change the hash")
	}
}

// Guards against a refusal that an established connection would accept: it
// must acknowledge the SYN and carry sequence number 0.
func TestRefuseSYN(t *testing.T) {
	p := Packet{Key: Key{Proto: TCP}, Flags: SYN, Seq: 41}
	r := RefuseSYN(&p)
	if !p.OpensConnection() || !r.WithAck || r.Ack != 42 || r.Seq != 0 {
		t.Fatalf("refusal %+v of %+v", r, p)
	}
}
