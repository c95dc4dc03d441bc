package bench

import (
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

// Feeds are long connections that send a packet about once a second. A feed
// breaks when its packet reaches another host than its SYN, when its caller is
// reset, or when no packet of it arrives for giveUp.
type Feeds struct {
	lab    *Lab
	to     snapshot.Endpoint
	first  uint32 // number of the first flow, so that seeds give other flows
	all    []*feedFlow
	Broken map[group.Reason]int
}

type feedFlow struct {
	feeds  *Feeds
	key    flow.Key
	seq    uint32
	ack    uint32
	host   snapshot.HostID
	opened time.Duration
	broken time.Duration // 0 while it is up
	lost   time.Duration // since when packets are lost, 0 if they arrive
	tries  int
}

// giveUp is how long TCP goes on without an answer at the least.
const giveUp = 30 * time.Second

// NewFeeds returns feeds of a destination.
func (l *Lab) NewFeeds(to snapshot.Endpoint) *Feeds {
	return &Feeds{lab: l, to: to, first: l.Rand.Uint32N(1 << 30), Broken: make(map[group.Reason]int)}
}

// Open opens n feeds, evenly over a time, and lets that time pass.
func (f *Feeds) Open(n int, over time.Duration) {
	for i := range n {
		f.lab.After(over*time.Duration(i)/time.Duration(n), f.open)
	}
	f.lab.Run(over)
}

func (f *Feeds) open() {
	n := f.first + uint32(len(f.all))
	k := &feedFlow{
		feeds: f, seq: n * 5000, opened: f.lab.Now, ack: 1000,
		key: flow.Key{
			Src: flow.Addr(10<<24 | n>>14), SrcPort: uint16(1024 + n&0x3fff),
			Dst: f.to.Addr, DstPort: f.to.Port, Proto: f.to.Proto,
		},
	}
	f.all = append(f.all, k)
	k.syn()
}

func (k *feedFlow) syn() {
	l := k.feeds.lab
	r := l.Packet(&flow.Packet{Key: k.key, Flags: flow.SYN, Seq: k.seq})
	switch {
	case r.Reset:
		k.end("refused")
	case r.Host == 0 && k.tries < 5:
		k.tries++
		l.After(time.Second, k.syn)
	case r.Host == 0:
		k.end("no_answer")
	default:
		k.host, k.seq = r.Host, k.seq+1
		l.After(4*time.Millisecond, k.send)
	}
}

func (k *feedFlow) end(why group.Reason) {
	k.broken = k.feeds.lab.Now
	k.feeds.Broken[why]++
}

// send sends one packet and repeats it with TCP's back-off until it arrives.
func (k *feedFlow) send() {
	l := k.feeds.lab
	p := flow.Packet{Key: k.key, Flags: flow.ACK | flow.PSH, Seq: k.seq, Ack: k.ack, PayloadLen: 10}
	switch r := l.Packet(&p); {
	case r.Reset:
		k.end("reset: " + r.Reason)
	case r.Host == 0:
		k.retry(r.Reason)
	case r.Host != k.host:
		k.end("other_host")
	default:
		k.seq, k.ack, k.lost, k.tries = k.seq+10, k.ack+7, 0, 0
		l.After(500*time.Millisecond+time.Duration(l.Rand.Int64N(int64(time.Second))), k.send)
	}
}

func (k *feedFlow) retry(why group.Reason) {
	l := k.feeds.lab
	if k.lost == 0 {
		k.lost = l.Now
	}
	if l.Now-k.lost > giveUp {
		k.end("lost: " + why)
		return
	}
	l.After(min(200*time.Millisecond<<k.tries, 2*time.Second), k.send)
	k.tries++
}

// Loss counts feeds that broke after a change: those older than a limit at the
// change, and the others. Oldest is the age of the oldest of them.
type Loss struct {
	Older, Younger int
	Oldest         time.Duration
}

// Loss returns what broke at or after a time.
func (f *Feeds) Loss(since, young time.Duration) Loss {
	var l Loss
	for _, k := range f.all {
		if k.broken == 0 || k.broken < since {
			continue
		}
		age := since - k.opened
		l.Oldest = max(l.Oldest, age)
		if age >= young {
			l.Older++
		} else {
			l.Younger++
		}
	}
	return l
}
