package member

import (
	"maps"
	"slices"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// peer is the state of one other instance.
type peer struct {
	inst     *snapshot.Instance
	listed   bool
	heard    bool
	boot     uint64
	seq      uint64
	since    time.Duration // first listed
	last     time.Duration // last heartbeat, or the end of a pause of this process
	every    time.Duration
	announce message.State
	judged   message.State
	version  snapshot.Version
	claims   []message.Claim
}

// domain is what this instance knows of one failure domain.
type domain struct {
	since    time.Duration
	last     time.Duration
	every    time.Duration
	unranked []snapshot.InstanceID
}

// claim is the history of the claims of one group.
type claim struct {
	holder   snapshot.InstanceID // present claimant, 0 if none
	epoch    uint64
	previous snapshot.InstanceID
	max      uint64
}

// Tracker is the membership state machine of one instance.
type Tracker struct {
	cfg      Config
	snap     *snapshot.Snapshot
	taken    map[snapshot.Version]time.Duration // never changed, only replaced
	floor    snapshot.Version
	moves    map[snapshot.Endpoint]snapshot.Move  // never changed, only replaced
	reranked map[snapshot.ServiceID]time.Duration // never changed, only replaced
	state    message.State
	begun    time.Duration // first snapshot
	peers    map[snapshot.InstanceID]*peer
	domains  map[snapshot.DomainID]*domain
	claims   map[snapshot.GroupID]*claim
	own      map[snapshot.GroupID]uint64
	foreign  []message.HostCount
	lost     []message.Claim
	ready    time.Duration // when the state became Ready

	// cut is whether a domain was silent at the last view, and healing until
	// when its claims may still be unknown after it was heard again.
	cut     bool
	healing time.Duration
	clock   time.Duration // of the last heartbeat or tick

	lastTick  time.Duration
	stale     bool
	woke      time.Duration
	sinceWoke map[snapshot.InstanceID]bool

	sender sender
	dirty  bool
	ranked []snapshot.InstanceID // eligible when the view was built, sorted
	view   *View
}

// New returns a tracker in state Joining.
func New(now time.Duration, cfg Config) *Tracker {
	return &Tracker{
		cfg:      cfg,
		peers:    make(map[snapshot.InstanceID]*peer),
		domains:  make(map[snapshot.DomainID]*domain),
		claims:   make(map[snapshot.GroupID]*claim),
		own:      make(map[snapshot.GroupID]uint64),
		lastTick: now,
		sender:   newSender(now, cfg.Seed),
	}
}

// SetSnapshot takes the list of instances of a newer snapshot.
func (t *Tracker) SetSnapshot(now time.Duration, s *snapshot.Snapshot) {
	if t.snap == nil {
		t.begun = now
	}
	t.rerank(now, s)
	t.take(now, s)
	t.snap = s
	for _, p := range t.peers {
		p.listed = false
	}
	for id, inst := range s.Instances {
		if id == t.cfg.Self {
			continue
		}
		p := t.peers[id]
		if p == nil {
			p = &peer{since: now, every: BaseInterval}
			t.peers[id] = p
		}
		p.inst, p.listed = inst, true
		if t.domains[inst.Domain] == nil {
			t.domains[inst.Domain] = &domain{since: now, every: BaseInterval}
		}
	}
	t.judge(now)
	t.dirty = true
}

// take notes when a version came into force here. Versions between the one
// before and this one are not noted, which counts as the same time.
func (t *Tracker) take(now time.Duration, s *snapshot.Snapshot) {
	next := map[snapshot.Version]time.Duration{s.Version: now}
	for v, at := range t.taken {
		if now-at <= PropagationBound {
			next[v] = at
		}
	}
	t.taken = next
}

// lowest is the oldest version in force at a live instance. Beyond MeshLimit
// it is unknown, since most heartbeats are not heard.
func (t *Tracker) lowest() snapshot.Version {
	if !t.mesh() {
		return 0
	}
	v := t.snap.Version
	for _, p := range t.peers {
		if p.heard && p.judged != message.Suspected && p.judged != message.Gone {
			v = min(v, p.version)
		}
	}
	return v
}

// rerank notes which services rank their groups anew.
func (t *Tracker) rerank(now time.Duration, s *snapshot.Snapshot) {
	if t.snap == nil {
		return
	}
	next := maps.Clone(t.reranked)
	if next == nil {
		next = make(map[snapshot.ServiceID]time.Duration)
	}
	for id, svc := range s.Services {
		if old := t.snap.Services[id]; old != nil && !old.SameRanking(svc) {
			next[id] = now
		}
	}
	t.reranked = next
}

// HandleHeartbeat takes a peer's heartbeat. Those of unlisted instances are ignored,
// since nothing but the list tells their domain and addresses; so are late
// ones and those of an earlier process. It returns false for an ignored one.
func (t *Tracker) HandleHeartbeat(now time.Duration, h *message.Heartbeat) bool {
	p := t.peers[h.From]
	if p == nil || h.Boot < p.boot || h.Boot == p.boot && h.Seq <= p.seq {
		return false
	}
	if h.Boot > p.boot && p.boot != 0 {
		t.forget(h.From)
	}
	t.clock = max(t.clock, now)
	p.heard, p.boot, p.seq, p.last = true, h.Boot, h.Seq, now
	p.every = BaseInterval
	if h.Interval > 0 {
		p.every = min(h.Interval, maxEvery)
	}
	if p.announce != h.State || !slices.Equal(p.claims, h.Claims) {
		p.announce, p.claims = h.State, slices.Clone(h.Claims)
		t.dirty = true
	}
	if p.version != h.Version {
		p.version = h.Version
		if t.snap != nil {
			t.dirty = t.dirty || t.lowest() != t.floor
		}
	}
	t.hearDomain(now, p, h)
	t.hearMoves(h.Moves)
	if t.stale {
		t.sinceWoke[h.From] = true
	}
	if p.judged != t.judgePeer(now, p) {
		t.judge(now)
	}
	return true
}

func (t *Tracker) hearDomain(now time.Duration, p *peer, h *message.Heartbeat) {
	d := t.domains[p.inst.Domain]
	d.last, d.every = now, p.every
	if p.inst.Domain == t.cfg.Domain || t.mesh() {
		return
	}
	if !slices.Equal(d.unranked, h.Unranked) {
		d.unranked = slices.Clone(h.Unranked)
		t.judge(now)
	}
}

// hearMoves notes moves of endpoints that a peer has seen.
func (t *Tracker) hearMoves(list []snapshot.Move) {
	for _, m := range list {
		if old, ok := t.moves[m.Endpoint]; ok && old.Version >= m.Version {
			continue
		}
		next := maps.Clone(t.moves)
		if next == nil {
			next = make(map[snapshot.Endpoint]snapshot.Move)
		}
		next[m.Endpoint] = m
		t.moves = next
		t.dirty = true
	}
}

// forget drops the claims of an instance that has started anew: it kept no
// state, so nothing can be pulled from it.
func (t *Tracker) forget(id snapshot.InstanceID) {
	for _, c := range t.claims {
		if c.holder == id {
			c.holder, c.epoch = 0, 0
		}
		if c.previous == id {
			c.previous = 0
		}
	}
	t.dirty = true
}

// Tick drives time-outs. It is called at short intervals; a gap of over
// StaleGap means that the process was paused and its view is old.
func (t *Tracker) Tick(now time.Duration) {
	if now-t.lastTick > PauseThreshold {
		t.wake(now)
	}
	t.lastTick, t.clock = now, now
	if t.snap == nil {
		return
	}
	t.judge(now)
	if t.healing != 0 && now >= t.healing {
		t.healing, t.dirty = 0, true
	}
	if t.stale && t.fresh(now) {
		t.stale, t.sinceWoke = false, nil
		t.dirty = true
	}
	if t.state == message.Joining && !t.stale && t.joined(now) {
		t.ready = now
		t.setState(message.Ready)
	}
}

func (t *Tracker) setState(s message.State) {
	t.state = s
	t.dirty = true
	t.sender.urgent = true
}

// Leave announces that the instance stops.
func (t *Tracker) Leave() { t.setState(message.Leaving) }

// wake begins the stale state. Peers that were alive before the pause get the
// time to be heard again, else a woken process would think itself alone.
func (t *Tracker) wake(now time.Duration) {
	t.stale, t.woke = true, now
	t.sinceWoke = make(map[snapshot.InstanceID]bool)
	for _, p := range t.peers {
		if p.heard && p.judged != message.Gone {
			p.last = now
		}
	}
	for _, d := range t.domains {
		d.last = now
	}
	t.dirty = true
}

// fresh reports whether a woken process may decide again: it has heard more
// than half of its domain's live peers, or has waited three intervals. One
// without peers in its domain goes by those of other domains, which may have
// taken its groups over meanwhile.
func (t *Tracker) fresh(now time.Duration) bool {
	live, heard, every := t.sinceWake(func(p *peer) bool { return p.inst.Domain == t.cfg.Domain })
	if live == 0 {
		live, heard, every = t.sinceWake(func(*peer) bool { return true })
	}
	return live == 0 || 2*heard > live || now-t.woke >= staleIntervals*every
}

// sinceWake counts the peers that were alive before the pause, and how many of
// them have been heard since, and returns their longest interval.
func (t *Tracker) sinceWake(among func(*peer) bool) (live, heard int, every time.Duration) {
	every = BaseInterval
	for id, p := range t.peers {
		if !p.heard || p.judged == message.Gone || !among(p) {
			continue
		}
		live++
		every = max(every, p.every)
		if t.sinceWoke[id] {
			heard++
		}
	}
	return live, heard, every
}

// joined reports whether a joining instance has heard its domain's peers and
// has their snapshot. Listed peers that stay silent are waited for only until
// they count as gone, since the list lags.
func (t *Tracker) joined(now time.Duration) bool {
	for _, p := range t.peers {
		if p.inst.Domain != t.cfg.Domain {
			continue
		}
		if p.listed && !p.inst.Leaving && !p.heard && p.judged != message.Gone {
			return false
		}
		if p.version > t.snap.Version && now-t.begun < freshLimit {
			return false
		}
	}
	return true
}

// mesh reports whether all instances send heartbeats to one another.
func (t *Tracker) mesh() bool { return len(t.snap.Instances) <= FullMeshLimit }

// judge updates the state of all peers.
func (t *Tracker) judge(now time.Duration) {
	for id, p := range t.peers {
		s := t.judgePeer(now, p)
		if s != p.judged {
			p.judged = s
			t.dirty = true
		}
		if s == message.Gone && !p.listed {
			delete(t.peers, id)
			t.dirty = true
		}
	}
}

func (t *Tracker) judgePeer(now time.Duration, p *peer) message.State {
	if p.inst.Domain != t.cfg.Domain && !t.mesh() {
		return t.judgeSampled(now, p)
	}
	if !p.heard {
		switch {
		case !p.listed || now-p.since > late(missedGone, BaseInterval):
			return message.Gone
		case p.since == t.begun && !p.inst.Leaving:
			// It was listed before this process began, so it most likely runs.
			return message.Ready
		default:
			return message.Joining
		}
	}
	switch silent := now - p.last; {
	case silent > late(missedGone, p.every):
		return message.Gone
	case silent > late(missedSuspected, p.every):
		return message.Suspected
	case !p.listed && p.announce == message.Ready:
		// The list is what all instances rank by; an unlisted one still serves
		// what it claims.
		return message.Leaving
	}
	return p.announce
}

// judgeSampled judges an instance of another domain of which only a sample of
// heartbeats is heard: by the list, by what the domain says of it, and by
// whether the domain is heard at all.
func (t *Tracker) judgeSampled(now time.Duration, p *peer) message.State {
	if !p.listed {
		return message.Gone
	}
	d := t.domains[p.inst.Domain]
	if now-max(d.last, d.since) > late(missedSuspected, d.every) {
		return message.Suspected
	}
	if slices.Contains(d.unranked, p.inst.ID) {
		if p.heard && p.announce != message.Ready && now-p.last < late(missedSuspected, p.every) {
			return p.announce
		}
		return message.Suspected
	}
	return message.Ready
}

// late is the silence after which n heartbeats count as missed. Half an
// interval allows for delay on the way.
func late(n int, every time.Duration) time.Duration {
	return time.Duration(n)*every + every/2
}

// Claim records that this instance places the flows of a group.
func (t *Tracker) Claim(g snapshot.GroupID, epoch uint64) {
	t.own[g] = epoch
	t.dirty = true
	t.sender.urgent = true
}

// Unclaim withdraws a claim.
func (t *Tracker) Unclaim(g snapshot.GroupID) {
	if _, ok := t.own[g]; ok {
		delete(t.own, g)
		t.dirty = true
		t.sender.urgent = true
	}
}

// ObserveEpoch notes an epoch of a group that was learned other than by a heartbeat.
func (t *Tracker) ObserveEpoch(g snapshot.GroupID, epoch uint64) {
	c := t.claimOf(g)
	c.max = max(c.max, epoch)
}

// SetLostClaims sets the claims that have ended because another one held.
func (t *Tracker) SetLostClaims(claims []message.Claim) {
	if len(claims) != len(t.lost) {
		t.sender.urgent = true
	}
	t.lost = claims
}

// InClaimDelay reports whether this instance has become ready so recently that its
// peers may not know yet. Two instances that start together would otherwise
// both claim groups that nobody claims, each ranking itself alone.
func (t *Tracker) InClaimDelay(now time.Duration) bool { return now-t.ready < claimDelay }

// SetForeignCounts sets the counts that heartbeats carry.
func (t *Tracker) SetForeignCounts(counts []message.HostCount) { t.foreign = counts }

// State returns the state that this instance announces.
func (t *Tracker) State() message.State { return t.state }

// HeartbeatAge returns the time since the last heartbeat of a peer, or -1.
func (t *Tracker) HeartbeatAge(now time.Duration, id snapshot.InstanceID) time.Duration {
	if p := t.peers[id]; p != nil && p.heard {
		return now - p.last
	}
	return -1
}

// PeerVersion returns the snapshot version that a peer announced last.
func (t *Tracker) PeerVersion(id snapshot.InstanceID) snapshot.Version {
	if p := t.peers[id]; p != nil {
		return p.version
	}
	return 0
}

// NewerPeer returns a peer that is alive and has a newer snapshot than version,
// or nil. Peers of the own domain go first; among equals the number decides.
func (t *Tracker) NewerPeer(version snapshot.Version) *snapshot.Instance {
	var best *peer
	for _, p := range t.peers {
		if !p.heard || p.version <= version || p.judged == message.Suspected || p.judged == message.Gone {
			continue
		}
		if best == nil || t.fetchBefore(p, best) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	return best.inst
}

func (t *Tracker) fetchBefore(a, b *peer) bool {
	if aOwn, bOwn := a.inst.Domain == t.cfg.Domain, b.inst.Domain == t.cfg.Domain; aOwn != bOwn {
		return aOwn
	}
	if a.version != b.version {
		return a.version > b.version
	}
	return a.inst.ID^t.cfg.Self < b.inst.ID^t.cfg.Self
}
