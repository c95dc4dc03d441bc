package edge

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/fleet"
	wire "egrettack.example/wire/fleet"
)

const (
	// smallFleet is the number of members up to which all are asked for the openings of
	// flows, and smallDomain the number of instances of a domain up to which those of other
	// domains are, as many as in a small fleet. A domain with few instances may be left
	// without one, and its flows go to others.
	smallFleet  = 16
	smallDomain = 3
	// leavingTime is how long a member that has announced its stop may still get packets.
	leavingTime = 5 * time.Second
	// startedTime is the time within which all members learn of one that starts, by gossip.
	startedTime = 20 * time.Second
	// memberLists is the number of times that an instance has the members listed when it
	// starts: those that start with it know few at first. memberListTime is the time after
	// which it no longer asks at each tick, and memberListWait that for which it waits for
	// the first list to get ready.
	memberLists    = 3
	memberListTime = 3 * time.Second
	memberListWait = 50 * time.Millisecond
	// memberListInterval is the interval at which peers are asked for the members afterwards.
	memberListInterval = 5 * time.Second
	// maxListedMembers is the number of members in one message.
	maxListedMembers = 60
	// maxListedLeaving is the number of members that are leaving in one message.
	maxListedLeaving = 16
	// maxJoins is the number of times that an instance announces its start, since datagrams
	// may be lost.
	maxJoins = 2
	// stopMessages is the number of times that an instance announces the end of its stop.
	stopMessages = 2
)

// memberEvents are the recent starts and stops of members, which the membership view does
// not show yet, or no longer. It is guarded by the mutex of the instance.
type memberEvents struct {
	leaving map[netip.Addr]memberEvent // members that have announced their stop
	started map[netip.Addr]memberEvent // instances that were told of at a start

	startedAt time.Duration // of this instance
	asked     int           // requests for the members
	askedAt   time.Duration // time of the last
	lists     int           // of them that were answered
	joins     int           // times that the start was announced
	fleetSize int           // most members that a peer has told of within startedTime of the start
}

// memberEvent is the start or the stop of a member.
type memberEvent struct {
	at     time.Duration // when this instance was told
	domain string
	direct bool // told by the member itself
}

func newMemberEvents(now time.Duration) memberEvents {
	return memberEvents{startedAt: now, leaving: make(map[netip.Addr]memberEvent), started: make(map[netip.Addr]memberEvent)}
}

// expire forgets the events that the membership view shows by now.
func (e *memberEvents) expire(now time.Duration) {
	maps.DeleteFunc(e.leaving, func(_ netip.Addr, x memberEvent) bool { return now-x.at > leavingTime })
	maps.DeleteFunc(e.started, func(_ netip.Addr, x memberEvent) bool { return now-x.at > startedTime })
	if now-e.startedAt > startedTime {
		e.fleetSize = 0
	}
}

// flowPeers returns the instances that may have got packets of the same flows as this one.
// Members that have announced their stop still get packets for a while.
func (i *Instance) flowPeers(now time.Duration) []netip.Addr {
	return i.selectFlowPeers(now, true)
}

// flowMembers returns those of the flowPeers that the membership view shows and that go on.
func (i *Instance) flowMembers(now time.Duration) []netip.Addr {
	return i.selectFlowPeers(now, false)
}

// selectFlowPeers returns the instances that the routers may send the packets of a flow to:
// those of the own domain, and others if the fleet or the domain is small. An instance that
// starts was told of the members of its domain before gossip shows them.
func (i *Instance) selectFlowPeers(now time.Duration, withEvents bool) []netip.Addr {
	e := &i.memberEvents
	e.expire(now)
	var own, others []netip.Addr
	add := func(a netip.Addr, domain string) {
		if domain == i.settings.Domain {
			own = append(own, a)
		} else {
			others = append(others, a)
		}
	}
	i.peers.fleet.EachMember(func(m *fleet.Member) { add(m.Addr, m.Domain) })
	staying := len(own)
	for _, a := range sortedAddrs(e.started) {
		if i.peers.fleet.Knows(a) {
			continue
		}
		if _, leaving := e.leaving[a]; !leaving && e.started[a].domain == i.settings.Domain {
			staying++
		}
		if withEvents {
			add(a, e.started[a].domain)
		}
	}
	if withEvents {
		for _, a := range sortedAddrs(e.leaving) {
			if _, started := e.started[a]; !started && !i.peers.fleet.Knows(a) {
				add(a, e.leaving[a].domain)
			}
		}
	}
	if i.inSmallFleet() || staying < smallDomain {
		own = append(own, others[:min(len(others), smallFleet)]...)
	}
	return own
}

// inSmallFleet reports whether the members of all domains are asked for the openings of flows.
func (i *Instance) inSmallFleet() bool {
	return max(i.peers.fleet.Size(), i.memberEvents.fleetSize) <= smallFleet
}

func sortedAddrs(events map[netip.Addr]memberEvent) []netip.Addr {
	return slices.SortedFunc(maps.Keys(events), netip.Addr.Compare)
}

// requestMembers asks a peer for the members, often if this instance has just started, and
// regularly since gossip does not tell each member of all others in a large domain.
func (i *Instance) requestMembers(now time.Duration) {
	e := &i.memberEvents
	if (e.lists >= memberLists || now-e.startedAt > memberListTime) && now-e.askedAt < memberListInterval {
		return
	}
	peers := i.flowPeers(now)
	if len(peers) == 0 {
		return
	}
	// The first-ranked peers would be asked by all instances that start at once.
	to := peers[(i.ownNumber()+e.asked)%len(peers)]
	e.asked++
	e.askedAt = now
	i.sendToPeer(to, &wire.Message{Kind: wire.MembersWanted, Domain: i.settings.Domain})
}

// ownNumber returns a number by which instances differ.
func (i *Instance) ownNumber() int {
	own := i.settings.Packets.Addr().As4()
	return int(own[2])<<8 + int(own[3])
}

// handleMemberEvent handles a message about the start or the stop of a member. It does not
// make its sender a member, which may have announced its stop.
func (i *Instance) handleMemberEvent(now time.Duration, from netip.Addr, m *wire.Message) {
	switch m.Kind {
	case wire.MembersWanted:
		i.listMembers(now, fleet.Identity{Addr: from, Domain: m.Domain, Capacity: m.Capacity})
	case wire.MemberList:
		i.handleMemberList(now, from, m)
	case wire.Join:
		i.memberEvents.started[from] = memberEvent{now, m.Domain, true}
	case wire.Leave:
		i.peers.fleet.Remove(from)
		i.memberEvents.leaving[from] = memberEvent{now, m.Domain, true}
		i.updateSource(now)
	case wire.Stopped:
		i.peers.fleet.Remove(from)
		delete(i.memberEvents.leaving, from)
		delete(i.memberEvents.started, from)
	}
}

// listMembers tells an instance that has just started which members may get packets of the
// same flows.
func (i *Instance) listMembers(now time.Duration, to fleet.Identity) {
	i.memberEvents.started[to.Addr] = memberEvent{now, to.Domain, true}
	i.memberEvents.expire(now)
	small := i.inSmallFleet()
	list := make([]*fleet.Member, 0, maxListedMembers)
	i.peers.fleet.EachMember(func(m *fleet.Member) {
		if small || m.Domain == to.Domain {
			list = append(list, m)
		}
	})
	leaving := make([][4]byte, 0, len(i.memberEvents.leaving))
	for _, a := range sortedAddrs(i.memberEvents.leaving) {
		// What others told is not told on: it would never end.
		if x := i.memberEvents.leaving[a]; x.direct && (small || x.domain == to.Domain) {
			leaving = append(leaving, a.As4())
		}
	}
	for part := range slices.Chunk(list, maxListedMembers) {
		m := &wire.Message{Kind: wire.MemberList, Domain: i.settings.Domain, Leaving: leaving[:min(len(leaving), maxListedLeaving)]}
		m.FleetSize = uint16(min(max(i.peers.fleet.Size(), i.memberEvents.fleetSize), math.MaxUint16))
		if share, known := i.engine.DataFirst(); known {
			percent := uint8(share * 100)
			m.DataFirst = &percent
		}
		addMembers(now, m, part)
		i.sendToPeer(to.Addr, m)
	}
}

// handleMemberList learns members from the answer of a peer, and tells them that this
// instance has started.
func (i *Instance) handleMemberList(now time.Duration, from netip.Addr, m *wire.Message) {
	i.recordMembers(now, m)
	e := &i.memberEvents
	e.fleetSize = max(e.fleetSize, int(m.FleetSize))
	for _, x := range m.Members {
		if a := netip.AddrFrom4(x.Addr); a != i.settings.Packets.Addr() {
			e.started[a] = memberEvent{now, m.Domains[x.Domain], false}
		}
	}
	for _, a := range m.Leaving {
		addr := netip.AddrFrom4(a)
		if _, known := e.leaving[addr]; !known {
			e.leaving[addr] = memberEvent{now, i.settings.Domain, false} // of another domain in a small fleet only
		}
	}
	if m.DataFirst != nil && i.engine.LearnDataFirst(float64(*m.DataFirst)/100) {
		i.log.Info("flows that begin with data", "percent", *m.DataFirst, "peer", from)
	}
	if len(m.Members) > 0 {
		i.announceStart(now)
	}
	if m.Domain == i.settings.Domain || i.inSmallFleet() {
		e.lists++
	}
}

// announceStart tells the members that this instance has started, so that they ask it for
// the openings of flows.
func (i *Instance) announceStart(now time.Duration) {
	if i.memberEvents.joins == maxJoins {
		return
	}
	i.memberEvents.joins++
	i.sendToPeers(i.flowPeers(now), &wire.Message{Kind: wire.Join, Domain: i.settings.Domain})
}

// sendStopped tells the peers that this instance answers no more.
func (i *Instance) sendStopped(now time.Duration) {
	for range stopMessages {
		i.sendToPeers(i.flowPeers(now), &wire.Message{Kind: wire.Stopped, Domain: i.settings.Domain})
	}
}

// membersKnown reports whether the instance has got the members from a peer, or has waited
// long enough for them.
func (e *memberEvents) membersKnown(now time.Duration) bool {
	return e.lists > 0 || now-e.startedAt > memberListWait
}
