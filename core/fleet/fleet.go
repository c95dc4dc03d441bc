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
	// silentAfter is how long a source may leave questions unanswered before
	// the next one is asked. Sources also tell their revision at each read of
	// the store, every 750 ms.
	silentAfter = 1100 * time.Millisecond
	// avoidFor is how long a silent source is left out.
	avoidFor = 3 * time.Second
	// memberLimit is how long a member is remembered that nobody has heard of.
	// News of a member reaches all of 420 within about 10 s.
	memberLimit = 20 * time.Second
	// greetEvery is the interval of greetings to seeds and random members, by
	// which parts of the fleet that lost each other meet again.
	greetEvery = 2 * time.Second
	// greetEarly is the interval after the start, for earlyGreetings times: the
	// processes of a fleet come up within 300 ms of each other, and seeds that
	// are late within 3 s.
	greetEarly     = 300 * time.Millisecond
	earlyGreetings = 10
	// askWhenLost is the interval at which a member that lost the store asks others.
	askWhenLost = 400 * time.Millisecond
	// cutFor is how long a member that said that the store does not answer it
	// ranks behind all others, unless it says otherwise: it need not read the
	// store to find out while others tell it of changes.
	cutFor = 10 * time.Second
	// probers is the number of members of a domain that go on reading a store
	// that does not answer: one of them may be cut off alone.
	probers = 2
	// GossipSampleSize is the number of members that one message tells of, and
	// nearSample how many of them are of the receiver's domain: its place in the
	// tree depends on these.
	GossipSampleSize = 16
	nearSample       = 12
	// seedGreeters is the number of members that greet a seed in each round: seeds
	// of a large fleet would hear from all of it otherwise.
	seedGreeters = 8
	// nearGreetings of four greetings go to members of the own domain.
	nearGreetings = 3
)

// rankSeed keeps the ranking independent of other hashes.
const rankSeed uint64 = 0x666c656574

// Member is an instance as another one knows it.
type Member struct {
	Addr      netip.Addr
	Domain    string
	LastHeard time.Duration // when it was last heard of, by anybody

	rank     uint64
	avoid    time.Duration // left out as a source until then
	followed time.Duration // end of its lease as a follower
	cutUntil time.Duration // the store does not answer it until then
	unheeded time.Duration // since when questions to it are unanswered, 0 for none
}

// Fleet is one instance's picture of the others. It is not safe for concurrent
// use.
type Fleet struct {
	self    Member
	members map[netip.Addr]*Member
	ranked  []*Member // all but self, by rank
	seeds   []netip.Addr
	source  netip.Addr // the zero Addr while the instance reads the store
	cut     bool       // the store does not answer this instance
	greeted time.Duration
	asked   time.Duration

	greetings int // rounds of greetings so far
	random    *rand.Rand
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
	m := f.learn(now, addr, domain)
	if m == nil {
		return false
	}
	m.unheeded, m.avoid = 0, 0
	return !known
}

// SetStoreUnreachable notes what a member says of its way to the store.
func (f *Fleet) SetStoreUnreachable(now time.Duration, addr netip.Addr, cut bool) {
	m := f.members[addr]
	switch {
	case m == nil:
	case cut:
		m.cutUntil = now + cutFor
	default:
		m.cutUntil = 0
	}
}

// RecordGossip notes that another member heard of addr a while ago.
func (f *Fleet) RecordGossip(now time.Duration, addr netip.Addr, domain string, age time.Duration) {
	if age < memberLimit {
		f.learn(now-age, addr, domain)
	}
}

func (f *Fleet) learn(heard time.Duration, addr netip.Addr, domain string) *Member {
	if addr == f.self.Addr {
		return nil
	}
	m := f.members[addr]
	if m == nil {
		m = &Member{Addr: addr, Domain: domain, LastHeard: heard, rank: rank(addr)}
		f.members[addr] = m
		at, _ := slices.BinarySearchFunc(f.ranked, m, byRank)
		f.ranked = slices.Insert(f.ranked, at, m)
	}
	m.Domain, m.LastHeard = domain, max(m.LastHeard, heard)
	return m
}

func byRank(a, b *Member) int {
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
		m.followed = now + FollowerLease
	}
}

// Followers returns the members that want to be told of changes.
func (f *Fleet) Followers(now time.Duration) []netip.Addr {
	var list []netip.Addr
	for _, m := range f.ranked {
		if m.followed > now {
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
		if m.Domain == f.self.Domain && (m.Addr == f.source || m.followed > now) {
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
func (f *Fleet) Tick(now time.Duration, cut bool) Plan {
	f.cut = cut
	f.expire(now)
	if m := f.members[f.source]; m != nil && m.unheeded > 0 && now-m.unheeded > silentAfter {
		m.avoid, m.unheeded = now+avoidFor, 0
	}
	var p Plan
	if next := f.choose(now); next != f.source {
		f.source, f.asked = next, 0
	}
	if f.source.IsValid() && (f.asked == 0 || now-f.asked >= SubscribeInterval) {
		p.SubscribeTo, f.asked = f.source, now
		if m := f.members[f.source]; m != nil && m.unheeded == 0 {
			m.unheeded = now
		}
	}
	if cut && !f.source.IsValid() && len(f.ranked) > 0 && now-f.asked >= askWhenLost {
		p.SubscribeTo, f.asked = f.ranked[f.random.IntN(len(f.ranked))].Addr, now
	}
	if f.greeted == 0 || now-f.greeted >= f.greetInterval() {
		f.greeted = now
		f.greetings++
		p.GossipTo = f.toGreet()
	}
	return p
}

// greetInterval is short after the start, while few members are known.
func (f *Fleet) greetInterval() time.Duration {
	if len(f.ranked) < GossipSampleSize && f.greetings < earlyGreetings || len(f.ranked) == 0 {
		return greetEarly
	}
	return greetEvery
}

// toGreet returns the seeds while no member is known, else a random member and
// at times one of the seeds.
func (f *Fleet) toGreet() []netip.Addr {
	if len(f.ranked) == 0 {
		return f.seeds
	}
	to := []netip.Addr{f.partner().Addr}
	if len(f.seeds) > 0 && f.random.IntN(f.Size()) < seedGreeters {
		if s := f.seeds[f.random.IntN(len(f.seeds))]; s != to[0] {
			to = append(to, s)
		}
	}
	return to
}

// partner returns the random member that is greeted next, mostly one of the own
// domain. There has to be a member.
func (f *Fleet) partner() *Member {
	if f.greetings%4 < nearGreetings {
		for _, m := range f.some(f.ranked, len(f.ranked)) {
			if m.Domain == f.self.Domain {
				return m
			}
		}
	}
	return f.ranked[f.random.IntN(len(f.ranked))]
}

func (f *Fleet) expire(now time.Duration) {
	f.ranked = slices.DeleteFunc(f.ranked, func(m *Member) bool {
		if now-m.LastHeard <= memberLimit {
			return false
		}
		delete(f.members, m.Addr)
		return true
	})
}

// before returns the members that rank before this instance: those that reach
// the store go first, and the rank decides among equals. A member only follows
// members that rank before it, so that nobody follows itself over others.
func (f *Fleet) before(now time.Duration) (own, other []*Member) {
	for _, reach := range []bool{true, false} {
		if !reach && !f.cut {
			break
		}
		for _, m := range f.ranked {
			behind := reach != f.cut && byRank(m, &f.self) > 0
			switch {
			case (m.cutUntil <= now) != reach || behind:
			case m.Domain == f.self.Domain:
				own = append(own, m)
			default:
				other = append(other, m)
			}
		}
	}
	return own, other
}

// choose returns the source by the ranking.
func (f *Fleet) choose(now time.Duration) netip.Addr {
	usable := func(m *Member) bool { return m.avoid <= now }
	own, other := f.before(now)
	for at := len(own); at > 0; {
		at = (at - 1) / FanOut
		if usable(own[at]) {
			return own[at].Addr
		}
	}
	for _, m := range slices.Concat(own, other) {
		if usable(m) {
			return m.Addr
		}
	}
	return netip.Addr{}
}

// ProbesStore reports whether this instance goes on reading a store that does not
// answer. The others of its domain leave that to a few and hear from them.
func (f *Fleet) ProbesStore(now time.Duration) bool {
	own, _ := f.before(now)
	return len(own) < probers
}

// Sample returns up to n members to tell a member of a domain of: those that
// rank first, over all and in that domain, since all others follow them, and
// random ones, most of them of that domain.
func (f *Fleet) Sample(domain string, n int) []*Member {
	if n == 0 || len(f.ranked) == 0 {
		return nil
	}
	var near, far []*Member
	for _, m := range f.ranked {
		if m.Domain == domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	list := f.some(near, max(nearSample*n/GossipSampleSize, n-len(far)))
	list = append(list, f.some(far, n-len(list))...)
	list[len(list)-1] = f.ranked[0]
	if len(near) > 0 {
		list[0] = near[0]
	}
	return list
}

// some returns up to n neighbouring members of a list, from a random one on.
func (f *Fleet) some(list []*Member, n int) []*Member {
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
