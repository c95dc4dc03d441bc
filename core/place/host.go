package place

import (
	"math"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// startWeight is the part of its capacity that a cold host begins with.
	startWeight   = 0.1
	defaultWarmUp = 30 * time.Second

	// minLoadFactor is the least that load reports can lower a weight to,
	// since a misleading report must not take a host out of use.
	minLoadFactor = 0.25
	// loadTrust is the age at which a load report has lost half its effect.
	loadTrust = 2 * time.Second
	// loadSlack is by how much a report may exceed the owner's own count
	// before it lowers the weight. Reports lag by about a second, in which
	// the few slots of a host fill and empty many times.
	loadSlack = 0.5

	// failLimit is the number of consecutive failed new flows that ejects a host.
	failLimit   = 3
	ejectBase   = 5 * time.Second
	ejectMax    = 5 * time.Minute
	probeMisses = 3 // unanswered probes after which a host counts as failed

	// estimateWeight is the number of requests that the estimate of the time
	// in a slot remembers. With exponential times its error is about 6%.
	estimateWeight = 256
	// slowPace is how many times longer than the group's median requests must
	// take on a host to lower its weight, well above the error of the estimate.
	slowPace = 1.3
)

// Failure is the way in which a new flow failed.
type Failure uint8

// Failures. They are counted apart, since a host whose program hangs still
// completes handshakes.
const (
	FailedHandshake Failure = iota
	FailedData
)

// Host is the owner's knowledge of one host.
type Host struct {
	*snapshot.Host
	Connections, InProgress int // open flows of this owner
	InUseByKind             [math.MaxUint8 + 1]int32

	foreignConns, foreignSlots int // held by other instances

	// Unlisted is set by the user when the host has left all lists.
	Unlisted bool

	listed    bool          // still in the group
	warmStart time.Duration // when slow start began
	warming   bool

	report          message.LoadReport
	reportedAt      time.Duration
	excess          float64 // reported load beyond the owner's own count
	missed          int
	unfitSince      time.Duration // since when its own report is against it
	reportsUnfit    bool
	removedByReport bool // taken out by its own report

	fails        [2]int // consecutive failed new flows, by Failure
	ejections    int
	ejected      bool
	ejectedUntil time.Duration
	LastProgress time.Duration // last acknowledgement progress of any flow

	pace float64 // below 1 when requests take longer than elsewhere

	meanSlot float64 // mean time in a slot, ns
	answered float64 // requests in that mean, at most estimateWeight

	released release
}

func (h *Host) slots() int { return max(h.Slots, 1) }

// TotalInProgress returns the requests in progress, those of other instances included.
func (h *Host) TotalInProgress() int { return h.InProgress + h.foreignSlots }

// TotalConnections returns the open connections, those of other instances included.
func (h *Host) TotalConnections() int { return h.Connections + h.foreignConns }

func (h *Host) places() int { return h.slots() + h.QueueLimit }

// UnusableReason returns why the host takes no new flows, or "" when it does.
func (h *Host) UnusableReason() string {
	switch {
	case !h.listed:
		return "not in the group"
	case h.State == snapshot.HostDraining:
		return "draining"
	case h.removedByReport && h.report.Draining:
		return "draining by its own report"
	case h.removedByReport:
		return "health probe failed"
	case h.ejected:
		return "ejected"
	}
	return ""
}

// Usable reports whether the host takes new flows.
func (h *Host) Usable() bool {
	return h.listed && h.State != snapshot.HostDraining && !h.removedByReport && !h.ejected
}

// slowStart returns the part of its capacity that a host may use now.
func (h *Host) slowStart(now time.Duration) float64 {
	if !h.warming {
		return 1
	}
	warm := h.WarmUp
	if warm <= 0 {
		warm = defaultWarmUp
	}
	part := startWeight + (1-startWeight)*float64(now-h.warmStart)/float64(warm)
	if part >= 1 {
		h.warming = false
		return 1
	}
	return part
}

// loadFactor lowers the weight of a host whose requests take longer than those
// of the others, and of one that reports more load than this owner gives it,
// such as work that comes by other ways.
func (h *Host) loadFactor(now time.Duration) float64 {
	factor := h.pace
	if h.excess > loadSlack {
		trust := math.Exp2(-float64(now-h.reportedAt) / float64(loadTrust))
		factor = min(factor, 1-h.excess*trust)
	}
	return max(minLoadFactor, factor)
}

// Weight is the published capacity x slow start x load factor. The load factor
// applies to slots only: a load report of this second says nothing of the
// hours that a feed stays open.
func (h *Host) Weight(now time.Duration, o snapshot.Occupancy) float64 {
	w := h.Capacity * h.slowStart(now)
	if o == snapshot.OccupiesSlot {
		w *= h.loadFactor(now)
	}
	return w
}

// AddFlow counts a new flow.
func (h *Host) AddFlow(k snapshot.KindID, slot bool) {
	h.Connections++
	h.InUseByKind[k]++
	if slot {
		h.InProgress++
	}
}

// RemoveFlow counts the end of a flow.
func (h *Host) RemoveFlow(k snapshot.KindID, slot bool) {
	h.Connections--
	h.InUseByKind[k]--
	if slot {
		h.InProgress--
	}
}

// RecordRequest learns from a request that has come to its end, before End, how
// long requests take of a slot. While n requests share the slots, each takes
// n/slots times as long as alone. Flows that end by idle time are left out:
// their callers may have been gone for most of it.
func (h *Host) RecordRequest(took time.Duration) {
	if n := h.TotalInProgress(); n > h.slots() {
		took = took * time.Duration(h.slots()) / time.Duration(n)
	}
	h.answered = min(h.answered+1, estimateWeight)
	h.meanSlot += (float64(took) - h.meanSlot) / h.answered
}

// TimeInSlot estimates the mean time that a request takes of a slot. expected
// counts like one request, so that a host starts from the configured value.
func (h *Host) TimeInSlot(expected time.Duration) time.Duration {
	return time.Duration((h.meanSlot*h.answered + float64(expected)) / (h.answered + 1))
}

// ExpectedWait estimates how long a new request waits for a slot.
func (h *Host) ExpectedWait(expected time.Duration) time.Duration {
	ahead := h.TotalInProgress() - h.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return h.TimeInSlot(expected) * time.Duration(ahead) / time.Duration(h.slots())
}
