package place

import (
	"math"
	"time"
)

const (
	// reportFresh is the age up to which a report can release slots. Probes
	// run once a second.
	reportFresh = 3 * time.Second
	// releaseWindow and the host's places bound what reports release, since a
	// host that always tells too little must not be flooded.
	releaseWindow = time.Minute
)

// release counts the slots released on the host's report in the present window.
type release struct {
	since time.Duration
	slots int
}

// Overcounted reports whether the host tells of fewer requests in progress than are
// counted on it. Only a report with a free slot counts: without one, requests
// may be waiting that the report does not show.
func (h *Host) Overcounted(now time.Duration) bool {
	if h.reportedAt == 0 || h.missed > 0 || now-h.reportedAt > reportFresh || h.report.Load >= 1 {
		return false
	}
	if now-h.released.since > releaseWindow {
		h.released = release{since: now}
	}
	running := int(math.Ceil(h.report.Load*float64(h.slots()) - 1e-9))
	return h.InProgress > 0 && h.TotalInProgress() > running && h.released.slots < h.places()
}

// RecordRelease notes that a slot was released on the host's report.
func (h *Host) RecordRelease() { h.released.slots++ }

// AnyOvercounted reports whether any host denies requests that are counted on it.
func (s *HostSet) AnyOvercounted(now time.Duration) bool {
	for _, h := range s.hosts {
		if h.Overcounted(now) {
			return true
		}
	}
	return false
}
