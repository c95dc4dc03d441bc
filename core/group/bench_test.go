package group_test

import (
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
)

// benchTable returns a table with n open flows of kind feed on five hosts.
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

// BenchmarkNew measures the decision for a SYN. The flows are ended outside the
// measured time. best-ns/new is the result of the fastest batch, which other
// load on the machine affected least.
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
		now += 50 * time.Millisecond // 20,000 new flows per second
		tab.Tick(now)
		for c, ok := tab.NextCopies(now, 50); ok; c, ok = tab.NextCopies(now, 50) {
			tab.Acknowledge(ackOf(&c))
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/new")
	b.ReportMetric(float64(best.Nanoseconds())/batch, "best-ns/new")
}

// timeBatches measures the calls of each in batches of 1000. best-ns/packet is
// the result of the fastest batch, which other load on the machine affected least.
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

// BenchmarkEstablished measures the decision for a packet of an open flow:
// "random" with flows chosen so that most lookups miss the CPU caches, "busy"
// with 10,000 flows.
func BenchmarkEstablished(b *testing.B) {
	b.Run("random", func(b *testing.B) { benchEstablished(b, 300_000, 100_003) })
	b.Run("busy", func(b *testing.B) { benchEstablished(b, 10_000, 3) })
}

// BenchmarkMiss measures the decision for a flow without an entry.
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

// BenchmarkTick measures one call with 300,000 open flows, and reports the
// longest call.
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
