package member

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// heartbeatSchedule determines when heartbeats are sent.
type heartbeatSchedule struct {
	seq        uint64
	round      uint64
	nextAt     time.Duration
	sentAt     time.Duration
	interval   time.Duration
	tokens     float64 // token bucket of unscheduled heartbeats, in bytes
	refilledAt time.Duration
	urgent     bool
	rate       float64 // bytes per second in the last interval
}

func newSchedule(now time.Duration, seed uint64) heartbeatSchedule {
	// The first heartbeat is sent within one interval. Its phase depends on the
	// seed, so that instances do not send in step.
	phase := time.Duration(seed%uint64(BaseInterval/time.Millisecond)) * time.Millisecond
	return heartbeatSchedule{nextAt: now + phase, sentAt: now - BaseInterval, interval: BaseInterval, refilledAt: now, urgent: true}
}

// HeartbeatSize estimates the size of a heartbeat on the wire, in bytes.
func HeartbeatSize(h *message.Heartbeat) int {
	return HeartbeatBytes + claimBytes*(len(h.Claims)+len(h.LostClaims)) + hostCountBytes*len(h.ForeignCounts) + unrankedBytes*len(h.Unranked) + moveBytes*len(h.Moves)
}

// DueHeartbeat returns a heartbeat and its recipients if one is due, else nil.
// The interval grows with the size and the number of recipients to stay within
// HeartbeatBudget.
func (t *Tracker) DueHeartbeat(now time.Duration) (*message.Heartbeat, []*snapshot.Instance) {
	s := &t.schedule
	s.tokens = min(HeartbeatBudget, s.tokens+HeartbeatBudget*(now-s.refilledAt).Seconds())
	s.refilledAt = now
	if t.snap == nil || now < s.nextAt && !(s.urgent && now-s.sentAt >= minUrgentInterval) {
		return nil, nil
	}
	h := t.heartbeat()
	to := t.recipients()
	bytes := float64(HeartbeatSize(h) * len(to))
	if now < s.nextAt && bytes > s.tokens {
		return nil, nil
	}
	s.interval = HeartbeatInterval(len(to), HeartbeatSize(h))
	h.Interval = s.interval
	s.rate = bytes / s.interval.Seconds()
	s.seq++
	s.round++
	h.Seq = s.seq
	s.urgent = false
	s.tokens = max(-HeartbeatBudget, s.tokens-bytes)
	s.sentAt, s.nextAt = now, now+s.interval
	return h, to
}

// HeartbeatRate returns the current heartbeat traffic in bytes per second.
func (t *Tracker) HeartbeatRate() float64 { return t.schedule.rate }

// HeartbeatInterval returns the interval between heartbeats of size bytes to n
// recipients that stays within HeartbeatBudget.
func HeartbeatInterval(n, size int) time.Duration {
	return max(BaseInterval, time.Duration(n*size)*time.Second/HeartbeatBudget)
}

func (t *Tracker) heartbeat() *message.Heartbeat {
	h := &message.Heartbeat{
		From: t.cfg.Self, Boot: t.cfg.Boot, State: t.state, Version: t.snap.Version,
		ForeignCounts: t.foreignCounts, LostClaims: t.lostClaims, Moves: t.latestMoves(),
	}
	for g, epoch := range t.ownClaims {
		h.Claims = append(h.Claims, message.Claim{Group: g, Epoch: epoch})
	}
	slices.SortFunc(h.Claims, func(a, b message.Claim) int { return compareGroups(a.Group, b.Group) })
	if !t.isFullMesh() {
		h.Unranked = t.unranked()
	}
	return h
}

// latestMoves returns the latest endpoint moves that this instance or a peer has
// seen, at most maxMoves.
func (t *Tracker) latestMoves() []snapshot.Move {
	list := slices.Clone(t.snap.Moves())
	for e, m := range t.peerMoves {
		if b, ok := t.snap.Lookup(e); ok && b.MovedIn == 0 {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b snapshot.Move) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version),
			cmp.Compare(a.Endpoint.Addr, b.Endpoint.Addr), cmp.Compare(a.Endpoint.Port, b.Endpoint.Port))
	})
	return list[:min(len(list), maxMoves)]
}

// unranked returns the listed instances of this domain that are not eligible to
// own groups, this instance included.
func (t *Tracker) unranked() []snapshot.InstanceID {
	var out []snapshot.InstanceID
	for id, p := range t.peers {
		if p.listed && p.inst.Domain == t.cfg.Domain && !eligible(p) {
			out = append(out, id)
		}
	}
	if t.state != message.Ready {
		out = append(out, t.cfg.Self)
	}
	slices.Sort(out)
	return out
}

// recipients returns all peers of this domain and either all instances of other
// domains or a sample of them. The sample rotates every round: with domains of
// equal size, each instance receives one heartbeat from every other domain in
// each round, and a dead sender costs a receiver only one round.
func (t *Tracker) recipients() []*snapshot.Instance {
	var ownIndex int
	var to []*snapshot.Instance
	others := make(map[snapshot.DomainID][]*snapshot.Instance)
	for _, inst := range t.activeInstances() {
		switch {
		case inst.Domain == t.cfg.Domain:
			if inst.ID < t.cfg.Self {
				ownIndex++
			}
			to = appendOther(to, inst, t.cfg.Self)
		case t.isFullMesh():
			to = append(to, inst)
		default:
			others[inst.Domain] = append(others[inst.Domain], inst)
		}
	}
	return append(to, t.sampleOtherDomains(ownIndex, others)...)
}

func appendOther(to []*snapshot.Instance, inst *snapshot.Instance, self snapshot.InstanceID) []*snapshot.Instance {
	if inst.ID == self {
		return to
	}
	return append(to, inst)
}

// sampleOtherDomains selects CrossDomainRecipients instances of other domains.
// ownIndex is the index of this instance within its domain.
func (t *Tracker) sampleOtherDomains(ownIndex int, others map[snapshot.DomainID][]*snapshot.Instance) []*snapshot.Instance {
	ids := make([]snapshot.DomainID, 0, len(others))
	total := 0
	for d, list := range others {
		ids = append(ids, d)
		total += len(list)
	}
	slices.Sort(ids)
	var out []*snapshot.Instance
	first := 0
	if len(ids) > 0 {
		first = int(t.schedule.round) % len(ids)
	}
	for i := 0; len(out) < min(CrossDomainRecipients, total); i++ {
		d := ids[(first+i)%len(ids)]
		list := others[d]
		// The second pass over the domains selects the instance half a cycle away.
		pass := i / len(ids)
		at := (ownIndex + int(t.schedule.round) + pass*(len(list)/2+1)) % len(list)
		if pick := list[at]; !slices.Contains(out, pick) {
			out = append(out, pick)
		} else if i > 4*CrossDomainRecipients*len(ids) {
			break
		}
	}
	return out
}

// activeInstances returns the peers that are listed or not gone, sorted by ID.
func (t *Tracker) activeInstances() []*snapshot.Instance {
	list := make([]*snapshot.Instance, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if p.listed || p.state != message.Gone {
			list = append(list, p.inst)
		}
	}
	slices.SortFunc(list, func(a, b *snapshot.Instance) int { return int(a.ID) - int(b.ID) })
	return list
}
