package member

import (
	"maps"
	"slices"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// peer is the tracked state of one other instance.
type peer struct {
	inst      *snapshot.Instance
	listed    bool
	heard     bool
	boot      uint64
	seq       uint64
	listedAt  time.Duration // first listed
	heardAt   time.Duration // last heartbeat, or the end of a later pause of this process
	interval  time.Duration
	announced message.State // from its last heartbeat
	state     message.State // as judged by this instance
	version   snapshot.Version
	claims    []message.Claim
}

// domain is the tracked state of one failure domain.
type domain struct {
	listedAt time.Duration
	heardAt  time.Duration
	interval time.Duration
	unranked []snapshot.InstanceID
}

// claim is the claim history of one group.
type claim struct {
	holder   snapshot.InstanceID // current claimant, 0 if none
	epoch    uint64
	previous snapshot.InstanceID
	maxEpoch uint64
}

// Tracker is the membership state machine of one instance.
type Tracker struct {
	cfg           Config
	snap          *snapshot.Snapshot
	inForceSince  map[snapshot.Version]time.Duration // copied on write
	minVersion    snapshot.Version
	peerMoves     map[snapshot.Endpoint]snapshot.Move  // copied on write
	reranked      map[snapshot.ServiceID]time.Duration // copied on write
	state         message.State
	startedAt     time.Duration // time of the first snapshot
	peers         map[snapshot.InstanceID]*peer
	domains       map[snapshot.DomainID]*domain
	claims        map[snapshot.GroupID]*claim
	ownClaims     map[snapshot.GroupID]uint64
	foreignCounts []message.HostCount
	lostClaims    []message.Claim
	readyAt       time.Duration // time when the state became Ready

	// wasPartitioned is true if a domain was silent when the last view was built.
	// Until healsAt, claims of a domain that is heard again may still be unknown.
	wasPartitioned bool
	healsAt        time.Duration
	latest         time.Duration // time of the last heartbeat or tick

	lastTick         time.Duration
	stale            bool
	resumedAt        time.Duration
	heardSinceResume map[snapshot.InstanceID]bool

	schedule        heartbeatSchedule
	dirty           bool
	rankedInstances []snapshot.InstanceID // eligible instances when the view was built, sorted
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

// SetSnapshot replaces the snapshot and updates the peers from its instance list.
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

// recordInForce records when a version came into force at this instance. Versions
// skipped between two snapshots are not recorded and count as propagated.
func (t *Tracker) recordInForce(now time.Duration, s *snapshot.Snapshot) {
	next := map[snapshot.Version]time.Duration{s.Version: now}
	for v, at := range t.inForceSince {
		if now-at <= PropagationBound {
			next[v] = at
		}
	}
	t.inForceSince = next
}

// minPeerVersion returns the oldest version in force at a live instance. Above
// FullMeshLimit it is unknown and 0, since most heartbeats go to other instances.
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

// recordReranked records which services' group rankings change with snapshot s.
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

// HandleHeartbeat processes a peer's heartbeat. It ignores, and returns false for,
// heartbeats of instances that were never listed, since only the list gives their
// domain and addresses, and those that are out of order or of an earlier process.
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

// updateDomain records a heartbeat of a peer for its domain.
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

// mergeMoves records the endpoint moves that a peer announces.
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

// dropClaimsOf removes the claims of an instance that has restarted. It has lost
// its state, so no entries can be pulled from it.
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

// Tick processes time-outs and must be called at short intervals. A gap longer
// than PauseThreshold means that the process was paused and its view is stale.
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

// Leave announces that this instance is about to stop.
func (t *Tracker) Leave() { t.setState(message.Leaving) }

// resume enters the stale state after a pause. The silence of peers that were
// alive before the pause is counted from now; otherwise the resumed process would
// consider itself the only live instance.
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

// resumeComplete reports whether a resumed process is up to date again: it has
// heard from more than half of the live peers of its domain, or has waited for
// maxResumeIntervals. Without live peers in its domain it relies on those of other
// domains, which may have taken over its groups during the pause.
func (t *Tracker) resumeComplete(now time.Duration) bool {
	live, heard, interval := t.countSinceResume(func(p *peer) bool { return p.inst.Domain == t.cfg.Domain })
	if live == 0 {
		live, heard, interval = t.countSinceResume(func(*peer) bool { return true })
	}
	return live == 0 || 2*heard > live || now-t.resumedAt >= maxResumeIntervals*interval
}

// countSinceResume counts the peers selected by match that were alive before the
// pause and those of them that have been heard since. It also returns their
// longest heartbeat interval.
func (t *Tracker) countSinceResume(match func(*peer) bool) (live, heard int, interval time.Duration) {
	interval = BaseInterval
	for id, p := range t.peers {
		if !p.heard || p.state == message.Gone || !match(p) {
			continue
		}
		live++
		interval = max(interval, p.interval)
		if t.heardSinceResume[id] {
			heard++
		}
	}
	return live, heard, interval
}

// joinComplete reports whether a joining instance has heard from the peers of its
// domain and has their snapshot version. It waits for a silent listed peer only
// until that peer is considered gone, since the list may be out of date.
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

// isFullMesh reports whether all instances exchange heartbeats with one another.
func (t *Tracker) isFullMesh() bool { return len(t.snap.Instances) <= FullMeshLimit }

// updatePeerStates updates the states of all peers and removes those that are gone
// and no longer listed.
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

// peerState returns the state of a peer as judged at time now.
func (t *Tracker) peerState(now time.Duration, p *peer) message.State {
	if p.inst.Domain != t.cfg.Domain && !t.isFullMesh() {
		return t.sampledPeerState(now, p)
	}
	if !p.heard {
		switch {
		case !p.listed || now-p.listedAt > silenceLimit(goneAfterMissed, BaseInterval):
			return message.Gone
		case p.listedAt == t.startedAt && !p.inst.Leaving:
			// It was listed when this process started, so it is probably running.
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
		// All instances rank the listed instances only; an unlisted one keeps
		// serving the groups that it claims.
		return message.Leaving
	}
	return p.announced
}

// sampledPeerState returns the state of an instance of another domain from which
// only a sample of heartbeats arrives. It is derived from the published list, from
// the unranked instances that the domain announces, and from whether any heartbeat
// of the domain arrives.
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

// silenceLimit returns the silence after which n heartbeats count as missed. It
// allows half an interval for network delay.
func silenceLimit(n int, interval time.Duration) time.Duration {
	return time.Duration(n)*interval + interval/2
}

// Claim announces that this instance owns a group and places its flows.
func (t *Tracker) Claim(g snapshot.GroupID, epoch uint64) {
	t.ownClaims[g] = epoch
	t.dirty = true
	t.schedule.urgent = true
}

// Unclaim withdraws the claim of a group.
func (t *Tracker) Unclaim(g snapshot.GroupID) {
	if _, ok := t.ownClaims[g]; ok {
		delete(t.ownClaims, g)
		t.dirty = true
		t.schedule.urgent = true
	}
}

// ObserveEpoch records an epoch of a group that was not learned from a heartbeat.
func (t *Tracker) ObserveEpoch(g snapshot.GroupID, epoch uint64) {
	c := t.claimOf(g)
	c.maxEpoch = max(c.maxEpoch, epoch)
}

// SetLostClaims sets the own claims, carried by heartbeats, that have recently lost
// to another claim.
func (t *Tracker) SetLostClaims(claims []message.Claim) {
	if len(claims) != len(t.lostClaims) {
		t.schedule.urgent = true
	}
	t.lostClaims = claims
}

// InClaimDelay reports whether this instance has become ready so recently that its
// peers may not know yet. Without the delay, two instances that start together would
// both claim groups without a claimant, each ranking only itself.
func (t *Tracker) InClaimDelay(now time.Duration) bool { return now-t.readyAt < claimDelay }

// SetForeignCounts sets the counts of foreign flows that heartbeats carry.
func (t *Tracker) SetForeignCounts(counts []message.HostCount) { t.foreignCounts = counts }

// State returns the state that this instance announces.
func (t *Tracker) State() message.State { return t.state }

// HeartbeatAge returns the time since the last heartbeat of a peer, or -1 if none
// has arrived.
func (t *Tracker) HeartbeatAge(now time.Duration, id snapshot.InstanceID) time.Duration {
	if p := t.peers[id]; p != nil && p.heard {
		return now - p.heardAt
	}
	return -1
}

// PeerVersion returns the snapshot version that a peer last announced, or 0.
func (t *Tracker) PeerVersion(id snapshot.InstanceID) snapshot.Version {
	if p := t.peers[id]; p != nil {
		return p.version
	}
	return 0
}

// NewerPeer returns a live peer with a snapshot newer than version, or nil. It
// prefers peers of this domain, then the newest snapshot; the instance number
// breaks ties.
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

// preferredSource reports whether a is preferred over b to fetch a snapshot from.
func (t *Tracker) preferredSource(a, b *peer) bool {
	if aLocal, bLocal := a.inst.Domain == t.cfg.Domain, b.inst.Domain == t.cfg.Domain; aLocal != bLocal {
		return aLocal
	}
	if a.version != b.version {
		return a.version > b.version
	}
	return a.inst.ID^t.cfg.Self < b.inst.ID^t.cfg.Self
}
