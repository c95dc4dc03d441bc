package table

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

const benchFlows = 300_000

func filledTable(n int) *Table {
	t := New()
	for i := range n {
		t.Insert(testKey(i))
	}
	return t
}

// BenchmarkMemory reports the growth of the live heap in bytes per flow.
// Segments grow at nearly the same time, so the result depends on the number of
// flows. worst-B/flow is the maximum over several numbers of flows, from the
// designed one to 30% more.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		worst := 0.0
		for n := benchFlows; n <= benchFlows*13/10; n += benchFlows / 20 {
			bytes := heapPerFlow(n)
			if n == benchFlows {
				b.ReportMetric(bytes, "B/flow")
			}
			worst = max(worst, bytes)
		}
		b.ReportMetric(worst, "worst-B/flow")
	}
}

func heapPerFlow(n int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := filledTable(n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(t)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func BenchmarkInsert(b *testing.B) {
	b.ReportAllocs()
	t := New()
	n := 0
	for b.Loop() {
		if n == benchFlows {
			b.StopTimer()
			t, n = New(), 0
			b.StartTimer()
		}
		t.Insert(testKey(n))
		n++
	}
}

func BenchmarkHash(b *testing.B) {
	sum, n := uint64(0), 0
	for b.Loop() {
		n++
		sum += hashKey(testKey(n))
	}
	_ = sum
}

func BenchmarkFind(b *testing.B) {
	t := filledTable(benchFlows)
	for name, from := range map[string]int{"hit": 0, "miss": benchFlows} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				// A large odd step makes most lookups miss the CPU caches.
				n = (n + 100_003) % benchFlows
				if (t.Find(testKey(from+n)) != nil) != (from == 0) {
					b.Fatalf("lookup of flow %d: want found=%v", from+n, from == 0)
				}
			}
		})
	}
}

// BenchmarkSweep measures the cost of each slot visited.
func BenchmarkSweep(b *testing.B) {
	t := filledTable(benchFlows)
	const slots = 1000
	for b.Loop() {
		t.Sweep(slots, func(*Entry) bool { return false })
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/slots, "ns/slot")
}

// BenchmarkPause reports the longest single calls of Insert and Sweep while a
// table is filled and then emptied. A pause of the machine may cause the
// maximum, so the 99.99th percentile is reported too.
func BenchmarkPause(b *testing.B) {
	for b.Loop() {
		t := New()
		var inserts, sweeps []time.Duration
		for n := range benchFlows {
			start := time.Now()
			t.Insert(testKey(n))
			inserts = append(inserts, time.Since(start))
		}
		for t.Len() > 0 {
			start := time.Now()
			t.Sweep(2048, func(*Entry) bool { return true })
			sweeps = append(sweeps, time.Since(start))
		}
		for name, list := range map[string][]time.Duration{"insert": inserts, "sweep": sweeps} {
			slices.Sort(list)
			b.ReportMetric(microseconds(list[len(list)-1]), fmt.Sprintf("%s-max-us", name))
			b.ReportMetric(microseconds(list[len(list)*9999/10_000]), fmt.Sprintf("%s-p9999-us", name))
		}
	}
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
