package edge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/steer"
	"egrettack.example/core/token"
	wire "egrettack.example/wire/fleet"
)

const (
	// inquiryReplyTime is how long the packets of a flow wait for the answers of peers. They
	// take a few milliseconds, between domains included.
	inquiryReplyTime = 30 * time.Millisecond
	// inquiryRepeatTime is the time after which peers that have not answered are asked once
	// more, since datagrams may be lost.
	inquiryRepeatTime = 12 * time.Millisecond
	// maxInquiryTime is the time after which waiting packets are dropped instead: callers
	// have sent them again.
	maxInquiryTime = 250 * time.Millisecond
	// maxInquiries and maxInquiryPackets limit the flows that are asked about at the same
	// time, and the packets of each that wait.
	maxInquiries      = 256
	maxInquiryPackets = 16
	// answerRetryTime is the interval at which an instance looks whether it has read the
	// packets that arrived before a question, and maxAnswerRetries the number of looks.
	answerRetryTime  = 2 * time.Millisecond
	maxAnswerRetries = 100
	// maxPostponed limits the answers that wait for that.
	maxPostponed = 64
	// handOverPeers is the number of peers that an instance tells of openings at a time, and handOverInterval the interval until one has taken them.
	handOverPeers    = 2
	handOverInterval = 200 * time.Millisecond
	// maxPeerSilence is the time after which a peer that leaves questions unanswered is taken
	// to have ended. Until then packets that it may know more about are dropped: it may be
	// paused, and callers send them again.
	maxPeerSilence = 5 * time.Second
	// silentProbeInterval is the interval at which peers that do not answer are asked whether
	// they answer again.
	silentProbeInterval = time.Second
)

// openings exchanges with the peers what is known of the openings of flows. It is guarded by
// the mutex of the instance.
type openings struct {
	inquiries map[steer.Key]*inquiry
	postponed int                          // answers to questions
	silent    map[netip.Addr]time.Duration // since when peers have left questions unanswered
	probedAt  time.Duration                // last time that silent peers were asked

	handedOverAt time.Duration // last time that a stopping instance told peers, 0 before
	handOvers    int
	chosen       int                // peers by somePeers
	messages     int                // of the last hand-over
	taken        map[netip.Addr]int // messages of it that peers which go on have taken
}

// inquiry is a flow whose opening the peers are asked for.
type inquiry struct {
	askedAt time.Duration
	asked   []netip.Addr               // peers
	awaited []netip.Addr               // those of them that are waited for and have not answered
	packets []heldPacket               // of the flow, in order of arrival
	seenAt  map[netip.Addr]token.Token // servers at which peers have seen the flow open
}

// inquire keeps a packet until the peers have told what they know of the opening of its
// flow.
func (i *Instance) inquire(now time.Duration, data []byte, p *steer.Packet) {
	key := p.Key()
	if q := i.openings.inquiries[key]; q != nil {
		q.add(now, data, p)
		return
	}
	if len(i.openings.inquiries) >= maxInquiries {
		i.engine.EndInquiry(now, key, true)
		return // as if lost on the network
	}
	q := &inquiry{askedAt: now, asked: i.flowPeers(now), seenAt: make(map[netip.Addr]token.Token)}
	q.awaited = i.openings.withoutSilent(now, q.asked)
	i.openings.inquiries[key] = q
	q.add(now, data, p)
	i.sendQuestion(now, key, q.asked)
	if len(q.awaited) == 0 {
		i.endInquiry(now, key)
		return
	}
	i.peers.background(func() { i.contain("flow opening", func() { i.awaitAnswers(key, q) }) })
}

// awaitAnswers asks the peers that do not answer once more, and ends the inquiry.
func (i *Instance) awaitAnswers(key steer.Key, q *inquiry) {
	_ = i.sleep(context.Background(), inquiryRepeatTime)
	i.mu.Lock()
	if i.openings.inquiries[key] == q {
		i.sendQuestion(i.clock.now(), key, q.awaited)
	}
	i.mu.Unlock()
	_ = i.sleep(context.Background(), inquiryReplyTime-inquiryRepeatTime)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.openings.inquiries[key] != q {
		return
	}
	now := i.adjustedTime()
	if now-q.askedAt <= maxInquiryTime {
		i.openings.noteSilent(now, q.awaited)
	}
	i.endInquiry(now, key)
}

// withoutSilent returns the peers that have not been silent for so long that they are taken
// to have ended.
func (o *openings) withoutSilent(now time.Duration, peers []netip.Addr) []netip.Addr {
	return slices.DeleteFunc(slices.Clone(peers), func(a netip.Addr) bool {
		since, silent := o.silent[a]
		return silent && now-since > maxPeerSilence
	})
}

// noteSilent notes the peers that have not answered a question.
func (o *openings) noteSilent(now time.Duration, peers []netip.Addr) {
	for _, a := range peers {
		if _, silent := o.silent[a]; !silent {
			o.silent[a] = now
		}
	}
}

func (i *Instance) sendQuestion(now time.Duration, key steer.Key, to []netip.Addr) {
	x, _ := i.engine.Inquiry(now, key)
	i.sendOpenings(wire.OpeningQuestion, []steer.Opening{x}, to)
}

// add keeps a copy of a packet, unless too many wait already.
func (q *inquiry) add(now time.Duration, data []byte, p *steer.Packet) {
	if len(q.packets) < maxInquiryPackets {
		q.packets = append(q.packets, heldPacket{now, append([]byte(nil), data...), *p})
	}
}

// isInquired reports whether a packet waits with others of its flow for answers of the peers.
func (i *Instance) isInquired(now time.Duration, data []byte, p *steer.Packet) bool {
	if len(i.openings.inquiries) == 0 || p.SYN {
		return false
	}
	q := i.openings.inquiries[p.Key()]
	if q == nil {
		return false
	}
	q.add(now, data, p)
	if i.engine.AddToInquiry(now, p) {
		i.endInquiry(now, p.Key())
	}
	return true
}

// endInquiry decides on the packets of a flow by what is known of its opening, and tells the
// peers that have taken another server for that of the flow. The packets are
// dropped if a peer that has not answered may know better, and after a pause of the process,
// when the answers are still to be read.
func (i *Instance) endInquiry(now time.Duration, key steer.Key) {
	q := i.openings.inquiries[key]
	delete(i.openings.inquiries, key)
	x, decided := i.engine.Inquiry(now, key)
	abandoned := now-q.askedAt > maxInquiryTime || len(q.awaited) > 0 && x.Waiting && !decided
	i.engine.EndInquiry(now, key, abandoned)
	if ok, _ := i.packetLogLimiter.Allow(now); ok {
		i.log.Info("flow opening", "caller", key.Caller, "dest", key.Dest, "token", uint64(x.Server), "proved", x.Proved, "seen_open", !x.Waiting,
			"not_answered", len(q.awaited), "waited", now-q.askedAt, "packets", len(q.packets), "dropped", abandoned)
	}
	if abandoned {
		return
	}
	x.Waiting = false
	for a, server := range q.seenAt {
		if server != x.Server {
			i.sendOpenings(wire.OpeningAnswer, []steer.Opening{x}, []netip.Addr{a})
		}
	}
	out := make([]byte, 0, readBuffer)
	for _, h := range q.packets {
		v := i.engine.Decide(now, &h.packet)
		if v.NeedsRead() {
			i.wantRead(now)
		}
		i.execute(now, now-h.receivedAt, v, &h.packet, h.data, out)
	}
}

// sendOpenings sends what is known of the openings of flows.
func (i *Instance) sendOpenings(k wire.Kind, list []steer.Opening, to []netip.Addr) {
	for part := range slices.Chunk(list, wire.MaxOpenings) {
		m := &wire.Message{Kind: k, Domain: i.settings.Domain}
		for _, x := range part {
			m.Openings = append(m.Openings, wire.Opening{
				Caller: x.Key.Caller, Dest: x.Key.Dest, Server: x.Server, Proved: x.Proved, Seq: x.Seq,
				HasData: x.HasData, Age: wire.FloorMillis(x.Age), Waiting: x.Waiting,
			})
		}
		i.sendToPeers(to, m)
	}
}

func openingOf(x *wire.Opening) steer.Opening {
	return steer.Opening{
		Key: steer.Key{Caller: x.Caller, Dest: x.Dest}, Server: x.Server, Proved: x.Proved, Seq: x.Seq,
		HasData: x.HasData, Age: x.Age.Duration(), Waiting: x.Waiting,
	}
}

// handleOpenings handles a message about the openings of flows. It does not make its sender
// a member, which may have announced its stop.
func (i *Instance) handleOpenings(now time.Duration, from netip.Addr, m *wire.Message) {
	switch m.Kind {
	case wire.OpeningQuestion:
		i.answerQuestion(now, from, m, 0)
	case wire.OpeningAnswer:
		delete(i.openings.silent, from)
		for _, x := range m.Openings {
			i.handleAnswer(now, from, openingOf(&x))
		}
	case wire.OpeningHandOver:
		for _, x := range m.Openings {
			i.engine.LearnOpening(now, openingOf(&x))
		}
		if !i.state.stopping {
			i.sendToPeer(from, &wire.Message{Kind: wire.OpeningsTaken, Domain: i.settings.Domain})
		}
	case wire.OpeningsTaken:
		i.openings.taken[from]++
	}
}

// answerQuestion tells a peer what this instance knows of the openings of flows. It reads
// the packets first that may have arrived before the question.
func (i *Instance) answerQuestion(now time.Duration, from netip.Addr, m *wire.Message, retries int) {
	if retries < maxAnswerRetries && i.openings.postponed < maxPostponed && i.hasUnreadPackets() {
		i.openings.postponed++
		i.peers.background(func() {
			i.contain("flow opening", func() {
				_ = i.sleep(context.Background(), answerRetryTime)
				i.mu.Lock()
				defer i.mu.Unlock()
				i.openings.postponed--
				i.answerQuestion(i.adjustedTime(), from, m, retries+1)
			})
		})
		return
	}
	if len(m.Openings) == 0 {
		i.sendToPeer(from, &wire.Message{Kind: wire.OpeningAnswer, Domain: i.settings.Domain})
		return
	}
	known := make([]steer.Opening, 0, len(m.Openings))
	for _, x := range m.Openings {
		known = append(known, i.engine.AnswerInquiry(now, openingOf(&x)))
	}
	i.sendOpenings(wire.OpeningAnswer, known, []netip.Addr{from})
}

// probeSilent asks the peers that have not answered whether they answer again.
func (i *Instance) probeSilent(now time.Duration) {
	o := &i.openings
	if len(o.silent) == 0 || now-o.probedAt < silentProbeInterval {
		return
	}
	o.probedAt = now
	peers := i.flowPeers(now)
	for a := range o.silent {
		if !slices.Contains(peers, a) {
			delete(o.silent, a)
			continue
		}
		i.sendToPeer(a, &wire.Message{Kind: wire.OpeningQuestion, Domain: i.settings.Domain})
	}
}

// hasUnreadPackets reports whether packets wait in the socket.
func (i *Instance) hasUnreadPackets() bool {
	if i.reader == nil {
		return false
	}
	empty, err := i.reader.isEmpty()
	return err == nil && !empty
}

// handleAnswer takes the answer of a peer. It ends the inquiry when all have answered, or
// none can know better.
func (i *Instance) handleAnswer(now time.Duration, from netip.Addr, x steer.Opening) {
	i.engine.LearnOpening(now, x)
	q := i.openings.inquiries[x.Key]
	if q == nil {
		return
	}
	if x.Server != 0 && !x.Waiting {
		q.seenAt[from] = x.Server
	}
	q.awaited = slices.DeleteFunc(q.awaited, func(a netip.Addr) bool { return a == from })
	if _, decided := i.engine.Inquiry(now, x.Key); decided || len(q.awaited) == 0 {
		i.endInquiry(now, x.Key)
	}
}

// tellOpenings tells some peers of the openings that must not be lost with this instance.
func (i *Instance) tellOpenings(now time.Duration) {
	if list := i.engine.TakeOpenings(now); len(list) > 0 {
		i.sendOpenings(wire.OpeningAnswer, list, i.somePeers())
	}
}

// somePeers returns handOverPeers of the members that may get packets of the same flows,
// others at each call.
func (i *Instance) somePeers() []netip.Addr {
	peers := i.flowMembers(i.clock.now())
	some := make([]netip.Addr, 0, handOverPeers)
	for range min(handOverPeers, len(peers)) {
		some = append(some, peers[(i.ownNumber()+i.openings.chosen)%len(peers)])
		i.openings.chosen++
	}
	return some
}

// handOverOpenings reports whether a stopping instance may leave: it knows no opening that
// matters, or another instance that goes on has taken those that it knows.
func (i *Instance) handOverOpenings(now time.Duration) bool {
	o := &i.openings
	for _, n := range o.taken {
		if n >= o.messages && i.state.lastPacket < o.handedOverAt {
			return true
		}
	}
	if o.handedOverAt > 0 && now-o.handedOverAt < handOverInterval {
		return false
	}
	list := i.engine.RecentOpenings(now)
	if len(list) == 0 {
		return true
	}
	peers := i.somePeers()
	defer i.sendOpenings(wire.OpeningHandOver, list, peers)
	o.handedOverAt, o.messages, o.taken = now, (len(list)+wire.MaxOpenings-1)/wire.MaxOpenings, make(map[netip.Addr]int)
	o.handOvers++
	i.log.Info("openings handed over", "flows", len(list), "peers", peers, "attempt", o.handOvers)
	return false
}
