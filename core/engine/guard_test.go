package engine

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// expect runs a packet through an engine and compares the action.
func (n *node) expect(what string, p *flow.Packet, r *Relay, want Verdict, reason group.Reason) Action {
	a := n.engine.Packet(n.time(), p, r)
	if a.Verdict != want || a.Reason != reason {
		n.w.t.Fatalf("%s: verdict %d, reason %q, want %d, %q", what, a.Verdict, a.Reason, want, reason)
	}
	return a
}

// keyOf returns a flow to e whose first group the node owns.
func (n *node) keyOf(e snapshot.Endpoint) flow.Key {
	for port := uint16(1); ; port++ {
		k := flow.Key{Src: 9, SrcPort: port, Dst: e.Addr, DstPort: e.Port, Proto: e.Proto}
		v := n.engine.view.Load()
		b, _ := v.Lookup(e)
		if l := n.engine.local(v.ServiceOwners(b.Service.ID)[b.Service.Rank(k)[0]].ID); l != nil && l.owned() {
			return k
		}
	}
}

// Guards against a packet without entry that is sent to a default host although
// the address may belong to another service by now.
func TestDefaultIsNoGuess(t *testing.T) {
	w, n, syn := single(t)
	data := &flow.Packet{Key: syn.Key, Flags: flow.ACK, Seq: 2, Ack: 1, PayloadLen: 5}
	n.expect("nothing in doubt", data, nil, ToHost, "")
	data.Key.Src++
	id := n.engine.Snapshot().Services[1].Groups[0].ID
	n.expect("newer version elsewhere", data, &Relay{Group: id, Service: 1, Version: 9}, Drop, group.ReasonVersion)
	w.run(w.now + time.Second)
	n.expect("nobody has it", data, nil, ToHost, "")

	w = newWorld(t, 1, startInput(2, 1, 1))
	w.nodes[1].dead = true
	w.run(5 * time.Second)
	n = w.nodes[0]
	data.Key = n.keyOf(feed)
	n.expect("a domain is cut off", data, nil, Drop, group.ReasonUnreachable)
}

// Guards against new flows of a moved address while an instance does not know
// of the move, and against flows of the old service that are sent to the new one.
func TestMovedAddress(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 1))
	w.run(4 * time.Second)
	a, b := w.nodes[0], w.nodes[1]
	old := &flow.Packet{Key: flow.Key{Src: 9, SrcPort: 9, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}, Flags: flow.SYN, Seq: 1}
	young := *old
	young.Key.Src = 8
	owner := a
	if a.engine.Packet(a.time(), old, nil).Verdict != ToHost {
		owner = b
	}
	id := owner.engine.Snapshot().Services[1].Groups[0].ID
	owner.engine.Packet(owner.time(), old, nil)
	owner.engine.Packet(owner.time(), &young, nil)
	data := &flow.Packet{Key: old.Key, Flags: flow.ACK, Seq: 2, Ack: 1, PayloadLen: 5}
	owner.expect("before the move", data, nil, ToHost, "")

	in := w.input
	in.Version, in.Services = 2, services(true)
	w.published[2], w.input = in, in
	a.take(2)
	syn := &flow.Packet{Key: a.keyOf(upload), Flags: flow.SYN, Seq: 1}
	syn.Key.Dst, syn.Key.DstPort = moving.Addr, moving.Port
	a.expect("only one instance knows", syn, nil, Drop, group.ReasonMoved)
	b.take(2)
	w.run(w.now + 2*time.Second)
	if v := a.engine.Packet(a.time(), syn, nil); v.Verdict == Drop {
		t.Errorf("all know of the move: dropped with %q", v.Reason)
	}
	late := &Relay{Group: id, Service: 1, Version: 1}
	if x := owner.expect("established flow of the old service", data, late, ToHost, ""); x.Host.Service != 1 {
		t.Errorf("established flow went to service %d", x.Host.Service)
	}
	reused := *old
	reused.Seq = 77
	if x := owner.engine.Packet(owner.time(), &reused, late); x.Verdict == ToHost && x.Host.Service == 1 {
		t.Errorf("new flow went to the old service")
	}
	data.Key = young.Key
	if x := owner.engine.Packet(owner.time(), data, late); x.Verdict == ToHost {
		t.Errorf("a flow that was not established went to host %d", x.Host.ID)
	}
}

// Guards against a woken process that places flows, and against one that drops
// the established flows it knows.
func TestStaleInstanceRelays(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 2))
	w.run(4 * time.Second)
	n := w.nodes[0]
	syn := &flow.Packet{Key: n.keyOf(feed), Flags: flow.SYN, Seq: 1}
	data := &flow.Packet{Key: syn.Key, Flags: flow.ACK, Seq: 2, Ack: 1}
	n.expect("fresh SYN", syn, nil, ToHost, "")
	n.expect("fresh data", data, nil, ToHost, "")
	other := *syn
	for other.Key.SrcPort++; n.engine.Packet(n.time(), &other, nil).Verdict != ToHost; other.Key.SrcPort++ {
	}
	other.Key.Src++ // a new flow
	w.now += 2 * time.Second
	n.expect("established flow after a pause", data, nil, ToHost, "")
	if a := n.engine.Packet(n.time(), &other, nil); a.Verdict != ToPeer {
		t.Errorf("SYN after a pause: verdict %d, reason %q", a.Verdict, a.Reason)
	}
	missing := *data
	missing.Key = other.Key
	if a := n.engine.Packet(n.time(), &missing, nil); a.Verdict == ToHost || a.Verdict == ToCaller {
		t.Errorf("unknown flow after a pause: verdict %d", a.Verdict)
	}
}

// Guards against an owner that goes on placing after it has heard a claim that
// holds against its own.
func TestOwnerStepsDown(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 2))
	w.run(4 * time.Second)
	n, other := w.nodes[0], w.nodes[1]
	syn := &flow.Packet{Key: n.keyOf(feed), Flags: flow.SYN, Seq: 1}
	n.expect("owner", syn, nil, ToHost, "")
	b, _ := n.engine.Snapshot().Lookup(feed)
	id := b.Service.Groups[b.Service.Rank(syn.Key)[0]].ID
	n.engine.Heartbeat(n.time(), &message.Heartbeat{
		From: other.id, Boot: 1, Seq: 1 << 40, State: message.Ready, Version: 1,
		Claims: []message.Claim{{Group: id, Epoch: 99}},
	})
	syn.Key.Src++
	if a := n.engine.Packet(n.time(), syn, &Relay{Group: id, Service: 1, Version: 1}); a.Verdict != ToPeer || a.Peer.ID != other.id {
		t.Errorf("SYN after a higher claim: verdict %d, reason %q", a.Verdict, a.Reason)
	}
	for _, g := range n.engine.Status(n.time()).Groups {
		if g.Group == id && g.Role != "handed_over" {
			t.Errorf("role is %s", g.Role)
		}
	}
}
