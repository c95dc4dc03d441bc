package bench

import (
	"slices"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

// Work sends short requests, one a connection, to hosts that run Slots at once
// and let the others wait in order of arrival.
type Work struct {
	lab   *Lab
	hosts map[snapshot.HostID]*workHost
	ports uint32
	load  Load
}

type workHost struct {
	slots, running int
	waiting        []*job
}

type job struct {
	stream *Stream
	key    flow.Key
	host   *workHost
	seq    uint32
	start  time.Duration
	takes  time.Duration
}

// Stream is requests of one kind of work at a rate.
type Stream struct {
	To       snapshot.Endpoint
	Rate     float64       // a second
	Mean     time.Duration // exponential service time
	Deadline time.Duration // an answer after it is of no use, 0 for none

	Offered, Refused, Lost, InTime int
	times                          []time.Duration
}

// Load is what the hosts were seen to have in progress.
type Load struct{ samples, sumSpread float64 }

// NewWork returns idle hosts for all of the lab's.
func (l *Lab) NewWork() *Work {
	w := &Work{lab: l, hosts: make(map[snapshot.HostID]*workHost)}
	for _, h := range l.Input.Hosts {
		w.hosts[h.ID] = &workHost{slots: h.Slots}
	}
	return w
}

// Run offers the streams for a while and lets what was begun end.
func (w *Work) Run(d time.Duration, streams ...*Stream) {
	end := w.lab.Now + d
	for _, s := range streams {
		w.arrive(s, end)
	}
	w.sample(end)
	w.lab.Run(d)
}

func (w *Work) arrive(s *Stream, end time.Duration) {
	gap := time.Duration(w.lab.Rand.ExpFloat64() / s.Rate * float64(time.Second))
	if w.lab.Now+gap > end {
		return
	}
	w.lab.After(gap, func() {
		w.open(s)
		w.arrive(s, end)
	})
}

func (w *Work) open(s *Stream) {
	s.Offered++
	w.ports++
	j := &job{
		stream: s, start: w.lab.Now, seq: w.ports * 1000,
		takes: time.Duration(w.lab.Rand.ExpFloat64() * float64(s.Mean)),
		key: flow.Key{
			Src: flow.Addr(10<<24 + w.ports>>14), SrcPort: uint16(1024 + w.ports&0x3fff),
			Dst: s.To.Addr, DstPort: s.To.Port, Proto: s.To.Proto,
		},
	}
	r := w.lab.Packet(&flow.Packet{Key: j.key, Flags: flow.SYN, Seq: j.seq})
	switch {
	case r.Reset:
		s.Refused++
		return
	case r.Host == 0:
		s.Lost++
		return
	}
	j.host = w.hosts[r.Host]
	w.lab.Packet(&flow.Packet{Key: j.key, Flags: flow.ACK | flow.PSH, Seq: j.seq + 1, Ack: 1, PayloadLen: 10})
	j.host.waiting = append(j.host.waiting, j)
	w.next(j.host)
}

func (w *Work) next(h *workHost) {
	for h.running < h.slots && len(h.waiting) > 0 {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.running++
		w.lab.After(j.takes, func() { w.done(j) })
	}
}

func (w *Work) done(j *job) {
	took := w.lab.Now - j.start
	j.stream.times = append(j.stream.times, took)
	if j.stream.Deadline == 0 || took <= j.stream.Deadline {
		j.stream.InTime++
	}
	w.lab.Packet(&flow.Packet{Key: j.key, Flags: flow.ACK | flow.FIN, Seq: j.seq + 11, Ack: 8})
	j.host.running--
	w.next(j.host)
}

const samplePeriod = 20 * time.Millisecond

func (w *Work) sample(end time.Duration) {
	most, sum := 0, 0
	for _, h := range w.hosts {
		n := h.running + len(h.waiting)
		most, sum = max(most, n), sum+n
	}
	if sum > 0 {
		w.load.samples++
		w.load.sumSpread += float64(most*len(w.hosts)) / float64(sum)
	}
	if w.lab.Now < end {
		w.lab.After(samplePeriod, func() { w.sample(end) })
	}
}

// Spread is the mean over time of the largest number of requests in progress
// on a host over the mean number on a host. 1 is perfect balance.
func (w *Work) Spread() float64 { return w.load.sumSpread / max(w.load.samples, 1) }

// Shortest returns the host with the fewest requests, for a baseline with one
// exact view of all hosts.
func (w *Work) Shortest() snapshot.HostID {
	best, least := snapshot.HostID(0), 0
	for _, h := range w.lab.Input.Hosts {
		at := w.hosts[h.ID]
		if n := at.running + len(at.waiting); best == 0 || n < least {
			best, least = h.ID, n
		}
	}
	return best
}

// Waiting returns the requests that wait at a host beyond its slots.
func (w *Work) Waiting(h snapshot.HostID) int { return len(w.hosts[h].waiting) }

// Quantile returns the time within which a part of the answers came.
func (s *Stream) Quantile(q float64) time.Duration {
	if len(s.times) == 0 {
		return 0
	}
	t := slices.Sorted(slices.Values(s.times))
	return t[min(len(t)-1, int(q*float64(len(t))))]
}

// Kept is the part of the offered requests that was answered in time.
func (s *Stream) Kept() float64 { return float64(s.InTime) / float64(max(s.Offered, 1)) }
