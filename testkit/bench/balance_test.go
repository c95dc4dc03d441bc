package bench

import (
	"fmt"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
)

var (
	ticketAt = snapshot.Endpoint{Addr: 1, Port: 7002, Proto: flow.TCP}
	photoAt  = snapshot.Endpoint{Addr: 1, Port: 7003, Proto: flow.TCP}
)

const (
	ticketMean = 12 * time.Millisecond
	photoMean  = 40 * time.Millisecond
	ticketLate = time.Second
)

// workInput is one domain with 15 hosts of 2 slots, and kinds that occupy slots.
func workInput() snapshot.Input {
	in := labInput(1)
	in.Services[0].Kinds = append(in.Services[0].Kinds,
		&snapshot.Kind{
			ID: 2, Name: "ticket", Class: 0, Share: 0.5, Ceiling: 1, Occupies: snapshot.OccupiesSlot, Deadline: ticketLate,
			Service: ticketMean, Idle: time.Minute, Endpoints: []snapshot.Endpoint{ticketAt},
		},
		&snapshot.Kind{
			ID: 3, Name: "photo", Class: 2, Share: 0.3, Ceiling: 1, Occupies: snapshot.OccupiesSlot, Deadline: 2 * time.Second,
			Service: photoMean, Idle: time.Minute, Endpoints: []snapshot.Endpoint{photoAt},
		})
	return in
}

func newWork(b *testing.B, seed uint64) (*Lab, *Work) {
	b.Helper()
	l, err := NewLab(seed, workInput())
	if err != nil {
		b.Fatal(err)
	}
	l.Run(5 * time.Second)
	return l, l.NewWork()
}

// byHash is hash alone before hosts that refuse what exceeds their queue, for
// the flood, or take everything, for the balance.
func byHash(w *Work, queue int) func(*Node, *flow.Packet) Result {
	return func(n *Node, p *flow.Packet) Result {
		r := hashAlone(n, p)
		r.Reset = p.Opens() && queue > 0 && w.Waiting(r.Host) >= queue
		return r
	}
}

// BenchmarkImbalance measures the placing of lookups on 15 hosts of 2 slots: the
// 99th percentile of the time to the answer, and the largest number in progress
// on a host over the mean. hash is hash alone; global knows the exact number of
// requests of all hosts at all times; whole is the design with groups of five.
// In-process engines in virtual time.
func BenchmarkImbalance(b *testing.B) {
	for _, load := range []float64{0.6, 0.85} {
		for _, v := range []string{"hash", "global", "whole"} {
			b.Run(fmt.Sprintf("load=%v/%s", load, v), func(b *testing.B) {
				var p99, spread, refused float64
				for i := range b.N {
					l, w := newWork(b, uint64(i+1))
					switch v {
					case "hash":
						l.Route = byHash(w, 0)
					case "global":
						l.Route = func(*Node, *flow.Packet) Result { return Result{Host: w.Shortest()} }
					}
					s := &Stream{To: ticketAt, Mean: ticketMean, Rate: load * 30 / ticketMean.Seconds()}
					w.Run(20*time.Second, s)
					p99 += float64(s.Quantile(0.99).Microseconds()) / 1000
					spread += w.Spread()
					refused += float64(s.Refused+s.Lost) / float64(s.Offered)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(p99/float64(b.N), "p99-ms")
				b.ReportMetric(spread/float64(b.N), "max-to-mean")
				b.ReportMetric(100*refused/float64(b.N), "refused-%")
			})
		}
	}
}

// BenchmarkFlood measures what tickets keep while photos are offered at several
// times the capacity, and what photos keep of their guarantee while tickets
// flood. kept-% is the part of the other kind's requests that is answered
// within its deadline. In-process engines in virtual time.
func BenchmarkFlood(b *testing.B) {
	// Requests a second that 30 slots can run.
	tickets, photos := 30/ticketMean.Seconds(), 30/photoMean.Seconds()
	for _, c := range []struct {
		name            string
		tickets, photos float64 // parts of the capacity
	}{
		{"none", 0.2, 0.2}, {"photos", 0.2, 5}, {"tickets", 5, 0.2},
	} {
		for _, v := range []string{"hash", "whole"} {
			b.Run(fmt.Sprintf("%s/%s", c.name, v), func(b *testing.B) {
				var kept [2]float64
				for i := range b.N {
					l, w := newWork(b, uint64(i+1))
					if v == "hash" {
						l.Route = byHash(w, 8)
					}
					t := &Stream{To: ticketAt, Mean: ticketMean, Rate: c.tickets * tickets, Deadline: ticketLate}
					p := &Stream{To: photoAt, Mean: photoMean, Rate: c.photos * photos, Deadline: 2 * time.Second}
					w.Run(15*time.Second, t, p)
					kept[0] += t.Kept()
					kept[1] += p.Kept()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*kept[0]/float64(b.N), "kept-tickets-%")
				b.ReportMetric(100*kept[1]/float64(b.N), "kept-photos-%")
			})
		}
	}
}
