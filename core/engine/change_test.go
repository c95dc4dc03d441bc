package engine

import (
	"slices"
	"strings"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Guards against a domain cut off from the platform that stays on an old version.
func TestVersionComesFromPeers(t *testing.T) {
	w := newWorld(t, 1, startInput(2, 2, 1))
	w.run(4 * time.Second)
	w.noList[2] = true
	w.publish(func(*snapshot.Input) {})
	w.run(w.now + 3*time.Second)
	if v := w.floor(); v != 2 {
		t.Errorf("oldest version in force after 3 s is %d", v)
	}
}

// Guards against an instance that joins after a move and does not know of it.
func TestJoinerLearnsMoves(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 1))
	w.run(4 * time.Second)
	w.do(step{Do: "move"})
	w.run(w.now + 2*time.Second)
	w.do(step{Do: "join"})
	w.run(w.now + 3*time.Second)
	b, _ := w.nodes[2].engine.view.Load().Lookup(moving)
	if b.MovedIn != 2 || b.MovedFrom != 1 {
		t.Errorf("joined instance: moved in version %d from service %d", b.MovedIn, b.MovedFrom)
	}
}

// Guards against a stop before the groups are handed over, and against
// redirects that the new owner does not get.
func TestLeaveHandsOver(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 4))
	w.run(4 * time.Second)
	n, other := w.nodes[0], w.nodes[1]
	k := n.keyOf(feed)
	groups := n.engine.Snapshot().Services[1].Groups
	first := groups[n.engine.Snapshot().Services[1].Rank(k)[0]].ID
	heldBy := groups[0].ID
	if heldBy == first {
		heldBy = groups[1].ID
	}
	n.engine.Learn(n.time(), &message.Learn{Group: first, HeldBy: heldBy, Entry: message.Entry{Key: k, Kind: 1, Established: true}})
	n.leaving = true
	n.engine.Leave(n.time())
	if n.engine.LeaveDone(n.time()) {
		t.Error("left before the groups were handed over")
	}
	w.run(w.now + 4*time.Second)
	if !n.engine.LeaveDone(n.time()) {
		t.Error("has not left after 4 s")
	}
	if text := other.engine.Explain(other.time(), k); !strings.Contains(text, "redirected to group "+heldBy.String()) {
		t.Errorf("the new owner does not know the redirect:\n%s", text)
	}
}

// changed returns a world of one instance, and flows whose first group was
// the first value before a host was added and is the second since.
func changed(t *testing.T, open func(n *node, k flow.Key, g snapshot.GroupID)) (*node, map[flow.Key]snapshot.GroupID) {
	w := newWorld(t, 1, startInput(1, 1, 4))
	w.run(8 * time.Second)
	n := w.nodes[0]
	before := make(map[flow.Key]snapshot.GroupID)
	first := func(k flow.Key) snapshot.GroupID {
		svc := n.engine.Snapshot().Services[1]
		return svc.Groups[svc.Rank(k)[0]].ID
	}
	for i := range 60 {
		k := flow.Key{Src: flow.Addr(100 + i), SrcPort: 9, Dst: feed.Addr, DstPort: feed.Port, Proto: flow.TCP}
		before[k] = first(k)
		open(n, k, before[k])
	}
	w.do(step{Do: "add host"})
	w.run(w.now + 10*time.Second)
	for k, g := range before {
		if first(k) == g {
			delete(before, k)
		}
	}
	if len(before) == 0 {
		t.Fatal("no flow has another first group")
	}
	return n, before
}

// table is what the flow's present first group knows of it.
func firstTable(n *node, k flow.Key) string {
	svc := n.engine.Snapshot().Services[1]
	return n.engine.local(svc.Groups[svc.Rank(k)[0]].ID).table.Explain(n.time(), k, 1)
}

// Guards against quiet flows that their new first group does not know of.
func TestDisplacedFlowsAreTold(t *testing.T) {
	n, moved := changed(t, func(n *node, k flow.Key, _ snapshot.GroupID) {
		n.expect("SYN", &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}, nil, ToHost, "")
	})
	for k, g := range moved {
		if text := firstTable(n, k); text != "redirected to group "+g.String() {
			t.Errorf("flow %v: %s", k, text)
		}
	}
}

// Guards against new flows that are placed by the older snapshot of a sender.
func TestOlderSenderIsRerouted(t *testing.T) {
	n, moved := changed(t, func(*node, flow.Key, snapshot.GroupID) {})
	for k, g := range moved {
		r := &Relay{Ask: group.OpDecide, Group: g, Service: 1, Version: 1}
		n.expect("SYN", &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}, r, ToHost, "")
		if text := firstTable(n, k); !strings.HasPrefix(text, "entry on host") {
			t.Errorf("flow %v: %s", k, text)
		}
	}
}

// Guards against an entry of a SYN that stays in the service that its address
// has left, where it would take packets if the address came back.
func TestYoungFlowsAreForgottenOnMove(t *testing.T) {
	w, n, _ := single(t)
	k := flow.Key{Src: 9, SrcPort: 9, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}
	n.expect("SYN", &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}, nil, ToHost, "")
	w.do(step{Do: "move"})
	w.run(w.now + time.Second)
	l := n.engine.local(snapshot.GroupID{Service: 1, Domain: 1})
	if text := l.table.Explain(n.time(), k, 3); strings.HasPrefix(text, "entry") {
		t.Errorf("after the move: %s", text)
	}
}

// Guards against a joined owner that knows no earlier ranking and takes a flow
// for lost, although the instance that it asks knows who else may hold it.
func TestHolderNamesCandidates(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 4, 4))
	w.run(4 * time.Second)
	v := w.nodes[0].engine.view.Load()
	groups := v.Snapshot.Services[1].Groups
	asker, holder := v.Owners[groups[0].ID].Target.ID, v.Owners[groups[1].ID].Target.ID
	if asker == holder {
		t.Fatalf("instance %d owns both groups", asker)
	}
	n := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id != asker && n.id != holder })]
	k := flow.Key{Src: 9, SrcPort: 9, Dst: feed.Addr, DstPort: feed.Port, Proto: flow.TCP}
	data := &flow.Packet{Key: k, Flags: flow.ACK, Seq: 2, Ack: 1}
	for _, c := range []struct {
		next snapshot.InstanceID
		to   snapshot.InstanceID
		ask  group.Op
	}{{0, holder, group.OpLookup}, {n.id, asker, group.OpDefault}} {
		a := n.expect("question", data, &Relay{
			Ask: group.OpLookup, Group: groups[0].ID, Requester: asker, NextCandidate: c.next, Service: 1, Version: 1, Hops: 2,
		}, ToPeer, "")
		if a.Peer.ID != c.to || a.Relay.Ask != c.ask {
			t.Errorf("next %d: relayed to %d with %d, want %d with %d", c.next, a.Peer.ID, a.Relay.Ask, c.to, c.ask)
		}
	}
	n.expect("not all can be asked", data, &Relay{
		Ask: group.OpLookup, Group: groups[0].ID, Requester: asker, NextCandidate: asker, Service: 1, Version: 1, Hops: 2,
	}, Drop, group.ReasonHops)
}

// Guards against flows that stall between the last page of a pull and the
// claim of the new owner.
func TestHandedOverTableForwards(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 2))
	w.run(4 * time.Second)
	n, other := w.nodes[0], w.nodes[1]
	syn := &flow.Packet{Key: n.keyOf(feed), Flags: flow.SYN, Seq: 1}
	data := &flow.Packet{Key: syn.Key, Flags: flow.ACK, Seq: 2, Ack: 1}
	n.expect("owner", syn, nil, ToHost, "")
	svc := n.engine.Snapshot().Services[1]
	r := &message.PullRequest{From: other.id, Group: svc.Groups[svc.Rank(syn.Key)[0]].ID}
	for done := false; !done; {
		reply, err := n.engine.Pull(n.time(), r)
		if err != nil {
			t.Fatal(err)
		}
		r.Cursor, done = reply.Next, reply.Done
	}
	n.expect("established flow", data, nil, ToHost, "")
	syn.Key.Src++
	if a := n.engine.Packet(n.time(), syn, nil); a.Verdict != ToPeer || a.Peer.ID != other.id {
		t.Errorf("new flow: verdict %d, reason %q", a.Verdict, a.Reason)
	}
}
