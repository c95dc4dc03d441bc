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
	inst      *snapshot.Instance
	listed    bool
	heard     bool
	boot      uint64
	seq       uint64
	listedAt  time.Duration // first listed
	heardAt   time.Duration // last heartbeat, or the end of a pause of this process
	interval  time.Duration
	announced message.State
	state     message.State
	version   snapshot.Version
	claims    []message.Claim
}

// domain is what this instance knows of one failure domain.
type domain struct {
	listedAt time.Duration
	heardAt  time.Duration
	interval time.Duration
	unranked []snapshot.InstanceID
}

// claim is the history of the claims of one group.
type claim struct {
	holder   snapshot.InstanceID // present claimant, 0 if none
	epoch    uint64
	previous snapshot.InstanceID
	maxEpoch uint64
}

// Tracker is the membership state machine of one instance.
type Tracker struct {
	cfg           Config
	snap          *snapshot.Snapshot
	inForceSince  map[snapshot.Version]time.Duration // never changed, only replaced
	minVersion    snapshot.Version
	peerMoves     map[snapshot.Endpoint]snapshot.Move  // never changed, only replaced
	reranked      map[snapshot.ServiceID]time.Duration // never changed, only replaced
	state         message.State
	startedAt     time.Duration // first snapshot
	peers         map[snapshot.InstanceID]*peer
	domains       map[snapshot.DomainID]*domain
	claims        map[snapshot.GroupID]*claim
	ownClaims     map[snapshot.GroupID]uint64
	foreignCounts []message.HostCount
	lostClaims    []message.Claim
	readyAt       time.Duration // when the state became Ready

	// wasPartitioned is whether a domain was silent at the last view, and healing until
	// when its claims may still be unknown after it was heard again.
	wasPartitioned bool
	healsAt        time.Duration
	latest         time.Duration // of the last heartbeat or tick

	lastTick         time.Duration
	stale            bool
	resumedAt        time.Duration
	heardSinceResume map[snapshot.InstanceID]bool

	schedule        heartbeatSchedule
	dirty           bool
	rankedInstances []snapshot.InstanceID // eligible when the view was built, sorted
	view            *View
}

// New returns a tracker in state Joining.
func New(now time.Duration, cfg Config) *Tracker {
	return &Tracker{
		cfg:       cfg,
		peers:     make(map[snapshot.InstanceID]*peer),
		domains:   make(map[snapshot.DomainID]*domain),
		claims:    make(map[snapshot.GroupID]*claim),
		ownClaims: make(map[snapshot.GroupID]uint64),
		lastTick:  now,
		schedule:  newSchedule(now, cfg.Seed),
	}
}

// SetSnapshot takes the list of instances of a newer snapshot.
func (t *Tracker) SetSnapshot(now time.Duration, s *snapshot.Snapshot) {
	if t.snap == nil {
		t.startedAt = now
	}
	t.recordReranked(now, s)
	t.recordInForce(now, s)
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
			p = &peer{listedAt: now, interval: BaseInterval}
			t.peers[id] = p
		}
		p.inst, p.listed = inst, true
		if t.domains[inst.Domain] == nil {
			t.domains[inst.Domain] = &domain{listedAt: now, interval: BaseInterval}
		}
	}
	t.updatePeerStates(now)
	t.dirty = true
}

// recordInForce notes when a version came into force here. Versions between the one
// before and this one are not noted, which counts as the same time.
func (t *Tracker) recordInForce(now time.Duration, s *snapshot.Snapshot) {
	next := map[snapshot.Version]time.Duration{s.Version: now}
	for v, at := range t.inForceSince {
		if now-at <= PropagationBound {
			next[v] = at
		}
	}
	t.inForceSince = next
}

// minPeerVersion is the oldest version in force at a live instance. Beyond MeshLimit
// it is unknown, since most heartbeats are not heard.
func (t *Tracker) minPeerVersion() snapshot.Version {
	if !t.isFullMesh() {
		return 0
	}
	v := t.snap.Version
	for _, p := range t.peers {
		if p.heard && p.state != message.Suspected && p.state != message.Gone {
			v = min(v, p.version)
		}
	}
	return v
}

// recordReranked notes which services rank their groups anew.
func (t *Tracker) recordReranked(now time.Duration, s *snapshot.Snapshot) {
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
		t.dropClaimsOf(h.From)
	}
	t.latest = max(t.latest, now)
	p.heard, p.boot, p.seq, p.heardAt = true, h.Boot, h.Seq, now
	p.interval = BaseInterval
	if h.Interval > 0 {
		p.interval = min(h.Interval, maxInterval)
	}
	if p.announced != h.State || !slices.Equal(p.claims, h.Claims) {
		p.announced, p.claims = h.State, slices.Clone(h.Claims)
		t.dirty = true
	}
	if p.version != h.Version {
		p.version = h.Version
		if t.snap != nil {
			t.dirty = t.dirty || t.minPeerVersion() != t.minVersion
		}
	}
	t.updateDomain(now, p, h)
	t.mergeMoves(h.Moves)
	if t.stale {
		t.heardSinceResume[h.From] = true
	}
	if p.state != t.peerState(now, p) {
		t.updatePeerStates(now)
	}
	return true
}

func (t *Tracker) updateDomain(now time.Duration, p *peer, h *message.Heartbeat) {
	d := t.domains[p.inst.Domain]
	d.heardAt, d.interval = now, p.interval
	if p.inst.Domain == t.cfg.Domain || t.isFullMesh() {
		return
	}
	if !slices.Equal(d.unranked, h.Unranked) {
		d.unranked = slices.Clone(h.Unranked)
		t.updatePeerStates(now)
	}
}

// mergeMoves notes moves of endpoints that a peer has seen.
func (t *Tracker) mergeMoves(list []snapshot.Move) {
	for _, m := range list {
		if old, ok := t.peerMoves[m.Endpoint]; ok && old.Version >= m.Version {
			continue
		}
		next := maps.Clone(t.peerMoves)
		if next == nil {
			next = make(map[snapshot.Endpoint]snapshot.Move)
		}
		next[m.Endpoint] = m
		t.peerMoves = next
		t.dirty = true
	}
}

// dropClaimsOf drops the claims of an instance that has started anew: it kept no
// state, so nothing can be pulled from it.
func (t *Tracker) dropClaimsOf(id snapshot.InstanceID) {
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
		t.resume(now)
	}
	t.lastTick, t.latest = now, now
	if t.snap == nil {
		return
	}
	t.updatePeerStates(now)
	if t.healsAt != 0 && now >= t.healsAt {
		t.healsAt, t.dirty = 0, true
	}
	if t.stale && t.resumeComplete(now) {
		t.stale, t.heardSinceResume = false, nil
		t.dirty = true
	}
	if t.state == message.Joining && !t.stale && t.joinComplete(now) {
		t.readyAt = now
		t.setState(message.Ready)
	}
}

func (t *Tracker) setState(s message.State) {
	t.state = s
	t.dirty = true
	t.schedule.urgent = true
}

// Leave announces that the instance stops.
func (t *Tracker) Leave() { t.setState(message.Leaving) }

// resume begins the stale state. Peers that were alive before the pause get the
// time to be heard again, else a woken process would think itself alone.
func (t *Tracker) resume(now time.Duration) {
	t.stale, t.resumedAt = true, now
	t.heardSinceResume = make(map[snapshot.InstanceID]bool)
	for _, p := range t.peers {
		if p.heard && p.state != message.Gone {
			p.heardAt = now
		}
	}
	for _, d := range t.domains {
		d.heardAt = now
	}
	t.dirty = true
}

// resumeComplete reports whether a woken process may decide again: it has heard more
// than half of its domain's live peers, or has waited three intervals. One
// without peers in its domain goes by those of other domains, which may have
// taken its groups over meanwhile.
func (t *Tracker) resumeComplete(now time.Duration) bool {
	live, heard, every := t.countSinceResume(func(p *peer) bool { return p.inst.Domain == t.cfg.Domain })
	if live == 0 {
		live, heard, every = t.countSinceResume(func(*peer) bool { return true })
	}
	return live == 0 || 2*heard > live || now-t.resumedAt >= maxResumeIntervals*every
}

// countSinceResume counts the peers that were alive before the pause, and how many of
// them have been heard since, and returns their longest interval.
func (t *Tracker) countSinceResume(among func(*peer) bool) (live, heard int, every time.Duration) {
	every = BaseInterval
	for id, p := range t.peers {
		if !p.heard || p.state == message.Gone || !among(p) {
			continue
		}
		live++
		every = max(every, p.interval)
		if t.heardSinceResume[id] {
			heard++
		}
	}
	return live, heard, every
}

// joinComplete reports whether a joining instance has heard its domain's peers and
// has their snapshot. Listed peers that stay silent are waited for only until
// they count as gone, since the list lags.
func (t *Tracker) joinComplete(now time.Duration) bool {
	for _, p := range t.peers {
		if p.inst.Domain != t.cfg.Domain {
			continue
		}
		if p.listed && !p.inst.Leaving && !p.heard && p.state != message.Gone {
			return false
		}
		if p.version > t.snap.Version && now-t.startedAt < snapshotWaitLimit {
			return false
		}
	}
	return true
}

// isFullMesh reports whether all instances send heartbeats to one another.
func (t *Tracker) isFullMesh() bool { return len(t.snap.Instances) <= FullMeshLimit }

// updatePeerStates updates the state of all peers.
func (t *Tracker) updatePeerStates(now time.Duration) {
	for id, p := range t.peers {
		s := t.peerState(now, p)
		if s != p.state {
			p.state = s
			t.dirty = true
		}
		if s == message.Gone && !p.listed {
			delete(t.peers, id)
			t.dirty = true
		}
	}
}

func (t *Tracker) peerState(now time.Duration, p *peer) message.State {
	if p.inst.Domain != t.cfg.Domain && !t.isFullMesh() {
		return t.sampledPeerState(now, p)
	}
	if !p.heard {
		switch {
		case !p.listed || now-p.listedAt > silenceLimit(goneAfterMissed, BaseInterval):
			return message.Gone
		case p.listedAt == t.startedAt && !p.inst.Leaving:
			// It was listed before this process began, so it most likely runs.
			return message.Ready
		default:
			return message.Joining
		}
	}
	switch silent := now - p.heardAt; {
	case silent > silenceLimit(goneAfterMissed, p.interval):
		return message.Gone
	case silent > silenceLimit(suspectAfterMissed, p.interval):
		return message.Suspected
	case !p.listed && p.announced == message.Ready:
		// The list is what all instances rank by; an unlisted one still serves
		// what it claims.
		return message.Leaving
	}
	return p.announced
}

// sampledPeerState judges an instance of another domain of which only a sample of
// heartbeats is heard: by the list, by what the domain says of it, and by
// whether the domain is heard at all.
func (t *Tracker) sampledPeerState(now time.Duration, p *peer) message.State {
	if !p.listed {
		return message.Gone
	}
	d := t.domains[p.inst.Domain]
	if now-max(d.heardAt, d.listedAt) > silenceLimit(suspectAfterMissed, d.interval) {
		return message.Suspected
	}
	if slices.Contains(d.unranked, p.inst.ID) {
		if p.heard && p.announced != message.Ready && now-p.heardAt < silenceLimit(suspectAfterMissed, p.interval) {
			return p.announced
		}
		return message.Suspected
	}
	return message.Ready
}

// silenceLimit is the silence after which n heartbeats count as missed. Half an
// interval allows for delay on the way.
func silenceLimit(n int, every time.Duration) time.Duration {
	return time.Duration(n)*every + every/2
}

// Claim records that this instance places the flows of a group.
func (t *Tracker) Claim(g snapshot.GroupID, epoch uint64) {
	t.ownClaims[g] = epoch
	t.dirty = true
	t.schedule.urgent = true
}

// Unclaim withdraws a claim.
func (t *Tracker) Unclaim(g snapshot.GroupID) {
	if _, ok := t.ownClaims[g]; ok {
		delete(t.ownClaims, g)
		t.dirty = true
		t.schedule.urgent = true
	}
}

// ObserveEpoch notes an epoch of a group that was learned other than by a heartbeat.
func (t *Tracker) ObserveEpoch(g snapshot.GroupID, epoch uint64) {
	c := t.claimOf(g)
	c.maxEpoch = max(c.maxEpoch, epoch)
}

// SetLostClaims sets the claims that have ended because another one held.
func (t *Tracker) SetLostClaims(claims []message.Claim) {
	if len(claims) != len(t.lostClaims) {
		t.schedule.urgent = true
	}
	t.lostClaims = claims
}

// InClaimDelay reports whether this instance has become ready so recently that its
// peers may not know yet. Two instances that start together would otherwise
// both claim groups that nobody claims, each ranking itself alone.
func (t *Tracker) InClaimDelay(now time.Duration) bool { return now-t.readyAt < claimDelay }

// SetForeignCounts sets the counts that heartbeats carry.
func (t *Tracker) SetForeignCounts(counts []message.HostCount) { t.foreignCounts = counts }

// State returns the state that this instance announces.
func (t *Tracker) State() message.State { return t.state }

// HeartbeatAge returns the time since the last heartbeat of a peer, or -1.
func (t *Tracker) HeartbeatAge(now time.Duration, id snapshot.InstanceID) time.Duration {
	if p := t.peers[id]; p != nil && p.heard {
		return now - p.heardAt
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
		if !p.heard || p.version <= version || p.state == message.Suspected || p.state == message.Gone {
			continue
		}
		if best == nil || t.preferredSource(p, best) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	return best.inst
}

func (t *Tracker) preferredSource(a, b *peer) bool {
	if aOwn, bOwn := a.inst.Domain == t.cfg.Domain, b.inst.Domain == t.cfg.Domain; aOwn != bOwn {
		return aOwn
	}
	if a.version != b.version {
		return a.version > b.version
	}
	return a.inst.ID^t.cfg.Self < b.inst.ID^t.cfg.Self
}
