package group_test

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
)

// benchTable holds n open feeds on five hosts.
func benchTable(b *testing.B, n int) *group.Table {
	b.Helper()
	f := defaultFleet(5)
	f.max = 2 * n
	tab := f.table(group.Config{})
	tab.StartCopies(0)
	for i := range n {
		open(b, tab, 0, feed, i)
	}
	return tab
}

// BenchmarkNew is the decision for a SYN; the flows are ended again outside
// the timer. best-ns/new is that of the fastest batch, which other work on the
// machine disturbed least.
func BenchmarkNew(b *testing.B) {
	const flows, batch = 300_000, 1000
	tab := benchTable(b, flows)
	p := flow.Packet{}
	r := group.Request{Packet: &p, Kind: feed}
	n, now, best := 0, time.Second, time.Hour
	each := func(flags flow.Flags) {
		for i := range batch {
			p = flow.Packet{Key: key(feed, flows+(n+i)%100_000), Flags: flags, Seq: uint32(n + i)}
			if d := tab.Decide(now, &r); d.Verdict != group.Forward {
				b.Fatalf("%+v", d)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		each(flow.SYN)
		best = min(best, time.Since(start))
		b.StopTimer()
		each(flow.RST)
		n += batch
		now += 50 * time.Millisecond // 20,000 new flows a second
		tab.Tick(now)
		for c, ok := tab.NextCopies(now, 50); ok; c, ok = tab.NextCopies(now, 50) {
			tab.Acknowledge(ackOf(&c))
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/new")
	b.ReportMetric(float64(best.Nanoseconds())/batch, "best-ns/new")
}

// timeBatches times each in batches of 1000. best-ns is that of the fastest
// batch, which other work on the machine disturbed least.
func timeBatches(b *testing.B, each func(n int)) {
	const batch = 1000
	n, best := 0, time.Hour
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		for range batch {
			each(n)
			n++
		}
		best = min(best, time.Since(start))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/packet")
	b.ReportMetric(float64(best.Nanoseconds())/batch, "best-ns/packet")
}

func benchEstablished(b *testing.B, flows, step int) {
	tab := benchTable(b, flows)
	p := flow.Packet{Flags: flow.ACK, Seq: 101, Ack: 5002}
	r := group.Request{Packet: &p, Kind: feed}
	timeBatches(b, func(n int) {
		p.Key = key(feed, n*step%flows)
		if d := tab.Decide(time.Second, &r); d.Verdict != group.Forward {
			b.Fatalf("%+v", d)
		}
	})
}

// BenchmarkEstablished is the decision for a packet of an open flow, with
// flows picked so that each look-up leaves the caches, and with 10,000 of the
// flows busy.
func BenchmarkEstablished(b *testing.B) {
	b.Run("random", func(b *testing.B) { benchEstablished(b, 300_000, 100_003) })
	b.Run("busy", func(b *testing.B) { benchEstablished(b, 10_000, 3) })
}

// BenchmarkMiss is the answer for a flow without an entry.
func BenchmarkMiss(b *testing.B) {
	tab := benchTable(b, 300_000)
	p := flow.Packet{Flags: flow.ACK, Seq: 101, Ack: 5002}
	r := group.Request{Packet: &p, Kind: feed, Op: group.OpLookup}
	timeBatches(b, func(n int) {
		p.Key = key(feed, 300_000+n*7%1_000_000)
		if d := tab.Decide(time.Second, &r); d.Verdict != group.Miss {
			b.Fatalf("%+v", d)
		}
	})
}

// BenchmarkTick is one call with 300,000 open flows, and the longest of them.
func BenchmarkTick(b *testing.B) {
	tab := benchTable(b, 300_000)
	now, worst := time.Second, time.Duration(0)
	for b.Loop() {
		now += 50 * time.Millisecond
		start := time.Now()
		tab.Tick(min(now, time.Minute))
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(worst.Microseconds()), "max-us")
}
