package edge

import (
	"log/slog"
	"time"

	"egrettack.example/core/steer"
)

// maxHedges limits the flows that wait until a second SYN is due.
const maxHedges = 256

// hedges has the SYNs of flows that get a second one unless they open before.
type hedges struct {
	waiting []hedge
	timer   *time.Timer   // for the flow that is due first, nil if none is running
	firesAt time.Duration // of the timer
}

type hedge struct {
	dueAt        time.Duration
	arrivedAfter time.Duration // see handlePacket
	placedAt     time.Duration
	data         []byte
	packet       steer.Packet
}

// scheduleHedge keeps a copy of a SYN that was placed for as long as a second one may become
// due. The caller holds mu.
func (i *Instance) scheduleHedge(now, arrivedAfter time.Duration, v steer.Verdict, p *steer.Packet, data []byte) {
	at, ok := i.engine.HedgeAt(now, p, &v)
	if !ok || i.state.stopping {
		return
	}
	if len(i.hedges.waiting) >= maxHedges {
		i.metrics.hedges.WithLabelValues("buffer_full").Inc()
		return
	}
	i.hedges.waiting = append(i.hedges.waiting, hedge{at, arrivedAfter, now, append([]byte(nil), data...), *p})
	if at <= now {
		i.sendHedges(now)
	}
	i.armHedges(now)
}

// armHedges starts a timer for the flow that is due first, unless one is running that fires
// no later. The caller holds mu.
func (i *Instance) armHedges(now time.Duration) {
	h := &i.hedges
	if len(h.waiting) == 0 {
		return
	}
	first := h.waiting[0].dueAt
	for _, x := range h.waiting {
		first = min(first, x.dueAt)
	}
	if h.timer != nil {
		if h.firesAt <= first {
			return
		}
		h.timer.Stop()
	}
	h.firesAt = first
	h.timer = time.AfterFunc(max(first-now, 0), func() { i.contain("hedges", i.hedgeDue) })
}

// hedgeDue handles the flows that are due when the timer fires.
func (i *Instance) hedgeDue() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hedges.timer = nil
	now := i.adjustedTime()
	i.sendHedges(now)
	i.armHedges(now)
}

// sendHedges sends the second SYNs that are due and allowed. The caller holds mu.
func (i *Instance) sendHedges(now time.Duration) {
	if i.state.stopping {
		i.hedges.waiting = nil
		return
	}
	out := make([]byte, 0, readBuffer)
	waiting := i.hedges.waiting
	i.hedges.waiting = nil
	for _, h := range waiting {
		if h.dueAt > now {
			i.hedges.waiting = append(i.hedges.waiting, h)
			continue
		}
		h.packet.Age = now - h.arrivedAfter
		v, outcome := i.engine.DecideHedge(now, &h.packet)
		i.metrics.hedges.WithLabelValues(outcome.String()).Inc()
		switch outcome {
		case steer.HedgeNotNeeded:
		case steer.HedgeSent:
			i.execute(now, now-h.placedAt, v, &h.packet, h.data, out)
		default:
			i.logWithheld(now, outcome, &h)
		}
	}
}

// logWithheld logs a flow that was due for a second SYN and did not get one.
func (i *Instance) logWithheld(now time.Duration, outcome steer.HedgeOutcome, h *hedge) {
	if ok, suppressed := i.packetLogLimiter.Allow(now); ok {
		i.log.Info("second SYN withheld", "caller", h.packet.Caller, "dest", h.packet.Dest, "reason", outcome.String(),
			"waited", now-h.placedAt, slog.Float64("max_share", i.settings.Hedging.MaxShare), "suppressed", suppressed)
	}
}
