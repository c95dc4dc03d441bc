package member

import (
	"cmp"
	"math"
	"slices"

	"egrettack.example/core/message"
	"egrettack.example/core/rank"
	"egrettack.example/core/snapshot"
)

// View returns the present view. It is built anew only after a change.
func (t *Tracker) View() *View {
	if t.snap == nil {
		return nil
	}
	if t.dirty || t.view == nil {
		t.dirty = false
		t.settle()
		t.view = t.build()
	}
	return t.view
}

func eligible(p *peer) bool {
	return p.listed && !p.inst.Leaving && p.judged == message.Ready
}

// settle finds the claim that holds for each group.
func (t *Tracker) settle() {
	best := make(map[snapshot.GroupID]claim, len(t.claims))
	take := func(g snapshot.GroupID, epoch uint64, id snapshot.InstanceID) {
		c := t.claimOf(g)
		c.max = max(c.max, epoch)
		if b, ok := best[g]; !ok || ClaimWins(epoch, id, b.epoch, b.holder) {
			best[g] = claim{holder: id, epoch: epoch}
		}
	}
	for id, p := range t.peers {
		if p.judged == message.Suspected || p.judged == message.Gone {
			continue
		}
		for _, c := range p.claims {
			take(c.Group, c.Epoch, id)
		}
	}
	for g, epoch := range t.own {
		take(g, epoch, t.cfg.Self)
	}
	for g, c := range t.claims {
		b := best[g]
		if c.holder != b.holder && c.holder != 0 {
			c.previous = c.holder
		}
		c.holder, c.epoch = b.holder, b.epoch
	}
}

// ClaimWins reports whether claim a holds against claim b: the higher epoch does,
// and on equal epochs the lower instance number.
func ClaimWins(aEpoch uint64, a snapshot.InstanceID, bEpoch uint64, b snapshot.InstanceID) bool {
	if aEpoch != bEpoch {
		return aEpoch > bEpoch
	}
	return a < b
}

func (t *Tracker) claimOf(g snapshot.GroupID) *claim {
	c := t.claims[g]
	if c == nil {
		c = &claim{}
		t.claims[g] = c
	}
	return c
}

func (t *Tracker) build() *View {
	t.floor = t.lowest()
	v := &View{
		Self: t.cfg.Self, State: t.state, Stale: t.stale,
		Snapshot: t.snap, RerankedAt: t.reranked,
		Partitioned: t.unsure(), floor: t.floor, taken: t.taken, moves: t.moves,
		Peers:    make(map[snapshot.InstanceID]*Peer, len(t.peers)),
		Owners:   make(map[snapshot.GroupID]*Ownership, len(t.snap.Groups)),
		services: make(map[snapshot.ServiceID][]*Ownership, len(t.snap.Services)),
	}
	byDomain, all := t.eligible(v)
	slices.Sort(all)
	// Most changes are of claims and leave the rankings as they are.
	var last *View
	if t.view != nil && t.view.Snapshot == t.snap && slices.Equal(all, t.ranked) {
		last = t.view
	}
	t.ranked = all
	for id, svc := range t.snap.Services {
		list := make([]*Ownership, len(svc.Groups))
		for i, g := range svc.Groups {
			list[i] = t.ownership(v, last, g.ID, g, byDomain[g.ID.Domain], all)
			v.Owners[g.ID] = list[i]
		}
		v.services[id] = list
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

// unsure reports whether a domain is cut off, or was so until a moment ago. The
// first heartbeat after a cut may come from any instance of the domain; those
// that hold the flows, and say so in their claims, may be heard an interval later.
func (t *Tracker) unsure() bool {
	cut := t.partitioned()
	if t.cut && !cut {
		every := BaseInterval
		for _, p := range t.peers {
			if p.heard {
				every = max(every, p.every)
			}
		}
		t.healing = t.clock + healIntervals*every
	}
	t.cut = cut
	return cut || t.healing != 0
}

// partitioned reports whether all instances of a listed domain are silent.
func (t *Tracker) partitioned() bool {
	alive := map[snapshot.DomainID]bool{t.cfg.Domain: true}
	for _, p := range t.peers {
		if p.judged != message.Suspected && p.judged != message.Gone {
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

func (t *Tracker) eligible(v *View) (map[snapshot.DomainID][]snapshot.InstanceID, []snapshot.InstanceID) {
	byDomain := make(map[snapshot.DomainID][]snapshot.InstanceID)
	var all []snapshot.InstanceID
	add := func(id snapshot.InstanceID, d snapshot.DomainID) {
		byDomain[d] = append(byDomain[d], id)
		all = append(all, id)
	}
	for id, p := range t.peers {
		v.Peers[id] = &Peer{Instance: p.inst, State: p.judged}
		if eligible(p) {
			add(id, p.inst.Domain)
		}
	}
	if self := t.snap.Instances[t.cfg.Self]; self != nil && !self.Leaving && t.state == message.Ready {
		add(t.cfg.Self, self.Domain)
	}
	return byDomain, all
}

func (t *Tracker) ownership(
	v, last *View, id snapshot.GroupID, g *snapshot.Group, own, all []snapshot.InstanceID,
) *Ownership {
	o := &Ownership{ID: id, Group: g}
	if last != nil && last.Owners[id] != nil {
		o.Ranked = last.Owners[id].Ranked
	} else if n := top(id, own, o.Ranked[:], nil); n < OwnerDepth {
		top(id, all, o.Ranked[n:], own)
	}
	if c := t.claims[id]; c != nil {
		o.Claimant, o.Epoch, o.PreviousClaimant, o.MaxEpoch = c.holder, c.epoch, c.previous, c.max
	}
	o.Target = t.target(v, o)
	return o
}

// target is the claimant, or else the first-ranked instance if it is of the
// group's domain. One of another domain has to claim the group first, because
// it may not reach the hosts.
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

// top writes the best-ranked of ids into out, without those in except, and
// returns how many it wrote.
func top(g snapshot.GroupID, ids []snapshot.InstanceID, out, except []snapshot.InstanceID) int {
	key := uint64(g.Service)<<32 | uint64(g.Domain)<<16 | uint64(g.Index)
	var scores [OwnerDepth]float64
	n := 0
	for _, id := range ids {
		if slices.Contains(except, id) {
			continue
		}
		score := rank.Score(seedOwner, key, uint64(id), 1)
		n = insert(out, scores[:len(out)], n, id, score)
	}
	return n
}

func insert(out []snapshot.InstanceID, scores []float64, n int, id snapshot.InstanceID, score float64) int {
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
