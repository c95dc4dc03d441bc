// Package fleet selects the source from which an instance receives changes. The
// members form a distribution tree: the first-ranked member of the fleet reads
// the settings store, the first-ranked member of each other failure domain
// follows it, and the others follow members of their own domain. No election is
// needed: members are ranked by their capacity and a hash of their addresses, and
// a member whose sources do not answer reads the store itself. The package has no
// clock and does no I/O.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// FanOut is the number of members of a domain that follow one member. It
	// keeps a member's control traffic below 9 KB/s: 16 followers take about
	// 5 KB/s.
	FanOut = 16
	// SubscribeInterval is the interval at which a follower sends a subscribe
	// message to its source. The source answers each one, and sends changes
	// unasked in between.
	SubscribeInterval = time.Second
	// FollowerLease is how long a source sends changes to a follower after its
	// last subscribe message. It allows for two lost ones.
	FollowerLease = 3 * time.Second
	// sourceTimeout is how long a source may leave a subscribe message
	// unanswered before the follower selects another source. Sources also send
	// their revision at each read of the store, every 750 ms.
	sourceTimeout = 1100 * time.Millisecond
	// sourceCooldown is how long a source that timed out is not selected again.
	sourceCooldown = 3 * time.Second
	// memberTTL is how long a member is kept after any member last heard from
	// it. Gossip about a member reaches a fleet of 420 within about 10 s.
	memberTTL = 20 * time.Second
	// gossipInterval is the interval of gossip to seeds and random members. It
	// rejoins parts of the fleet after a partition.
	gossipInterval = 2 * time.Second
	// firstGossipInterval is the interval of the first startupGossipRounds rounds
	// while fewer than fewMembers are known: the processes of a fleet start within
	// 300 ms of each other.
	firstGossipInterval = 100 * time.Millisecond
	fewMembers          = GossipSampleSize / 2
	// startupGossipInterval is the interval of the following rounds while few members
	// are known: late seeds start within 3 s.
	startupGossipInterval = 300 * time.Millisecond
	startupGossipRounds   = 10
	// storeLostInterval is the interval at which a member that has no source and
	// cannot reach the store subscribes to random members.
	storeLostInterval = 400 * time.Millisecond
	// storeUnreachableTTL is how long a member that reported the store as
	// unreachable ranks behind all others, unless it reports otherwise. Such a
	// member follows others and need not read the store, so it may not notice a
	// recovery itself.
	storeUnreachableTTL = 10 * time.Second
	// probersPerDomain is the number of members of a domain that keep reading a
	// store that does not answer. There are two, since the store may be
	// unreachable for one of them alone.
	probersPerDomain = 2
	// sourceHeardWithin is the time since the last message of a source after which
	// it is not relied on. It allows for one lost update.
	sourceHeardWithin = 2 * SubscribeInterval
	// GossipSampleSize is the number of members that one message lists, and
	// sameDomainSampleSize the number of these in the receiver's domain, which
	// determine its place in the tree.
	GossipSampleSize     = 16
	sameDomainSampleSize = 12
	// seedGossipers is the average number of members that gossip to a seed in
	// each round. It limits the load of the seeds of a large fleet.
	seedGossipers = 8
	// sameDomainRounds is the number of rounds out of every four that go to
	// members of the instance's own domain.
	sameDomainRounds = 3
)

// rankSeed makes the ranking independent of other hashes.
const rankSeed uint64 = 0x666c656574

// Identity is what a member states about itself.
type Identity struct {
	Addr   netip.Addr
	Domain string
	// Capacity is higher for members that can serve more followers. It is 0 if it
	// is unknown.
	Capacity uint8
}

// Member is an instance in another instance's membership view.
type Member struct {
	Identity
	LastHeard time.Duration // when any member last heard from it

	hash                  uint64        // decides the rank among members of one capacity
	avoidUntil            time.Duration // not selected as a source until then
	followerUntil         time.Duration // end of its follower lease
	storeUnreachableUntil time.Duration // ranks as unable to reach the store until then
	unansweredSince       time.Duration // time of the first unanswered subscribe message, 0 if none
	lastMessage           time.Duration // when this instance last got a message of it
	domainSize            int           // by that message, of its domain
	storeLost             bool          // by that message the store answers neither it nor its sources
}

// Fleet is one instance's view of the members of the fleet. It is not safe for
// concurrent use.
type Fleet struct {
	self             *Member
	members          map[netip.Addr]*Member
	ranked           []*Member // all except self, by rank
	seeds            []netip.Addr
	source           netip.Addr    // the zero Addr while the instance reads the store
	storeUnreachable bool          // the store does not answer this instance, but others
	lastGossip       time.Duration // 0 before the first
	lastSubscribe    time.Duration // 0 if none was sent since the source changed

	gossipRounds int // number of gossip rounds so far
	random       *rand.Rand
}

// New returns the view of an instance that knows no other members yet. The seed
// is that of its random choices.
func New(self Identity, seed uint64) *Fleet {
	return &Fleet{
		self:    &Member{Identity: self, hash: hash(self.Addr)},
		members: make(map[netip.Addr]*Member),
		random:  rand.New(rand.NewPCG(seed, rankSeed)),
	}
}

// hash returns the hash of an address.
func hash(a netip.Addr) uint64 {
	b := a.As16()
	d := xxhash.NewWithSeed(rankSeed)
	// Writing to a hash never fails.
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// SetSeeds sets the addresses that the instance gossips to while it knows no
// members, and occasionally afterwards.
func (f *Fleet) SetSeeds(seeds []netip.Addr) {
	f.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.Addr) bool { return a == f.self.Addr })
}

// Self returns what the instance states about itself.
func (f *Fleet) Self() Identity { return f.self.Identity }

// Source returns the member that the instance follows, or the zero Addr while
// the instance reads the store itself.
func (f *Fleet) Source() netip.Addr { return f.source }

// EachMember calls visit for each other member, by rank.
func (f *Fleet) EachMember(visit func(*Member)) {
	for _, m := range f.ranked {
		visit(m)
	}
}

// DomainOf returns the domain of a member, "" if the member is unknown.
func (f *Fleet) DomainOf(addr netip.Addr) string {
	if m := f.members[addr]; m != nil {
		return m.Domain
	}
	return ""
}

// Knows reports whether an address is that of a known member.
func (f *Fleet) Knows(addr netip.Addr) bool { return f.members[addr] != nil }

// KnowsLarger reports whether a member of higher capacity than this instance is
// known.
func (f *Fleet) KnowsLarger() bool {
	return len(f.ranked) > 0 && f.ranked[0].Capacity > f.self.Capacity
}

// Size returns the number of known members, including the instance itself.
func (f *Fleet) Size() int { return len(f.ranked) + 1 }

// RecordMessage records a message from a member. It reports whether the member
// was unknown; the caller then sends gossip in return.
func (f *Fleet) RecordMessage(now time.Duration, from Identity) bool {
	_, known := f.members[from.Addr]
	m := f.upsertMember(now, from)
	if m == nil {
		return false
	}
	m.unansweredSince, m.avoidUntil, m.lastMessage = 0, 0, now
	return !known
}

// SetStoreLost records whether a member reports that the store answers neither
// it nor the members that it follows.
func (f *Fleet) SetStoreLost(addr netip.Addr, lost bool) {
	if m := f.members[addr]; m != nil {
		m.storeLost = lost
	}
}

// SourceLostStore reports whether the source reported lately that the store
// answers neither it nor the members that it follows.
func (f *Fleet) SourceLostStore(now time.Duration) bool {
	m := f.members[f.source]
	return m != nil && m.storeLost && now-m.lastMessage <= sourceHeardWithin
}

// SetDomainSize records how many members of its domain a member knows.
func (f *Fleet) SetDomainSize(addr netip.Addr, n int) {
	if m := f.members[addr]; m != nil {
		m.domainSize = n
	}
}

// DomainSize returns the number of members of the instance's own domain, including
// itself: those that it knows, or that its source knows, which hears of the others
// first.
func (f *Fleet) DomainSize() int {
	n := 1
	for _, m := range f.ranked {
		if m.Domain == f.self.Domain {
			n++
		}
	}
	if m := f.members[f.source]; m != nil && m.Domain == f.self.Domain {
		n = max(n, m.domainSize)
	}
	return n
}

// SetStoreUnreachable records whether a member reports that it cannot reach the
// store while others can.
func (f *Fleet) SetStoreUnreachable(now time.Duration, addr netip.Addr, unreachable bool) {
	m := f.members[addr]
	switch {
	case m == nil:
	case unreachable:
		m.storeUnreachableUntil = now + storeUnreachableTTL
	default:
		m.storeUnreachableUntil = 0
	}
}

// RecordGossip records that another member reports a member as last heard from
// age ago.
func (f *Fleet) RecordGossip(now time.Duration, about Identity, age time.Duration) {
	if age < memberTTL {
		f.upsertMember(now-age, about)
	}
}

// upsertMember adds or updates a member. It returns nil for the instance itself.
func (f *Fleet) upsertMember(heard time.Duration, id Identity) *Member {
	if id.Addr == f.self.Addr {
		return nil
	}
	m := f.members[id.Addr]
	if m == nil {
		m = &Member{Identity: id, LastHeard: heard, hash: hash(id.Addr)}
		f.members[id.Addr] = m
		f.insertRanked(m)
	}
	m.Domain, m.LastHeard = id.Domain, max(m.LastHeard, heard)
	if id.Capacity > 0 && id.Capacity != m.Capacity {
		f.removeRanked(m)
		m.Capacity = id.Capacity
		f.insertRanked(m)
	}
	return m
}

func (f *Fleet) insertRanked(m *Member) {
	i, _ := slices.BinarySearchFunc(f.ranked, m, compareRank)
	f.ranked = slices.Insert(f.ranked, i, m)
}

func (f *Fleet) removeRanked(m *Member) {
	if i, found := slices.BinarySearchFunc(f.ranked, m, compareRank); found {
		f.ranked = slices.Delete(f.ranked, i, i+1)
	}
}

// compareRank compares the ranks of two members: those of higher capacity rank
// first.
func compareRank(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.hash, b.hash), a.Addr.Compare(b.Addr))
}

// Remove removes a member that announced its stop.
func (f *Fleet) Remove(addr netip.Addr) {
	if m := f.members[addr]; m != nil {
		delete(f.members, addr)
		f.removeRanked(m)
	}
}

// RenewFollower renews the lease of a member that subscribed to this instance.
func (f *Fleet) RenewFollower(now time.Duration, addr netip.Addr) {
	if m := f.members[addr]; m != nil {
		m.followerUntil = now + FollowerLease
	}
}

// Followers returns the members that have a follower lease.
func (f *Fleet) Followers(now time.Duration) []netip.Addr {
	var addrs []netip.Addr
	for _, m := range f.ranked {
		if m.followerUntil > now {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// DomainTree returns the source, if it is in the instance's own domain, and the
// followers there. A follower may have chosen another source since its lease began.
func (f *Fleet) DomainTree(now time.Duration) (source netip.Addr, followers []netip.Addr) {
	for _, m := range f.ranked {
		switch {
		case m.Domain != f.self.Domain:
		case m.Addr == f.source:
			source = m.Addr
		case m.followerUntil > now:
			followers = append(followers, m.Addr)
		}
	}
	return source, followers
}

// Plan lists the messages that an instance sends next.
type Plan struct {
	SubscribeTo netip.Addr   // the member to subscribe to, the zero Addr for none
	GossipTo    []netip.Addr // members to send gossip to
}

// StoreAccess is what a member knows of its access to the store.
type StoreAccess struct {
	Lost        bool // the last read failed
	Unreachable bool // the store does not answer this member, but others
}

// Tick updates the source and returns the messages that are due. A member that
// alone cannot reach the store ranks behind those that can. One that has lost the
// store and has no source subscribes to random members.
func (f *Fleet) Tick(now time.Duration, store StoreAccess) Plan {
	f.storeUnreachable = store.Unreachable
	f.expire(now)
	if m := f.members[f.source]; m != nil && m.unansweredSince > 0 && now-m.unansweredSince > sourceTimeout {
		m.avoidUntil, m.unansweredSince = now+sourceCooldown, 0
	}
	var p Plan
	if next := f.chooseSource(now); next != f.source {
		f.source, f.lastSubscribe = next, 0
	}
	if f.source.IsValid() && (f.lastSubscribe == 0 || now-f.lastSubscribe >= SubscribeInterval) {
		p.SubscribeTo, f.lastSubscribe = f.source, now
		if m := f.members[f.source]; m != nil && m.unansweredSince == 0 {
			m.unansweredSince = now
		}
	}
	if store.Lost && !f.source.IsValid() && len(f.ranked) > 0 && now-f.lastSubscribe >= storeLostInterval {
		p.SubscribeTo, f.lastSubscribe = f.ranked[f.random.IntN(len(f.ranked))].Addr, now
	}
	if f.lastGossip == 0 || now-f.lastGossip >= f.nextGossipInterval() {
		f.lastGossip = now
		f.gossipRounds++
		p.GossipTo = f.gossipTargets()
	}
	return p
}

// expire removes the members that nobody has heard from for memberTTL.
func (f *Fleet) expire(now time.Duration) {
	f.ranked = slices.DeleteFunc(f.ranked, func(m *Member) bool {
		if now-m.LastHeard <= memberTTL {
			return false
		}
		delete(f.members, m.Addr)
		return true
	})
}

// rankedBefore returns the members that precede this instance: members that can
// reach the store precede those that cannot, and the rank decides among equals.
// A member follows only members that precede it, which prevents cycles.
func (f *Fleet) rankedBefore(now time.Duration) (sameDomain, otherDomains []*Member) {
	for _, reachable := range []bool{true, false} {
		if !reachable && !f.storeUnreachable {
			break
		}
		for _, m := range f.ranked {
			// Ranks are compared only if both or neither can reach the store.
			lower := reachable != f.storeUnreachable && compareRank(m, f.self) > 0
			switch {
			case (m.storeUnreachableUntil <= now) != reachable || lower:
			case m.Domain == f.self.Domain:
				sameDomain = append(sameDomain, m)
			default:
				otherDomains = append(otherDomains, m)
			}
		}
	}
	return sameDomain, otherDomains
}

// chooseSource returns the usable member that is next above this instance in
// the tree, or the zero Addr if the instance has to read the store itself.
func (f *Fleet) chooseSource(now time.Duration) netip.Addr {
	usable := func(m *Member) bool { return m.avoidUntil <= now }
	sameDomain, otherDomains := f.rankedBefore(now)
	// The members of a domain form a FanOut-ary heap by rank: go up from the
	// parent to the root.
	for i := len(sameDomain); i > 0; {
		i = (i - 1) / FanOut
		if usable(sameDomain[i]) {
			return sameDomain[i].Addr
		}
	}
	for _, m := range slices.Concat(sameDomain, otherDomains) {
		if usable(m) {
			return m.Addr
		}
	}
	return netip.Addr{}
}

// ProbesStore reports whether this instance keeps reading a store that does not
// answer. Only the first members of each domain do; the others learn of its
// recovery from them.
func (f *Fleet) ProbesStore(now time.Duration) bool {
	sameDomain, _ := f.rankedBefore(now)
	return len(sameDomain) < probersPerDomain
}
