package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func addr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(n % 7), byte(n >> 8), byte(n)}) }

// meet returns n fleets in the given number of domains that all know each other.
func meet(n, domains int) map[netip.Addr]*Fleet {
	all := make(map[netip.Addr]*Fleet)
	for i := range n {
		all[addr(i)] = New(addr(i), fmt.Sprint("d", i%domains), uint64(i))
	}
	for a, f := range all {
		for b, m := range all {
			if a != b {
				f.RecordMessage(time.Second, b, m.self.Domain)
			}
		}
	}
	return all
}

// Guards against more than one reader in a fleet whose members know each
// other, against circles, and against long ways or wide fans to the reader.
func TestOneReader(t *testing.T) {
	for _, n := range []int{1, 2, 8, 85, 420, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			all := meet(n, min(n, 7))
			fans := map[netip.Addr]int{}
			readers := 0
			for _, f := range all {
				f.Tick(time.Second, false)
				if !f.Source().IsValid() {
					readers++
				}
				fans[f.Source()]++
			}
			g.Expect(readers).To(Equal(1))
			for a, f := range all {
				hops := 0
				for f.Source().IsValid() {
					f = all[f.Source()]
					hops++
					g.Expect(hops).To(BeNumerically("<=", 4), "from %s", a)
				}
			}
			for a, k := range fans {
				if a.IsValid() {
					g.Expect(k).To(BeNumerically("<=", FanOut+6), "followers of %s", a)
				}
			}
		})
	}
}

// Guards against a follower that stays with a dead source.
func TestSilentSourceIsLeft(t *testing.T) {
	g := NewWithT(t)
	var f *Fleet
	for _, x := range meet(4, 1) {
		x.Tick(time.Second, false)
		if x.Source().IsValid() {
			f = x
		}
	}
	dead := f.Source()
	now := time.Second
	f.Tick(now, false)
	for f.Source() == dead {
		now += 100 * time.Millisecond
		for m := range f.members {
			if m != dead {
				f.RecordMessage(now, m, "d0")
			}
		}
		f.Tick(now, false)
		g.Expect(now).To(BeNumerically("<", time.Second+silentAfter+300*time.Millisecond))
	}
	// Once it speaks again it is the source again.
	f.RecordMessage(now, dead, "d0")
	f.Tick(now, false)
	g.Expect(f.Source()).To(Equal(dead))
}

// Guards against a member that lost the store asking nobody since it ranks first.
func TestFirstMemberAsksOthersWhenItLostTheStore(t *testing.T) {
	g := NewWithT(t)
	for _, f := range meet(5, 2) {
		f.Tick(time.Second, false)
		if f.Source().IsValid() {
			continue
		}
		g.Expect(f.Tick(2*time.Second, false).SubscribeTo.IsValid()).To(BeFalse())
		g.Expect(f.Tick(3*time.Second, true).SubscribeTo.IsValid()).To(BeTrue())
	}
}

// Guards against followers of a member that the store does not answer: the next
// one reads for all, and the first one hears from the others.
func TestMemberThatIsCutOffIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	all := meet(30, 3)
	now := time.Second
	var first, next netip.Addr
	for a, f := range all {
		if f.Tick(now, false); !f.Source().IsValid() {
			first = a
		}
	}
	for _, f := range all {
		f.SetStoreUnreachable(now, first, true)
	}
	readers := 0
	for a, f := range all {
		if f.Tick(now, a == first); !f.Source().IsValid() {
			next = a
			readers++
		}
		g.Expect(f.Source()).NotTo(Equal(first))
	}
	g.Expect(readers).To(Equal(1))
	// It ranks first again once it says so, or after a while without a word.
	f := all[next]
	f.Tick(now+cutFor, false)
	g.Expect(f.Source()).To(Equal(first))
	f.SetStoreUnreachable(now, first, true)
	f.SetStoreUnreachable(now, first, false)
	f.Tick(now, false)
	g.Expect(f.Source()).To(Equal(first))
}

// Guards against a fleet that falls apart while the store is away: the tree
// stays, and a few members of each domain go on reading.
func TestTreeStaysWhileTheStoreIsAway(t *testing.T) {
	g := NewWithT(t)
	all := meet(60, 3)
	now := time.Second
	before := make(map[netip.Addr]netip.Addr)
	for a, f := range all {
		f.Tick(now, false)
		before[a] = f.Source()
		for b := range all {
			f.SetStoreUnreachable(now, b, true)
		}
	}
	reading := make(map[string]int)
	for a, f := range all {
		f.Tick(now, true)
		g.Expect(f.Source()).To(Equal(before[a]))
		if f.ProbesStore(now) {
			reading[f.self.Domain]++
		}
	}
	g.Expect(reading).To(Equal(map[string]int{"d0": probers, "d1": probers, "d2": probers}))
}

// Guards against members that never meet: from stale seeds, of which one lives.
func TestMembersMeetOverOneSeed(t *testing.T) {
	g := NewWithT(t)
	f := New(addr(1), "a", 1)
	f.SetSeeds([]netip.Addr{addr(1), addr(50), addr(2)})
	p := f.Tick(time.Second, false)
	g.Expect(p.GossipTo).To(ConsistOf(addr(50), addr(2)), "not itself")
	g.Expect(f.RecordMessage(time.Second, addr(2), "a")).To(BeTrue(), "a new member is greeted in return")
	g.Expect(f.RecordMessage(time.Second, addr(2), "a")).To(BeFalse())
	f.RecordGossip(time.Second, addr(3), "b", 0)
	g.Expect(f.Size()).To(Equal(3))
}

// Guards against members that are remembered for ever, and against old news
// that brings a gone member back.
func TestForgetsMembers(t *testing.T) {
	g := NewWithT(t)
	f := New(addr(1), "a", 1)
	f.RecordMessage(time.Second, addr(2), "a")
	f.Tick(time.Second+memberLimit+1, false)
	g.Expect(f.Size()).To(Equal(1))
	f.RecordGossip(time.Minute, addr(2), "a", memberLimit)
	g.Expect(f.Size()).To(Equal(1))
	f.RecordMessage(time.Minute, addr(2), "a")
	f.Remove(addr(2))
	g.Expect(f.Size()).To(Equal(1))
}

// Guards against followers that are told nothing, and that are told for ever.
func TestFollowersHaveALease(t *testing.T) {
	g := NewWithT(t)
	f := New(addr(1), "a", 1)
	f.RecordMessage(time.Second, addr(2), "a")
	f.RenewFollower(time.Second, addr(2))
	g.Expect(f.Followers(2 * time.Second)).To(ConsistOf(addr(2)))
	g.Expect(f.Followers(time.Second + FollowerLease)).To(BeEmpty())
}

// Guards against circles among members with different pictures of the fleet:
// everybody follows only members that rank before it.
func TestNobodyFollowsItselfOverOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		fleets := make([]*Fleet, n)
		for i := range n {
			fleets[i] = New(addr(i), fmt.Sprint("d", i%3), uint64(i))
		}
		now := time.Second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "gap")) * time.Millisecond
			a, b := rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b")
			if a != b {
				fleets[a].RecordMessage(now, addr(b), fmt.Sprint("d", b%3))
			}
			fleets[a].Tick(now, false)
		}
		for i := range n {
			at, hops := fleets[i], 0
			for at.Source().IsValid() {
				for j := range n {
					if addr(j) == at.Source() {
						at = fleets[j]
						break
					}
				}
				if hops++; hops > n {
					t.Fatalf("member %d follows a circle", i)
				}
			}
		}
	})
}
