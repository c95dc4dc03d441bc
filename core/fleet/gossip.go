package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// KnowsMany reports whether so many members are known that a larger one than this
// instance would be known as well, if there were any: each message names the
// first-ranked one.
func (f *Fleet) KnowsMany() bool { return len(f.ranked) >= fewMembers }

// nextGossipInterval returns the interval until the next gossip round. It is
// short while no members are known, and after the start while few are.
func (f *Fleet) nextGossipInterval() time.Duration {
	switch {
	case len(f.ranked) < fewMembers && f.gossipRounds < startupGossipRounds:
		return firstGossipInterval
	case len(f.ranked) < GossipSampleSize && f.gossipRounds < 2*startupGossipRounds, len(f.ranked) == 0:
		return startupGossipInterval
	}
	return gossipInterval
}

// gossipTargets returns the seeds while no members are known, otherwise a random
// member and occasionally one of the seeds.
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

// randomPartner returns a random member to gossip to, mostly one of the
// instance's own domain. At least one member must be known.
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

// Sample returns up to n members for gossip to a member of the given domain: the
// first-ranked ones, overall and in that domain, because all others follow them,
// and random ones, mostly of that domain. If there are no more than n, it returns all.
func (f *Fleet) Sample(domain string, n int) []*Member {
	if n == 0 || len(f.ranked) == 0 {
		return nil
	}
	if len(f.ranked) <= n {
		return slices.Clone(f.ranked)
	}
	var sameDomain, otherDomains []*Member
	for _, m := range f.ranked {
		if m.Domain == domain {
			sameDomain = append(sameDomain, m)
		} else {
			otherDomains = append(otherDomains, m)
		}
	}
	sample := f.randomRun(sameDomain, max(sameDomainSampleSize*n/GossipSampleSize, n-len(otherDomains)))
	sample = append(sample, f.randomRun(otherDomains, n-len(sample))...)
	sample[len(sample)-1] = f.ranked[0]
	if len(sameDomain) > 0 {
		sample[0] = sameDomain[0]
	}
	return sample
}

// randomRun returns up to n consecutive members of a list, starting at a random
// one and wrapping around.
func (f *Fleet) randomRun(list []*Member, n int) []*Member {
	n = min(n, len(list))
	if n <= 0 {
		return nil
	}
	start := f.random.IntN(len(list))
	run := make([]*Member, 0, n)
	for i := range n {
		run = append(run, list[(start+i)%len(list)])
	}
	return run
}
