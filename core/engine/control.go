package engine

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// fetchDelay is how long to wait for the platform to deliver a snapshot that
	// a peer already has, before fetching it from the peer. The platform
	// normally delivers it within milliseconds.
	fetchDelay = 500 * time.Millisecond
	// fetchInterval is the minimum time between two fetches.
	fetchInterval = time.Second
	// probeMaxAge is how long after an answered probe a host counts as
	// reachable. Probes run once a second, so two may be lost.
	probeMaxAge = 3 * time.Second
	// foreignInterval is the time between two calls of collectForeign.
	foreignInterval = time.Second
)

func sortGroups(list []*localGroup) {
	slices.SortFunc(list, func(a, b *localGroup) int {
		return cmp.Or(cmp.Compare(a.id.Service, b.id.Service),
			cmp.Compare(a.id.Domain, b.id.Domain), cmp.Compare(a.id.Index, b.id.Index))
	})
}

// Heartbeat processes a heartbeat from a peer.
func (e *Engine) Heartbeat(now time.Duration, h *message.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.tracker.HandleHeartbeat(now, h) {
		return
	}
	e.noteVersion(h.Version)
	e.publishView(now)
	if v := e.view.Load(); v != nil {
		e.reconcileClaims(now, v)
		e.updateForeign(now, v, h)
		e.noteConflicts(now, h)
	}
}

// Tick processes time-outs and returns the messages that are due.
func (e *Engine) Tick(now time.Duration) []Output {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Tick(now)
	e.publishView(now)
	e.lastTick.Store(int64(now))
	v := e.view.Load()
	if v == nil {
		return nil
	}
	e.reconcileClaims(now, v)
	if !v.Stale {
		e.claimGroups(now, v)
	}
	e.cleanUp(now, v)
	e.publishView(now)
	v = e.view.Load()
	if now-e.lastForeignCount >= foreignInterval {
		e.lastForeignCount = now
		e.collectForeign(now, v)
	}
	out := e.duePulls(now, v, nil)
	out = e.tickTables(now, v, out)
	out = e.dueDisplaced(now, v, out)
	out = e.dueCopies(now, v, out)
	e.tracker.SetLostClaims(e.lostClaims())
	out = e.dueHeartbeats(now, out)
	return e.dueFetch(now, v, out)
}

func (e *Engine) dueHeartbeats(now time.Duration, out []Output) []Output {
	h, to := e.tracker.DueHeartbeat(now)
	for _, inst := range to {
		out = append(out, Output{To: inst, Heartbeat: h})
	}
	return out
}

// lostClaims lists the claims that ended because another claim took precedence
// while this instance still holds the flows placed under them.
func (e *Engine) lostClaims() []message.Claim {
	var out []message.Claim
	for _, l := range e.sortedGroups {
		l.mu.Lock()
		if l.role == roleHandedOver && l.lostEpoch != 0 {
			out = append(out, message.Claim{Group: l.id, Epoch: l.lostEpoch})
		}
		l.mu.Unlock()
	}
	return out
}

// dueFetch requests a newer snapshot from a peer if the platform has not delivered it
// within fetchDelay.
func (e *Engine) dueFetch(now time.Duration, v *member.View, out []Output) []Output {
	from := e.tracker.NewerPeer(v.Snapshot.Version)
	if from == nil {
		// No live peer has a newer snapshot. If one was announced, that peer is
		// gone and the snapshot cannot be fetched.
		e.newestVersion.Store(uint64(v.Snapshot.Version))
		e.behindSince = 0
		return out
	}
	if e.behindSince == 0 {
		e.behindSince = now
	}
	if now-e.behindSince < fetchDelay || e.lastFetch != 0 && now-e.lastFetch < fetchInterval {
		return out
	}
	e.lastFetch = now
	return append(out, Output{To: from, Fetch: true})
}

// tickTables runs the time-outs of all tables and collects the resets of owned
// groups. A handed-over table is ticked so that its entries expire, but its resets
// are discarded.
func (e *Engine) tickTables(now time.Duration, v *member.View, out []Output) []Output {
	for _, l := range e.sortedGroups {
		l.mu.Lock()
		if l.table == nil {
			l.mu.Unlock()
			continue
		}
		resets := l.table.Tick(now)
		if l.role != roleOwner || v.Stale {
			resets = nil
		}
		l.mu.Unlock()
		for i := range resets {
			out = append(out, Output{Reset: &resets[i]})
		}
	}
	return out
}

// Learn processes the answer of an instance that holds a flow of an owned group.
func (e *Engine) Learn(now time.Duration, m *message.Learn) {
	l := e.localGroup(m.Group)
	if l == nil || m.HeldBy.Service != m.Group.Service {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == roleOwner {
		l.table.Learn(now, m)
	}
}

// Report processes the answer of a host's health endpoint.
func (e *Engine) Report(now time.Duration, h snapshot.HostID, r message.LoadReport) {
	v := e.view.Load()
	if v == nil {
		return
	}
	e.mu.Lock()
	if r.ProbeFailed {
		delete(e.lastProbeAnswer, h)
	} else {
		e.lastProbeAnswer[h] = now
	}
	e.mu.Unlock()
	g := v.Snapshot.GroupOf(h)
	if g == nil {
		return
	}
	if l := e.localGroup(g.ID); l != nil {
		l.mu.Lock()
		if l.role == roleOwner {
			l.table.ApplyLoadReport(now, h, r)
		}
		l.mu.Unlock()
	}
}

// ProbeTargets returns the hosts that this instance must probe: those of the groups
// it owns, and those of groups in other domains that it is first in line to take over.
func (e *Engine) ProbeTargets(now time.Duration) []*snapshot.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v == nil {
		return nil
	}
	var out []*snapshot.Host
	for _, l := range e.sortedGroups {
		if g := v.Snapshot.Groups[l.id]; g != nil && l.owned() {
			out = append(out, g.Hosts...)
		}
	}
	for _, o := range v.FirstRanked {
		if l := e.localGroup(o.ID); o.Group != nil && e.remote(o) && (l == nil || !l.owned()) {
			out = append(out, o.Group.Hosts...)
		}
	}
	for h := range e.lastProbeAnswer {
		if v.Snapshot.Hosts[h] == nil {
			delete(e.lastProbeAnswer, h)
		}
	}
	return out
}

func (l *localGroup) owned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role == roleOwner
}

// remote reports whether the group belongs to another domain.
func (e *Engine) remote(o *member.Ownership) bool { return o.ID.Domain != e.cfg.Domain }

// hostsAnswer reports whether at least half of the group's hosts answer probes from
// this instance.
func (e *Engine) hostsAnswer(now time.Duration, g *snapshot.Group) bool {
	if g == nil {
		return false
	}
	n := 0
	for _, h := range g.Hosts {
		if at, ok := e.lastProbeAnswer[h.ID]; ok && now-at <= probeMaxAge {
			n++
		}
	}
	return n > 0 && 2*n >= len(g.Hosts)
}

// updateForeign applies the counts in a peer's heartbeat: flows that the peer holds
// on hosts of groups owned by this instance.
func (e *Engine) updateForeign(now time.Duration, v *member.View, h *message.Heartbeat) {
	if len(h.ForeignCounts) == 0 && !e.foreignReporters[h.From] {
		return
	}
	e.foreignReporters[h.From] = len(h.ForeignCounts) > 0
	e.applyForeign(now, v, h.From, h.ForeignCounts)
}

// applyForeign replaces the counts that the owned groups keep for one instance.
func (e *Engine) applyForeign(now time.Duration, v *member.View, from snapshot.InstanceID, all []message.HostCount) {
	byGroup := make(map[snapshot.GroupID][]message.HostCount)
	for _, c := range all {
		if g := v.Snapshot.GroupOf(c.Host); g != nil {
			byGroup[g.ID] = append(byGroup[g.ID], c)
		}
	}
	for _, l := range e.sortedGroups {
		counts := byGroup[l.id]
		l.mu.Lock()
		if l.role == roleOwner && (len(counts) > 0 || l.foreignReporters[from]) {
			l.table.SetForeignCounts(now, from, counts)
			l.foreignReporters[from] = len(counts) > 0
		}
		l.mu.Unlock()
	}
}

// collectForeign counts the flows that owned groups of this instance hold on hosts
// of other groups. Counts for hosts of groups that this instance owns are applied
// directly; the others are sent with the heartbeats.
func (e *Engine) collectForeign(now time.Duration, v *member.View) {
	var local, remote []message.HostCount
	for _, l := range e.sortedGroups {
		for _, c := range l.foreignCounts() {
			g := v.Snapshot.GroupOf(c.Host)
			if g == nil {
				continue
			}
			if other := e.localGroup(g.ID); other != nil && other.owned() {
				local = append(local, c)
			} else {
				remote = append(remote, c)
			}
		}
	}
	e.tracker.SetForeignCounts(mergeCounts(remote))
	if local = mergeCounts(local); len(local) > 0 || e.foreignReporters[e.cfg.Self] {
		e.foreignReporters[e.cfg.Self] = len(local) > 0
		e.applyForeign(now, v, e.cfg.Self, local)
	}
}

// foreignCounts returns the number of flows that an owned table holds on each host of
// other groups.
func (l *localGroup) foreignCounts() []message.HostCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner {
		return nil
	}
	return l.table.ForeignCounts()
}

// mergeCounts sorts the counts by host and adds up those of the same host.
func mergeCounts(counts []message.HostCount) []message.HostCount {
	slices.SortFunc(counts, func(a, b message.HostCount) int { return cmp.Compare(a.Host, b.Host) })
	out := counts[:0]
	for _, c := range counts {
		if n := len(out); n > 0 && out[n-1].Host == c.Host {
			out[n-1].Connections += c.Connections
			out[n-1].Slots += c.Slots
			continue
		}
		out = append(out, c)
	}
	return out
}
