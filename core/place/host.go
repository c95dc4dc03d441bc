package place

import (
	"math"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	// startWeight is the fraction of its capacity with which a host begins slow
	// start.
	startWeight = 0.1
	// defaultWarmUp is the duration of slow start for hosts without a published
	// one.
	defaultWarmUp = 30 * time.Second

	// minLoadFactor is the lowest load factor, since a misleading report must
	// not take a host out of use.
	minLoadFactor = 0.25
	// loadHalfLife is the time in which the effect of a load report halves.
	loadHalfLife = 2 * time.Second
	// loadTolerance is how far the reported load may exceed the load by the
	// owner's count before it lowers the weight. Reports lag by about a second,
	// in which the few slots of a host fill and empty many times.
	loadTolerance = 0.5

	// failureLimit is the number of consecutive failed new flows that ejects a host.
	failureLimit = 3
	// ejectBase is the duration of a first ejection. Each further one without
	// progress in between lasts twice as long, up to ejectMax.
	ejectBase = 5 * time.Second
	ejectMax  = 5 * time.Minute
	// missedProbeLimit is the number of consecutive unanswered probes after
	// which a host counts as failed.
	missedProbeLimit = 3

	// estimateSamples is the number of requests over which the mean slot time is
	// averaged. With exponentially distributed times its error is about 6%.
	estimateSamples = 256
	// slowRatio is the ratio of a host's mean slot time to the group's median
	// above which its weight is lowered. It is well above the error of the
	// estimate.
	slowRatio = 1.3
)

// Failure is how a new flow failed.
type Failure uint8

// Failures. They are counted separately, since a host whose server process hangs
// still completes handshakes.
const (
	FailedHandshake Failure = iota // the handshake was not completed
	FailedData                     // data was not acknowledged
)

// Host is the state of one host as known to the group's owner.
type Host struct {
	*snapshot.Host
	Connections, InProgress int                      // open flows of this owner
	InUseByKind             [math.MaxUint8 + 1]int32 // open flows of this owner by kind

	foreignConns, foreignSlots int // held by other instances

	// Unlisted is set by the caller when the host is in no published list.
	Unlisted bool

	inGroup   bool          // in the group, not only kept for its open flows
	warmStart time.Duration // start of slow start
	warming   bool

	report           message.LoadReport
	reportedAt       time.Duration
	excessLoad       float64 // reported load minus the load by the owner's count
	missedProbes     int
	unusableSince    time.Duration // when reportedUnusable became true
	reportedUnusable bool
	removedByReport  bool // not usable because of reportedUnusable

	failures     [2]int // consecutive failed new flows, by Failure
	ejections    int
	ejected      bool
	ejectedUntil time.Duration
	LastProgress time.Duration // time of the last acknowledgement progress of any flow

	speedFactor float64 // below 1 on a host with slow requests

	meanSlotTime float64 // mean time in a slot, in ns
	samples      float64 // number of requests in meanSlotTime, at most estimateSamples

	releases releaseCount
}

func (h *Host) slots() int { return max(h.Slots, 1) }

// TotalInProgress returns the number of requests in progress, including those of
// other instances.
func (h *Host) TotalInProgress() int { return h.InProgress + h.foreignSlots }

// TotalConnections returns the number of open connections, including those of other
// instances.
func (h *Host) TotalConnections() int { return h.Connections + h.foreignConns }

// requestLimit returns the number of requests that the host accepts, including
// queued ones.
func (h *Host) requestLimit() int { return h.slots() + h.QueueLimit }

// UnusableReason returns why the host accepts no new flows, or "" if it does.
func (h *Host) UnusableReason() string {
	switch {
	case !h.inGroup:
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

// Usable reports whether the host accepts new flows.
func (h *Host) Usable() bool {
	return h.inGroup && h.State != snapshot.HostDraining && !h.removedByReport && !h.ejected
}

// slowStart returns the fraction of the host's capacity that is usable at time now.
func (h *Host) slowStart(now time.Duration) float64 {
	if !h.warming {
		return 1
	}
	warm := h.WarmUp
	if warm <= 0 {
		warm = defaultWarmUp
	}
	fraction := startWeight + (1-startWeight)*float64(now-h.warmStart)/float64(warm)
	if fraction >= 1 {
		h.warming = false
		return 1
	}
	return fraction
}

// loadFactor lowers the weight of a host with slow requests and of one that reports
// more load than this owner has placed on it, for example from other sources.
func (h *Host) loadFactor(now time.Duration) float64 {
	factor := h.speedFactor
	if h.excessLoad > loadTolerance {
		decay := math.Exp2(-float64(now-h.reportedAt) / float64(loadHalfLife))
		factor = min(factor, 1-h.excessLoad*decay)
	}
	return max(minLoadFactor, factor)
}

// Weight returns published capacity x slow start x load factor. The load factor
// applies to slots only: the load of the current second does not predict the load
// over the hours for which a feed stays open.
func (h *Host) Weight(now time.Duration, o snapshot.Occupancy) float64 {
	w := h.Capacity * h.slowStart(now)
	if o == snapshot.OccupiesSlot {
		w *= h.loadFactor(now)
	}
	return w
}

// AddFlow counts a new flow on the host.
func (h *Host) AddFlow(k snapshot.KindID, slot bool) {
	h.Connections++
	h.InUseByKind[k]++
	if slot {
		h.InProgress++
	}
}

// RemoveFlow removes an ended flow from the counts.
func (h *Host) RemoveFlow(k snapshot.KindID, slot bool) {
	h.Connections--
	h.InUseByKind[k]--
	if slot {
		h.InProgress--
	}
}

// RecordRequest adds a finished request to the mean slot time. It must be called
// before RemoveFlow. If n requests share the slots, each takes n/slots times as long
// as it would alone. Flows that end by idle time-out must not be recorded: their
// callers may have been gone for most of that time.
func (h *Host) RecordRequest(took time.Duration) {
	if n := h.TotalInProgress(); n > h.slots() {
		took = took * time.Duration(h.slots()) / time.Duration(n)
	}
	h.samples = min(h.samples+1, estimateSamples)
	h.meanSlotTime += (float64(took) - h.meanSlotTime) / h.samples
}

// TimeInSlot estimates the mean time that a request occupies a slot. The configured
// mean, expected, counts as one measured request; without measurements it is the
// result.
func (h *Host) TimeInSlot(expected time.Duration) time.Duration {
	return time.Duration((h.meanSlotTime*h.samples + float64(expected)) / (h.samples + 1))
}

// ExpectedWait estimates how long a new request would wait for a slot.
func (h *Host) ExpectedWait(expected time.Duration) time.Duration {
	ahead := h.TotalInProgress() - h.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return h.TimeInSlot(expected) * time.Duration(ahead) / time.Duration(h.slots())
}
