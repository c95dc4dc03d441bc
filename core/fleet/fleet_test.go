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

// connectedFleets returns the fleets of n members in the given number of
// domains, all of which know each other.
func connectedFleets(n, domains int) map[netip.Addr]*Fleet {
	all := make(map[netip.Addr]*Fleet)
	for i := range n {
		all[addr(i)] = New(Identity{Addr: addr(i), Domain: fmt.Sprint("d", i%domains)}, uint64(i))
	}
	for a, f := range all {
		for b, m := range all {
			if a != b {
				f.RecordMessage(time.Second, m.self.Identity)
			}
		}
	}
	return all
}

// Guards against more than one reader of the store in a fleet whose members all
// know each other, against cycles, against paths to the reader of more than four
// hops, and against members with too many followers.
func TestSingleStoreReader(t *testing.T) {
	for _, n := range []int{1, 2, 8, 85, 420, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			all := connectedFleets(n, min(n, 7))
			followers := map[netip.Addr]int{}
			readers := 0
			for _, f := range all {
				f.Tick(time.Second, StoreAccess{})
				if !f.Source().IsValid() {
					readers++
				}
				followers[f.Source()]++
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
			for a, count := range followers {
				if a.IsValid() {
					g.Expect(count).To(BeNumerically("<=", FanOut+6), "followers of %s", a)
				}
			}
		})
	}
}

// Guards against a follower that keeps a dead source.
func TestSilentSourceIsReplaced(t *testing.T) {
	g := NewWithT(t)
	var f *Fleet
	for _, x := range connectedFleets(4, 1) {
		x.Tick(time.Second, StoreAccess{})
		if x.Source().IsValid() {
			f = x
		}
	}
	dead := f.Source()
	now := time.Second
	f.Tick(now, StoreAccess{})
	for f.Source() == dead {
		now += 100 * time.Millisecond
		for m := range f.members {
			if m != dead {
				f.RecordMessage(now, Identity{Addr: m, Domain: "d0"})
			}
		}
		f.Tick(now, StoreAccess{})
		g.Expect(now).To(BeNumerically("<", time.Second+sourceTimeout+300*time.Millisecond))
	}
	// After a message from the former source, it is selected again.
	f.RecordMessage(now, Identity{Addr: dead, Domain: "d0"})
	f.Tick(now, StoreAccess{})
	g.Expect(f.Source()).To(Equal(dead))
}

// Guards against a member that cannot reach the store and subscribes to nobody
// because it ranks first.
func TestFirstMemberAsksOthersWhenStoreIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	for _, f := range connectedFleets(5, 2) {
		f.Tick(time.Second, StoreAccess{})
		if f.Source().IsValid() {
			continue
		}
		g.Expect(f.Tick(2*time.Second, StoreAccess{}).SubscribeTo.IsValid()).To(BeFalse())
		g.Expect(f.Tick(3*time.Second, StoreAccess{Lost: true}).SubscribeTo.IsValid()).To(BeTrue())
	}
}

// Guards against members that follow one that cannot reach the store: the
// next-ranked member reads for all, and the first one follows others.
func TestMemberWithoutStoreRanksLast(t *testing.T) {
	g := NewWithT(t)
	all := connectedFleets(30, 3)
	now := time.Second
	var first, next netip.Addr
	for a, f := range all {
		if f.Tick(now, StoreAccess{}); !f.Source().IsValid() {
			first = a
		}
	}
	for _, f := range all {
		f.SetStoreUnreachable(now, first, true)
	}
	readers := 0
	for a, f := range all {
		if f.Tick(now, StoreAccess{Lost: a == first, Unreachable: a == first}); !f.Source().IsValid() {
			next = a
			readers++
		}
		g.Expect(f.Source()).NotTo(Equal(first))
	}
	g.Expect(readers).To(Equal(1))
	// It ranks first again when its report expires or it reports the store as
	// reachable.
	f := all[next]
	f.Tick(now+storeUnreachableTTL, StoreAccess{})
	g.Expect(f.Source()).To(Equal(first))
	f.SetStoreUnreachable(now, first, true)
	f.SetStoreUnreachable(now, first, false)
	f.Tick(now, StoreAccess{})
	g.Expect(f.Source()).To(Equal(first))
}

// Guards against changes of the tree during a store outage: every member keeps
// its source, and probersPerDomain members of each domain keep reading.
func TestTreeIsStableDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	all := connectedFleets(60, 3)
	now := time.Second
	before := make(map[netip.Addr]netip.Addr)
	for a, f := range all {
		f.Tick(now, StoreAccess{})
		before[a] = f.Source()
		for b := range all {
			f.SetStoreUnreachable(now, b, true)
		}
	}
	probers := make(map[string]int)
	for a, f := range all {
		f.Tick(now, StoreAccess{Lost: true, Unreachable: true})
		g.Expect(f.Source()).To(Equal(before[a]))
		if f.ProbesStore(now) {
			probers[f.self.Domain]++
		}
	}
	g.Expect(probers).To(Equal(map[string]int{"d0": probersPerDomain, "d1": probersPerDomain, "d2": probersPerDomain}))
}

// Guards against members that never discover each other because only one of
// their seeds is running.
func TestDiscoveryThroughOneSeed(t *testing.T) {
	g := NewWithT(t)
	f := New(Identity{Addr: addr(1), Domain: "a"}, 1)
	f.SetSeeds([]netip.Addr{addr(1), addr(50), addr(2)})
	p := f.Tick(time.Second, StoreAccess{})
	g.Expect(p.GossipTo).To(ConsistOf(addr(50), addr(2)), "an instance does not gossip to itself")
	g.Expect(f.RecordMessage(time.Second, Identity{Addr: addr(2), Domain: "a"})).To(BeTrue(), "an unknown member gets gossip in return")
	g.Expect(f.RecordMessage(time.Second, Identity{Addr: addr(2), Domain: "a"})).To(BeFalse())
	f.RecordGossip(time.Second, Identity{Addr: addr(3), Domain: "b"}, 0)
	g.Expect(f.Size()).To(Equal(3))
}

// Guards against members that never expire, and against outdated gossip that
// adds a removed member again.
func TestMembersExpire(t *testing.T) {
	g := NewWithT(t)
	f := New(Identity{Addr: addr(1), Domain: "a"}, 1)
	f.RecordMessage(time.Second, Identity{Addr: addr(2), Domain: "a"})
	f.Tick(time.Second+memberTTL+1, StoreAccess{})
	g.Expect(f.Size()).To(Equal(1))
	f.RecordGossip(time.Minute, Identity{Addr: addr(2), Domain: "a"}, memberTTL)
	g.Expect(f.Size()).To(Equal(1))
	f.RecordMessage(time.Minute, Identity{Addr: addr(2), Domain: "a"})
	f.Remove(addr(2))
	g.Expect(f.Size()).To(Equal(1))
}

// Guards against followers without a lease and against leases that never expire.
func TestFollowerLeaseExpires(t *testing.T) {
	g := NewWithT(t)
	f := New(Identity{Addr: addr(1), Domain: "a"}, 1)
	f.RecordMessage(time.Second, Identity{Addr: addr(2), Domain: "a"})
	f.RenewFollower(time.Second, addr(2))
	g.Expect(f.Followers(2 * time.Second)).To(ConsistOf(addr(2)))
	g.Expect(f.Followers(time.Second + FollowerLease)).To(BeEmpty())
}

// Guards against cycles of followers among members with different views of the
// fleet: a member follows only members that rank before it.
func TestNoFollowerCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		fleets, capacities := make([]*Fleet, n), make([]uint8, n)
		for i := range n {
			capacities[i] = rapid.Uint8Range(1, 3).Draw(t, "capacity")
			fleets[i] = New(Identity{addr(i), fmt.Sprint("d", i%3), capacities[i]}, uint64(i))
		}
		now := time.Second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "gap")) * time.Millisecond
			a, b := rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b")
			if a != b {
				id := Identity{addr(b), fmt.Sprint("d", b%3), capacities[b]}
				if rapid.Bool().Draw(t, "capacity unknown") {
					id.Capacity = 0
				}
				fleets[a].RecordMessage(now, id)
			}
			fleets[a].Tick(now, StoreAccess{})
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
					t.Fatalf("the sources of member %d form a cycle", i)
				}
			}
		}
	})
}

// Guards against small instances that serve those of a domain with larger ones.
func TestLargerMembersServeTheOthers(t *testing.T) {
	g := NewWithT(t)
	const members, large = 60, 3
	fleets := make([]*Fleet, members)
	for i := range members {
		id := Identity{Addr: addr(i), Domain: "a", Capacity: 4}
		if i%20 == 0 {
			id.Capacity = 7
		}
		fleets[i] = New(id, uint64(i))
	}
	for _, f := range fleets {
		for _, x := range fleets {
			if x != f {
				id := x.Self()
				f.RecordGossip(time.Second, Identity{Addr: id.Addr, Domain: id.Domain}, 0) // from a member that does not know the capacity
				f.RecordGossip(time.Second, id, 0)
			}
		}
	}
	served := 0
	for _, f := range fleets {
		f.Tick(time.Second, StoreAccess{})
		if m := f.members[f.Source()]; m != nil && m.Capacity == 7 {
			served++
		}
		g.Expect(f.KnowsLarger()).To(Equal(f.Self().Capacity < 7))
	}
	// Three large members have 16 followers each, two of which are large ones.
	g.Expect(served).To(BeNumerically(">=", large*FanOut))
}

// Guards against taking the few members known after a start for the whole domain:
// the source has heard of all.
func TestDomainSizeOfTheSource(t *testing.T) {
	g := NewWithT(t)
	f := New(Identity{Addr: addr(1), Domain: "a", Capacity: 1}, 1)
	source := Identity{Addr: addr(2), Domain: "a", Capacity: 2}
	f.RecordMessage(time.Second, source)
	f.RecordMessage(time.Second, Identity{Addr: addr(3), Domain: "b"})
	f.Tick(time.Second, StoreAccess{})
	g.Expect(f.DomainSize()).To(Equal(2))
	f.SetDomainSize(source.Addr, 22)
	g.Expect(f.DomainSize()).To(Equal(22))
	f.Remove(source.Addr)
	f.Tick(time.Second, StoreAccess{})
	g.Expect(f.DomainSize()).To(Equal(1))
}

// Guards against members of a small fleet that a restarted one does not hear of for seconds.
func TestSampleHasAllMembersOfASmallFleet(t *testing.T) {
	g := NewWithT(t)
	for n := 2; n <= GossipSampleSize+1; n++ {
		f := connectedFleets(n, 2)[addr(0)]
		for range 20 {
			listed := make(map[netip.Addr]bool)
			for _, m := range f.Sample("d0", GossipSampleSize) {
				listed[m.Addr] = true
			}
			g.Expect(listed).To(HaveLen(n - 1))
		}
	}
}
