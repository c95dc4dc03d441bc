package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/pacing"
	"egrettack.example/core/steer"
	"egrettack.example/core/uplink"
)

const (
	// maxLinkWait is the longest time from a caller's first SYN for which its flow waits for
	// room at the link. A caller that is refused tries again by way of another instance.
	maxLinkWait = 600 * time.Millisecond
	// linkRetryInterval is the interval at which waiting flows are decided on again while
	// packets arrive.
	linkRetryInterval = 2 * time.Millisecond
	// linkLinesPerSecond limits the log lines about flows that wait for the link.
	linkLinesPerSecond = 20
)

// uplinkState is the account of the instance's link and the SYNs that wait for room at it.
type uplinkState struct {
	account *uplink.Account
	queue   *pacing.Waiting[steer.Key, *linkWaiter] // by route
	waiters map[steer.Key]*linkWaiter
	retryAt time.Duration // not before this time
	// held are the destinations of flows that waited for servers and have room there, but not at
	// the link, since placeWaiting ran last.
	held map[netip.AddrPort]bool
}

// linkWaiter is a SYN that waits, by its last copy.
type linkWaiter struct {
	heldPacket
	since      time.Duration
	route      *catalog.Route
	validUntil time.Duration // when the next copy is due
	overdue    bool          // it is not counted as waiting until the next copy comes
}

func newUplinkState(rate float64) uplinkState {
	return uplinkState{
		account: uplink.New(rate, nil), queue: pacing.NewWaiting[steer.Key, *linkWaiter](),
		waiters: make(map[steer.Key]*linkWaiter), held: make(map[netip.AddrPort]bool),
	}
}

// waitsForLink reports whether a packet is a SYN whose flow has to wait for room at the
// link. Further copies of it replace it.
func (i *Instance) waitsForLink(now time.Duration, data []byte, p *steer.Packet) bool {
	if !p.SYN || p.ValidFor() <= 0 {
		return false
	}
	u := &i.uplink
	if w := u.waiters[p.Key()]; w != nil && w.packet.Seq == p.Seq {
		i.renewLinkWait(now, w, data, p)
		return true
	} else if w != nil { // the caller has used its port again
		u.queue.Remove(p.Key())
		i.dropLinkWaiting(now, w)
	}
	route := i.catalog.Route(p.Dest)
	if route == nil || i.engine.HasFlow(p) {
		return false
	}
	d := u.account.Admit(now, route, false)
	if d.Admitted || !i.engine.HasServers(route) {
		return false
	}
	w := &linkWaiter{
		heldPacket: heldPacket{now, append([]byte(nil), data...), *p}, since: now, route: route, validUntil: now + p.ValidFor(),
	}
	i.yieldLinkPlace(now, i.linkShareOf(w))
	if !u.queue.Add(now, route.Dest.String(), p.Key(), now+p.ValidFor(), i.linkFlow(now, w)) {
		i.refuseForLink(now, w)
		return true
	}
	u.waiters[p.Key()] = w
	u.account.AddWaiting(route, 1)
	i.metrics.linkWaits.WithLabelValues(kindName(route.Kind)).Inc()
	i.logLinkWait(now, p, route, &d)
	i.refuseLinkWaiting(now)
	if now >= u.retryAt {
		i.placeLinkWaiting(now)
	}
	return true
}

// renewLinkWait notes a further copy of a SYN that waits.
func (i *Instance) renewLinkWait(now time.Duration, w *linkWaiter, data []byte, p *steer.Packet) {
	w.heldPacket, w.validUntil = heldPacket{now, append(w.data[:0], data...), *p}, now+p.ValidFor()
	i.uplink.queue.Renew(p.Key(), w.validUntil)
	if w.overdue {
		w.overdue = false
		i.uplink.account.AddWaiting(w.route, 1)
	}
}

func (i *Instance) linkFlow(now time.Duration, w *linkWaiter) pacing.Flow[*linkWaiter] {
	f := pacing.Flow[*linkWaiter]{
		Value: w, Priority: w.route.Priority, Opened: now - w.packet.SinceFirstSYN(), Target: defaultTarget, Patience: maxLinkWait,
		Share: i.linkShareOf(w),
	}
	if w.route.TargetLatency > 0 {
		f.Target = w.route.TargetLatency
	}
	if w.route.Timeout > 0 {
		f.Patience = min(f.Patience, w.route.Timeout)
	}
	return f
}

// endLinkWait removes a flow that waited from the account.
func (i *Instance) endLinkWait(w *linkWaiter) {
	delete(i.uplink.waiters, w.packet.Key())
	if !w.overdue {
		i.uplink.account.AddWaiting(w.route, -1)
	}
}

// observeLink notes a packet of an open flow that was sent on, and decides again on the
// flows that wait.
func (i *Instance) observeLink(now time.Duration, p *steer.Packet, answered bool) {
	ended := i.uplink.account.Observe(now, p, answered)
	if !ended && now < i.uplink.retryAt {
		return
	}
	if len(i.uplink.held) > 0 { // before those that have not been admitted once
		i.uplink.retryAt = now + linkRetryInterval
		i.placeWaiting(now)
	}
	if len(i.uplink.waiters) > 0 {
		i.placeLinkWaiting(now)
	}
}

// mayUseLink reports whether a flow that waits for servers, and has room there, has room at the
// link too.
func (i *Instance) mayUseLink(now time.Duration, h heldPacket) bool {
	if i.uplink.held[h.packet.Dest] {
		return false
	}
	route := i.catalog.Route(h.packet.Dest)
	if route == nil || !i.engine.HasServers(route) {
		return true // to be refused
	}
	d := i.uplink.account.Admit(now, route, true)
	if !d.Admitted {
		i.uplink.held[h.packet.Dest] = true
		i.logLinkWait(now, &h.packet, route, &d)
	}
	return d.Admitted
}

// placeLinkWaiting sends on the SYNs that wait for the link, as far as it has room, and
// drops those whose next copy has not come.
func (i *Instance) placeLinkWaiting(now time.Duration) {
	u := &i.uplink
	u.retryAt = now + linkRetryInterval
	for _, w := range u.queue.Lapse(now) {
		i.dropLinkWaiting(now, w)
	}
	routes := make(map[string]*catalog.Route) // without those that were removed
	for _, w := range u.waiters {
		if r := i.catalog.Route(w.packet.Dest); r != nil {
			w.route = r
			routes[r.Dest.String()] = r
		}
		if !w.overdue && now >= w.validUntil {
			w.overdue = true
			u.account.AddWaiting(w.route, -1)
		}
	}
	hasRoom := func(name string) bool {
		r := routes[name]
		return r == nil || u.account.Admit(now, r, true).Admitted || !i.engine.HasServers(r)
	}
	u.queue.Place(now, hasRoom, func(_ string, w *linkWaiter) {
		i.endLinkWait(w)
		// The wait counts as time since the arrival of the copy.
		w.packet.Age += now - w.receivedAt
		v := i.engine.Decide(now, &w.packet)
		i.execute(now, now-w.since, v, &w.packet, w.data, make([]byte, 0, readBuffer))
	})
}

// dropLinkWaiting drops a SYN without an answer whose caller may have gone on elsewhere.
func (i *Instance) dropLinkWaiting(now time.Duration, w *linkWaiter) {
	i.endLinkWait(w)
	v := steer.Verdict{Action: steer.Drop, Reason: steer.NotRepeated}
	i.execute(now, now-w.since, v, &w.packet, w.data, nil)
}

// refuseLinkWaiting refuses the flows that would wait for too long.
func (i *Instance) refuseLinkWaiting(now time.Duration) {
	for _, w := range i.uplink.queue.Refuse(now) {
		i.endLinkWait(w)
		i.refuseForLink(now, w)
	}
}

func (i *Instance) refuseForLink(now time.Duration, w *linkWaiter) {
	v := i.engine.RefuseQueued(&w.packet)
	if v.Action == steer.Reset {
		v.Reason = steer.NoLinkRoom
		i.metrics.linkRefusals.WithLabelValues(kindName(w.route.Kind)).Inc()
	}
	i.execute(now, now-w.since, v, &w.packet, w.data, make([]byte, 0, readBuffer))
}

// tickLink is the housekeeping of the link.
func (i *Instance) tickLink(now time.Duration) {
	before := i.uplink.account.Status(now).Rate
	i.uplink.account.Tick(now)
	if s := i.uplink.account.Status(now); s.Rate != before {
		i.log.Info("rate of the link corrected", "from_bytes_per_second", before, "to_bytes_per_second", s.Rate,
			"sent_bytes_per_second", s.BytesPerSecond, "queue", s.Queue, "flows", s.Flows)
	}
	if len(i.uplink.waiters) > 0 {
		i.placeLinkWaiting(now)
		i.refuseLinkWaiting(now)
	}
}

// logLinkWait logs the decision to let a flow wait, with its inputs.
func (i *Instance) logLinkWait(now time.Duration, p *steer.Packet, r *catalog.Route, d *uplink.Decision) {
	ok, suppressed := i.linkLogLimiter.Allow(now)
	if !ok {
		return
	}
	i.log.LogAttrs(context.Background(), slog.LevelInfo, "flow waits for the link",
		slog.String("caller", p.Caller.String()), slog.String("route", r.Name), slog.String("dest", p.Dest.String()),
		slog.Int("copy", p.Retransmits), slog.Int("priority", r.Priority),
		slog.Float64("rate", d.Rate), slog.Duration("queue", d.Queue), slog.Int("flows", d.Flows),
		slog.Float64("bytes_in_use", d.InUse), slog.Float64("bytes_of_route", d.OfKind), slog.Float64("bytes_needed", d.Needed),
		slog.Float64("share", d.Share), slog.Int("waiting", len(i.uplink.waiters)),
		slog.Uint64("version", uint64(i.catalog.Version())), slog.Uint64("suppressed", suppressed))
}

// kindNames are the values of the label kind.
var kindNames = [...]string{catalog.Safe: "safe", catalog.Unsafe: "unsafe", catalog.Upload: "upload", catalog.Download: "download"}

// kindName returns the value of the label kind. A newer instance may tell of other kinds.
func kindName(k catalog.Kind) string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// noteSent notes a packet that was sent to a server in the account of the link.
func (i *Instance) noteSent(now time.Duration, bytes int, p *steer.Packet) {
	i.metrics.linkBytes.Add(float64(bytes))
	i.uplink.account.Sent(now, bytes)
	if !p.SYN {
		return
	}
	if r := i.catalog.Route(p.Dest); r != nil {
		i.uplink.account.Opened(now, p, r)
	}
}
