// Package fleet decides from whom an instance learns of changes. The members
// form a tree: the first-ranked member of the fleet reads the settings store,
// the first of each other failure domain follows it, and the others follow
// members of their own domain. Nobody is set aside for this: the ranking is a
// hash of addresses, and a member whose sources are silent reads the store
// itself. The package has no clock and does no I/O.
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
	// FanOut is the number of members of a domain that follow one member, so
	// that a member's control traffic stays below 9 KB/s: 16 followers cost
	// about 5 KB/s.
	FanOut = 16
	// SubscribeInterval is the interval at which a follower asks its source. The source
	// answers each question and tells changes without being asked.
	SubscribeInterval = time.Second
	// FollowerLease is how long a source tells changes to a follower that does
	// not ask again: two lost questions.
	FollowerLease = 3 * time.Second
	// sourceTimeout is how long a source may leave questions unanswered before
	// the next one is asked. Sources also tell their revision at each read of
	// the store, every 750 ms.
	sourceTimeout = 1100 * time.Millisecond
	// sourceCooldown is how long a silent source is left out.
	sourceCooldown = 3 * time.Second
	// memberTTL is how long a member is remembered that nobody has heard of.
	// News of a member reaches all of 420 within about 10 s.
	memberTTL = 20 * time.Second
	// gossipInterval is the interval of greetings to seeds and random members, by
	// which parts of the fleet that lost each other meet again.
	gossipInterval = 2 * time.Second
	// startupGossipInterval is the interval after the start, for earlyGreetings times: the
	// processes of a fleet come up within 300 ms of each other, and seeds that
	// are late within 3 s.
	startupGossipInterval = 300 * time.Millisecond
	startupGossipRounds   = 10
	// storeLostInterval is the interval at which a member that lost the store asks others.
	storeLostInterval = 400 * time.Millisecond
	// storeUnreachableTTL is how long a member that said that the store does not answer it
	// ranks behind all others, unless it says otherwise: it need not read the
	// store to find out while others tell it of changes.
	storeUnreachableTTL = 10 * time.Second
	// probersPerDomain is the number of members of a domain that go on reading a store
	// that does not answer: one of them may be cut off alone.
	probersPerDomain = 2
	// GossipSampleSize is the number of members that one message tells of, and
	// nearSample how many of them are of the receiver's domain: its place in the
	// tree depends on these.
	GossipSampleSize     = 16
	sameDomainSampleSize = 12
	// seedGossipers is the number of members that greet a seed in each round: seeds
	// of a large fleet would hear from all of it otherwise.
	seedGossipers = 8
	// sameDomainRounds of four greetings go to members of the own domain.
	sameDomainRounds = 3
)

// rankSeed keeps the ranking independent of other hashes.
const rankSeed uint64 = 0x666c656574

// Member is an instance as another one knows it.
type Member struct {
	Addr      netip.Addr
	Domain    string
	LastHeard time.Duration // when it was last heard of, by anybody

	rank                  uint64
	avoidUntil            time.Duration // left out as a source until then
	followerUntil         time.Duration // end of its lease as a follower
	storeUnreachableUntil time.Duration // the store does not answer it until then
	unansweredSince       time.Duration // since when questions to it are unanswered, 0 for none
}

// Fleet is one instance's picture of the others. It is not safe for concurrent
// use.
type Fleet struct {
	self             Member
	members          map[netip.Addr]*Member
	ranked           []*Member // all but self, by rank
	seeds            []netip.Addr
	source           netip.Addr // the zero Addr while the instance reads the store
	storeUnreachable bool       // the store does not answer this instance
	lastGossip       time.Duration
	lastSubscribe    time.Duration

	gossipRounds int // rounds of greetings so far
	random       *rand.Rand
}

// New returns the picture of an instance that knows nobody but its seeds.
func New(addr netip.Addr, domain string, seed uint64) *Fleet {
	return &Fleet{
		self:    Member{Addr: addr, Domain: domain, rank: rank(addr)},
		members: make(map[netip.Addr]*Member),
		random:  rand.New(rand.NewPCG(seed, rankSeed)),
	}
}

func rank(a netip.Addr) uint64 {
	b := a.As16()
	d := xxhash.NewWithSeed(rankSeed)
	// Writing to a hash does not fail.
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// SetSeeds sets the members that are greeted while few are known.
func (f *Fleet) SetSeeds(seeds []netip.Addr) {
	f.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.Addr) bool { return a == f.self.Addr })
}

// Source returns the member that the instance follows, the zero Addr while it
// reads the store itself.
func (f *Fleet) Source() netip.Addr { return f.source }

// EachMember calls f for each other member.
func (f *Fleet) EachMember(each func(*Member)) {
	for _, m := range f.ranked {
		each(m)
	}
}

// DomainOf returns the domain of a member, "" if it is not known.
func (f *Fleet) DomainOf(addr netip.Addr) string {
	if m := f.members[addr]; m != nil {
		return m.Domain
	}
	return ""
}

// Size returns the number of members known, the instance itself included.
func (f *Fleet) Size() int { return len(f.ranked) + 1 }

// RecordMessage notes a message from a member. It reports whether the member was
// unknown, which is to be greeted in return.
func (f *Fleet) RecordMessage(now time.Duration, addr netip.Addr, domain string) bool {
	_, known := f.members[addr]
	m := f.upsertMember(now, addr, domain)
	if m == nil {
		return false
	}
	m.unansweredSince, m.avoidUntil = 0, 0
	return !known
}

// SetStoreUnreachable notes what a member says of its way to the store.
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

// RecordGossip notes that another member heard of addr a while ago.
func (f *Fleet) RecordGossip(now time.Duration, addr netip.Addr, domain string, age time.Duration) {
	if age < memberTTL {
		f.upsertMember(now-age, addr, domain)
	}
}

func (f *Fleet) upsertMember(heard time.Duration, addr netip.Addr, domain string) *Member {
	if addr == f.self.Addr {
		return nil
	}
	m := f.members[addr]
	if m == nil {
		m = &Member{Addr: addr, Domain: domain, LastHeard: heard, rank: rank(addr)}
		f.members[addr] = m
		at, _ := slices.BinarySearchFunc(f.ranked, m, compareRank)
		f.ranked = slices.Insert(f.ranked, at, m)
	}
	m.Domain, m.LastHeard = domain, max(m.LastHeard, heard)
	return m
}

func compareRank(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.Addr.Compare(b.Addr))
}

// Remove forgets a member that stops.
func (f *Fleet) Remove(addr netip.Addr) {
	if m := f.members[addr]; m != nil {
		delete(f.members, addr)
		f.ranked = slices.DeleteFunc(f.ranked, func(x *Member) bool { return x == m })
	}
}

// RenewFollower notes a question of a member that follows this instance.
func (f *Fleet) RenewFollower(now time.Duration, addr netip.Addr) {
	if m := f.members[addr]; m != nil {
		m.followerUntil = now + FollowerLease
	}
}

// Followers returns the members that want to be told of changes.
func (f *Fleet) Followers(now time.Duration) []netip.Addr {
	var list []netip.Addr
	for _, m := range f.ranked {
		if m.followerUntil > now {
			list = append(list, m.Addr)
		}
	}
	return list
}

// Neighbours returns the members of the own domain that the instance follows or
// that follow it.
func (f *Fleet) Neighbours(now time.Duration) []netip.Addr {
	var list []netip.Addr
	for _, m := range f.ranked {
		if m.Domain == f.self.Domain && (m.Addr == f.source || m.followerUntil > now) {
			list = append(list, m.Addr)
		}
	}
	return list
}

// Plan is what an instance does next.
type Plan struct {
	SubscribeTo netip.Addr   // the source to ask, the zero Addr for none
	GossipTo    []netip.Addr // members to send the picture of the fleet to
}

// Tick settles the source and tells which messages are due. cut says that the
// store does not answer this instance: it then ranks behind the others and,
// where nobody ranks before it, asks any member.
func (f *Fleet) Tick(now time.Duration, storeUnreachable bool) Plan {
	f.storeUnreachable = storeUnreachable
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
	if storeUnreachable && !f.source.IsValid() && len(f.ranked) > 0 && now-f.lastSubscribe >= storeLostInterval {
		p.SubscribeTo, f.lastSubscribe = f.ranked[f.random.IntN(len(f.ranked))].Addr, now
	}
	if f.lastGossip == 0 || now-f.lastGossip >= f.nextGossipInterval() {
		f.lastGossip = now
		f.gossipRounds++
		p.GossipTo = f.gossipTargets()
	}
	return p
}

// nextGossipInterval is short after the start, while few members are known.
func (f *Fleet) nextGossipInterval() time.Duration {
	if len(f.ranked) < GossipSampleSize && f.gossipRounds < startupGossipRounds || len(f.ranked) == 0 {
		return startupGossipInterval
	}
	return gossipInterval
}

// gossipTargets returns the seeds while no member is known, else a random member and
// at times one of the seeds.
func (f *Fleet) gossipTargets() []netip.Addr {
	if len(f.ranked) == 0 {
		return f.seeds
	}
	targets := []netip.Addr{f.randomPartner().Addr}
	if len(f.seeds) > 0 && f.random.IntN(f.Size()) < seedGossipers {
		if s := f.seeds[f.random.IntN(len(f.seeds))]; s != targets[0] {
			targets = append(targets, s)
		}
	}
	return targets
}

// randomPartner returns the random member that is greeted next, mostly one of the own
// domain. There has to be a member.
func (f *Fleet) randomPartner() *Member {
	if f.gossipRounds%4 < sameDomainRounds {
		for _, m := range f.randomRun(f.ranked, len(f.ranked)) {
			if m.Domain == f.self.Domain {
				return m
			}
		}
	}
	return f.ranked[f.random.IntN(len(f.ranked))]
}

func (f *Fleet) expire(now time.Duration) {
	f.ranked = slices.DeleteFunc(f.ranked, func(m *Member) bool {
		if now-m.LastHeard <= memberTTL {
			return false
		}
		delete(f.members, m.Addr)
		return true
	})
}

// rankedBefore returns the members that rank rankedBefore this instance: those that reach
// the store go first, and the rank decides among equals. A member only follows
// members that rank rankedBefore it, so that nobody follows itself over others.
func (f *Fleet) rankedBefore(now time.Duration) (sameDomain, otherDomains []*Member) {
	for _, reachable := range []bool{true, false} {
		if !reachable && !f.storeUnreachable {
			break
		}
		for _, m := range f.ranked {
			behind := reachable != f.storeUnreachable && compareRank(m, &f.self) > 0
			switch {
			case (m.storeUnreachableUntil <= now) != reachable || behind:
			case m.Domain == f.self.Domain:
				sameDomain = append(sameDomain, m)
			default:
				otherDomains = append(otherDomains, m)
			}
		}
	}
	return sameDomain, otherDomains
}

// chooseSource returns the source by the ranking.
func (f *Fleet) chooseSource(now time.Duration) netip.Addr {
	usable := func(m *Member) bool { return m.avoidUntil <= now }
	sameDomain, otherDomains := f.rankedBefore(now)
	for at := len(sameDomain); at > 0; {
		at = (at - 1) / FanOut
		if usable(sameDomain[at]) {
			return sameDomain[at].Addr
		}
	}
	for _, m := range slices.Concat(sameDomain, otherDomains) {
		if usable(m) {
			return m.Addr
		}
	}
	return netip.Addr{}
}

// ProbesStore reports whether this instance goes on reading a store that does not
// answer. The others of its domain leave that to a few and hear from them.
func (f *Fleet) ProbesStore(now time.Duration) bool {
	sameDomain, _ := f.rankedBefore(now)
	return len(sameDomain) < probersPerDomain
}

// Sample returns up to n members to tell a member of a domain of: those that
// rank first, over all and in that domain, since all others follow them, and
// random ones, most of them of that domain.
func (f *Fleet) Sample(domain string, n int) []*Member {
	if n == 0 || len(f.ranked) == 0 {
		return nil
	}
	var sameDomain, otherDomains []*Member
	for _, m := range f.ranked {
		if m.Domain == domain {
			sameDomain = append(sameDomain, m)
		} else {
			otherDomains = append(otherDomains, m)
		}
	}
	list := f.randomRun(sameDomain, max(sameDomainSampleSize*n/GossipSampleSize, n-len(otherDomains)))
	list = append(list, f.randomRun(otherDomains, n-len(list))...)
	list[len(list)-1] = f.ranked[0]
	if len(sameDomain) > 0 {
		list[0] = sameDomain[0]
	}
	return list
}

// randomRun returns up to n neighbouring members of a list, from a random one on.
func (f *Fleet) randomRun(list []*Member, n int) []*Member {
	n = min(n, len(list))
	if n <= 0 {
		return nil
	}
	start := f.random.IntN(len(list))
	picked := make([]*Member, 0, n)
	for i := range n {
		picked = append(picked, list[(start+i)%len(list)])
	}
	return picked
}
