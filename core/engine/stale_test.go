package engine

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

var pairGroup = snapshot.GroupID{Service: 1, Domain: 1}

// enginePair is two engines in one domain with one host group. Messages between them are
// neither lost nor delayed.
type enginePair struct {
	engines      map[snapshot.InstanceID]*Engine
	now          time.Duration
	owner, other snapshot.InstanceID
}

func newEnginePair(t *testing.T, hosts int) *enginePair {
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
	d := &enginePair{engines: make(map[snapshot.InstanceID]*Engine), owner: 1, other: 3}
	for id := range s.Instances {
		d.engines[id] = New(0, Config{Self: id, Domain: 1, Boot: 1, Seed: uint64(id)})
		d.engines[id].SetSnapshot(0, s)
	}
	d.run(5*time.Second, 1, 3)
	if !d.owns(d.owner) {
		d.owner, d.other = d.other, d.owner
	}
	if !d.owns(d.owner) {
		t.Fatal("neither instance owns the group")
	}
	return d
}

func (d *enginePair) owns(id snapshot.InstanceID) bool {
	l := d.engines[id].localGroup(pairGroup)
	return l != nil && l.role == roleOwner
}

// run ticks the given engines until a time. A single engine receives no messages.
func (d *enginePair) run(until time.Duration, running ...snapshot.InstanceID) {
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

func (d *enginePair) syn(at snapshot.InstanceID, port uint16) Action {
	return d.packet(at, port, flow.SYN, 5)
}

func (d *enginePair) packet(at snapshot.InstanceID, port uint16, f flow.Flags, seq uint32) Action {
	key := flow.Key{Src: 9, SrcPort: port, Dst: 1, DstPort: 80, Proto: flow.TCP}
	return d.engines[at].Packet(d.now, &flow.Packet{Key: key, Flags: f, Seq: seq, Ack: 9}, nil)
}

// Guards against an owner that places or refuses flows after a pause by its outdated
// view, while another instance has taken over its groups.
func TestResumedInstanceDecidesNothing(t *testing.T) {
	d := newEnginePair(t, 1)
	d.run(10*time.Second, d.other)
	if !d.owns(d.other) {
		t.Fatalf("instance %d has not taken the group over", d.other)
	}
	if a := d.syn(d.owner, 1000); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("SYN before the first tick after the pause: %+v, want it relayed or dropped", a)
	}
	d.engines[d.owner].Tick(d.now)
	if a := d.syn(d.owner, 1001); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("SYN before the first heartbeat after the pause: %+v, want it relayed or dropped", a)
	}
	d.run(d.now+3*time.Second, 1, 3)
	if a := d.syn(d.owner, 1002); a.Verdict != ToHost && a.Verdict != ToPeer {
		t.Errorf("SYN 3 s after the pause: %+v, want it forwarded or relayed", a)
	}
}

// Guards against LeaveDone on a graceful stop before another instance has pulled the
// entries.
func TestLeaveDoneAfterHandover(t *testing.T) {
	d := newEnginePair(t, 1)
	if a := d.syn(d.owner, 1000); a.Verdict != ToHost {
		t.Fatalf("SYN: got %+v, want it forwarded to a host", a)
	}
	e := d.engines[d.owner]
	e.Leave(d.now)
	d.run(d.now+time.Second, d.owner)
	if e.LeaveDone(d.now) {
		t.Fatal("LeaveDone is true although no instance has pulled the entries")
	}
	d.run(d.now+5*time.Second, 1, 3)
	if !e.LeaveDone(d.now) || !d.owns(d.other) {
		t.Fatalf("LeaveDone is %t, the other instance owns the group: %t, want both true", e.LeaveDone(d.now), d.owns(d.other))
	}
	if n := d.engines[d.other].localGroup(pairGroup).table.Stats(d.now).Flows; n != 1 {
		t.Fatalf("the new owner has %d flows, want 1", n)
	}
}

// Guards against forwarding a packet on a reused 5-tuple to the host of the earlier flow.
// The former owner has not received the new claim yet and still has the entry of the
// earlier flow, while the new owner has placed the new flow.
func TestReusedTupleDuringHandover(t *testing.T) {
	d := newEnginePair(t, 3)
	const port = 1000
	first := d.syn(d.owner, port).Host
	d.packet(d.owner, port, flow.ACK, 6)
	// Make the host of the first flow the busiest one.
	onOtherHosts := []uint16{}
	for p := uint16(2000); p < 2030; p++ {
		if a := d.syn(d.owner, p); a.Host != first {
			onOtherHosts = append(onOtherHosts, p)
		}
	}
	for _, p := range onOtherHosts {
		d.packet(d.owner, p, flow.RST, 6)
	}
	d.packet(d.owner, port, flow.ACK|flow.FIN, 6)
	d.engines[d.owner].Leave(d.now)
	for end := d.now + 5*time.Second; !d.owns(d.other); {
		if d.run(d.now+TickInterval, d.owner, d.other); d.now > end {
			t.Fatal("the group was not handed over within 5 s")
		}
	}
	if l := d.engines[d.owner].localGroup(pairGroup); l.role != roleHandedOver || l.successorClaimed {
		t.Fatalf("the former owner has role %s, successor claimed %t, want handed_over and false", l.role, l.successorClaimed)
	}
	second := d.packet(d.other, port, flow.SYN, 777)
	if second.Verdict != ToHost || second.Host == first {
		t.Fatalf("second flow: %+v, want another host than host %d of the first", second, first.ID)
	}
	if a := d.packet(d.owner, port, flow.ACK, 778); a.Verdict == ToHost && a.Host.ID != second.Host.ID {
		t.Errorf("packet of the second flow forwarded to host %d, want host %d", a.Host.ID, second.Host.ID)
	}
}

// aroundMove builds the snapshots before and after the endpoint moving changes its
// service.
func aroundMove(t *testing.T, in snapshot.Input) (before, after *snapshot.Snapshot) {
	t.Helper()
	before, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	in.Version, in.Services = 2, newServices(true)
	if after, err = snapshot.New(in, before); err != nil {
		t.Fatal(err)
	}
	return before, after
}

// Guards against placing packets to a moved address by the older of the two snapshots
// of sender and receiver, and at an instance that has the older one.
func TestNewerSnapshotDecidesOnRelayedPackets(t *testing.T) {
	before, after := aroundMove(t, initialInput(1, 1, 3))
	e := New(0, Config{Self: 1, Domain: 1, Boot: 1})
	e.SetSnapshot(0, before)
	now := time.Duration(0)
	for ; now < 5*time.Second; now += TickInterval {
		e.Tick(now)
	}
	relayed := func(port uint16, service snapshot.ServiceID, version snapshot.Version) Action {
		key := flow.Key{Src: 9, SrcPort: port, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}
		return e.Packet(now, &flow.Packet{Key: key, Flags: flow.SYN, Seq: 5}, &Relay{
			Op: group.OpDecide, Hops: 1, Group: snapshot.GroupID{Service: service, Domain: 1},
			Service: service, Version: version,
		})
	}
	if a := relayed(1000, 1, 1); a.Verdict != ToHost || a.Host.Service != 1 {
		t.Errorf("SYN before the move: %+v, want a host of service 1", a)
	}
	if a := relayed(1001, 2, 2); a.Verdict != Drop || a.Reason != group.ReasonVersion {
		t.Errorf("SYN from an instance that knows of the move: %+v, want it dropped", a)
	}
	e.SetSnapshot(now, after)
	if n := e.localGroup(snapshot.GroupID{Service: 1, Domain: 1}).table.Stats(now).Flows; n != 0 {
		t.Errorf("%d unestablished flows stay in the service that the address has left, want 0", n)
	}
	if a := relayed(1002, 1, 1); a.Verdict != ToHost || a.Host.Service != 2 {
		t.Errorf("SYN from an instance that does not know of the move: %+v, want a host of service 2", a)
	}
}

// Guards against opening a flow to a moved address while a live instance does not know
// of the move. That instance would place the flow's SYN in the old service.
func TestMovedAddressWaitsForAll(t *testing.T) {
	before, after := aroundMove(t, initialInput(1, 2, 3))
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
		t.Errorf("SYN while the peer has the older version: %+v, want it dropped", a)
	}
	run(time.Second, 2)
	if a := syn(1001); a.Verdict == Drop {
		t.Errorf("SYN when the peer has the newer version: %+v, want it not dropped", a)
	}
}

// Guards against breaking a flow by its first SYN, which a paused instance held while
// the caller opened the flow by way of another one.
func TestLateSYNBreaksNoFlow(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, initialInput(2, 1, 3))
		w.run(4 * time.Second)
		w.nodes[0].pause(3 * time.Second)
		w.generateTraffic(w.now + 3*time.Second)
		w.run(w.now + 20*time.Second)
		opened, brokenFlows := 0, 0
		for _, c := range w.allCallers {
			switch c.state {
			case open, closed:
				opened++
			case broken:
				brokenFlows++
			}
		}
		if opened < 50 || brokenFlows > 0 {
			t.Errorf("seed %d: %d flows opened, %d broken, want at least 50 and 0", seed, opened, brokenFlows)
		}
	}
}
