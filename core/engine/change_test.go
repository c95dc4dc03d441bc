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

// Guards against a domain that is cut off from the platform and keeps an old snapshot
// although its peers have a newer one.
func TestSnapshotIsFetchedFromPeers(t *testing.T) {
	w := newWorld(t, 1, initialInput(2, 2, 1))
	w.run(4 * time.Second)
	w.platformCut[2] = true
	w.publish(func(*snapshot.Input) {})
	w.run(w.now + 3*time.Second)
	if v := w.oldestVersion(); v != 2 {
		t.Errorf("oldest version in force after 3 s is %d, want 2", v)
	}
}

// Guards against an instance that joins after a move and does not learn of it.
func TestJoinerLearnsMoves(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 2, 1))
	w.run(4 * time.Second)
	w.perform(step{Do: "move"})
	w.run(w.now + 2*time.Second)
	w.perform(step{Do: "join"})
	w.run(w.now + 3*time.Second)
	b, _ := w.nodes[2].engine.view.Load().Lookup(moving)
	if b.MovedIn != 2 || b.MovedFrom != 1 {
		t.Errorf("joined instance: moved in version %d from service %d, want version 2 from service 1", b.MovedIn, b.MovedFrom)
	}
}

// Guards against LeaveDone before all groups are handed over, and against redirects
// that are not passed on to the new owner.
func TestLeaveHandsOver(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 2, 4))
	w.run(4 * time.Second)
	n, other := w.nodes[0], w.nodes[1]
	k := n.ownedKey(feed)
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
		t.Error("LeaveDone is true before the groups were handed over")
	}
	w.run(w.now + 4*time.Second)
	if !n.engine.LeaveDone(n.time()) {
		t.Error("LeaveDone is false 4 s after Leave")
	}
	if text := other.engine.Explain(other.time(), k); !strings.Contains(text, "redirected to group "+heldBy.String()) {
		t.Errorf("the new owner has not received the redirect:\n%s", text)
	}
}

// worldWithAddedHost returns a world of one instance to which a host was added, and the
// flows whose first-ranked group changed by that, with their first-ranked group before.
func worldWithAddedHost(t *testing.T, open func(n *node, k flow.Key, g snapshot.GroupID)) (*node, map[flow.Key]snapshot.GroupID) {
	w := newWorld(t, 1, initialInput(1, 1, 4))
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
	w.perform(step{Do: "add host"})
	w.run(w.now + 10*time.Second)
	for k, g := range before {
		if first(k) == g {
			delete(before, k)
		}
	}
	if len(before) == 0 {
		t.Fatal("adding a host changed the first-ranked group of no flow")
	}
	return n, before
}

// explainFirstGroup returns what the flow's current first-ranked group knows about it.
func explainFirstGroup(n *node, k flow.Key) string {
	svc := n.engine.Snapshot().Services[1]
	return n.engine.localGroup(svc.Groups[svc.Rank(k)[0]].ID).table.Explain(n.time(), k, 1)
}

// Guards against idle flows that are unknown to their new first-ranked group.
func TestDisplacedFlowsAreAnnounced(t *testing.T) {
	n, moved := worldWithAddedHost(t, func(n *node, k flow.Key, _ snapshot.GroupID) {
		n.expect("SYN", &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}, nil, ToHost, "")
	})
	for k, g := range moved {
		if text := explainFirstGroup(n, k); text != "redirected to group "+g.String() {
			t.Errorf("flow %v: %s", k, text)
		}
	}
}

// Guards against placing a new flow by the older snapshot of the relaying instance.
func TestOlderSenderIsRerouted(t *testing.T) {
	n, moved := worldWithAddedHost(t, func(*node, flow.Key, snapshot.GroupID) {})
	for k, g := range moved {
		r := &Relay{Op: group.OpDecide, Group: g, Service: 1, Version: 1}
		n.expect("SYN", &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}, r, ToHost, "")
		if text := explainFirstGroup(n, k); !strings.HasPrefix(text, "entry on host") {
			t.Errorf("flow %v: %s", k, text)
		}
	}
}

// Guards against an entry made by a SYN that stays in a service after its address has
// left it. The entry would attract packets if the address moved back.
func TestUnestablishedFlowsAreRemovedOnMove(t *testing.T) {
	w, n, _ := singleInstance(t)
	k := flow.Key{Src: 9, SrcPort: 9, Dst: moving.Addr, DstPort: moving.Port, Proto: flow.TCP}
	n.expect("SYN", &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}, nil, ToHost, "")
	w.perform(step{Do: "move"})
	w.run(w.now + time.Second)
	l := n.engine.localGroup(snapshot.GroupID{Service: 1, Domain: 1})
	if text := l.table.Explain(n.time(), k, 3); strings.HasPrefix(text, "entry") {
		t.Errorf("the entry is still there after the move: %s", text)
	}
}

// Guards against treating a flow as lost when its owner has joined recently and knows
// no earlier rankings, while the instance that it asks knows who else may hold the flow.
func TestHolderNamesCandidates(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 4, 4))
	w.run(4 * time.Second)
	v := w.nodes[0].engine.view.Load()
	groups := v.Snapshot.Services[1].Groups
	requester, holder := v.Owners[groups[0].ID].Target.ID, v.Owners[groups[1].ID].Target.ID
	if requester == holder {
		t.Fatalf("instance %d owns both groups", requester)
	}
	n := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id != requester && n.id != holder })]
	k := flow.Key{Src: 9, SrcPort: 9, Dst: feed.Addr, DstPort: feed.Port, Proto: flow.TCP}
	data := &flow.Packet{Key: k, Flags: flow.ACK, Seq: 2, Ack: 1}
	for _, c := range []struct {
		next snapshot.InstanceID
		to   snapshot.InstanceID
		op   group.Op
	}{{0, holder, group.OpLookup}, {n.id, requester, group.OpDefault}} {
		a := n.expect("request for the entry", data, &Relay{
			Op: group.OpLookup, Group: groups[0].ID, Requester: requester, NextCandidate: c.next, Service: 1, Version: 1, Hops: 2,
		}, ToPeer, "")
		if a.Peer.ID != c.to || a.Relay.Op != c.op {
			t.Errorf("next candidate %d: relayed to %d with Op %d, want %d with Op %d", c.next, a.Peer.ID, a.Relay.Op, c.to, c.op)
		}
	}
	n.expect("candidates left after the last one to ask", data, &Relay{
		Op: group.OpLookup, Group: groups[0].ID, Requester: requester, NextCandidate: requester, Service: 1, Version: 1, Hops: 2,
	}, Drop, group.ReasonHops)
}

// Guards against flows that stall between the last page of a pull and the claim of the
// new owner.
func TestHandedOverTableForwards(t *testing.T) {
	w := newWorld(t, 1, initialInput(1, 2, 2))
	w.run(4 * time.Second)
	n, other := w.nodes[0], w.nodes[1]
	syn := &flow.Packet{Key: n.ownedKey(feed), Flags: flow.SYN, Seq: 1}
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
		t.Errorf("new flow: verdict %d, reason %q, want it relayed to the new owner", a.Verdict, a.Reason)
	}
}
