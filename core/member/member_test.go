package member

import (
	"slices"
	"testing"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// list builds a snapshot with n instances in each domain; instance i+1 is in
// domain i%domains+1. Each domain has one host.
func list(t testing.TB, version snapshot.Version, domains, n int) *snapshot.Snapshot {
	t.Helper()
	in := snapshot.Input{Version: version, Services: []snapshot.Service{{ID: 1, Name: "register"}}}
	for d := range domains {
		in.Domains = append(in.Domains, snapshot.Domain{ID: snapshot.DomainID(d + 1)})
		in.Hosts = append(in.Hosts, snapshot.Host{ID: snapshot.HostID(d + 1), Domain: snapshot.DomainID(d + 1), Service: 1, Slots: 1})
	}
	for i := range domains * n {
		in.Instances = append(in.Instances, snapshot.Instance{
			ID: snapshot.InstanceID(i + 1), Domain: snapshot.DomainID(i%domains + 1),
		})
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// fixture is a tracker of instance 1 with a clock and peers that send heartbeats.
type fixture struct {
	t   *testing.T
	m   *Tracker
	now time.Duration
	seq uint64
}

func newFixture(t *testing.T, s *snapshot.Snapshot) *fixture {
	r := &fixture{t: t, m: New(0, Config{Self: 1, Domain: 1, Boot: 1})}
	r.m.SetSnapshot(0, s)
	return r
}

// pass lets time go by; the peers given are heard every base interval.
func (r *fixture) pass(d time.Duration, peers ...snapshot.InstanceID) {
	for end := r.now + d; r.now < end; {
		r.now += 50 * time.Millisecond
		if r.now%BaseInterval == 0 {
			for _, id := range peers {
				r.hear(id, message.Ready)
			}
		}
		r.m.Tick(r.now)
	}
}

func (r *fixture) hear(id snapshot.InstanceID, s message.State, claims ...message.Claim) {
	r.seq++
	r.m.HandleHeartbeat(r.now, &message.Heartbeat{From: id, Boot: 1, Seq: r.seq, State: s, Version: 1, Claims: claims})
}

func (r *fixture) state(id snapshot.InstanceID) message.State { return r.m.View().Peers[id].State }

func (r *fixture) expect(what string, got, want any) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("%s at %v: %v, want %v", what, r.now, got, want)
	}
}

// Guards against peers that are dropped after two lost heartbeats, or kept
// after five.
func TestSilentPeerIsSuspectedThenGone(t *testing.T) {
	r := newFixture(t, list(t, 1, 1, 3))
	r.pass(800*time.Millisecond, 2, 3)
	for _, step := range []struct {
		silent time.Duration
		want   message.State
	}{{1200 * time.Millisecond, message.Ready}, {1450 * time.Millisecond, message.Suspected}, {2250 * time.Millisecond, message.Gone}} {
		r.pass(800*time.Millisecond+step.silent-r.now, 2)
		r.expect("peer 3", r.state(3), step.want)
		r.expect("peer 2", r.state(2), message.Ready)
	}
	r.hear(3, message.Ready)
	r.expect("peer 3 heard again", r.state(3), message.Ready)
	if o := r.m.View().Owners[snapshot.GroupID{Service: 1, Domain: 1}]; slices.Contains(o.Ranked[:], 0) {
		t.Errorf("ranked owners are %v, want all three", o.Ranked)
	}
}

// Guards against an instance that owns groups before it has heard its peers,
// and against one that waits forever for a peer that the list still names.
func TestJoiningEnds(t *testing.T) {
	r := newFixture(t, list(t, 1, 1, 3))
	r.pass(400*time.Millisecond, 2)
	r.expect("state with peer 3 unheard", r.m.State(), message.Joining)
	r.pass(2*time.Second, 2)
	r.expect("state with peer 3 gone", r.m.State(), message.Ready)

	r = newFixture(t, list(t, 1, 1, 2))
	r.m.HandleHeartbeat(0, &message.Heartbeat{From: 2, Boot: 1, Seq: 1, State: message.Ready, Version: 2})
	r.m.Tick(0)
	r.expect("state with an older snapshot", r.m.State(), message.Joining)
}

// Guards against a woken process that decides on views from before its pause,
// and against one that takes its peers for dead because it did not listen.
func TestPause(t *testing.T) {
	r := newFixture(t, list(t, 1, 1, 4))
	r.pass(2*time.Second, 2, 3, 4)
	r.now += 5 * time.Second
	r.m.Tick(r.now)
	r.expect("stale after a pause", r.m.View().Stale, true)
	r.expect("peer 2 after a pause", r.state(2), message.Ready)
	r.hear(2, message.Ready)
	r.pass(50 * time.Millisecond)
	r.expect("stale with one of three heard", r.m.View().Stale, true)
	r.hear(3, message.Ready)
	r.pass(50 * time.Millisecond)
	r.expect("stale with two of three heard", r.m.View().Stale, false)

	r.now += 5 * time.Second
	r.m.Tick(r.now)
	r.pass(staleIntervals * BaseInterval)
	r.expect("stale after three silent intervals", r.m.View().Stale, false)
}

// Guards against two owners after a wrong suspicion.
func TestClaims(t *testing.T) {
	g := snapshot.GroupID{Service: 1, Domain: 1}
	for _, c := range []struct {
		name     string
		own      uint64
		two      uint64
		three    uint64
		claimant snapshot.InstanceID
	}{
		{"higher epoch", 3, 4, 2, 2},
		{"own higher epoch", 5, 4, 2, 1},
		{"equal epochs", 0, 4, 4, 2},
		{"equal to the own", 4, 4, 0, 1},
	} {
		r := newFixture(t, list(t, 1, 1, 3))
		if c.own > 0 {
			r.m.Claim(g, c.own)
		}
		if c.two > 0 {
			r.hear(2, message.Ready, message.Claim{Group: g, Epoch: c.two})
		}
		if c.three > 0 {
			r.hear(3, message.Ready, message.Claim{Group: g, Epoch: c.three})
		}
		r.expect(c.name, r.m.View().Owners[g].Claimant, c.claimant)
	}
	r := newFixture(t, list(t, 1, 1, 3))
	r.hear(2, message.Ready, message.Claim{Group: g, Epoch: 4})
	r.m.View()
	r.hear(2, message.Ready)
	o := r.m.View().Owners[g]
	r.expect("claimant after a claim ended", o.Claimant, snapshot.InstanceID(0))
	r.expect("previous claimant", o.PreviousClaimant, snapshot.InstanceID(2))
	r.m.HandleHeartbeat(r.now, &message.Heartbeat{From: 2, Boot: 2, Seq: 1, State: message.Joining, Version: 1})
	r.expect("previous after its restart", r.m.View().Owners[g].PreviousClaimant, snapshot.InstanceID(0))
}

// Guards against a late heartbeat, or one of an earlier process, that undoes a newer one.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	m := New(0, Config{Self: 1, Domain: 1})
	m.SetSnapshot(0, list(t, 1, 1, 2))
	for _, c := range []struct {
		boot, seq uint64
		want      bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}} {
		if got := m.HandleHeartbeat(0, &message.Heartbeat{From: 2, Boot: c.boot, Seq: c.seq}); got != c.want {
			t.Errorf("boot %d, seq %d: taken is %v, want %v", c.boot, c.seq, got, c.want)
		}
	}
}

// Guards against heartbeats that exceed their part of the control budget, and
// against instances of other domains that are never heard.
func TestRecipientsAndBudget(t *testing.T) {
	for _, c := range []struct{ domains, each, recipients int }{
		{1, 9, 8},
		{4, 2, 7},
		{4, 4, 15},      // 16 in all: everybody
		{7, 20, 19 + 8}, // a sample of the others
		{7, 60, 59 + 8},
	} {
		m := New(0, Config{Self: 1, Domain: 1})
		m.SetSnapshot(0, list(t, 1, c.domains, c.each))
		var bytes int
		heard := make(map[snapshot.InstanceID]bool)
		const seconds = 120
		for now := time.Duration(0); now < seconds*time.Second; now += 50 * time.Millisecond {
			h, to := m.DueHeartbeat(now)
			if h == nil {
				continue
			}
			if len(to) != c.recipients {
				t.Fatalf("%d domains of %d: %d recipients, want %d", c.domains, c.each, len(to), c.recipients)
			}
			for _, inst := range to {
				bytes += HeartbeatSize(h)
				heard[inst.ID] = true
			}
		}
		if rate := bytes / seconds; rate > HeartbeatBudget*105/100 {
			t.Errorf("%d domains of %d: %d B/s", c.domains, c.each, rate)
		}
		if want := c.domains*c.each - 1; len(heard) != want {
			t.Errorf("%d domains of %d: %d of %d instances got a heartbeat", c.domains, c.each, len(heard), want)
		}
	}
}

// Guards against a cut-off domain whose instances are still ranked, and against
// relays to an instance of another domain that has not claimed the group.
func TestCutDomain(t *testing.T) {
	r := newFixture(t, list(t, 1, 2, 2)) // 1 and 3 in domain 1, 2 and 4 in domain 2
	r.pass(2*time.Second, 2, 3, 4)
	g := snapshot.GroupID{Service: 1, Domain: 2}
	r.expect("partitioned", r.m.View().Partitioned, false)
	r.pass(2*time.Second, 3)
	v := r.m.View()
	r.expect("partitioned", v.Partitioned, true)
	r.expect("target is set", v.Owners[g].Target != nil, false)
	r.hear(3, message.Ready, message.Claim{Group: g, Epoch: 9})
	r.expect("target after a claim", r.m.View().Owners[g].Target.ID, snapshot.InstanceID(3))
	// One instance is heard again, the other may hold the flows.
	r.hear(2, message.Ready)
	r.expect("partitioned at the first heartbeat", r.m.View().Partitioned, true)
	r.pass(healIntervals*BaseInterval-50*time.Millisecond, 2, 3, 4)
	r.expect("partitioned until claims are known", r.m.View().Partitioned, true)
	r.pass(50*time.Millisecond, 2, 3, 4)
	r.expect("partitioned in the end", r.m.View().Partitioned, false)
}
