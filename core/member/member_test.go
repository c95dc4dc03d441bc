package member

import (
	"slices"
	"testing"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// newTestSnapshot builds a snapshot with n instances and one host in each domain.
// Instance i+1 is in domain i%domains+1.
func newTestSnapshot(t testing.TB, version snapshot.Version, domains, n int) *snapshot.Snapshot {
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

// fixture is the tracker of instance 1 with a simulated clock and simulated peers.
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

// advance advances the clock by d. The given peers send a heartbeat every
// BaseInterval.
func (r *fixture) advance(d time.Duration, peers ...snapshot.InstanceID) {
	for end := r.now + d; r.now < end; {
		r.now += 50 * time.Millisecond
		if r.now%BaseInterval == 0 {
			for _, id := range peers {
				r.receiveHeartbeat(id, message.Ready)
			}
		}
		r.m.Tick(r.now)
	}
}

func (r *fixture) receiveHeartbeat(id snapshot.InstanceID, s message.State, claims ...message.Claim) {
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

// Guards against suspecting a peer after two missed heartbeats, and against still
// considering it alive after five.
func TestSilentPeerIsSuspectedThenGone(t *testing.T) {
	r := newFixture(t, newTestSnapshot(t, 1, 1, 3))
	r.advance(800*time.Millisecond, 2, 3)
	for _, step := range []struct {
		silent time.Duration
		want   message.State
	}{{1200 * time.Millisecond, message.Ready}, {1450 * time.Millisecond, message.Suspected}, {2250 * time.Millisecond, message.Gone}} {
		r.advance(800*time.Millisecond+step.silent-r.now, 2)
		r.expect("peer 3", r.state(3), step.want)
		r.expect("peer 2", r.state(2), message.Ready)
	}
	r.receiveHeartbeat(3, message.Ready)
	r.expect("peer 3 after a new heartbeat", r.state(3), message.Ready)
	if o := r.m.View().Owners[snapshot.GroupID{Service: 1, Domain: 1}]; slices.Contains(o.Ranked[:], 0) {
		t.Errorf("ranked owners are %v, want all three instances", o.Ranked)
	}
}

// Guards against an instance that owns groups before it has heard from its peers,
// and against one that waits forever for a dead peer that is still listed.
func TestJoiningEnds(t *testing.T) {
	r := newFixture(t, newTestSnapshot(t, 1, 1, 3))
	r.advance(400*time.Millisecond, 2)
	r.expect("state before a heartbeat of peer 3", r.m.State(), message.Joining)
	r.advance(2*time.Second, 2)
	r.expect("state with peer 3 gone", r.m.State(), message.Ready)

	r = newFixture(t, newTestSnapshot(t, 1, 1, 2))
	r.m.HandleHeartbeat(0, &message.Heartbeat{From: 2, Boot: 1, Seq: 1, State: message.Ready, Version: 2})
	r.m.Tick(0)
	r.expect("state with a snapshot older than the peer's", r.m.State(), message.Joining)
}

// Guards against a resumed process that acts on a view from before its pause, and
// against one that considers its peers dead because it missed their heartbeats
// during the pause.
func TestPause(t *testing.T) {
	r := newFixture(t, newTestSnapshot(t, 1, 1, 4))
	r.advance(2*time.Second, 2, 3, 4)
	r.now += 5 * time.Second
	r.m.Tick(r.now)
	r.expect("stale after a pause", r.m.View().Stale, true)
	r.expect("peer 2 after a pause", r.state(2), message.Ready)
	r.receiveHeartbeat(2, message.Ready)
	r.advance(50 * time.Millisecond)
	r.expect("stale with one of three peers heard", r.m.View().Stale, true)
	r.receiveHeartbeat(3, message.Ready)
	r.advance(50 * time.Millisecond)
	r.expect("stale with two of three peers heard", r.m.View().Stale, false)

	r.now += 5 * time.Second
	r.m.Tick(r.now)
	r.advance(maxResumeIntervals * BaseInterval)
	r.expect("stale after three silent intervals", r.m.View().Stale, false)
}

// Guards against two owners of a group after a live owner was suspected.
func TestClaims(t *testing.T) {
	g := snapshot.GroupID{Service: 1, Domain: 1}
	for _, c := range []struct {
		name     string
		epoch1   uint64 // epochs that instances 1 to 3 claim, 0 for none
		epoch2   uint64
		epoch3   uint64
		claimant snapshot.InstanceID
	}{
		{"higher epoch of a peer", 3, 4, 2, 2},
		{"own higher epoch", 5, 4, 2, 1},
		{"equal epochs of two peers", 0, 4, 4, 2},
		{"own equal epoch and lower number", 4, 4, 0, 1},
	} {
		r := newFixture(t, newTestSnapshot(t, 1, 1, 3))
		if c.epoch1 > 0 {
			r.m.Claim(g, c.epoch1)
		}
		if c.epoch2 > 0 {
			r.receiveHeartbeat(2, message.Ready, message.Claim{Group: g, Epoch: c.epoch2})
		}
		if c.epoch3 > 0 {
			r.receiveHeartbeat(3, message.Ready, message.Claim{Group: g, Epoch: c.epoch3})
		}
		r.expect(c.name, r.m.View().Owners[g].Claimant, c.claimant)
	}
	r := newFixture(t, newTestSnapshot(t, 1, 1, 3))
	r.receiveHeartbeat(2, message.Ready, message.Claim{Group: g, Epoch: 4})
	r.m.View()
	r.receiveHeartbeat(2, message.Ready)
	o := r.m.View().Owners[g]
	r.expect("claimant after a claim ended", o.Claimant, snapshot.InstanceID(0))
	r.expect("previous claimant", o.PreviousClaimant, snapshot.InstanceID(2))
	r.m.HandleHeartbeat(r.now, &message.Heartbeat{From: 2, Boot: 2, Seq: 1, State: message.Joining, Version: 1})
	r.expect("previous claimant after its restart", r.m.View().Owners[g].PreviousClaimant, snapshot.InstanceID(0))
}

// Guards against a reordered heartbeat, or one of an earlier process, that overwrites
// the state from a newer one.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	m := New(0, Config{Self: 1, Domain: 1})
	m.SetSnapshot(0, newTestSnapshot(t, 1, 1, 2))
	for _, c := range []struct {
		boot, seq uint64
		want      bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}} {
		if got := m.HandleHeartbeat(0, &message.Heartbeat{From: 2, Boot: c.boot, Seq: c.seq}); got != c.want {
			t.Errorf("boot %d, seq %d: accepted is %v, want %v", c.boot, c.seq, got, c.want)
		}
	}
}

// Guards against heartbeats that exceed HeartbeatBudget, and against instances of
// other domains that never receive a heartbeat.
func TestRecipientsAndBudget(t *testing.T) {
	for _, c := range []struct{ domains, each, recipients int }{
		{1, 9, 8},
		{4, 2, 7},
		{4, 4, 15},      // 16 in all: full mesh
		{7, 20, 19 + 8}, // a sample of other domains
		{7, 60, 59 + 8},
	} {
		m := New(0, Config{Self: 1, Domain: 1})
		m.SetSnapshot(0, newTestSnapshot(t, 1, c.domains, c.each))
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
			t.Errorf("%d domains of %d: heartbeats take %d B/s, more than the budget", c.domains, c.each, rate)
		}
		if want := c.domains*c.each - 1; len(heard) != want {
			t.Errorf("%d domains of %d: %d of %d instances received a heartbeat", c.domains, c.each, len(heard), want)
		}
	}
}

// Guards against ranking the instances of a partitioned domain, against relaying to
// an instance of another domain that has not claimed the group, and against ending
// the partitioned state before the claims of the other side are known.
func TestPartitionedDomain(t *testing.T) {
	r := newFixture(t, newTestSnapshot(t, 1, 2, 2)) // 1 and 3 in domain 1, 2 and 4 in domain 2
	r.advance(2*time.Second, 2, 3, 4)
	g := snapshot.GroupID{Service: 1, Domain: 2}
	r.expect("partitioned with all peers heard", r.m.View().Partitioned, false)
	r.advance(2*time.Second, 3)
	v := r.m.View()
	r.expect("partitioned with domain 2 silent", v.Partitioned, true)
	r.expect("target is set", v.Owners[g].Target != nil, false)
	r.receiveHeartbeat(3, message.Ready, message.Claim{Group: g, Epoch: 9})
	r.expect("target after a claim", r.m.View().Owners[g].Target.ID, snapshot.InstanceID(3))
	// Instance 2 is heard again, but instance 4 may hold the flows.
	r.receiveHeartbeat(2, message.Ready)
	r.expect("partitioned after the first heartbeat", r.m.View().Partitioned, true)
	r.advance(healIntervals*BaseInterval-50*time.Millisecond, 2, 3, 4)
	r.expect("partitioned while claims may be unknown", r.m.View().Partitioned, true)
	r.advance(50*time.Millisecond, 2, 3, 4)
	r.expect("partitioned after healIntervals", r.m.View().Partitioned, false)
}
