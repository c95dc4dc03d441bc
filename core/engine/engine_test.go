package engine

import (
	"strings"
	"sync"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Guards against groups that stay without an owner, or get two, after a start
// of all instances.
func TestBootClaimsEachGroupOnce(t *testing.T) {
	w := newWorld(t, 1, startInput(3, 3, 3))
	w.run(5 * time.Second)
	w.checkOwners()
	for _, n := range w.nodes {
		if st := n.engine.Status(n.time()); st.State != message.Ready || st.Stale || len(st.Peers) != 8 {
			t.Errorf("instance %d: state %s, stale %v, %d peers", n.id, st.State, st.Stale, len(st.Peers))
		}
	}
}

// Guards against a takeover that loses flows which are older than the delay of
// copies, at their default host or not.
func TestTakeoverKeepsFlows(t *testing.T) {
	w := newWorld(t, 3, startInput(1, 3, 5))
	w.run(4 * time.Second)
	for range 150 {
		w.open(feed, false)
	}
	w.run(14 * time.Second)
	for _, n := range w.nodes[:2] {
		n.dead = true
		w.run(w.now + 15*time.Second)
	}
	for _, c := range w.all {
		if c.state != open || w.now-c.last > 4*time.Second {
			t.Errorf("flow %v: state %d, last answer at %v of %v", c.key, c.state, c.last, w.now)
		}
	}
}

// Guards against an instance that takes over groups of another domain whose
// hosts it cannot reach, or never takes over those that it can.
func TestRemoteTakeoverNeedsProbes(t *testing.T) {
	w := newWorld(t, 1, startInput(2, 1, 2))
	w.run(4 * time.Second)
	setDead := func(dead bool) {
		for _, h := range w.hosts {
			h.dead = dead && h.domain == 2
		}
	}
	setDead(true)
	w.nodes[1].dead = true
	remote := func() (n int) {
		for _, g := range w.nodes[0].engine.Status(w.nodes[0].time()).Groups {
			if g.Group.Domain == 2 && g.Role == "owner" {
				n++
			}
		}
		return n
	}
	w.run(10 * time.Second)
	if n := remote(); n != 0 {
		t.Errorf("%d groups taken over whose hosts do not answer", n)
	}
	setDead(false)
	w.run(14 * time.Second)
	if n := remote(); n != 2 {
		t.Errorf("%d groups taken over, want 2", n)
	}
}

// single returns the only instance of a service with one group of one host.
func single(t *testing.T) (*world, *node, *flow.Packet) {
	w := newWorld(t, 1, startInput(1, 1, 1))
	w.run(4 * time.Second)
	k := flow.Key{Src: 9, SrcPort: 9, Dst: feed.Addr, DstPort: feed.Port, Proto: feed.Proto}
	return w, w.nodes[0], &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}
}

// Guards against an owner that fills a host which another instance still has
// flows on.
func TestForeignCountsTakePlaces(t *testing.T) {
	w, n, syn := single(t)
	w.publish(func(in *snapshot.Input) {
		in.Instances = append(in.Instances, snapshot.Instance{ID: 2, Domain: 1})
	})
	w.run(6 * time.Second)
	host := n.engine.Snapshot().Services[1].Groups[0].Hosts[0]
	h := &message.Heartbeat{From: 2, Boot: 1, Seq: 1, ForeignCounts: []message.HostCount{{Host: host.ID, Connections: uint32(host.ConnectionLimit)}}}
	n.engine.Heartbeat(n.time(), h)
	if a := n.engine.Packet(n.time(), syn, nil); a.Verdict != ToCaller {
		t.Errorf("SYN with the host full of foreign flows: verdict %d, reason %s", a.Verdict, a.Reason)
	}
	n.engine.Heartbeat(n.time(), &message.Heartbeat{From: 2, Boot: 1, Seq: 2})
	syn.Key.Src++
	if a := n.engine.Packet(n.time(), syn, nil); a.Verdict != ToHost {
		t.Errorf("SYN after the foreign flows ended: verdict %d, reason %s", a.Verdict, a.Reason)
	}
}

// Guards against packets that circle among instances whose views differ, and
// against deciding by an older snapshot than the sender's.
func TestRelaysEnd(t *testing.T) {
	w := newWorld(t, 1, startInput(1, 2, 1))
	w.run(4 * time.Second)
	k := flow.Key{Src: 9, SrcPort: 9, Dst: feed.Addr, DstPort: feed.Port, Proto: feed.Proto}
	syn := &flow.Packet{Key: k, Flags: flow.SYN, Seq: 1}
	unknown := *syn
	unknown.Key.DstPort = 9
	for _, n := range w.nodes {
		id := n.engine.Snapshot().Services[1].Groups[0].ID
		for _, c := range []struct {
			p    *flow.Packet
			r    *Relay
			want group.Reason
		}{
			{syn, &Relay{Group: id, Service: 1, Version: 1, Hops: 4}, group.ReasonHops},
			{syn, &Relay{Group: id, Service: 2, Version: 9}, group.ReasonVersion},
			{&unknown, &Relay{Group: id, Service: 1, Version: 9}, group.ReasonVersion},
			{&unknown, nil, group.ReasonUnknownAddress},
		} {
			a := n.engine.Packet(n.time(), c.p, c.r)
			if owner := a.Verdict == ToHost && c.want == group.ReasonHops; !owner && (a.Verdict != Drop || a.Reason != c.want) {
				t.Errorf("instance %d, relay %+v: verdict %d, reason %q, want %q", n.id, c.r, a.Verdict, a.Reason, c.want)
			}
		}
	}
}

// Guards against an explanation that leaves out what an operator asks for.
func TestExplain(t *testing.T) {
	_, n, syn := single(t)
	n.engine.Packet(n.time(), syn, nil)
	text := n.engine.Explain(n.time(), syn.Key)
	for _, want := range []string{"service register (1)", "kind kind1 (1)", "group 1: 1.1.0", "claimed by 1", "here: owner", "entry on host 1"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}
}

// Guards, under the race detector, against state that is read without its lock.
func TestConcurrentCalls(t *testing.T) {
	_, n, syn := single(t)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			p := *syn
			p.Key.SrcPort = uint16(1000 * worker)
			for i := range 500 {
				now := n.time() + time.Duration(i)*TickInterval
				p.Key.SrcPort++
				n.engine.Packet(now, &p, nil)
				switch worker {
				case 0:
					n.engine.Tick(now)
				case 1:
					n.engine.Explain(now, p.Key)
					n.engine.Status(now)
				case 2:
					id := n.engine.Snapshot().Services[1].Groups[0].ID
					n.engine.Heartbeat(now, &message.Heartbeat{From: 2, Boot: 1, Seq: uint64(i)})
					n.engine.CopyBatch(now, &message.CopyBatch{From: 2, Group: id, Epoch: 1, Seq: 1})
				case 3:
					for _, h := range n.engine.ProbeTargets(now) {
						n.engine.Report(now, h.ID, message.LoadReport{})
					}
				}
			}
		})
	}
	wg.Wait()
}
