package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/world"
)

const (
	// maxCalls is what the platform allows, in calls a second, and half of it
	// the target.
	maxCalls   = 2000
	targetSize = 420
	// inForceBound and inForceAim are for a change at all instances.
	inForceBound = 9.0 // s
	inForceAim   = 2.0 // s
)

// calls reports the calls a second and an instance over a span, and the most
// between two looks, which are a second apart.
func calls(ctx context.Context, b *testing.B, c *Cluster, n int, span time.Duration, each func()) float64 {
	b.Helper()
	before, err := c.Calls(ctx)
	if err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	most, last := uint64(0), before.Total
	for time.Since(start) < span {
		if each != nil {
			each()
		}
		time.Sleep(time.Second)
		now, err := c.Calls(ctx)
		if err != nil {
			b.Fatal(err)
		}
		most, last = max(most, now.Total-last), now.Total
	}
	after, err := c.Calls(ctx)
	if err != nil {
		b.Fatal(err)
	}
	if after.Refused > before.Refused {
		b.Errorf("%d calls were refused", after.Refused-before.Refused)
	}
	rate := float64(after.Total-before.Total) / time.Since(start).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(rate, "calls/s")
	b.ReportMetric(float64(most), "most-calls/s")
	b.ReportMetric(rate/float64(n), "calls/s/instance")
	b.ReportMetric(rate/float64(n)*targetSize, "scaled-calls/s")
	b.ReportMetric(float64(most)/float64(n)*targetSize, "scaled-most-calls/s")
	b.ReportMetric(rate/float64(n)*targetSize/maxCalls, "of-limit")
	return rate / float64(n)
}

// BenchmarkPlatformCalls measures the calls that 40 instances make, scaled to
// 420: idle over one full wait, with a change each 5 s, and in an outage of
// 10 s and the 5 s after it. scaled-calls/s at a change each 72 s is computed
// from the two rates. Real processes.
func BenchmarkPlatformCalls(b *testing.B) {
	const n = 40
	ctx, c := newCluster(b, Spec{Instances: n, Hosts: 160}, n)
	time.Sleep(settle)
	var idle, busy float64
	b.Run("idle", func(b *testing.B) { idle = calls(ctx, b, c, n, 56*time.Second, nil) })
	b.Run("change-each-5s", func(b *testing.B) {
		at := time.Time{}
		busy = calls(ctx, b, c, n, 15*time.Second, func() {
			if time.Since(at) >= 5*time.Second {
				at = time.Now()
				if _, err := c.Toggle(); err != nil {
					b.Fatal(err)
				}
			}
		})
	})
	b.Run("change-each-72s", func(b *testing.B) {
		b.ReportMetric(0, "ns/op")
		scaled := (idle + (busy-idle)*5/72) * targetSize
		b.ReportMetric(scaled, "scaled-calls/s")
		b.ReportMetric(scaled/maxCalls, "of-limit")
	})
	b.Run("outage", func(b *testing.B) { outage(ctx, b, c, n) })
}

func outage(ctx context.Context, b *testing.B, c *Cluster, n int) {
	if err := c.Down(ctx, true); err != nil {
		b.Fatal(err)
	}
	// A change ends the waiting calls, as the end of their connections does.
	if _, err := c.Toggle(); err != nil {
		b.Fatal(err)
	}
	seconds := 0
	calls(ctx, b, c, n, 15*time.Second, func() {
		if seconds++; seconds == 10 {
			if err := c.Down(ctx, false); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkPlatformBoot measures the most calls in one second when all 60
// instances of a domain start at once, and the time until all are ready. The
// rest of 420 instances idles meanwhile. Real processes.
func BenchmarkPlatformBoot(b *testing.B) {
	const n = 60
	ctx, c := newCluster(b, Spec{Instances: n, Hosts: 500}, 0)
	if _, err := c.List(n); err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	if err := c.Start(0, n); err != nil {
		b.Fatal(err)
	}
	if err := c.Ready(ctx, n); err != nil {
		b.Fatal(err)
	}
	took := time.Since(start)
	v, err := c.Calls(ctx)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(took.Seconds(), "ready-s")
	b.ReportMetric(float64(v.Total)/n, "calls/instance")
	b.ReportMetric(float64(v.Peak), "most-calls/s")
	b.ReportMetric(float64(v.Peak)/maxCalls, "of-limit")
	b.ReportMetric(float64(c.PlatformBytes.Load())/n, "bytes/instance")
}

// BenchmarkInForce measures the time from a publication until it is in force at
// the last of 36 instances in three domains, by their status pages, with all
// connected to the platform and with a third of them getting no answer from it.
// Real processes.
func BenchmarkInForce(b *testing.B) {
	const n, rounds = 36, 8
	ctx, c := newCluster(b, Spec{
		Domains: []string{"north", "south", "east"}, Instances: n, Hosts: 45, Cut: n / 3,
	}, n)
	time.Sleep(settle)
	for _, cut := range []bool{false, true} {
		b.Run(fmt.Sprintf("third-cut=%v", cut), func(b *testing.B) {
			if err := c.CutOff(ctx, cut); err != nil {
				b.Fatal(err)
			}
			var last []float64
			for range rounds {
				time.Sleep(time.Second)
				last = append(last, inForce(ctx, b, c, n))
			}
			slices.Sort(last)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(last[len(last)/2], "median-s")
			b.ReportMetric(last[len(last)-1], "worst-s")
			b.ReportMetric(last[len(last)-1]/inForceBound, "of-bound")
			b.ReportMetric(last[len(last)-1]/inForceAim, "of-aim")
		})
	}
}

// inForce publishes a change and returns the seconds until all have it.
func inForce(ctx context.Context, b *testing.B, c *Cluster, n int) float64 {
	b.Helper()
	start := time.Now()
	want, err := c.Toggle()
	if err != nil {
		b.Fatal(err)
	}
	var wg sync.WaitGroup
	for _, i := range c.World.Instances[:n] {
		wg.Go(func() {
			for ctx.Err() == nil && version(ctx, i) < want {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		b.Fatalf("revision %d is not in force everywhere: %v", want, ctx.Err())
	}
	return time.Since(start).Seconds()
}

func version(ctx context.Context, i world.Instance) uint64 {
	var v struct {
		Version uint64 `json:"version"`
	}
	// A page that cannot be read counts as not in force.
	_ = control.Get(ctx, "http://"+i.HTTP.String()+"/status", &v)
	return v.Version
}
