package steer

import (
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/token"
)

const (
	// maxHandshake is the time from a SYN to the end of its handshake. One with the farthest
	// failure domain takes 15 ms.
	maxHandshake = 25 * time.Millisecond
	// lastAnswer is the time from a SYN to its last answer: servers repeat one that is not
	// acknowledged for about 10 s, and the SYN itself may arrive again.
	lastAnswer = 15 * time.Second
	// maxReportedOpenings limits the flows whose opening peers have told of; the oldest are
	// dropped.
	maxReportedOpenings = 4096
	// lateDataRate limits the questions about flows whose first data come late, per second.
	lateDataRate = 5
	// closedFlowTime is for how long the opening of a flow that its caller has closed is kept:
	// its last packets may be sent again.
	closedFlowTime = 5 * time.Second
	// maxOpeningNews limits the openings that wait to be told to peers.
	maxOpeningNews = 512
	// inquiryTimeout is the time after which an inquiry is forgotten that nobody has ended.
	inquiryTimeout = time.Second
)

// opening is the first packet that is known of an open flow. Several servers may answer
// copies of a SYN, and the caller returns the token that it received last: the first packet
// has that of the server where the flow is open.
type opening struct {
	server token.Token
	// proved: the packet ends the handshake, or its token comes from a packet that a server
	// has sent on an open flow.
	proved  bool
	seq     uint32
	hasData bool
	at      time.Duration // its arrival, at the earliest
}

// precedes reports whether o tells better than x, which another instance has seen, at which
// server the flow is open.
func (o *opening) precedes(x *opening) bool {
	return o.wasSentBefore(x) || !x.wasSentBefore(o) && o.at < x.at
}

// wasSentBefore reports whether o tells better than x at which server the flow is open,
// whatever the order in which the packets arrived.
func (o *opening) wasSentBefore(x *opening) bool {
	switch {
	case o.proved != x.proved:
		return o.proved
	case o.seq != x.seq:
		return int32(o.seq-x.seq) < 0 // sequence numbers wrap around
	}
	return !o.hasData && x.hasData
}

// covers reports whether a sequence number is likely to belong to the flow.
func (o *opening) covers(seq uint32) bool {
	d := int32(seq - o.seq) // sequence numbers wrap around
	return -maxSeqDistance <= d && d <= maxSeqDistance
}

// openingOf returns what a packet shows of the opening of its flow. s is the server that
// its token identifies, nil if that is unknown.
func openingOf(now time.Duration, s *catalog.Server, p *Packet) opening {
	o := opening{seq: p.Seq, hasData: p.Len > 0, at: now - p.Age}
	if s != nil {
		o.server, o.proved = s.Token, !isOfSYN(s, p)
	}
	return o
}

// isOfSYN reports whether the token of a packet comes from a server's answer to a SYN.
func isOfSYN(s *catalog.Server, p *Packet) bool { return p.Token == s.Token.OfSYN() }

// locate returns the server at which the flow of a packet is open, and the opening that
// shows it. s is the server that the token identifies, nil if there is none. It reports false
// if peers may know better: the token is unknown, or that of an answer to a SYN, and this
// instance has not seen the flow open.
func (e *Engine) locate(now time.Duration, f *flowEntry, s *catalog.Server, p *Packet) (*catalog.Server, opening, bool) {
	seen := openingOf(now, s, p)
	known, asked := opening{}, false
	if f != nil && f.established {
		known = f.opening
	} else if x := e.reported[p.Key()]; x != nil && x.covers(p.Seq) {
		known, asked = x.opening, true
	}
	switch {
	case p.Token == 0:
		return nil, seen, true
	case known.server != 0 && (!seen.wasSentBefore(&known) || seen.hasData && !seen.proved):
		return e.catalog.ByToken(known.server), known, true
	case known.server != 0, seen.proved, p.RST, asked && s == nil:
		return s, seen, true
	case e.endsHandshake(now, f, s, p):
		seen.proved = p.Len == 0
		return s, seen, true
	}
	return s, seen, false
}

// serverSeenOpen returns the token of the server at which the flow of a packet was seen open,
// 0 if that is not known.
func (e *Engine) serverSeenOpen(p *Packet) token.Token {
	if f := e.flows[p.Key()]; f != nil && f.established && f.covers(p.Seq) {
		return f.opening.server
	}
	if x := e.reported[p.Key()]; x != nil && x.covers(p.Seq) {
		return x.server
	}
	return 0
}

// endsHandshake reports whether a packet is the first of a flow whose SYN this instance has
// sent to a server. A caller sends it at the end of the handshake; data may follow after a
// pause, with the token of a further answer.
func (e *Engine) endsHandshake(now time.Duration, f *flowEntry, s *catalog.Server, p *Packet) bool {
	switch {
	case s == nil || f == nil || f.established || p.FIN || p.Seq != f.synSeq+1:
		return false
	case now-p.Age-f.lastPacket <= maxHandshake:
		return p.Len == 0 || !f.isHedged() && s.ID == f.server.ID && e.dataFirst.isUsual()
	}
	return p.Len > 0 && !f.isHedged() && s.ID == f.server.ID && e.dataFirst.isUsual() && !e.mayAskAboutLateData(now)
}

// mayAskAboutLateData reports whether the rate of questions about flows whose first data come
// late allows one more. All flows do over a congested link.
func (e *Engine) mayAskAboutLateData(now time.Duration) bool {
	e.lateDataQuota = min(e.lateDataQuota+(now-e.lateDataAt).Seconds()*lateDataRate, lateDataRate)
	e.lateDataAt = now
	if e.lateDataQuota < 1 {
		return false
	}
	e.lateDataQuota--
	return true
}

// Opening is what an instance tells its peers of the opening of a flow.
type Opening struct {
	Key     Key
	Server  token.Token // at which the flow is open, 0 if the instance does not know it
	Proved  bool        // the first packet of the flow has shown it, or a later answer
	Seq     uint32      // of the first packet that the instance knows
	HasData bool
	Age     time.Duration // since that packet arrived
	// Waiting: the packet waits for the answers of peers, and its flow has not been seen open.
	Waiting bool
}

func (o *opening) report(now time.Duration, key Key) Opening {
	return Opening{Key: key, Server: o.server, Proved: o.proved, Seq: o.seq, HasData: o.hasData, Age: now - o.at}
}

func (x *Opening) opening(now time.Duration) opening {
	return opening{server: x.Server, proved: x.Proved, seq: x.Seq, hasData: x.HasData, at: now - x.Age}
}

// inquiry is a flow whose opening the peers are asked for.
type inquiry struct {
	best    opening // of what is known so far
	seen    bool    // an instance has seen the flow open
	decided bool    // a packet that waits ends the handshake
	since   time.Duration
}

func (q *inquiry) add(now time.Duration, x *Opening) {
	if x.Server == 0 || !q.best.covers(x.Seq) {
		return
	}
	o := x.opening(now)
	better := o.precedes(&q.best)
	if seen := !x.Waiting; q.best.server == 0 {
		better = true
	} else if seen != q.seen {
		// Of packets sent at the same place in the flow the one of which the flow was seen
		// open counts: the time at which the other arrived is known from below only.
		better = seen && !q.best.wasSentBefore(&o) || o.wasSentBefore(&q.best)
	}
	if better {
		q.best = o
	}
	q.seen = q.seen || !x.Waiting
}

// inquire notes that the peers are asked for the opening of a flow.
func (e *Engine) inquire(now time.Duration, key Key, seen opening) {
	if q := e.inquiries[key]; q == nil || !q.best.covers(seen.seq) {
		e.inquiries[key] = &inquiry{best: seen, since: now}
	} else if q.best.server == 0 || seen.wasSentBefore(&q.best) {
		q.best = seen
	}
}

// Inquiry returns what is known of a flow whose opening the peers are asked for. Waiting is
// not set if one of them has seen the flow open. decided reports that none can know better.
func (e *Engine) Inquiry(now time.Duration, key Key) (x Opening, decided bool) {
	q := e.inquiries[key]
	if q == nil {
		return Opening{Key: key, Waiting: true}, false
	}
	return q.report(now, key), q.decided || q.best.proved
}

func (q *inquiry) report(now time.Duration, key Key) Opening {
	x := q.best.report(now, key)
	x.Waiting = !q.seen
	return x
}

// AddToInquiry adds a further packet that waits for the answers of the peers. It reports
// whether the packet shows where the flow is open.
func (e *Engine) AddToInquiry(now time.Duration, p *Packet) (decided bool) {
	key := p.Key()
	s, q := e.catalog.ByToken(p.Token), e.inquiries[key]
	if q == nil || p.RST {
		return false
	}
	seen := openingOf(now, s, p)
	ends := e.endsHandshake(now, e.flows[key], s, p)
	seen.proved = seen.proved || ends && p.Len == 0
	if s != nil && (q.best.server == 0 || seen.wasSentBefore(&q.best)) {
		q.best = seen
	}
	q.decided = q.decided || seen.proved || ends
	return q.decided
}

// EndInquiry ends an inquiry. The packets of the flow are then decided on by what is known,
// unless abandoned.
func (e *Engine) EndInquiry(now time.Duration, key Key, abandoned bool) {
	if q := e.inquiries[key]; q != nil && !abandoned {
		e.reportOpening(now, key, q.best)
	}
	delete(e.inquiries, key)
}

// AnswerInquiry returns what this instance knows of the opening of a flow that a peer asks
// for. x is what the peer knows.
func (e *Engine) AnswerInquiry(now time.Duration, x Opening) Opening {
	if q := e.inquiries[x.Key]; q != nil {
		q.add(now, &x)
		return q.report(now, x.Key)
	}
	f := e.flows[x.Key]
	switch {
	case f != nil && f.established && f.covers(x.Seq):
		return f.opening.report(now, x.Key)
	case e.reported[x.Key] != nil && e.reported[x.Key].covers(x.Seq):
		return e.reported[x.Key].report(now, x.Key)
	}
	return Opening{Key: x.Key}
}

// LearnOpening notes what a peer has told of the opening of a flow.
func (e *Engine) LearnOpening(now time.Duration, x Opening) {
	if q := e.inquiries[x.Key]; q != nil {
		q.add(now, &x)
	}
	if x.Server == 0 || x.Waiting {
		return
	}
	o := x.opening(now)
	e.reportOpening(now, x.Key, o) // the entry of the flow may expire before
	f, s := e.flows[x.Key], e.catalog.ByToken(x.Server)
	if f != nil && f.established && s != nil && f.covers(x.Seq) && o.precedes(&f.opening) {
		f.opening = o
		if s != f.server {
			e.unassign(f)
			f.server = s
			e.state(s).addOpenFlows(1)
		}
	}
}

// RecentOpenings returns the openings that peers have to know when this instance stops:
// those of flows whose callers may return the token of a further answer to the SYN.
func (e *Engine) RecentOpenings(now time.Duration) []Opening {
	var list []Opening
	for key, f := range e.flows {
		if f.established && now-f.opening.at < lastAnswer+e.idleTimeout() {
			list = append(list, f.opening.report(now, key))
		}
	}
	for key, x := range e.reported {
		f := e.flows[key]
		if x.server != 0 && now-x.at < lastAnswer+e.idleTimeout() && (f == nil || !f.established) {
			list = append(list, x.report(now, key))
		}
	}
	return list
}

// TakeOpenings returns the openings that peers have to know now, since this instance may end
// without a word: those of flows whose SYN several servers may have got. It returns each once.
func (e *Engine) TakeOpenings(now time.Duration) []Opening {
	if len(e.openingNews) == 0 {
		return nil
	}
	list := make([]Opening, 0, len(e.openingNews))
	for _, key := range e.openingNews {
		if f := e.flows[key]; f != nil && f.established {
			list = append(list, f.opening.report(now, key))
		}
	}
	e.openingNews = e.openingNews[:0]
	return list
}

// reportedOpening is an opening that a peer has told of. It has no server if none of the
// peers knows one.
type reportedOpening struct {
	opening
	until time.Duration // when it is forgotten
}

func (e *Engine) reportOpening(now time.Duration, key Key, o opening) {
	e.keepOpening(key, o, now+e.idleTimeout())
}

func (e *Engine) keepOpening(key Key, o opening, until time.Duration) {
	if x := e.reported[key]; x != nil && x.server != 0 && x.covers(o.seq) && (o.server == 0 || !o.precedes(&x.opening)) {
		o = x.opening
	}
	if e.reported[key] == nil {
		e.reportOrder = append(e.reportOrder, key)
	}
	e.reported[key] = &reportedOpening{o, until}
	if len(e.reportOrder) > maxReportedOpenings {
		delete(e.reported, e.reportOrder[0])
		e.reportOrder = e.reportOrder[1:]
	}
}

// expireOpenings forgets what peers have told of flows, and inquiries, whose time is over.
func (e *Engine) expireOpenings(now time.Duration) {
	e.reportOrder = slices.DeleteFunc(e.reportOrder, func(key Key) bool {
		expired := now >= e.reported[key].until
		if expired {
			delete(e.reported, key)
		}
		return expired
	})
	for key, q := range e.inquiries {
		if now-q.since > inquiryTimeout {
			delete(e.inquiries, key)
		}
	}
}
