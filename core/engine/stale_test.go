package engine

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

var duoGroup = snapshot.GroupID{Service: 1, Domain: 1}

// duo is two engines of one domain with one host group, without loss or delay.
type duo struct {
	engines      map[snapshot.InstanceID]*Engine
	now          time.Duration
	owner, other snapshot.InstanceID
}

func newDuo(t *testing.T, hosts int) *duo {
	in := smallInput(1)
	in.Instances = []snapshot.Instance{{ID: 1, Domain: 1}, {ID: 3, Domain: 1}}
	in.Hosts = in.Hosts[:hosts]
	for i := range in.Hosts {
		in.Hosts[i].Domain = 1
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	d := &duo{engines: make(map[snapshot.InstanceID]*Engine), owner: 1, other: 3}
	for id := range s.Instances {
		d.engines[id] = New(0, Config{Self: id, Domain: 1, Boot: 1, Seed: uint64(id)})
		d.engines[id].SetSnapshot(0, s)
	}
	d.run(5*time.Second, 1, 3)
	if !d.owns(d.owner) {
		d.owner, d.other = d.other, d.owner
	}
	if !d.owns(d.owner) {
		t.Fatal("nobody owns the group")
	}
	return d
}

func (d *duo) owns(id snapshot.InstanceID) bool {
	l := d.engines[id].local(duoGroup)
	return l != nil && l.role == roleOwner
}

// run lets the given engines run until a time. A single one hears nobody.
func (d *duo) run(until time.Duration, running ...snapshot.InstanceID) {
	for ; d.now < until; d.now += TickInterval {
		for _, id := range running {
			for _, o := range d.engines[id].Tick(d.now) {
				switch {
				case len(running) < 2:
				case o.Heartbeat != nil:
					d.engines[o.To.ID].Heartbeat(d.now, o.Heartbeat)
				case o.Pull != nil:
					reply, err := d.engines[o.To.ID].Pull(d.now, o.Pull)
					d.engines[id].PullDone(d.now, o.Pull, &reply, err)
				}
			}
		}
	}
}

func (d *duo) syn(at snapshot.InstanceID, port uint16) Action {
	return d.packet(at, port, flow.SYN, 5)
}

func (d *duo) packet(at snapshot.InstanceID, port uint16, f flow.Flags, seq uint32) Action {
	key := flow.Key{Src: 9, SrcPort: port, Dst: 1, DstPort: 80, Proto: flow.TCP}
	return d.engines[at].Packet(d.now, &flow.Packet{Key: key, Flags: f, Seq: seq, Ack: 9}, nil)
}

// Guards against an owner that wakes from a pause and places or refuses flows
// by what it knew before: another one has taken its groups over meanwhile.
func TestWokenInstanceDecidesNothing(t *testing.T) {
	d := newDuo(t, 1)
	d.run(10*time.Second, d.other)
	if !d.owns(d.other) {
		t.Fatalf("instance %d has not taken the group over", d.other)
	}
	if a := d.syn(d.owner, 1000); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("before the first tick after the pause: %+v", a)
	}
	d.engines[d.owner].Tick(d.now)
	if a := d.syn(d.owner, 1001); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("before a heartbeat after the pause: %+v", a)
	}
	d.run(d.now+3*time.Second, 1, 3)
	if a := d.syn(d.owner, 1002); a.Verdict != ToHost && a.Verdict != ToPeer {
		t.Errorf("3 s after the pause: %+v", a)
	}
}

// Guards against an instance that ends a planned stop before another one has
// its entries.
func TestLeftAfterHandover(t *testing.T) {
	d := newDuo(t, 1)
	if a := d.syn(d.owner, 1000); a.Verdict != ToHost {
		t.Fatalf("SYN: %+v", a)
	}
	e := d.engines[d.owner]
	e.Leave(d.now)
	d.run(d.now+time.Second, d.owner)
	if e.LeaveDone(d.now) {
		t.Fatal("left although nobody has pulled the entries")
	}
	d.run(d.now+5*time.Second, 1, 3)
	if !e.LeaveDone(d.now) || !d.owns(d.other) {
		t.Fatalf("left is %t, the other owns the group: %t", e.LeaveDone(d.now), d.owns(d.other))
	}
	if n := d.engines[d.other].local(duoGroup).table.Stats(d.now).Flows; n != 1 {
		t.Fatalf("the other has %d flows", n)
	}
}

// Guards against a packet of a reused 5-tuple going to the host of the flow that
// had it before: the former owner, which has not heard the new claim yet, still
// has the entry of that flow, and the new owner has placed the new one.
func TestReusedTupleDuringHandover(t *testing.T) {
	d := newDuo(t, 3)
	const port = 1000
	first := d.syn(d.owner, port).Host
	d.packet(d.owner, port, flow.ACK, 6)
	// The first flow's host becomes the busiest.
	elsewhere := []uint16{}
	for p := uint16(2000); p < 2030; p++ {
		if a := d.syn(d.owner, p); a.Host != first {
			elsewhere = append(elsewhere, p)
		}
	}
	for _, p := range elsewhere {
		d.packet(d.owner, p, flow.RST, 6)
	}
	d.packet(d.owner, port, flow.ACK|flow.FIN, 6)
	d.engines[d.owner].Leave(d.now)
	for end := d.now + 5*time.Second; !d.owns(d.other); {
		if d.run(d.now+TickInterval, d.owner, d.other); d.now > end {
			t.Fatal("no handover")
		}
	}
	if l := d.engines[d.owner].local(duoGroup); l.role != roleHandedOver || l.settled {
		t.Fatalf("the former owner is %s, settled %t", l.role, l.settled)
	}
	second := d.packet(d.other, port, flow.SYN, 777)
	if second.Verdict != ToHost || second.Host == first {
		t.Fatalf("second flow: %+v, the first was at host %d", second, first.ID)
	}
	if a := d.packet(d.owner, port, flow.ACK, 778); a.Verdict == ToHost && a.Host.ID != second.Host.ID {
		t.Errorf("a packet of the second flow goes to host %d, the flow is at %d", a.Host.ID, second.Host.ID)
	}
}

// aroundMove builds the snapshots before and after the moving endpoint changes
// its service.
func aroundMove(t *testing.T, in snapshot.Input) (before, after *snapshot.Snapshot) {
	t.Helper()
	before, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	in.Version, in.Services = 2, services(true)
	if after, err = snapshot.New(in, before); err != nil {
		t.Fatal(err)
	}
	return before, after
}

// Guards against packets of an address that has moved being placed by the
// older of two snapshots, and by an instance that has the older one.
func TestNewerSnapshotDecidesOnRelayedPackets(t *testing.T) {
	before, after := aroundMove(t, startInput(1, 1, 3))
	e := New(0, Config{Self: 1, Domain: 1, Boot: 1})
	e.SetSnapshot(0, before)
	now := time.Duration(0)
	for ; now < 5*time.Second; now += TickInterval {
		e.Tick(now)
	}
	relayed := func(port uint16, service snapshot.ServiceID, version snapshot.Version) Action {
		key := flow.Key{Src: 9, SrcPort: port, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}
		return e.Packet(now, &flow.Packet{Key: key, Flags: flow.SYN, Seq: 5}, &Relay{
			Ask: group.OpDecide, Hops: 1, Group: snapshot.GroupID{Service: service, Domain: 1},
			Service: service, Version: version,
		})
	}
	if a := relayed(1000, 1, 1); a.Verdict != ToHost || a.Host.Service != 1 {
		t.Errorf("before the move: %+v", a)
	}
	if a := relayed(1001, 2, 2); a.Verdict != Drop || a.Reason != group.ReasonVersion {
		t.Errorf("from an instance that knows of the move: %+v", a)
	}
	e.SetSnapshot(now, after)
	if n := e.local(snapshot.GroupID{Service: 1, Domain: 1}).table.Stats(now).Flows; n != 0 {
		t.Errorf("%d flows without an answer stay in the service that the address has left", n)
	}
	if a := relayed(1002, 1, 1); a.Verdict != ToHost || a.Host.Service != 2 {
		t.Errorf("from an instance that does not know of the move: %+v", a)
	}
}

// Guards against a new flow to an address that has moved while a live instance
// does not know of the move: it would place the flow's SYN in the old service.
func TestMovedAddressWaitsForAll(t *testing.T) {
	before, after := aroundMove(t, startInput(1, 2, 3))
	e := New(0, Config{Self: 1, Domain: 1, Boot: 1})
	e.SetSnapshot(0, before)
	now, seq := time.Duration(0), uint64(0)
	run := func(d time.Duration, peer snapshot.Version) {
		for end := now + d; now < end; now += TickInterval {
			seq++
			e.Heartbeat(now, &message.Heartbeat{From: 2, Boot: 1, Seq: seq, Version: peer, State: message.Ready})
			e.Tick(now)
		}
	}
	syn := func(port uint16) Action {
		key := flow.Key{Src: 9, SrcPort: port, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}
		return e.Packet(now, &flow.Packet{Key: key, Flags: flow.SYN, Seq: 5}, nil)
	}
	run(5*time.Second, 1)
	e.SetSnapshot(now, after)
	run(time.Second, 1)
	if a := syn(1000); a.Verdict != Drop || a.Reason != group.ReasonMoved {
		t.Errorf("while the peer has the older version: %+v", a)
	}
	run(time.Second, 2)
	if a := syn(1001); a.Verdict == Drop {
		t.Errorf("when the peer has the newer version: %+v", a)
	}
}
