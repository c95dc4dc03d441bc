// Package place selects the host of a new flow within a host group from the
// owner's counts of open flows, the published capacities and states, and the
// hosts' own load reports, which may lag or mislead.
package place

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// HostSet holds the hosts of one group, and hosts outside it that still have
// open flows.
type HostSet struct {
	hosts     []*Host
	ids       []snapshot.HostID // IDs of hosts, in the same order
	foreign   map[snapshot.InstanceID]foreignCounts
	slotTimes []time.Duration // buffer of updateSpeedFactors
}

// foreignCounts are the flow counts that another instance last sent.
type foreignCounts struct {
	at     time.Duration
	counts []message.HostCount
}

// tieTolerance is the relative difference in load up to which the default host is
// used, since a flow at its default host needs no copy. With 1,500 feeds per host,
// 60% of the flows need a copy at a tolerance of 0, 10% at 0.005 and 5% at 0.01; the
// highest load over the mean is then 1.014, 1.015 and 1.017.
const tieTolerance = 0.005

// foreignTTL is how long the counts of another instance are valid unless they are
// renewed. They arrive with its heartbeats.
const foreignTTL = 10 * time.Second

// New returns the HostSet of a group. No host is in slow start, since an owner that
// takes over a group does not know how long the hosts have been running.
func New(hosts []*snapshot.Host) *HostSet {
	s := &HostSet{foreign: make(map[snapshot.InstanceID]foreignCounts)}
	for _, h := range hosts {
		s.add(&Host{Host: h, inGroup: true})
	}
	return s
}

// All returns the hosts. The slice must not be modified.
func (s *HostSet) All() []*Host { return s.hosts }

// Find returns the host with the given number, or nil.
func (s *HostSet) Find(id snapshot.HostID) *Host {
	for i, x := range s.ids {
		if x == id {
			return s.hosts[i]
		}
	}
	return nil
}

// Update replaces the list of the group's hosts. isNew reports hosts that were not
// published before; they begin with slow start. A host that has left the group is
// kept while it has open flows.
func (s *HostSet) Update(now time.Duration, hosts []*snapshot.Host, isNew func(snapshot.HostID) bool) {
	for _, h := range s.hosts {
		h.inGroup = false
	}
	for _, n := range hosts {
		h := s.Find(n.ID)
		if h == nil {
			h = s.add(&Host{Host: n, warming: isNew(n.ID), warmStart: now})
		}
		h.Host, h.inGroup = n, true
	}
	s.removeIdle()
	s.sumForeign()
	s.applyReportedStates()
}

// removeIdle removes hosts outside the group that have no open flows.
func (s *HostSet) removeIdle() {
	s.hosts = slices.DeleteFunc(s.hosts, func(h *Host) bool { return !h.inGroup && h.Connections == 0 })
	s.ids = s.ids[:0]
	for _, h := range s.hosts {
		s.ids = append(s.ids, h.ID)
	}
}

func (s *HostSet) add(h *Host) *Host {
	h.speedFactor = 1
	s.hosts = append(s.hosts, h)
	s.ids = append(s.ids, h.ID)
	return h
}

// FindOrAdd returns the host, adding it as a host outside the group if it is
// missing.
func (s *HostSet) FindOrAdd(h *snapshot.Host) *Host {
	if f := s.Find(h.ID); f != nil {
		return f
	}
	return s.add(&Host{Host: h})
}

// groupSize returns the number of hosts in the group.
func (s *HostSet) groupSize() int {
	n := 0
	for _, h := range s.hosts {
		if h.inGroup {
			n++
		}
	}
	return n
}

// ApplyReport processes a host's load report.
func (s *HostSet) ApplyReport(now time.Duration, id snapshot.HostID, r message.LoadReport) {
	h := s.Find(id)
	if h == nil {
		return
	}
	if r.ProbeFailed {
		h.missedProbes++
	} else {
		h.missedProbes = 0
		h.report, h.reportedAt = r, now
		h.excessLoad = r.Load - min(1, float64(h.TotalInProgress())/float64(h.slots()))
		if r.Cold && !h.warming {
			h.warming, h.warmStart = true, now
		}
	}
	unusable := h.report.Draining || h.missedProbes >= missedProbeLimit
	if unusable && !h.reportedUnusable {
		h.unusableSince = now
	}
	h.reportedUnusable = unusable
	s.applyReportedStates()
}

// applyReportedStates determines which hosts are taken out of use by their own
// reports and failed probes: the earliest ones, up to half of the group.
func (s *HostSet) applyReportedStates() {
	var unusable []*Host
	for _, h := range s.hosts {
		h.removedByReport = false
		if h.inGroup && h.reportedUnusable {
			unusable = append(unusable, h)
		}
	}
	slices.SortStableFunc(unusable, func(a, b *Host) int { return cmp.Compare(a.unusableSince, b.unusableSince) })
	for _, h := range unusable[:min(len(unusable), s.groupSize()/2)] {
		h.removedByReport = true
	}
}

// RecordHandshake records that the host completed the handshake of a flow. This
// shows that its kernel is alive, but not the server process.
func (s *HostSet) RecordHandshake(now time.Duration, h *Host) {
	h.failures[FailedHandshake] = 0
	h.LastProgress = now
}

// RecordProgress records acknowledgement progress of a flow on the host.
func (s *HostSet) RecordProgress(now time.Duration, h *Host) {
	h.failures = [2]int{}
	h.ejections = 0
	h.LastProgress = now
}

// RecordFailure records that a new flow made no progress. It reports whether the
// host is ejected as a result.
func (s *HostSet) RecordFailure(now time.Duration, h *Host, f Failure) bool {
	h.failures[f]++
	if h.ejected || h.failures[f] < failureLimit || !s.canEject() {
		return false
	}
	h.ejected = true
	h.ejectedUntil = now + min(ejectMax, ejectBase<<min(h.ejections, 10))
	h.ejections++
	return true
}

// canEject reports whether one more host may be ejected. Ejections are limited to a
// third of each group and, since a group lies within one domain, of each domain.
func (s *HostSet) canEject() bool {
	n := 1
	for _, h := range s.hosts {
		if h.inGroup && h.ejected {
			n++
		}
	}
	return n*3 <= s.groupSize()
}

// Tick ends ejections that have expired and removes expired foreign counts and
// idle hosts outside the group. It reports whether the usable hosts or the foreign
// counts changed.
func (s *HostSet) Tick(now time.Duration) bool {
	s.removeIdle()
	s.updateSpeedFactors()
	changed := false
	for _, h := range s.hosts {
		if h.ejected && now >= h.ejectedUntil {
			// One more failure ejects it again, for twice the time.
			h.ejected = false
			h.failures = [2]int{failureLimit - 1, failureLimit - 1}
			changed = true
		}
	}
	for from, f := range s.foreign {
		if now-f.at > foreignTTL {
			delete(s.foreign, from)
			s.sumForeign()
			changed = true
		}
	}
	return changed
}

// updateSpeedFactors compares the mean slot times of the usable hosts. They are
// comparable because the hosts of a group receive the same mix of kinds.
func (s *HostSet) updateSpeedFactors() {
	s.slotTimes = s.slotTimes[:0]
	for _, h := range s.hosts {
		if h.Usable() && h.samples >= estimateSamples {
			s.slotTimes = append(s.slotTimes, h.TimeInSlot(0))
		}
	}
	if len(s.slotTimes) == 0 {
		return
	}
	slices.Sort(s.slotTimes)
	median := s.slotTimes[(len(s.slotTimes)-1)/2]
	for _, h := range s.hosts {
		h.speedFactor = 1
		if t := h.TimeInSlot(0); h.samples >= estimateSamples && float64(t) > slowRatio*float64(median) {
			h.speedFactor = float64(median) / float64(t)
		}
	}
}

// SetForeignCounts sets the counts of flows that another instance holds on the
// hosts.
func (s *HostSet) SetForeignCounts(now time.Duration, from snapshot.InstanceID, counts []message.HostCount) {
	if len(counts) == 0 {
		delete(s.foreign, from)
	} else {
		s.foreign[from] = foreignCounts{now, slices.Clone(counts)}
	}
	s.sumForeign()
}

// sumForeign recomputes the foreign counts of the hosts.
func (s *HostSet) sumForeign() {
	for _, h := range s.hosts {
		h.foreignConns, h.foreignSlots = 0, 0
	}
	for _, f := range s.foreign {
		for _, c := range f.counts {
			if h := s.Find(c.Host); h != nil {
				h.foreignConns += int(c.Connections)
				h.foreignSlots += int(c.Slots)
			}
		}
	}
}

// Capacity returns the total and the free capacity of the usable hosts: requests
// including queued ones, or connections.
func (s *HostSet) Capacity(o snapshot.Occupancy) (capacity, free int) {
	for _, h := range s.hosts {
		if !h.Usable() {
			continue
		}
		if o == snapshot.OccupiesSlot {
			capacity += h.requestLimit()
			free += max(0, h.requestLimit()-h.TotalInProgress())
		} else {
			capacity += h.Host.ConnectionLimit
			free += max(0, h.Host.ConnectionLimit-h.TotalConnections())
		}
	}
	return capacity, free
}

// Slots returns the number of slots of the usable hosts.
func (s *HostSet) Slots() int {
	n := 0
	for _, h := range s.hosts {
		if h.Usable() {
			n += h.slots()
		}
	}
	return n
}

// Choose returns the least loaded usable host with capacity for a new flow, or nil.
// The load includes the new flow, which distinguishes an idle host in slow start
// from other idle hosts. preferred is selected within tieTolerance and, for a kind
// that occupies slots, if it has a free slot within its weight.
func (s *HostSet) Choose(now time.Duration, o snapshot.Occupancy, preferred snapshot.HostID) *Host {
	var best, preferredHost *Host
	var bestLoad, preferredLoad float64
	for _, h := range s.hosts {
		if !h.Usable() || !h.hasCapacity(o) {
			continue
		}
		w := h.Weight(now, o)
		n := h.TotalConnections() + 1
		if o == snapshot.OccupiesSlot {
			n = h.TotalInProgress() + 1
			if h.ID == preferred && float64(n) <= float64(h.slots())*w/h.Capacity {
				return h
			}
		}
		load := float64(n) / w
		if h.ID == preferred {
			preferredHost, preferredLoad = h, load
		}
		if best == nil || load < bestLoad {
			best, bestLoad = h, load
		}
	}
	if preferredHost != nil && preferredLoad <= bestLoad*(1+tieTolerance) {
		return preferredHost
	}
	return best
}

// hasCapacity reports whether the host is below its limits for a new flow.
func (h *Host) hasCapacity(o snapshot.Occupancy) bool {
	if h.TotalConnections() >= h.Host.ConnectionLimit {
		return false
	}
	return o != snapshot.OccupiesSlot || h.TotalInProgress() < h.requestLimit()
}
