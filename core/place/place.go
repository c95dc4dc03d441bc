// Package place chooses the host of a new flow within a host group, from the
// owner's own counts of open flows, the published capacities and states, and
// what hosts say of themselves, which may lag or mislead.
package place

import (
	"cmp"
	"slices"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// HostSet is the hosts of one group, and hosts that have left it while flows are
// open on them.
type HostSet struct {
	hosts   []*Host
	ids     []snapshot.HostID // of hosts, for Find
	foreign map[snapshot.InstanceID]foreignCounts
	paces   []time.Duration // scratch space of comparePaces
}

type foreignCounts struct {
	at     time.Duration
	counts []message.HostCount
}

// tieSlack is the difference of load that counts as a tie. A flow at its
// default host needs no copy: with 1,500 feeds a host and no slack 60% of them
// need one, with 0.005 10%, and with 0.01 5%, at a spread (highest over mean)
// of 1.014, 1.015 and 1.017.
const tieSlack = 0.005

// foreignFor is how long the counts of another instance are believed without
// being repeated. They come with its heartbeats.
const foreignFor = 10 * time.Second

// New returns the hosts of a group. None is taken as cold, since an owner that
// takes a group over knows nothing of their past.
func New(hosts []*snapshot.Host) *HostSet {
	s := &HostSet{foreign: make(map[snapshot.InstanceID]foreignCounts)}
	for _, h := range hosts {
		s.add(&Host{Host: h, listed: true})
	}
	return s
}

// All returns the hosts; it must not be changed.
func (s *HostSet) All() []*Host { return s.hosts }

// Find returns the host with the given number or nil.
func (s *HostSet) Find(id snapshot.HostID) *Host {
	for i, x := range s.ids {
		if x == id {
			return s.hosts[i]
		}
	}
	return nil
}

// Update takes a new list of the group's hosts. isNew tells hosts that were
// not published before, which start slowly. A host that left the group is kept
// while it has open flows.
func (s *HostSet) Update(now time.Duration, hosts []*snapshot.Host, isNew func(snapshot.HostID) bool) {
	for _, h := range s.hosts {
		h.listed = false
	}
	for _, n := range hosts {
		h := s.Find(n.ID)
		if h == nil {
			h = s.add(&Host{Host: n, warming: isNew(n.ID), warmStart: now})
		}
		h.Host, h.listed = n, true
	}
	s.forget()
	s.sumForeign()
	s.review()
}

// forget drops hosts that have left the group and hold no more flows.
func (s *HostSet) forget() {
	s.hosts = slices.DeleteFunc(s.hosts, func(h *Host) bool { return !h.listed && h.Connections == 0 })
	s.ids = s.ids[:0]
	for _, h := range s.hosts {
		s.ids = append(s.ids, h.ID)
	}
}

func (s *HostSet) add(h *Host) *Host {
	h.pace = 1
	s.hosts = append(s.hosts, h)
	s.ids = append(s.ids, h.ID)
	return h
}

// FindOrAdd returns the host, adding it as one outside the group when needed.
func (s *HostSet) FindOrAdd(h *snapshot.Host) *Host {
	if f := s.Find(h.ID); f != nil {
		return f
	}
	return s.add(&Host{Host: h})
}

func (s *HostSet) size() int {
	n := 0
	for _, h := range s.hosts {
		if h.listed {
			n++
		}
	}
	return n
}

// ApplyReport takes what a host says of itself.
func (s *HostSet) ApplyReport(now time.Duration, id snapshot.HostID, r message.LoadReport) {
	h := s.Find(id)
	if h == nil {
		return
	}
	if r.ProbeFailed {
		h.missed++
	} else {
		h.missed = 0
		h.report, h.reportedAt = r, now
		h.excess = r.Load - min(1, float64(h.TotalInProgress())/float64(h.slots()))
		if r.Cold && !h.warming {
			h.warming, h.warmStart = true, now
		}
	}
	bad := h.report.Draining || h.missed >= probeMisses
	if bad && !h.reportsUnfit {
		h.unfitSince = now
	}
	h.reportsUnfit = bad
	s.review()
}

// review settles which hosts are out by their own reports: the first to say so,
// up to half of the group.
func (s *HostSet) review() {
	var said []*Host
	for _, h := range s.hosts {
		h.removedByReport = false
		if h.listed && h.reportsUnfit {
			said = append(said, h)
		}
	}
	slices.SortStableFunc(said, func(a, b *Host) int { return cmp.Compare(a.unfitSince, b.unfitSince) })
	for _, h := range said[:min(len(said), s.size()/2)] {
		h.removedByReport = true
	}
}

// RecordHandshake notes that the host completed the handshake of a flow. That shows
// its kernel to be alive, not the program behind it.
func (s *HostSet) RecordHandshake(now time.Duration, h *Host) {
	h.fails[FailedHandshake] = 0
	h.LastProgress = now
}

// RecordProgress notes acknowledgement progress of a flow on the host.
func (s *HostSet) RecordProgress(now time.Duration, h *Host) {
	h.fails = [2]int{}
	h.ejections = 0
	h.LastProgress = now
}

// RecordFailure notes a new flow without progress. It reports whether the host was
// ejected for it.
func (s *HostSet) RecordFailure(now time.Duration, h *Host, f Failure) bool {
	h.fails[f]++
	if h.ejected || h.fails[f] < failLimit || !s.mayEject() {
		return false
	}
	h.ejected = true
	h.ejectedUntil = now + min(ejectMax, ejectBase<<min(h.ejections, 10))
	h.ejections++
	return true
}

// mayEject keeps ejections to a third of the group. Groups lie within one
// domain, so this holds for the domain as well.
func (s *HostSet) mayEject() bool {
	n := 1
	for _, h := range s.hosts {
		if h.listed && h.ejected {
			n++
		}
	}
	return n*3 <= s.size()
}

// Tick readmits ejected hosts whose time is over and forgets old foreign
// counts and hosts that have left. It reports whether the usable hosts changed.
func (s *HostSet) Tick(now time.Duration) bool {
	s.forget()
	s.comparePaces()
	changed := false
	for _, h := range s.hosts {
		if h.ejected && now >= h.ejectedUntil {
			// One more failure ejects it again, for twice as long.
			h.ejected = false
			h.fails = [2]int{failLimit - 1, failLimit - 1}
			changed = true
		}
	}
	for from, f := range s.foreign {
		if now-f.at > foreignFor {
			delete(s.foreign, from)
			s.sumForeign()
			changed = true
		}
	}
	return changed
}

// comparePaces compares the time that requests take on the usable hosts. Hosts
// of one group get the same mix of kinds.
func (s *HostSet) comparePaces() {
	s.paces = s.paces[:0]
	for _, h := range s.hosts {
		if h.Usable() && h.answered >= estimateWeight {
			s.paces = append(s.paces, h.TimeInSlot(0))
		}
	}
	if len(s.paces) == 0 {
		return
	}
	slices.Sort(s.paces)
	median := s.paces[(len(s.paces)-1)/2]
	for _, h := range s.hosts {
		h.pace = 1
		if t := h.TimeInSlot(0); h.answered >= estimateWeight && float64(t) > slowPace*float64(median) {
			h.pace = float64(median) / float64(t)
		}
	}
}

// SetForeignCounts takes the counts of flows that another instance holds on the hosts.
func (s *HostSet) SetForeignCounts(now time.Duration, from snapshot.InstanceID, counts []message.HostCount) {
	if len(counts) == 0 {
		delete(s.foreign, from)
	} else {
		s.foreign[from] = foreignCounts{now, slices.Clone(counts)}
	}
	s.sumForeign()
}

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

// Capacity returns the capacity of the usable hosts and what is free of it.
func (s *HostSet) Capacity(o snapshot.Occupancy) (capacity, free int) {
	for _, h := range s.hosts {
		if !h.Usable() {
			continue
		}
		if o == snapshot.OccupiesSlot {
			capacity += h.places()
			free += max(0, h.places()-h.TotalInProgress())
		} else {
			capacity += h.Host.ConnectionLimit
			free += max(0, h.Host.ConnectionLimit-h.TotalConnections())
		}
	}
	return capacity, free
}

// Slots returns the slots of the usable hosts.
func (s *HostSet) Slots() int {
	n := 0
	for _, h := range s.hosts {
		if h.Usable() {
			n += h.slots()
		}
	}
	return n
}

// Choose returns the least loaded usable host with room for a flow, or nil.
// Load counts the new flow too, so that an idle cold host does not look like
// an idle warm one. preferred wins ties and, for a slot kind, when it has a
// slot free within its weight.
func (s *HostSet) Choose(now time.Duration, o snapshot.Occupancy, preferred snapshot.HostID) *Host {
	var best, wanted *Host
	var least, wantedLoad float64
	for _, h := range s.hosts {
		if !h.Usable() || !h.hasRoom(o) {
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
			wanted, wantedLoad = h, load
		}
		if best == nil || load < least {
			best, least = h, load
		}
	}
	if wanted != nil && wantedLoad <= least*(1+tieSlack) {
		return wanted
	}
	return best
}

func (h *Host) hasRoom(o snapshot.Occupancy) bool {
	if h.TotalConnections() >= h.Host.ConnectionLimit {
		return false
	}
	return o != snapshot.OccupiesSlot || h.TotalInProgress() < h.places()
}
