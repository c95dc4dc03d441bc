package engine

import (
	"net/netip"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

func smallInput(version snapshot.Version) snapshot.Input {
	in := snapshot.Input{Version: version, Domains: []snapshot.Domain{{ID: 1, Name: "north"}, {ID: 2, Name: "south"}}}
	kind := &snapshot.Kind{
		ID: 1, Name: "feed", Ceiling: 1, IdleTimeout: time.Hour,
		Endpoints: []snapshot.Endpoint{{Addr: 1, Port: 80, Proto: flow.TCP}},
	}
	in.Services = []snapshot.Service{{ID: 1, Name: "register", Kinds: []*snapshot.Kind{kind}}}
	for i := range 12 {
		in.Hosts = append(in.Hosts, snapshot.Host{
			ID: snapshot.HostID(i + 1), Domain: snapshot.DomainID(i%2 + 1), Service: 1,
			Slots: 2, ConnectionLimit: 2000, QueueLimit: 10,
		})
	}
	for i := range 4 {
		in.Instances = append(in.Instances, snapshot.Instance{
			ID: snapshot.InstanceID(i + 1), Domain: snapshot.DomainID(i%2 + 1),
			Data: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		})
	}
	return in
}

// Guards against flows that are lost between two instances that claimed a
// group at the same time: the one whose claim held has to learn of the flows
// that the other one placed, even if it never heard the other's claim.
func TestLostClaimIsMerged(t *testing.T) {
	in := smallInput(1)
	in.Instances = []snapshot.Instance{{ID: 1, Domain: 1}, {ID: 3, Domain: 1}}
	in.Hosts = in.Hosts[:1]
	s, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	var pair [2]*Engine
	for i, id := range []snapshot.InstanceID{1, 3} {
		pair[i] = New(0, Config{Self: id, Domain: 1, Boot: 1, Seed: uint64(id)})
		pair[i].SetSnapshot(0, s)
	}
	// Each is alone until it claims the group.
	now := time.Duration(0)
	for ; now < 10*time.Second; now += TickInterval {
		for _, e := range pair {
			e.Tick(now)
		}
	}
	id := snapshot.GroupID{Service: 1, Domain: 1}
	for i, e := range pair {
		if l := e.local(id); l == nil || l.role != roleOwner {
			t.Fatalf("engine %d did not claim the group", i)
		}
	}
	key := flow.Key{Src: 9, SrcPort: 1000, Dst: 1, DstPort: 80, Proto: flow.TCP}
	syn := &flow.Packet{Key: key, Flags: flow.SYN, Seq: 5}
	if a := pair[1].Packet(now, syn, nil); a.Verdict != ToHost {
		t.Fatalf("SYN at the second engine: %+v", a)
	}
	// The second engine hears the first one's claim before its own is heard.
	for _, o := range pair[0].Tick(now) {
		if o.Heartbeat != nil {
			pair[1].Heartbeat(now, o.Heartbeat)
		}
	}
	for end := now + 3*time.Second; now < end; now += TickInterval {
		for i, e := range pair {
			for _, o := range e.Tick(now) {
				switch other := pair[1-i]; {
				case o.Heartbeat != nil:
					other.Heartbeat(now, o.Heartbeat)
				case o.Pull != nil:
					reply, err := other.Pull(now, o.Pull)
					e.PullDone(now, o.Pull, &reply, err)
				}
			}
		}
	}
	l := pair[0].local(id)
	if l.role != roleOwner || l.table.Stats(now).Flows != 1 {
		t.Fatalf("first engine is %s with %d flows", l.role, l.table.Stats(now).Flows)
	}
}
