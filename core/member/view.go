package member

import (
	"cmp"
	"math"
	"slices"

	"egrettack.example/core/message"
	"egrettack.example/core/rank"
	"egrettack.example/core/snapshot"
)

// View returns the current view, or nil before the first snapshot. The view is
// rebuilt only after a change.
func (t *Tracker) View() *View {
	if t.snap == nil {
		return nil
	}
	if t.dirty || t.view == nil {
		t.dirty = false
		t.resolveClaims()
		t.view = t.build()
	}
	return t.view
}

// eligible reports whether a peer may own groups.
func eligible(p *peer) bool {
	return p.listed && !p.inst.Leaving && p.state == message.Ready
}

// resolveClaims determines the winning claim for each group.
func (t *Tracker) resolveClaims() {
	best := make(map[snapshot.GroupID]claim, len(t.claims))
	add := func(g snapshot.GroupID, epoch uint64, id snapshot.InstanceID) {
		c := t.claimOf(g)
		c.maxEpoch = max(c.maxEpoch, epoch)
		if b, ok := best[g]; !ok || ClaimWins(epoch, id, b.epoch, b.holder) {
			best[g] = claim{holder: id, epoch: epoch}
		}
	}
	for id, p := range t.peers {
		if p.state == message.Suspected || p.state == message.Gone {
			continue
		}
		for _, c := range p.claims {
			add(c.Group, c.Epoch, id)
		}
	}
	for g, epoch := range t.ownClaims {
		add(g, epoch, t.cfg.Self)
	}
	for g, c := range t.claims {
		b := best[g]
		if c.holder != b.holder && c.holder != 0 {
			c.previous = c.holder
		}
		c.holder, c.epoch = b.holder, b.epoch
	}
}

// ClaimWins reports whether claim a wins over claim b. The higher epoch wins; on
// equal epochs, the lower instance number.
func ClaimWins(aEpoch uint64, a snapshot.InstanceID, bEpoch uint64, b snapshot.InstanceID) bool {
	if aEpoch != bEpoch {
		return aEpoch > bEpoch
	}
	return a < b
}

// claimOf returns the claim history of a group, creating it if needed.
func (t *Tracker) claimOf(g snapshot.GroupID) *claim {
	c := t.claims[g]
	if c == nil {
		c = &claim{}
		t.claims[g] = c
	}
	return c
}

func (t *Tracker) build() *View {
	t.minVersion = t.minPeerVersion()
	v := &View{
		Self: t.cfg.Self, State: t.state, Stale: t.stale,
		Snapshot: t.snap, RerankedAt: t.reranked,
		Partitioned: t.partitionUnresolved(), minVersion: t.minVersion, inForceSince: t.inForceSince, peerMoves: t.peerMoves,
		Peers:           make(map[snapshot.InstanceID]*Peer, len(t.peers)),
		Owners:          make(map[snapshot.GroupID]*Ownership, len(t.snap.Groups)),
		ownersByService: make(map[snapshot.ServiceID][]*Ownership, len(t.snap.Services)),
	}
	byDomain, all := t.eligibleInstances(v)
	slices.Sort(all)
	// Most changes concern claims only, so the rankings can be reused.
	var last *View
	if t.view != nil && t.view.Snapshot == t.snap && slices.Equal(all, t.rankedInstances) {
		last = t.view
	}
	t.rankedInstances = all
	for id, svc := range t.snap.Services {
		list := make([]*Ownership, len(svc.Groups))
		for i, g := range svc.Groups {
			list[i] = t.ownership(v, last, g.ID, g, byDomain[g.ID.Domain], all)
			v.Owners[g.ID] = list[i]
		}
		v.ownersByService[id] = list
	}
	for g, c := range t.claims {
		if v.Owners[g] == nil && c.holder != 0 {
			v.Owners[g] = t.ownership(v, last, g, nil, byDomain[g.Domain], all)
		}
	}
	for _, o := range v.Owners {
		if o.Ranked[0] == t.cfg.Self {
			v.FirstRanked = append(v.FirstRanked, o)
		}
	}
	slices.SortFunc(v.FirstRanked, func(a, b *Ownership) int { return compareGroups(a.ID, b.ID) })
	return v
}

// partitionUnresolved reports whether a domain is partitioned off, or was within
// the last healIntervals. The first heartbeat after a partition may come from any
// instance of the domain; those of the instances that hold the flows, and claim
// their groups, may arrive an interval later.
func (t *Tracker) partitionUnresolved() bool {
	partitioned := t.partitioned()
	if t.wasPartitioned && !partitioned {
		interval := BaseInterval
		for _, p := range t.peers {
			if p.heard {
				interval = max(interval, p.interval)
			}
		}
		t.healsAt = t.latest + healIntervals*interval
	}
	t.wasPartitioned = partitioned
	return partitioned || t.healsAt != 0
}

// partitioned reports whether all instances of some listed domain are suspected
// or gone.
func (t *Tracker) partitioned() bool {
	alive := map[snapshot.DomainID]bool{t.cfg.Domain: true}
	for _, p := range t.peers {
		if p.state != message.Suspected && p.state != message.Gone {
			alive[p.inst.Domain] = true
		}
	}
	for _, p := range t.peers {
		if p.listed && !alive[p.inst.Domain] {
			return true
		}
	}
	return false
}

// eligibleInstances returns the instances that may own groups, by domain and all
// together. It also adds the peers to v.
func (t *Tracker) eligibleInstances(v *View) (map[snapshot.DomainID][]snapshot.InstanceID, []snapshot.InstanceID) {
	byDomain := make(map[snapshot.DomainID][]snapshot.InstanceID)
	var all []snapshot.InstanceID
	add := func(id snapshot.InstanceID, d snapshot.DomainID) {
		byDomain[d] = append(byDomain[d], id)
		all = append(all, id)
	}
	for id, p := range t.peers {
		v.Peers[id] = &Peer{Instance: p.inst, State: p.state}
		if eligible(p) {
			add(id, p.inst.Domain)
		}
	}
	if self := t.snap.Instances[t.cfg.Self]; self != nil && !self.Leaving && t.state == message.Ready {
		add(t.cfg.Self, self.Domain)
	}
	return byDomain, all
}

// ownership builds the ownership of a group. Instances of the group's domain,
// inDomain, rank before all others. last is the previous view if its rankings
// still apply, else nil.
func (t *Tracker) ownership(
	v, last *View, id snapshot.GroupID, g *snapshot.Group, inDomain, all []snapshot.InstanceID,
) *Ownership {
	o := &Ownership{ID: id, Group: g}
	if last != nil && last.Owners[id] != nil {
		o.Ranked = last.Owners[id].Ranked
	} else if n := topRanked(id, inDomain, o.Ranked[:], nil); n < OwnerDepth {
		topRanked(id, all, o.Ranked[n:], inDomain)
	}
	if c := t.claims[id]; c != nil {
		o.Claimant, o.Epoch, o.PreviousClaimant, o.MaxEpoch = c.holder, c.epoch, c.previous, c.maxEpoch
	}
	o.Target = t.target(v, o)
	return o
}

// target returns the claimant or, if there is none, the first-ranked instance,
// provided that it is in the group's domain. An instance of another domain must
// claim the group first, because it may be unable to reach the hosts.
func (t *Tracker) target(v *View, o *Ownership) *snapshot.Instance {
	id := o.Claimant
	if id == 0 {
		id = o.Ranked[0]
	}
	if id == 0 {
		return nil
	}
	inst := v.Instance(id)
	if inst == nil || o.Claimant == 0 && inst.Domain != o.ID.Domain {
		return nil
	}
	return inst
}

// topRanked writes the highest-ranked of ids to out, leaving out those in except,
// and returns the number written.
func topRanked(g snapshot.GroupID, ids []snapshot.InstanceID, out, except []snapshot.InstanceID) int {
	key := uint64(g.Service)<<32 | uint64(g.Domain)<<16 | uint64(g.Index)
	var scores [OwnerDepth]float64
	n := 0
	for _, id := range ids {
		if slices.Contains(except, id) {
			continue
		}
		score := rank.Score(seedOwner, key, uint64(id), 1)
		n = insertRanked(out, scores[:len(out)], n, id, score)
	}
	return n
}

// insertRanked inserts an instance into the n entries of out, which are sorted by
// descending score, and returns the new number of entries.
func insertRanked(out []snapshot.InstanceID, scores []float64, n int, id snapshot.InstanceID, score float64) int {
	if n < len(out) {
		out[n], scores[n] = 0, math.Inf(-1)
		n++
	}
	for i := range out[:n] {
		if score > scores[i] || score == scores[i] && id < out[i] {
			out[i], id = id, out[i]
			scores[i], score = score, scores[i]
		}
	}
	return n
}

func compareGroups(a, b snapshot.GroupID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Index, b.Index))
}
