package queueing

import (
	"time"

	"egrettack.example/core/snapshot"
)

// Kinds of the flood model. All share 15 hosts, so that each can starve the others.
const (
	ticket snapshot.KindID = iota + 1
	quick                  // lookups
	upload
	photo
	feeds
	numKinds
)

var floodNames = [numKinds]string{ticket: "ticket", quick: "lookup", upload: "upload", photo: "photo", feeds: "feed"}

// shares are the guaranteed parts of the places.
var shares = [numKinds]float64{ticket: 0.25, quick: 0.25, upload: 0.2, photo: 0.2}

func floodKinds() []*snapshot.Kind {
	slot := func(id snapshot.KindID, class uint8, deadline time.Duration) *snapshot.Kind {
		return &snapshot.Kind{
			ID: id, Name: floodNames[id], Class: class, Share: shares[id], Ceiling: 0.8, Occupies: snapshot.OccupiesSlot,
			Deadline: deadline, ServiceTime: meanService, IdleTimeout: time.Minute,
		}
	}
	return []*snapshot.Kind{
		slot(ticket, 0, time.Second),
		slot(quick, 1, time.Second),
		slot(upload, 2, 2*time.Second),
		slot(photo, 3, 2*time.Second),
		{ID: feeds, Name: "feed", Class: 0, Share: 0.5, Ceiling: 1, Occupies: snapshot.OccupiesConnection, IdleTimeout: time.Hour},
	}
}

// sameKinds are kinds without shares, so that only the limit of each host holds.
func sameKinds(deadline time.Duration) func() []*snapshot.Kind {
	return func() []*snapshot.Kind {
		list := floodKinds()
		for _, k := range list {
			k.Class, k.Share, k.Ceiling, k.Deadline = 0, 0, 1, deadline
		}
		return list
	}
}

// phase counts what callers got of one kind in one part of the run.
type phase struct {
	asked, good, first int // first: admitted without a retry
	took               []time.Duration
}

const (
	phaseCalm = iota
	phaseFlood
	phaseAfter
	phases
)

// floodRun is one run: 5 s calm, 5 s of flood, 5 s afterwards.
type floodRun struct {
	m       *model
	demand  float64 // of each kind outside floods, as a part of its share
	flooded map[snapshot.KindID]bool
	counts  [phases][numKinds]phase
	useful  time.Duration // slot time of requests answered in time during the flood
	recent  []*lateness
}

type lateness struct {
	at   time.Duration
	late bool
}

const (
	calmFor    = 5 * time.Second
	floodFor   = 5 * time.Second
	retries    = 3
	retryAfter = 100 * time.Millisecond
	fleetSlots = 30
)

func (r *floodRun) phase() int {
	switch {
	case r.m.now < calmFor:
		return phaseCalm
	case r.m.now < calmFor+floodFor:
		return phaseFlood
	}
	return phaseAfter
}

func (r *floodRun) rate(k snapshot.KindID) float64 {
	load := r.demand * shares[k]
	if r.flooded[k] && r.phase() == phaseFlood {
		load = 10 / float64(len(r.flooded))
	}
	return load * fleetSlots / meanService.Seconds()
}

// ask makes one request with up to three retries after refusals. An answer is
// good when it comes within a second of the first try.
func (r *floodRun) ask(k snapshot.KindID) {
	p, start, service := r.phase(), r.m.now, r.m.exp(meanService)
	c := &r.counts[p][k]
	c.asked++
	fate := &lateness{start, true}
	if p == phaseAfter {
		r.recent = append(r.recent, fate)
	}
	var try func(left int)
	try = func(left int) {
		ok := r.m.request(k, service, func(time.Duration) {
			took := r.m.now - start
			c.took = append(c.took, took)
			if took <= time.Second {
				c.good++
				if t := r.m.now - calmFor; t >= 0 && t < floodFor {
					r.useful += service
				}
			}
			fate.late = took > 10*meanService
		})
		if ok && left == retries {
			c.first++
		}
		if !ok && left > 0 {
			r.m.after(retryAfter+r.m.exp(retryAfter), func() { try(left - 1) })
		}
	}
	try(retries)
}

// recovery is the time after the flood from which on fewer than 2% of the
// requests of each 200 ms are late (ten times the mean service) or refused.
func (r *floodRun) recovery() time.Duration {
	const window = 200 * time.Millisecond
	var asked, late [22]int // what is asked later may not be answered by the end
	for _, l := range r.recent {
		w := int((l.at - calmFor - floodFor) / window)
		if w < 0 || w >= len(asked) {
			continue
		}
		asked[w]++
		if l.late {
			late[w]++
		}
	}
	last := -1
	for w := range asked {
		if late[w]*50 > asked[w] {
			last = w
		}
	}
	return time.Duration(last+1) * window
}

func runFlood(seed uint64, demand float64, s Fleet, flooded ...snapshot.KindID) *floodRun {
	spec := snapshot.Host{Slots: 2, QueueLimit: s.queue, ConnectionLimit: 1_000_000}
	r := &floodRun{m: newModel(seed, 15, 5, spec, s.kinds()), flooded: map[snapshot.KindID]bool{}, demand: demand}
	for _, k := range flooded {
		r.flooded[k] = true
	}
	for k := ticket; k <= photo; k++ {
		r.m.arrivals(func() float64 { return r.rate(k) }, func() { r.ask(k) })
	}
	r.m.arrivals(func() float64 { return 100 }, func() {
		c := &r.counts[r.phase()][feeds]
		c.asked++
		if p, ok := r.m.open(feeds); ok {
			c.good++
			r.m.after(r.m.exp(feedLife), p.end)
		}
	})
	r.m.run(calmFor + floodFor + 5*time.Second)
	return r
}

func (c *phase) goodput() float64 { return 100 * float64(c.good) / float64(max(1, c.asked)) }

func (c *phase) p99() float64 { return float64(percentile(c.took, 0.99).Microseconds()) / 1000 }

func (r *floodRun) addTo(sums map[string]float64) {
	for k := ticket; k < numKinds; k++ {
		if r.flooded[k] {
			continue
		}
		calm, flood := &r.counts[phaseCalm][k], &r.counts[phaseFlood][k]
		sums[floodNames[k]+"-goodput-%"] += 100 * flood.goodput() / calm.goodput()
		if k == feeds {
			continue
		}
		sums[floodNames[k]+"-first-try-%"] += 100 * float64(flood.first) / float64(max(1, flood.asked))
		sums[floodNames[k]+"-p99-ms"] += flood.p99()
		sums[floodNames[k]+"-calm-p99-ms"] += calm.p99()
	}
	sums["useful-%"] += 100 * r.useful.Seconds() / (fleetSlots * floodFor.Seconds())
	sums["recovery-s"] += r.recovery().Seconds()
}
