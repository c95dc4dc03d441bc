package place

import (
	"math"
	"time"
)

const (
	// reportMaxAge is the age up to which a load report can release slots.
	// Probes run once a second.
	reportMaxAge = 3 * time.Second
	// At most requestLimit slots of a host are released on its reports within
	// releaseWindow, so that a host that always reports too little load is not
	// overloaded.
	releaseWindow = time.Minute
)

// releaseCount counts the slots released on a host's reports since the start of
// the current window.
type releaseCount struct {
	start time.Duration
	slots int
}

// Overcounted reports whether the host reports fewer requests in progress than are
// counted on it. Only a report with a free slot is considered: on a full host,
// requests may be queued that the report does not show.
func (h *Host) Overcounted(now time.Duration) bool {
	if h.reportedAt == 0 || h.missedProbes > 0 || now-h.reportedAt > reportMaxAge || h.report.Load >= 1 {
		return false
	}
	if now-h.releases.start > releaseWindow {
		h.releases = releaseCount{start: now}
	}
	running := int(math.Ceil(h.report.Load*float64(h.slots()) - 1e-9))
	return h.InProgress > 0 && h.TotalInProgress() > running && h.releases.slots < h.requestLimit()
}

// RecordRelease records that a slot was released on the host's report.
func (h *Host) RecordRelease() { h.releases.slots++ }

// AnyOvercounted reports whether any host reports fewer requests in progress than
// are counted on it, as Overcounted does for one host.
func (s *HostSet) AnyOvercounted(now time.Duration) bool {
	for _, h := range s.hosts {
		if h.Overcounted(now) {
			return true
		}
	}
	return false
}
