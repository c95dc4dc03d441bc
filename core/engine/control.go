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
	// fetchDelay is how long a newer snapshot of a peer is awaited from the
	// platform, which normally delivers it within milliseconds.
	fetchDelay = 500 * time.Millisecond
	// fetchRetry is the time between two fetches.
	fetchRetry = time.Second
	// probeFresh is how long an answered probe shows that a host can be
	// reached. Probes run once a second; two may be lost.
	probeFresh = 3 * time.Second
	// foreignInterval is the time between collections of foreign counts.
	foreignInterval = time.Second
)

func sortLocals(list []*local) {
	slices.SortFunc(list, func(a, b *local) int {
		return cmp.Or(cmp.Compare(a.id.Service, b.id.Service),
			cmp.Compare(a.id.Domain, b.id.Domain), cmp.Compare(a.id.Index, b.id.Index))
	})
}

// Heartbeat takes a peer's heartbeat.
func (e *Engine) Heartbeat(now time.Duration, h *message.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.tracker.HandleHeartbeat(now, h) {
		return
	}
	e.want(h.Version)
	e.publish(now)
	if v := e.view.Load(); v != nil {
		e.settle(now, v)
		e.takeForeign(now, v, h)
		e.conflicts(now, h)
	}
}

// Tick drives time-outs and returns the work that is due.
func (e *Engine) Tick(now time.Duration) []Output {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Tick(now)
	e.publish(now)
	e.lastTick.Store(int64(now))
	v := e.view.Load()
	if v == nil {
		return nil
	}
	e.settle(now, v)
	if !v.Stale {
		e.claim(now, v)
	}
	e.clean(now, v)
	e.publish(now)
	v = e.view.Load()
	if now-e.counted >= foreignInterval {
		e.counted = now
		e.collectForeign(now, v)
	}
	out := e.pulls(now, v, nil)
	out = e.tables(now, v, out)
	out = e.sendDisplaced(now, v, out)
	out = e.copies(now, v, out)
	e.tracker.SetLostClaims(e.lostClaims())
	out = e.heartbeats(now, out)
	return e.fetch(now, v, out)
}

func (e *Engine) heartbeats(now time.Duration, out []Output) []Output {
	h, to := e.tracker.DueHeartbeat(now)
	for _, inst := range to {
		out = append(out, Output{To: inst, Heartbeat: h})
	}
	return out
}

// lostClaims lists the claims that ended because another one held, while this
// instance keeps the flows placed under them.
func (e *Engine) lostClaims() []message.Claim {
	var out []message.Claim
	for _, l := range e.order {
		l.mu.Lock()
		if l.role == roleHandedOver && l.lost != 0 {
			out = append(out, message.Claim{Group: l.id, Epoch: l.lost})
		}
		l.mu.Unlock()
	}
	return out
}

// fetch asks a peer for a newer snapshot when the platform has not delivered it.
func (e *Engine) fetch(now time.Duration, v *member.View, out []Output) []Output {
	from := e.tracker.NewerPeer(v.Snapshot.Version)
	if from == nil {
		// The peer that had it is gone; nobody can deliver it.
		e.wanted.Store(uint64(v.Snapshot.Version))
		e.behind = 0
		return out
	}
	if e.behind == 0 {
		e.behind = now
	}
	if now-e.behind < fetchDelay || e.fetched != 0 && now-e.fetched < fetchRetry {
		return out
	}
	e.fetched = now
	return append(out, Output{To: from, Fetch: true})
}

// tables drives the tables of owned groups and collects their resets. A
// handed-over table ticks too, so that its entries lapse, but resets nobody.
func (e *Engine) tables(now time.Duration, v *member.View, out []Output) []Output {
	for _, l := range e.order {
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

// Learn takes what an asked instance holds.
func (e *Engine) Learn(now time.Duration, m *message.Learn) {
	l := e.local(m.Group)
	if l == nil || m.HeldBy.Service != m.Group.Service {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == roleOwner {
		l.table.Learn(now, m)
	}
}

// Report takes the answer of a host's health endpoint.
func (e *Engine) Report(now time.Duration, h snapshot.HostID, r message.LoadReport) {
	v := e.view.Load()
	if v == nil {
		return
	}
	e.mu.Lock()
	if r.ProbeFailed {
		delete(e.probed, h)
	} else {
		e.probed[h] = now
	}
	e.mu.Unlock()
	g := v.Snapshot.GroupOf(h)
	if g == nil {
		return
	}
	if l := e.local(g.ID); l != nil {
		l.mu.Lock()
		if l.role == roleOwner {
			l.table.ApplyLoadReport(now, h, r)
		}
		l.mu.Unlock()
	}
}

// ProbeTargets returns the hosts that this instance has to probe now: those of
// its groups, and those of groups of other domains that it would take over.
func (e *Engine) ProbeTargets(now time.Duration) []*snapshot.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v == nil {
		return nil
	}
	var out []*snapshot.Host
	for _, l := range e.order {
		if g := v.Snapshot.Groups[l.id]; g != nil && l.owned() {
			out = append(out, g.Hosts...)
		}
	}
	for _, o := range v.FirstRanked {
		if l := e.local(o.ID); o.Group != nil && e.remote(o) && (l == nil || !l.owned()) {
			out = append(out, o.Group.Hosts...)
		}
	}
	for h := range e.probed {
		if v.Snapshot.Hosts[h] == nil {
			delete(e.probed, h)
		}
	}
	return out
}

func (l *local) owned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role == roleOwner
}

// remote reports whether the group's hosts are in another domain.
func (e *Engine) remote(o *member.Ownership) bool { return o.ID.Domain != e.cfg.Domain }

// reaches reports whether most of the group's hosts answer probes from here.
func (e *Engine) reaches(now time.Duration, g *snapshot.Group) bool {
	if g == nil {
		return false
	}
	n := 0
	for _, h := range g.Hosts {
		if at, ok := e.probed[h.ID]; ok && now-at <= probeFresh {
			n++
		}
	}
	return n > 0 && 2*n >= len(g.Hosts)
}

// takeForeign passes on counts of flows that a peer holds on hosts of groups
// that this instance owns.
func (e *Engine) takeForeign(now time.Duration, v *member.View, h *message.Heartbeat) {
	if len(h.ForeignCounts) == 0 && !e.foreign[h.From] {
		return
	}
	e.foreign[h.From] = len(h.ForeignCounts) > 0
	e.applyForeign(now, v, h.From, h.ForeignCounts)
}

// applyForeign replaces what the owned groups know of one instance's counts.
func (e *Engine) applyForeign(now time.Duration, v *member.View, from snapshot.InstanceID, all []message.HostCount) {
	byGroup := make(map[snapshot.GroupID][]message.HostCount)
	for _, c := range all {
		if g := v.Snapshot.GroupOf(c.Host); g != nil {
			byGroup[g.ID] = append(byGroup[g.ID], c)
		}
	}
	for _, l := range e.order {
		counts := byGroup[l.id]
		l.mu.Lock()
		if l.role == roleOwner && (len(counts) > 0 || l.hadForeign[from]) {
			l.table.SetForeignCounts(now, from, counts)
			l.hadForeign[from] = len(counts) > 0
		}
		l.mu.Unlock()
	}
}

// collectForeign counts the flows that this instance holds on hosts outside
// the groups that hold them. Those on hosts of its own other groups are passed
// on directly.
func (e *Engine) collectForeign(now time.Duration, v *member.View) {
	var here, away []message.HostCount
	for _, l := range e.order {
		for _, c := range l.outside() {
			g := v.Snapshot.GroupOf(c.Host)
			if g == nil {
				continue
			}
			if other := e.local(g.ID); other != nil && other.owned() {
				here = append(here, c)
			} else {
				away = append(away, c)
			}
		}
	}
	e.tracker.SetForeignCounts(merge(away))
	if here = merge(here); len(here) > 0 || e.foreign[e.cfg.Self] {
		e.foreign[e.cfg.Self] = len(here) > 0
		e.applyForeign(now, v, e.cfg.Self, here)
	}
}

// outside returns the counts of an owned table on hosts of other groups.
func (l *local) outside() []message.HostCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleOwner {
		return nil
	}
	return l.table.ForeignCounts()
}

// merge adds up the counts of each host.
func merge(counts []message.HostCount) []message.HostCount {
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
