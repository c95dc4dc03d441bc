package engine

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// Guards against an owner that wakes from a pause and places or refuses flows
// by what it knew before: another one has taken its groups over meanwhile.
func TestWokenInstanceDecidesNothing(t *testing.T) {
	in := smallInput(1)
	in.Instances = []snapshot.Instance{{ID: 1, Domain: 1}, {ID: 3, Domain: 1}}
	in.Hosts = in.Hosts[:1]
	s, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	pair := make(map[snapshot.InstanceID]*Engine)
	for id := range s.Instances {
		pair[id] = New(0, Config{Self: id, Domain: 1, Boot: 1, Seed: uint64(id)})
		pair[id].SetSnapshot(0, s)
	}
	now := time.Duration(0)
	run := func(until time.Duration, running ...snapshot.InstanceID) {
		for ; now < until; now += TickInterval {
			for _, id := range running {
				for _, o := range pair[id].Tick(now) {
					switch {
					case o.Heartbeat != nil && len(running) > 1:
						pair[o.To.ID].Heartbeat(now, o.Heartbeat)
					case o.Pull != nil:
						reply, err := pair[o.To.ID].Pull(now, o.Pull)
						pair[id].PullDone(now, o.Pull, &reply, err)
					}
				}
			}
		}
	}
	run(5*time.Second, 1, 3)
	group := snapshot.GroupID{Service: 1, Domain: 1}
	owner, other := snapshot.InstanceID(1), snapshot.InstanceID(3)
	if l := pair[1].local(group); l == nil || l.role != roleOwner {
		owner, other = other, owner
	}
	run(10*time.Second, other)
	if l := pair[other].local(group); l == nil || l.role != roleOwner {
		t.Fatalf("instance %d has not taken the group over", other)
	}
	syn := func(port uint16) Action {
		key := flow.Key{Src: 9, SrcPort: port, Dst: 1, DstPort: 80, Proto: flow.TCP}
		return pair[owner].Packet(now, &flow.Packet{Key: key, Flags: flow.SYN, Seq: 5}, nil)
	}
	if a := syn(1000); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("before the first tick after the pause: %+v", a)
	}
	pair[owner].Tick(now)
	if a := syn(1001); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("before a heartbeat after the pause: %+v", a)
	}
	run(now+3*time.Second, 1, 3)
	if a := syn(1002); a.Verdict != ToHost && a.Verdict != ToPeer {
		t.Errorf("3 s after the pause: %+v", a)
	}
}
