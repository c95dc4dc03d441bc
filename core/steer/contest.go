package steer

import (
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/token"
)

const (
	// contestMargin is how long a contested flow is remembered beyond the idle timeout.
	// A server that gets no acknowledgement sends its answer to a SYN again for about 10 s.
	contestMargin = 15 * time.Second
	// maxContests limits the contested flows that are remembered; the oldest are dropped.
	maxContests = 4096
	// maxContestNews limits the contests that wait to be told to the peers.
	maxContestNews = 512
)

// Contest is a flow to whose SYN more than one backend server may answer. The caller
// returns the token that it received last, which need not be that of the server where the
// flow is open. Therefore the instances of a domain tell each other of such flows, and
// deliver them by what was seen first: the token of the first packet after the handshake.
type Contest struct {
	Key      Key
	SYNSeq   uint32
	Server   token.Token   // of the server where the flow opened, 0 while that is not known
	Age      time.Duration // since a packet of the open flow was seen with that token
	Sighting Sighting      // what shows that the flow is open there
}

// Sighting is what shows that a contested flow is open at a server, the best last.
type Sighting uint8

// Sightings of the server of a flow, by the packet that had its token.
const (
	LaterPacket     Sighting = iota // any; the token may be that of a late answer
	FirstData                       // with the first data, or with an acknowledgement of data
	HandshakePacket                 // without data, at the end of the handshake
)

var sightingNames = [...]string{"later_packet", "first_data", "handshake"}

func (s Sighting) String() string { return sightingNames[min(int(s), len(sightingNames)-1)] }

// contest is what is known of a contested flow.
type contest struct {
	synSeq   uint32
	server   token.Token   // see Contest
	seenAt   time.Duration // when a packet of the open flow was seen with that token
	sighting Sighting      // see Contest
	asking   bool          // the peers are being asked
	until    time.Duration // when it is forgotten
}

// covers reports whether a sequence number is likely to belong to the flow. Later on the
// token of its packets is right, since its server has sent data.
func (c *contest) covers(seq uint32) bool {
	d := int32(seq - c.synSeq) // sequence numbers wrap around
	return -maxSeqDistance <= d && d <= maxSeqDistance
}

// contestOf returns what is known of the flow of a packet if it is contested, nil otherwise.
func (e *Engine) contestOf(key Key, seq uint32) *contest {
	if len(e.contests) == 0 {
		return nil
	}
	if c := e.contests[key]; c != nil && c.covers(seq) {
		return c
	}
	return nil
}

// tokenOf returns the token that a packet is delivered by.
func (e *Engine) tokenOf(p *Packet) token.Token {
	if c := e.contestOf(p.Key(), p.Seq); c != nil && c.server != 0 {
		return c.server
	}
	return p.Token
}

// noteContest notes that several servers may answer, or have answered, a SYN. The sequence
// number is that of the SYN, or of a later packet if this instance has not seen the SYN.
func (e *Engine) noteContest(now time.Duration, key Key, synSeq uint32) *contest {
	if c := e.contests[key]; c != nil && c.covers(synSeq) {
		return c
	}
	c := &contest{synSeq: synSeq, until: now + e.idleTimeout() + contestMargin}
	e.contests[key] = c
	e.contestOrder = append(e.contestOrder, key)
	if len(e.contestOrder) > maxContests {
		delete(e.contests, e.contestOrder[0])
		e.contestOrder = e.contestOrder[1:]
	}
	return c
}

// tellContest lets TakeContests return a contested flow.
func (e *Engine) tellContest(key Key) {
	if len(e.contestNews) < maxContestNews {
		e.contestNews = append(e.contestNews, key)
	}
}

// HasContestNews reports whether there are contested flows to tell the peers of.
func (e *Engine) HasContestNews() bool { return len(e.contestNews) > 0 }

// TakeContests returns the contested flows to tell the peers of: those that are new, and
// those whose server has become known here, since the last call.
func (e *Engine) TakeContests(now time.Duration) []Contest {
	if len(e.contestNews) == 0 {
		return nil
	}
	list := make([]Contest, 0, len(e.contestNews))
	for _, key := range e.contestNews {
		if c := e.contests[key]; c != nil {
			list = append(list, c.report(now, key))
		}
	}
	e.contestNews = e.contestNews[:0]
	return list
}

// Contest returns what is known of a contested flow.
func (e *Engine) Contest(now time.Duration, key Key) (Contest, bool) {
	c := e.contests[key]
	if c == nil {
		return Contest{}, false
	}
	return c.report(now, key), true
}

// ContestCount returns the number of contested flows that are remembered.
func (e *Engine) ContestCount() int { return len(e.contests) }

// Contests returns all contested flows, the oldest first, to tell a peer that has just
// started.
func (e *Engine) Contests(now time.Duration) []Contest {
	list := make([]Contest, 0, len(e.contestOrder))
	for _, key := range e.contestOrder {
		if c := e.contests[key]; c != nil {
			list = append(list, c.report(now, key))
		}
	}
	return list
}

func (c *contest) report(now time.Duration, key Key) Contest {
	x := Contest{Key: key, SYNSeq: c.synSeq, Server: c.server, Sighting: c.sighting}
	if c.server != 0 {
		x.Age = now - c.seenAt
	}
	return x
}

// LearnContest notes a contested flow that a peer told of, and returns what is known of it
// now. Of two servers the one with the better sighting counts, then the one that was seen
// first.
func (e *Engine) LearnContest(now time.Duration, x Contest) Contest {
	known := e.contests[x.Key]
	c := e.noteContest(now, x.Key, x.SYNSeq)
	if int32(x.SYNSeq-c.synSeq) < 0 { // sequence numbers wrap around
		c.synSeq, known = x.SYNSeq, nil // it was not that of the SYN
	}
	if c != known {
		e.recallServer(now, x.Key, c)
	}
	if at := now - x.Age; x.Server != 0 && c.precededBy(at, x.Sighting) {
		c.server, c.seenAt, c.sighting = x.Server, at, x.Sighting
	}
	return c.report(now, x.Key)
}

// precededBy reports whether the server of a packet that was seen at a time counts rather
// than the one that is known.
func (c *contest) precededBy(at time.Duration, sighting Sighting) bool {
	if c.server == 0 || c.sighting != sighting {
		return c.server == 0 || sighting > c.sighting
	}
	return at < c.seenAt
}

// recallServer notes the server of a contested flow if this instance has seen it open.
func (e *Engine) recallServer(now time.Duration, key Key, c *contest) {
	f := e.flows[key]
	if f == nil || !f.established || f.server == nil || f.synSeq != c.synSeq && !f.covers(c.synSeq) {
		return
	}
	seen := *c
	if seen.recall(f); c.precededBy(seen.seenAt, seen.sighting) {
		*c = seen
		e.tellContest(key)
	}
}

// reviewContest returns what is known of the flow of a packet if it is contested, nil
// otherwise. s is the server that the token of the packet identifies. A token that changes
// shows that several servers have answered the SYN.
func (e *Engine) reviewContest(now time.Duration, key Key, f *flowEntry, s *catalog.Server, p *Packet) *contest {
	c := e.contestOf(key, p.Seq)
	if p.RST || p.Token == 0 {
		return c
	}
	if c != nil && c.server != 0 && c.server != p.Token && c.sightingIn(p.Seq, p.Len) > c.sighting {
		// The packet was overtaken by a later one.
		c.server, c.seenAt, c.sighting = p.Token, now-p.Age, c.sightingIn(p.Seq, p.Len)
		e.tellContest(key)
	}
	if f == nil {
		return c
	}
	if s != nil && (s == f.server || s == e.catalog.Latest(f.server)) {
		f.confirmed = f.confirmed || f.acknowledges(p) || c == nil && !f.established && len(f.tried) > 0
		return c
	}
	if c == nil {
		seq := p.Seq
		if len(f.tried) > 0 {
			seq = f.synSeq
		}
		c = e.noteContest(now, key, seq)
		if f.confirmed {
			c.recall(f)
		}
		e.tellContest(key)
	} else if c.server != 0 && c.server != p.Token && c.sighting == LaterPacket && f.acknowledges(p) {
		// The caller has got data since the token that is known.
		c.server, c.seenAt = p.Token, now
		e.tellContest(key)
	}
	return c
}

// sightingIn returns what a packet shows of the server that its token identifies.
func (c *contest) sightingIn(seq uint32, length int) Sighting {
	switch {
	case seq != c.synSeq+1:
		return LaterPacket
	case length > 0:
		return FirstData
	}
	return HandshakePacket
}

// acknowledges reports whether a packet of an open flow acknowledges more data than those
// before it.
func (f *flowEntry) acknowledges(p *Packet) bool {
	return f.established && int32(p.Ack-f.highestAck) > 0 // sequence numbers wrap around
}

// recall notes where the flow was seen open.
func (c *contest) recall(f *flowEntry) {
	c.server, c.seenAt = f.server.Token, f.firstAt
	if c.sighting = c.sightingIn(f.firstSeq, f.firstLen); f.confirmed {
		c.sighting = max(c.sighting, FirstData)
	}
}

// NoteSighting notes what a packet that waits for the answers of peers shows of the server
// of its flow. It arrived at a time, at the earliest.
func (e *Engine) NoteSighting(arrived time.Duration, p *Packet) {
	c := e.contestOf(p.Key(), p.Seq)
	if c == nil || p.Token == 0 || p.Token == c.server || p.RST {
		return
	}
	if sighting := c.sightingIn(p.Seq, p.Len); c.precededBy(arrived, sighting) {
		c.server, c.seenAt, c.sighting = p.Token, arrived, sighting
	}
}

// DecideContested decides on a packet after the peers have been asked about its flow. If
// none of them has seen the flow open, what was seen here tells its server.
func (e *Engine) DecideContested(now time.Duration, p *Packet) Verdict {
	if c := e.contestOf(p.Key(), p.Seq); c != nil {
		if c.server == 0 && p.Token != 0 {
			e.suggestServer(now, c, p)
			c.asking = true
		}
		if c.asking {
			c.asking = false
			e.tellContest(p.Key())
		}
	}
	return e.Decide(now, p)
}

// EndQuestion ends the wait for the answers of peers, which have all been told what is
// known of a contested flow.
func (e *Engine) EndQuestion(key Key) {
	if c := e.contests[key]; c != nil {
		c.asking = false
	}
}

// suggestServer takes the token of a packet for that of the flow's server, unless the flow
// was seen here before, with another token, and the caller has got no data since. A
// better sighting of a peer replaces it.
func (e *Engine) suggestServer(now time.Duration, c *contest, p *Packet) {
	c.server, c.seenAt, c.sighting = p.Token, now-p.Age, c.sightingIn(p.Seq, p.Len)
	if f := e.flows[p.Key()]; f != nil && f.established && !f.acknowledges(p) {
		c.recall(f)
	}
}

// expireContests forgets the contested flows whose time is over.
func (e *Engine) expireContests(now time.Duration) {
	n := 0
	for n < len(e.contestOrder) {
		key := e.contestOrder[n]
		if c := e.contests[key]; c != nil {
			if now < c.until {
				break
			}
			delete(e.contests, key)
		}
		n++
	}
	e.contestOrder = e.contestOrder[n:]
}
