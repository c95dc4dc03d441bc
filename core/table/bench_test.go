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

// BenchmarkMemory reports the bytes a flow, as the growth of the live heap.
// Segments grow at nearly the same time, so the figure depends on the number
// of flows; worst is over several numbers around the one designed for.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		worst := 0.0
		for n := benchFlows; n <= benchFlows*13/10; n += benchFlows / 20 {
			per := heapPerFlow(n)
			if n == benchFlows {
				b.ReportMetric(per, "B/flow")
			}
			worst = max(worst, per)
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
				// A large odd step defeats the caches.
				n = (n + 100_003) % benchFlows
				if (t.Find(testKey(from+n)) != nil) != (from == 0) {
					b.Fatal("wrong answer")
				}
			}
		})
	}
}

// BenchmarkSweep is the cost of a slot visited.
func BenchmarkSweep(b *testing.B) {
	t := filledTable(benchFlows)
	const slots = 1000
	for b.Loop() {
		t.Sweep(slots, func(*Entry) bool { return false })
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/slots, "ns/slot")
}

// BenchmarkPause reports the longest single calls while a table fills and is
// swept empty. The longest of all may be a pause of the machine, so the
// 99.99th percentile is reported too.
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
