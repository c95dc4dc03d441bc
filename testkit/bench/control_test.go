package bench

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The bounds of the control cost of one instance (design, section 2.6).
const (
	maxBytes = 9000.0 // a second
	maxCPU   = 3.5    // % of a core
	maxMB    = 32.0
)

const (
	// settle is the time that a change of the cluster gets before a window.
	settle = 2 * time.Second
	window = 5 * time.Second
	// limit bounds one benchmark with its processes.
	limit = 100 * time.Second
)

// newCluster starts a cluster with the first n instances listed and ready.
func newCluster(b *testing.B, s Spec, n int) (context.Context, *Cluster) {
	b.Helper()
	// The stand-ins log each fault, which would stand among the rows.
	slog.SetLogLoggerLevel(slog.LevelWarn)
	s.Bin = os.Getenv("BIN")
	if s.Bin == "" {
		b.Skip("BIN is not set (make bench)")
	}
	if s.Domains == nil {
		s.Domains = []string{"north"}
	}
	s.Tree, s.Dir = filepath.Join("..", "demo", "tree"), b.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	b.Cleanup(cancel)
	c, err := NewCluster(s)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	grow(ctx, b, c, 0, n)
	return ctx, c
}

func grow(ctx context.Context, b *testing.B, c *Cluster, from, to int) {
	b.Helper()
	if _, err := c.List(to); err != nil {
		b.Fatal(err)
	}
	if err := c.Start(from, to); err != nil {
		b.Fatal(err)
	}
	if err := c.Ready(ctx, to); err != nil {
		b.Fatal(err)
	}
}

func measure(ctx context.Context, b *testing.B, c *Cluster, n int, w time.Duration, between func()) Cost {
	b.Helper()
	time.Sleep(settle)
	cost, err := c.Measure(ctx, n, w, between)
	if err != nil {
		b.Fatal(err)
	}
	return cost
}

func report(b *testing.B, c Cost) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(c.Sent, "sent-B/s")
	b.ReportMetric(c.WorstSent, "worst-sent-B/s")
	b.ReportMetric(c.Received, "received-B/s")
	b.ReportMetric(c.Heartbeats, "heartbeat-B/s")
	b.ReportMetric(c.Copies, "copy-B/s")
	b.ReportMetric(c.Probes, "probe-B/s")
	b.ReportMetric(c.Platform, "platform-B/s")
	b.ReportMetric(c.CPU, "cpu-%")
	b.ReportMetric(c.WorstCPU, "worst-cpu-%")
	b.ReportMetric(c.RSS, "rss-MB")
	b.ReportMetric(c.WorstRSS, "worst-rss-MB")
	b.ReportMetric(c.Heap, "heap-MB")
}

// series collects the costs of the points of one dimension.
type series struct {
	x     []float64
	costs []Cost
}

func (s *series) add(x int, c Cost) {
	s.x, s.costs = append(s.x, float64(x)), append(s.costs, c)
}

// slopes reports the least-squares slope of each cost for unit of x.
func (s *series) slopes(b *testing.B, unit string) {
	b.Run("slope", func(b *testing.B) {
		b.ReportMetric(0, "ns/op")
		for name, f := range map[string]func(Cost) float64{
			"sent-B/s": func(c Cost) float64 { return c.Sent }, "received-B/s": func(c Cost) float64 { return c.Received },
			"probe-B/s": func(c Cost) float64 { return c.Probes }, "platform-B/s": func(c Cost) float64 { return c.Platform },
			"cpu-%":  func(c Cost) float64 { return c.CPU },
			"rss-KB": func(c Cost) float64 { return c.RSS * 1024 }, "heap-KB": func(c Cost) float64 { return c.Heap * 1024 },
		} {
			y := make([]float64, len(s.costs))
			for i, c := range s.costs {
				y[i] = f(c)
			}
			slope, at0 := Slope(s.x, y)
			b.ReportMetric(slope, name+"/"+unit)
			b.ReportMetric(at0, name+"-at-0")
		}
	})
}

// BenchmarkControlPeers measures the control cost of one instance against the
// number of its peers, at 8 hosts an instance, which is the ratio of the design,
// and no open flow. Real processes.
func BenchmarkControlPeers(b *testing.B) {
	sizes := []int{5, 9, 21, 41, 60}
	ctx, c := newCluster(b, Spec{Instances: 60, Hosts: 40}, 5)
	var s series
	for i, n := range sizes {
		if i > 0 {
			if _, err := c.SetHosts(8 * n); err != nil {
				b.Fatal(err)
			}
			grow(ctx, b, c, sizes[i-1], n)
		}
		b.Run(fmt.Sprintf("peers=%d", n-1), func(b *testing.B) {
			cost := measure(ctx, b, c, n, window, nil)
			report(b, cost)
			s.add(n-1, cost)
		})
	}
	s.slopes(b, "peer")
}

// BenchmarkControlHosts measures it against the number of hosts of a domain
// with 20 instances. Real processes.
func BenchmarkControlHosts(b *testing.B) {
	ctx, c := newCluster(b, Spec{Instances: 20, Hosts: 20}, 20)
	var s series
	for _, n := range []int{20, 40, 80, 160} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			if _, err := c.SetHosts(n); err != nil {
				b.Fatal(err)
			}
			cost := measure(ctx, b, c, 20, window, nil)
			report(b, cost)
			s.add(n/20, cost)
		})
	}
	s.slopes(b, "host-of-instance")
}

// BenchmarkControlChanges measures it against changes a minute, with 20
// instances and 160 hosts. Real processes.
func BenchmarkControlChanges(b *testing.B) {
	ctx, c := newCluster(b, Spec{Instances: 20, Hosts: 160}, 20)
	var s series
	for _, n := range []int{0, 10, 30, 60} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			cost := measure(ctx, b, c, 20, window, func() {
				for i := range n * int(window/time.Second) / 60 {
					if i > 0 {
						time.Sleep(time.Minute / time.Duration(n))
					}
					if _, err := c.Toggle(); err != nil {
						b.Error(err)
					}
				}
			})
			report(b, cost)
			s.add(n, cost)
		})
	}
	s.slopes(b, "change-a-minute")
}

// BenchmarkControlFlows measures it against the open flows of an instance, in
// a domain of 20 instances and 160 hosts. The flows are opened at a rate that
// leaves a backlog of copies, so sent-B/s is bounded by the budget here. Real
// processes.
func BenchmarkControlFlows(b *testing.B) {
	ctx, c := newCluster(b, Spec{Instances: 20, Hosts: 160}, 20)
	var s series
	opened := 0
	for _, n := range []int{0, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			if err := c.Open(opened, n*20-opened, 20, 15000); err != nil {
				b.Fatal(err)
			}
			opened = n * 20
			cost := measure(ctx, b, c, 20, window, nil)
			report(b, cost)
			b.ReportMetric(cost.Flows, "open-flows")
			b.ReportMetric(cost.Backlog, "copy-backlog")
			s.add(int(cost.Flows), cost)
		})
	}
	s.slopes(b, "flow")
}

// BenchmarkControlNewFlows measures it against the new flows a second at each
// instance, all of which stay open, in a domain of 20 instances and 160 hosts.
// Real processes.
func BenchmarkControlNewFlows(b *testing.B) {
	const span = 8 * time.Second
	ctx, c := newCluster(b, Spec{Instances: 20, Hosts: 160}, 20)
	var s series
	opened := 0
	for _, rate := range []int{0, 10, 20, 40} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			// Flows that were opened before the window are old enough to be
			// copied in it.
			open := func(d time.Duration) {
				n := 20 * rate * int(d/time.Second)
				if err := c.Open(opened, n, 20, float64(20*rate)); err != nil {
					b.Error(err)
				}
				opened += n
			}
			open(3 * time.Second)
			cost, err := c.Measure(ctx, 20, span, func() { open(span) })
			if err != nil {
				b.Fatal(err)
			}
			report(b, cost)
			b.ReportMetric(cost.Flows, "open-flows")
			b.ReportMetric(cost.Backlog, "copy-backlog")
			s.add(rate, cost)
		})
	}
	s.slopes(b, "new-flow/s")
}

// BenchmarkControlDesign measures it at the design's size: 8 real instances of a
// domain of 60, which know 420 instances, 3,500 hosts and 500 addresses. The
// heartbeats of the others come from this process. The later parts have changes
// in the window of 10 s, of which the design has one in 72 s.
func BenchmarkControlDesign(b *testing.B) {
	const n = 8
	ctx, c := newCluster(b, Spec{Instances: n, Large: true}, 0)
	ctx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Others(ctx) }()
	defer func() {
		stop()
		if err := <-done; err != nil {
			b.Error(err)
		}
	}()
	if err := c.Start(0, n); err != nil {
		b.Fatal(err)
	}
	// Not until ready: the groups of instances that do not run have no owner.
	time.Sleep(15 * time.Second)
	for _, changes := range []int{0, 1, 3} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			cost := measure(ctx, b, c, n, 10*time.Second, func() {
				for range changes {
					if _, err := c.Toggle(); err != nil {
						b.Error(err)
					}
					time.Sleep(3 * time.Second)
				}
			})
			report(b, cost)
			b.ReportMetric(cost.Peers, "ready-peers")
			b.ReportMetric(cost.Groups, "groups")
			b.ReportMetric(cost.Sent/maxBytes, "bytes-of-bound")
			b.ReportMetric(cost.CPU/maxCPU, "cpu-of-bound")
			b.ReportMetric(cost.RSS/maxMB, "rss-of-bound")
		})
	}
}
