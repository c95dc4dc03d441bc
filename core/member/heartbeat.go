package member

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// sender schedules heartbeats.
type sender struct {
	seq    uint64
	round  uint64
	next   time.Duration
	last   time.Duration
	every  time.Duration
	tokens float64 // bytes that unscheduled heartbeats may take
	filled time.Duration
	urgent bool
	rate   float64 // bytes a second of the last interval
}

func newSender(now time.Duration, seed uint64) sender {
	// The first heartbeat leaves within one interval, at a phase of its own.
	phase := time.Duration(seed%uint64(BaseInterval/time.Millisecond)) * time.Millisecond
	return sender{next: now + phase, last: now - BaseInterval, every: BaseInterval, filled: now, urgent: true}
}

// HeartbeatSize is the estimated size of a heartbeat on the wire in bytes.
func HeartbeatSize(h *message.Heartbeat) int {
	return HeartbeatBytes + claimBytes*(len(h.Claims)+len(h.LostClaims)) + countBytes*len(h.ForeignCounts) + unrankedBytes*len(h.Unranked) + moveBytes*len(h.Moves)
}

// DueHeartbeat returns a heartbeat and its recipients when one is due, else nil. The
// interval grows with size and recipients so that Budget is kept.
func (t *Tracker) DueHeartbeat(now time.Duration) (*message.Heartbeat, []*snapshot.Instance) {
	s := &t.sender
	s.tokens = min(HeartbeatBudget, s.tokens+HeartbeatBudget*(now-s.filled).Seconds())
	s.filled = now
	if t.snap == nil || now < s.next && !(s.urgent && now-s.last >= urgentGap) {
		return nil, nil
	}
	h := t.heartbeat()
	to := t.recipients()
	bytes := float64(HeartbeatSize(h) * len(to))
	if now < s.next && bytes > s.tokens {
		return nil, nil
	}
	s.every = HeartbeatInterval(len(to), HeartbeatSize(h))
	h.Interval = s.every
	s.rate = bytes / s.every.Seconds()
	s.seq++
	s.round++
	h.Seq = s.seq
	s.urgent = false
	s.tokens = max(-HeartbeatBudget, s.tokens-bytes)
	s.last, s.next = now, now+s.every
	return h, to
}

// HeartbeatRate is the present cost of heartbeats in bytes a second.
func (t *Tracker) HeartbeatRate() float64 { return t.sender.rate }

// HeartbeatInterval is the time between heartbeats of size bytes to n recipients.
func HeartbeatInterval(n, size int) time.Duration {
	return max(BaseInterval, time.Duration(n*size)*time.Second/HeartbeatBudget)
}

func (t *Tracker) heartbeat() *message.Heartbeat {
	h := &message.Heartbeat{
		From: t.cfg.Self, Boot: t.cfg.Boot, State: t.state, Version: t.snap.Version,
		ForeignCounts: t.foreign, LostClaims: t.lost, Moves: t.latestMoves(),
	}
	for g, epoch := range t.own {
		h.Claims = append(h.Claims, message.Claim{Group: g, Epoch: epoch})
	}
	slices.SortFunc(h.Claims, func(a, b message.Claim) int { return compareGroups(a.Group, b.Group) })
	if !t.mesh() {
		h.Unranked = t.unranked()
	}
	return h
}

// latestMoves are the latest moves that this or another instance has seen.
func (t *Tracker) latestMoves() []snapshot.Move {
	list := slices.Clone(t.snap.Moves())
	for e, m := range t.moves {
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

// recipients returns all peers of the domain and, of other domains, all or a
// sample. The sample rotates, so that with domains of equal size each instance
// hears exactly one of each other domain in each round, and a dead sender
// costs its receiver one round only.
func (t *Tracker) recipients() []*snapshot.Instance {
	var own int
	var to []*snapshot.Instance
	others := make(map[snapshot.DomainID][]*snapshot.Instance)
	for _, inst := range t.sorted() {
		switch {
		case inst.Domain == t.cfg.Domain:
			if inst.ID < t.cfg.Self {
				own++
			}
			to = appendOther(to, inst, t.cfg.Self)
		case t.mesh():
			to = append(to, inst)
		default:
			others[inst.Domain] = append(others[inst.Domain], inst)
		}
	}
	return append(to, t.sample(own, others)...)
}

func appendOther(to []*snapshot.Instance, inst *snapshot.Instance, self snapshot.InstanceID) []*snapshot.Instance {
	if inst.ID == self {
		return to
	}
	return append(to, inst)
}

// sample picks CrossSample instances of other domains. own is the index of
// this instance in its domain.
func (t *Tracker) sample(own int, others map[snapshot.DomainID][]*snapshot.Instance) []*snapshot.Instance {
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
		first = int(t.sender.round) % len(ids)
	}
	for i := 0; len(out) < min(CrossDomainRecipients, total); i++ {
		d := ids[(first+i)%len(ids)]
		list := others[d]
		// The second pass over the domains takes the instance half-way round.
		pass := i / len(ids)
		at := (own + int(t.sender.round) + pass*(len(list)/2+1)) % len(list)
		if pick := list[at]; !slices.Contains(out, pick) {
			out = append(out, pick)
		} else if i > 4*CrossDomainRecipients*len(ids) {
			break
		}
	}
	return out
}

func (t *Tracker) sorted() []*snapshot.Instance {
	list := make([]*snapshot.Instance, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if p.listed || p.judged != message.Gone {
			list = append(list, p.inst)
		}
	}
	slices.SortFunc(list, func(a, b *snapshot.Instance) int { return int(a.ID) - int(b.ID) })
	return list
}
