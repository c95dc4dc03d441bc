package edge

import (
	"net/netip"
	"time"

	"egrettack.example/core/fleet"
	"egrettack.example/core/pacing"
	"egrettack.example/core/steer"
)

// defaultTarget is the time within which callers want a response on routes that do not
// tell.
const defaultTarget = 300 * time.Millisecond

// domainKnownAfter is the time without another instance of the own domain after which
// all of them are taken to be known, when all of the fleet has started at once. New
// members gossip at intervals of 100 ms at first.
const domainKnownAfter = 300 * time.Millisecond

// domain is what the instance knows of the size of its domain.
type domain struct {
	size      int
	changedAt time.Duration
	known     bool // all instances of the domain have been known once
}

// updateInstances tells the engine how many instances share the servers of the domain.
func (i *Instance) updateInstances(now time.Duration) {
	d := &i.domain
	if size := i.peers.fleet.DomainSize(); size != d.size {
		d.size, d.changedAt = size, now
	}
	d.known = d.known || now-d.changedAt > domainKnownAfter
	i.engine.SetInstances(d.size, d.known)
	if i.catalog.HasWarmUpLimits() {
		i.engine.SetDomainMembers(i.domainMembers())
	}
}

// domainMembers returns the known instances of the own domain, this one included.
func (i *Instance) domainMembers() []netip.Addr {
	list := []netip.Addr{i.settings.Packets.Addr()}
	i.peers.fleet.EachMember(func(m *fleet.Member) {
		if m.Domain == i.settings.Domain {
			list = append(list, m.Addr)
		}
	})
	return list
}

// isWaiting reports whether a packet is a copy of a SYN that waits for room.
func (i *Instance) isWaiting(now time.Duration, p *steer.Packet) bool {
	return p.SYN && p.ValidFor() > 0 && i.waiting.Renew(p.Key(), now+p.ValidFor())
}

// queueFlow lets a SYN wait until the servers of a service have room. waited is the time for
// which it has waited here before, for the link or for a catalog. It reports
// false if too many wait already, of its kind or in all.
func (i *Instance) queueFlow(now, waited time.Duration, service string, data []byte, p *steer.Packet) bool {
	f := pacing.Flow[heldPacket]{
		Value:  heldPacket{now, append([]byte(nil), data...), *p},
		Opened: now - max(p.SinceFirstSYN(), waited),
		Target: defaultTarget, Patience: steer.SYNPatience, Share: i.engine.ShareOf(p.Dest),
	}
	if r := i.catalog.Route(p.Dest); r != nil {
		f.Priority = r.Priority
		if r.TargetLatency > 0 {
			f.Target = r.TargetLatency
		}
		if r.Timeout > 0 {
			f.Patience = min(f.Patience, r.Timeout)
		}
	}
	i.yieldPlace(now, f.Share)
	return i.waiting.Add(now, service, p.Key(), now+p.ValidFor(), f)
}

// refuseToQueue turns a verdict that lets a SYN wait into a refusal if it may not.
func (i *Instance) refuseToQueue(v *steer.Verdict, p *steer.Packet) {
	switch i.waiting.Limit(i.engine.ShareOf(p.Dest)) {
	case pacing.QueueLimit:
		v.Action, v.Reason = steer.Reset, steer.QueueFull
	case pacing.ShareLimit:
		v.Action, v.Reason = steer.Reset, steer.ShareCeiling
	}
}

// placeWaiting places flows that wait, as far as there is room. Those that may have
// been opened by way of another instance are dropped without an answer.
func (i *Instance) placeWaiting(now time.Duration) {
	for _, h := range i.waiting.Lapse(now) {
		v := steer.Verdict{Action: steer.Drop, Reason: steer.NotRepeated}
		i.execute(now, now-h.receivedAt, v, &h.packet, h.data, nil)
	}
	clear(i.uplink.held)
	rankRoom := func(service string) func(int) pacing.Rank { return i.engine.RankRoom(now, service) }
	i.waiting.PlaceRanked(now, rankRoom, func(placed pacing.Placed[heldPacket]) {
		h := placed.Value
		v := i.engine.DecideQueued(now, &h.packet, placed.Service)
		i.execute(now, now-h.receivedAt, v, &h.packet, h.data, make([]byte, 0, readBuffer))
		if v.Action == steer.Queue {
			i.waiting.Renew(h.packet.Key(), placed.ValidUntil) // counted from its arrival
		}
	})
}

// refuseWaiting refuses the flows that cannot be placed in time.
func (i *Instance) refuseWaiting(now time.Duration) {
	for _, h := range i.waiting.Refuse(now) {
		v := i.engine.RefuseQueued(&h.packet)
		i.execute(now, now-h.receivedAt, v, &h.packet, h.data, make([]byte, 0, readBuffer))
	}
}
