package edge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/fleet"
	"egrettack.example/core/steer"
	"egrettack.example/core/token"
	wire "egrettack.example/wire/fleet"
)

const (
	// contestReplyTime is how long the first packet of a contested flow waits for the
	// answers of peers. They take a few milliseconds, between domains included.
	contestReplyTime = 30 * time.Millisecond
	// questionRepeatTime is the time after which peers that have not answered are asked once
	// more, since datagrams may be lost.
	questionRepeatTime = 12 * time.Millisecond
	// maxQuestionTime is the time after which waiting packets are dropped instead: callers
	// have sent them again.
	maxQuestionTime = 250 * time.Millisecond
	// maxQuestions and maxQuestionPackets limit the contested flows that are asked about
	// at the same time, and the packets of each that wait.
	maxQuestions       = 256
	maxQuestionPackets = 16
	// smallFleet is the number of members up to which all are told of contested flows, and
	// smallDomain the number of instances of a domain up to which those of other domains are,
	// as many as in a small fleet. A domain with few instances may be left without one, and
	// its flows go to others.
	smallFleet  = 16
	smallDomain = 3
	// contestSendTime bounds the messages about contested flows: news wait for this time
	// for each peer since the last ones.
	contestSendTime = 300 * time.Microsecond
	// leavingTime is how long a member that has announced its stop may still get packets.
	leavingTime = 5 * time.Second
	// startedTime is the time within which all members learn of one that starts, by gossip.
	startedTime = 20 * time.Second
	// contestLists is the number of times that an instance has its peers list all contested
	// flows when it starts, contestListTime the time from the start after which it no longer
	// asks, and contestWait that for which it waits for the first list to get ready.
	contestLists    = 3
	contestListTime = 3 * time.Second
	contestWait     = 50 * time.Millisecond
	// maxListedMembers is the number of members in one message.
	maxListedMembers = 60
	// maxJoins is the number of times that an instance announces its start, since datagrams
	// may be lost.
	maxJoins = 2
	// handOverInterval is the interval at which a stopping instance tells its peers of the
	// contested flows until one has taken them.
	handOverInterval = 200 * time.Millisecond
	// questionRepeatInterval is the interval at which peers that have not answered are told
	// again, and maxUnanswered the number of flows for each.
	questionRepeatInterval = time.Second
	maxUnanswered          = wire.MaxContests
	// maxContestRepeats limits the contested flows that are to be told again.
	maxContestRepeats = 512
	// contestRepeatTime is the time after which contested flows are told again, since
	// datagrams may be lost.
	contestRepeatTime = 100 * time.Millisecond
)

// contests exchanges what is known of contested flows with the peers that may get their
// packets. It is guarded by the mutex of the instance.
type contests struct {
	questions map[steer.Key]*question
	sentAt    time.Duration // last news
	planned   bool          // news wait to be sent
	repeats   []contestRepeat
	leaving   map[netip.Addr]time.Duration // members that have announced their stop, and when
	started   map[netip.Addr]time.Duration // instances that were told of at a start, and when

	startedAt    time.Duration // of the instance
	asked, lists int           // requests for all contested flows, and answers
	joins        int           // times that the start was announced

	handedOverAt time.Duration // last time that a stopping instance told its peers, 0 before
	handedOver   bool          // a peer that goes on has the contested flows

	unanswered   map[netip.Addr][]steer.Key // questions that peers have not answered
	askedAgainAt time.Duration
}

// question is a contested flow that the peers have been asked about.
type question struct {
	askedAt time.Duration
	peers   []netip.Addr // that have not answered
	packets []heldPacket // of the flow, in order of arrival
	server  token.Token  // that the peers were told
}

// contestRepeat is a contested flow that was told to the peers.
type contestRepeat struct {
	key    steer.Key
	toldAt time.Duration
}

func newContests(now time.Duration) contests {
	return contests{
		startedAt: now, questions: make(map[steer.Key]*question), leaving: make(map[netip.Addr]time.Duration),
		unanswered: make(map[netip.Addr][]steer.Key), started: make(map[netip.Addr]time.Duration),
	}
}

// flowPeers returns the instances that the routers may send the packets of a flow to: those
// of the own domain, and others if the fleet or the domain is small. Members that have
// announced their stop still get packets for a while.
func (i *Instance) flowPeers(now time.Duration) []netip.Addr {
	var peers, others []netip.Addr
	i.peers.fleet.EachMember(func(m *fleet.Member) {
		if m.Domain == i.settings.Domain {
			peers = append(peers, m.Addr)
		} else {
			others = append(others, m.Addr)
		}
	})
	if i.peers.fleet.Size() <= smallFleet || len(peers) < smallDomain {
		peers = append(peers, others[:min(len(others), smallFleet)]...)
	}
	peers = addRecent(peers, now, i.contests.leaving, leavingTime)
	return addRecent(peers, now, i.contests.started, startedTime)
}

// addRecent adds the addresses of recent events to a list, and forgets the others.
func addRecent(list []netip.Addr, now time.Duration, events map[netip.Addr]time.Duration, recent time.Duration) []netip.Addr {
	for a, at := range events {
		switch {
		case now-at > recent:
			delete(events, a)
		case !slices.Contains(list, a):
			list = append(list, a)
		}
	}
	return list
}

// tellContests tells the peers of contested flows as soon as there are any.
func (i *Instance) tellContests(now time.Duration) {
	if i.contests.planned || !i.engine.HasContestNews() {
		return
	}
	peers := i.flowPeers(now)
	if wait := i.contests.sentAt + time.Duration(len(peers))*contestSendTime - now; wait > 0 && i.contests.sentAt > 0 {
		i.contests.planned = true
		i.peers.background(func() { i.contain("contested flows", func() { i.tellContestsAfter(wait) }) })
		return
	}
	i.sendContestNews(now, peers)
}

func (i *Instance) tellContestsAfter(wait time.Duration) {
	_ = i.sleep(context.Background(), wait)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.contests.planned = false
	now := i.clock.now()
	i.sendContestNews(now, i.flowPeers(now))
}

func (i *Instance) sendContestNews(now time.Duration, peers []netip.Addr) {
	i.contests.sentAt = now
	news := i.engine.TakeContests(now)
	for _, x := range news {
		i.planRepeat(now, x.Key)
	}
	i.sendContests(wire.ContestNews, news, peers)
}

// planRepeat has a contested flow told again later, as it is known then.
func (i *Instance) planRepeat(now time.Duration, key steer.Key) {
	r := &i.contests.repeats
	if n := slices.IndexFunc(*r, func(x contestRepeat) bool { return x.key == key }); n >= 0 {
		(*r)[n].toldAt = now
	} else if len(*r) < maxContestRepeats {
		*r = append(*r, contestRepeat{key: key, toldAt: now})
	}
}

// repeatContests tells contested flows again.
func (i *Instance) repeatContests(now time.Duration) {
	var again []steer.Contest
	i.contests.repeats = slices.DeleteFunc(i.contests.repeats, func(r contestRepeat) bool {
		if now-r.toldAt < contestRepeatTime {
			return false
		}
		if x, ok := i.engine.Contest(now, r.key); ok {
			again = append(again, x)
		}
		return true
	})
	if len(again) > 0 {
		i.sendContests(wire.ContestNews, again, i.flowPeers(now))
	}
}

// sendContests sends what is known of contested flows.
func (i *Instance) sendContests(k wire.Kind, list []steer.Contest, to []netip.Addr) {
	parts := slices.Collect(slices.Chunk(list, wire.MaxContests))
	if k == wire.ContestList && len(list)%wire.MaxContests == 0 {
		parts = append(parts, nil)
	}
	for _, part := range parts {
		m := &wire.Message{Kind: k, Domain: i.settings.Domain}
		for _, x := range part {
			m.Contests = append(m.Contests, wire.Contest{
				Caller: x.Key.Caller, Dest: x.Key.Dest, SYNSeq: x.SYNSeq, Server: x.Server,
				Age: wire.FloorMillis(x.Age), Sighting: uint8(x.Sighting),
			})
		}
		i.sendToPeers(to, m)
	}
}

// askPeers keeps a packet of a contested flow until the peers have told whether they have
// seen the flow open.
func (i *Instance) askPeers(now time.Duration, data []byte, p *steer.Packet) {
	key := p.Key()
	if q := i.contests.questions[key]; q != nil {
		q.add(now, data, p)
		return
	}
	x, known := i.engine.Contest(now, key)
	if !known || len(i.contests.questions) >= maxQuestions {
		return // as if lost on the network
	}
	q := &question{askedAt: now, peers: i.flowPeers(now), server: x.Server}
	i.contests.questions[key] = q
	q.add(now, data, p)
	if len(q.peers) == 0 {
		i.endQuestion(now, key)
		return
	}
	i.sendContests(wire.ContestQuestion, []steer.Contest{x}, q.peers)
	i.peers.background(func() {
		i.contain("contested flow", func() {
			_ = i.sleep(context.Background(), questionRepeatTime)
			i.repeatQuestion(key, q)
			_ = i.sleep(context.Background(), contestReplyTime-questionRepeatTime)
			i.mu.Lock()
			defer i.mu.Unlock()
			now := i.adjustedTime()
			switch {
			case i.contests.questions[key] != q:
			case now-q.askedAt > maxQuestionTime:
				// The process was paused, and the answers are still to be read.
				delete(i.contests.questions, key)
			default:
				i.endQuestion(now, key)
			}
		})
	})
}

// repeatQuestion asks the peers that have not answered yet once more.
func (i *Instance) repeatQuestion(key steer.Key, q *question) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.contests.questions[key] != q {
		return
	}
	if x, ok := i.engine.Contest(i.clock.now(), key); ok {
		i.sendContests(wire.ContestQuestion, []steer.Contest{x}, q.peers)
	}
}

// add keeps a copy of a packet, unless too many wait already.
func (q *question) add(now time.Duration, data []byte, p *steer.Packet) {
	if len(q.packets) < maxQuestionPackets {
		q.packets = append(q.packets, heldPacket{now, append([]byte(nil), data...), *p})
	}
}

// isAsked reports whether a packet waits with others of its flow for answers of the peers.
func (i *Instance) isAsked(now time.Duration, data []byte, p *steer.Packet) bool {
	if len(i.contests.questions) == 0 || p.SYN {
		return false
	}
	q := i.contests.questions[p.Key()]
	if q == nil {
		return false
	}
	q.add(now, data, p)
	return true
}

// endQuestion decides on the packets of a contested flow.
func (i *Instance) endQuestion(now time.Duration, key steer.Key) {
	q := i.contests.questions[key]
	delete(i.contests.questions, key)
	for _, a := range q.peers {
		if keys := i.contests.unanswered[a]; len(keys) < maxUnanswered {
			i.contests.unanswered[a] = append(keys, key)
		}
	}
	for _, h := range q.packets {
		i.engine.NoteSighting(h.receivedAt-h.packet.Age, &h.packet)
	}
	x, _ := i.engine.Contest(now, key)
	if len(q.peers) == 0 && x.Server == q.server { // all know it from the question
		i.engine.EndQuestion(key)
		i.contests.repeats = slices.DeleteFunc(i.contests.repeats, func(r contestRepeat) bool { return r.key == key })
	}
	out := make([]byte, 0, readBuffer)
	for _, h := range q.packets {
		i.execute(now, now-h.receivedAt, i.engine.DecideContested(now, &h.packet), &h.packet, h.data, out)
	}
	if ok, _ := i.packetLogLimiter.Allow(now); !ok {
		return
	}
	i.log.Info("contested flow", "caller", key.Caller, "dest", key.Dest, "token", uint64(x.Server),
		"seen", x.Sighting, "not_answered", len(q.peers), "waited", now-q.askedAt, "packets", len(q.packets))
}

// handleContests handles a message about contested flows. It does not make its sender a
// member, which may have announced its stop.
func (i *Instance) handleContests(now time.Duration, from netip.Addr, m *wire.Message) {
	switch m.Kind {
	case wire.ContestsWanted:
		i.listContests(now, fleet.Identity{Addr: from, Domain: m.Domain, Capacity: m.Capacity})
		return
	case wire.ContestList:
		i.handleContestList(now, m)
	case wire.Join:
		i.contests.started[from] = now
	case wire.ContestTaken:
		i.contests.handedOver = true
	}
	known := make([]steer.Contest, 0, len(m.Contests))
	for _, x := range m.Contests {
		c := i.engine.LearnContest(now, steer.Contest{
			Key: steer.Key{Caller: x.Caller, Dest: x.Dest}, SYNSeq: x.SYNSeq, Server: x.Server,
			Age: x.Age.Duration(), Sighting: steer.Sighting(x.Sighting),
		})
		known = append(known, c)
		i.countAnswer(now, from, m.Kind, c)
	}
	switch {
	case m.Kind == wire.ContestQuestion:
		i.sendContests(wire.ContestAnswer, known, []netip.Addr{from})
	case m.Kind == wire.ContestHandOver && !i.state.stopping:
		i.sendToPeer(from, &wire.Message{Kind: wire.ContestTaken, Domain: i.settings.Domain})
	}
	i.tellContests(now)
}

// countAnswer notes that a peer has answered a question, and ends it when all have.
func (i *Instance) countAnswer(now time.Duration, from netip.Addr, k wire.Kind, c steer.Contest) {
	if k != wire.ContestAnswer {
		return
	}
	isKey := func(key steer.Key) bool { return key == c.Key }
	if keys := slices.DeleteFunc(i.contests.unanswered[from], isKey); len(keys) > 0 {
		i.contests.unanswered[from] = keys
	} else {
		delete(i.contests.unanswered, from)
	}
	q := i.contests.questions[c.Key]
	if q == nil {
		return
	}
	q.peers = slices.DeleteFunc(q.peers, func(a netip.Addr) bool { return a == from })
	if len(q.peers) == 0 {
		i.endQuestion(now, c.Key)
	}
}

// askAgain repeats the questions that peers have not answered: they may have been cut off
// or paused, and know nothing of these flows.
func (i *Instance) askAgain(now time.Duration) {
	c := &i.contests
	if len(c.unanswered) == 0 || now-c.askedAgainAt < questionRepeatInterval {
		return
	}
	c.askedAgainAt = now
	peers := i.flowPeers(now)
	for a, keys := range c.unanswered {
		var list []steer.Contest
		keys = slices.DeleteFunc(keys, func(key steer.Key) bool {
			x, ok := i.engine.Contest(now, key)
			if ok {
				list = append(list, x)
			}
			return !ok
		})
		if len(keys) == 0 || !slices.Contains(peers, a) {
			delete(c.unanswered, a)
			continue
		}
		c.unanswered[a] = keys
		i.sendContests(wire.ContestQuestion, list, []netip.Addr{a})
	}
}

// requestContests asks a peer for all contested flows, if this instance has just started.
func (i *Instance) requestContests(now time.Duration) {
	c := &i.contests
	if c.lists >= contestLists || now-c.startedAt > contestListTime {
		return
	}
	peers := i.flowPeers(now)
	if len(peers) == 0 {
		return
	}
	// The first-ranked peers would be asked by all instances that start at once.
	own := i.settings.Packets.Addr().As4()
	to := peers[(int(own[2])<<8+int(own[3])+c.asked)%len(peers)]
	c.asked++
	i.sendToPeer(to, &wire.Message{Kind: wire.ContestsWanted, Domain: i.settings.Domain})
}

// listContests answers ContestsWanted of an instance that has just started. It also lists
// the members that the instance has to tell of contested flows.
func (i *Instance) listContests(now time.Duration, to fleet.Identity) {
	i.contests.started[to.Addr] = now
	if i.contests.contestsKnown(now) { // otherwise it has just started as well
		i.sendContests(wire.ContestList, i.engine.Contests(now), []netip.Addr{to.Addr})
	}
	small := i.peers.fleet.Size() <= smallFleet
	list := make([]*fleet.Member, 0, maxListedMembers)
	i.peers.fleet.EachMember(func(m *fleet.Member) {
		if small || m.Domain == to.Domain {
			list = append(list, m)
		}
	})
	for part := range slices.Chunk(list, maxListedMembers) {
		m := &wire.Message{Kind: wire.ContestList, Domain: i.settings.Domain}
		addMembers(now, m, part)
		i.sendToPeer(to.Addr, m)
	}
}

// handleContestList learns members from the answer of a peer, and tells them that this
// instance has started.
func (i *Instance) handleContestList(now time.Duration, m *wire.Message) {
	if !i.catalog.Loaded() {
		i.recordMembers(now, m) // one of them may have the catalog
	}
	for _, x := range m.Members {
		if a := netip.AddrFrom4(x.Addr); a != i.settings.Packets.Addr() {
			i.contests.started[a] = now
		}
	}
	if len(m.Members) > 0 {
		i.announceStart(now)
		return
	}
	ownDomain := m.Domain == i.settings.Domain || i.peers.fleet.Size() <= smallFleet
	if len(m.Contests) < wire.MaxContests && ownDomain {
		i.contests.lists++
	}
}

// announceStart tells the members that this instance has started, so that they tell it of
// contested flows.
func (i *Instance) announceStart(now time.Duration) {
	if i.contests.joins == maxJoins {
		return
	}
	i.contests.joins++
	i.sendToPeers(i.flowPeers(now), &wire.Message{Kind: wire.Join, Domain: i.settings.Domain})
}

// contestsKnown reports whether the instance has got the contested flows of its peers, or
// has waited long enough for them.
func (c *contests) contestsKnown(now time.Duration) bool {
	return c.lists > 0 || now-c.startedAt > contestWait
}

// handOverContests reports whether a stopping instance may leave: no flow is contested, or
// another instance that goes on has taken the contested flows.
func (i *Instance) handOverContests(now time.Duration) bool {
	c := &i.contests
	if c.handedOver || i.engine.ContestCount() == 0 {
		return true
	}
	if c.handedOverAt == 0 || now-c.handedOverAt >= handOverInterval {
		c.handedOverAt = now
		i.sendContests(wire.ContestHandOver, i.engine.Contests(now), i.flowPeers(now))
	}
	return false
}
