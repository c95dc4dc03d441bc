package engine

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// expect processes a packet and fails the test unless verdict and reason are as wanted.
func (n *node) expect(what string, p *flow.Packet, r *Relay, want Verdict, reason group.Reason) Action {
	a := n.engine.Packet(n.time(), p, r)
	if a.Verdict != want || a.Reason != reason {
		n.w.t.Fatalf("%s: verdict %d, reason %q, want %d, %q", what, a.Verdict, a.Reason, want, reason)
	}
	return a
}

// ownedKey returns the key of a flow to e whose first-ranked group the node owns.
func (n *node) ownedKey(e snapshot.Endpoint) flow.Key {
	for port := uint16(1); ; port++ {
		k := flow.Key{Src: 9, SrcPort: port, Dst: e.Addr, DstPort: e.Port, Proto: e.Proto}
		v := n.engine.view.Load()
		b, _ := v.Lookup(e)
		if l := n.engine.localGroup(v.ServiceOwners(b.Service.ID)[b.Service.Rank(k)[0]].ID); l != nil && l.owned() {
			return k
		}
	}
}

// Guards against forwarding a packet without an entry to a default host when the address
// may belong to another service by now.
func TestDefaultHostNeedsCertainty(t *testing.T) {
	w, n, syn := singleInstance(t)
	data := &flow.Packet{Key: syn.Key, Flags: flow.ACK, Seq: 2, Ack: 1, PayloadLen: 5}
	n.expect("snapshot certainly current", data, nil, ToHost, "")
	data.Key.Src++
	id := n.engine.Snapshot().Services[1].Groups[0].ID
	n.expect("newer version at a peer", data, &Relay{Group: id, Service: 1, Version: 9}, Drop, group.ReasonVersion)
	w.run(w.now + time.Second)
	n.expect("no live peer has the newer version", data, nil, ToHost, "")

	w = newWorld(t, 1, initialInput(2, 1, 1))
	w.nodes[1].dead = true
	w.run(5 * time.Second)
	n = w.nodes[0]
	data.Key = n.ownedKey(feed)
	n.expect("a domain is cut off", data, nil, Drop, group.ReasonUnreachable)
}

// Guards against opening flows to a moved address while another instance does not know
// of the move, and against sending flows of the old service to the new one.
func TestMovedAddress(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 2, 1))
	w.run(4 * time.Second)
	a, b := w.nodes[0], w.nodes[1]
	established := &flow.Packet{Key: flow.Key{Src: 9, SrcPort: 9, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}, Flags: flow.SYN, Seq: 1}
	unestablished := *established
	unestablished.Key.Src = 8
	owner := a
	if a.engine.Packet(a.time(), established, nil).Verdict != ToHost {
		owner = b
	}
	id := owner.engine.Snapshot().Services[1].Groups[0].ID
	owner.engine.Packet(owner.time(), established, nil)
	owner.engine.Packet(owner.time(), &unestablished, nil)
	data := &flow.Packet{Key: established.Key, Flags: flow.ACK, Seq: 2, Ack: 1, PayloadLen: 5}
	owner.expect("before the move", data, nil, ToHost, "")

	in := w.input
	in.Version, in.Services = 2, newServices(true)
	w.published[2], w.input = in, in
	a.installVersion(2)
	syn := &flow.Packet{Key: a.ownedKey(upload), Flags: flow.SYN, Seq: 1}
	syn.Key.Dst, syn.Key.DstPort = moving.Addr, moving.Port
	a.expect("only one instance knows of the move", syn, nil, Drop, group.ReasonMoved)
	b.installVersion(2)
	w.run(w.now + 2*time.Second)
	if v := a.engine.Packet(a.time(), syn, nil); v.Verdict == Drop {
		t.Errorf("SYN after all instances know of the move: dropped with reason %q", v.Reason)
	}
	olderRelay := &Relay{Group: id, Service: 1, Version: 1}
	if action := owner.expect("established flow of the old service", data, olderRelay, ToHost, ""); action.Host.Service != 1 {
		t.Errorf("established flow of service 1 went to service %d", action.Host.Service)
	}
	reused := *established
	reused.Seq = 77
	if action := owner.engine.Packet(owner.time(), &reused, olderRelay); action.Verdict == ToHost && action.Host.Service == 1 {
		t.Errorf("new flow on a reused 5-tuple went to the old service")
	}
	data.Key = unestablished.Key
	if action := owner.engine.Packet(owner.time(), data, olderRelay); action.Verdict == ToHost {
		t.Errorf("packet of a flow that was not established went to host %d", action.Host.ID)
	}
}

// Guards against a process that places flows after it was paused or passes on their
// SYNs, which may be late, and against one that drops the packets of established flows.
func TestStaleInstanceRelays(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 2, 2))
	w.run(4 * time.Second)
	n := w.nodes[0]
	syn := &flow.Packet{Key: n.ownedKey(feed), Flags: flow.SYN, Seq: 1}
	data := &flow.Packet{Key: syn.Key, Flags: flow.ACK, Seq: 2, Ack: 1}
	n.expect("SYN before the pause", syn, nil, ToHost, "")
	n.expect("data before the pause", data, nil, ToHost, "")
	unopened := *syn
	for unopened.Key.SrcPort++; n.engine.Packet(n.time(), &unopened, nil).Verdict != ToHost; unopened.Key.SrcPort++ {
	}
	unopened.Key.Src++ // a new flow
	w.now += 2 * time.Second
	n.expect("established flow after a pause", data, nil, ToHost, "")
	n.expect("SYN after a pause", &unopened, nil, Drop, group.ReasonStale)
	unknown := *data
	unknown.Key = unopened.Key
	n.expect("packet of an unknown flow after a pause", &unknown, nil, ToPeer, "")
}

// Guards against an owner that continues to place flows after it has received a claim
// that takes precedence over its own.
func TestOwnerStepsDown(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 2, 2))
	w.run(4 * time.Second)
	n, other := w.nodes[0], w.nodes[1]
	syn := &flow.Packet{Key: n.ownedKey(feed), Flags: flow.SYN, Seq: 1}
	n.expect("owner", syn, nil, ToHost, "")
	b, _ := n.engine.Snapshot().Lookup(feed)
	id := b.Service.Groups[b.Service.Rank(syn.Key)[0]].ID
	n.engine.Heartbeat(n.time(), &message.Heartbeat{
		From: other.id, Boot: 1, Seq: 1 << 40, State: message.Ready, Version: 1,
		Claims: []message.Claim{{Group: id, Epoch: 99}},
	})
	syn.Key.Src++
	if a := n.engine.Packet(n.time(), syn, &Relay{Group: id, Service: 1, Version: 1}); a.Verdict != ToPeer || a.Peer.ID != other.id {
		t.Errorf("SYN after a claim with a higher epoch: verdict %d, reason %q, want it relayed to the claimant", a.Verdict, a.Reason)
	}
	for _, g := range n.engine.Status(n.time()).Groups {
		if g.Group == id && g.Role != "handed_over" {
			t.Errorf("role is %s, want handed_over", g.Role)
		}
	}
}
