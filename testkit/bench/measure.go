package bench

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/world"
)

// Sample is the sum of each metric over its labels, by name. A metric that has
// a label "type", "verdict" or "state" is also kept as name/value. "groups"
// counts the group epochs.
type Sample map[string]float64

// scrape reads the metrics of one instance.
func scrape(ctx context.Context, i world.Instance) (Sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.HTTP.String()+"/metrics", nil)
	if err != nil {
		return nil, trace.Wrap(err, "metrics of %s", i.Name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.Wrap(err, "metrics of %s", i.Name)
	}
	defer resp.Body.Close()
	out := make(Sample)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		out.add(lines.Text())
	}
	return out, trace.Wrap(lines.Err(), "metrics of %s", i.Name)
}

func (s Sample) add(line string) {
	at := strings.LastIndexByte(line, ' ')
	if strings.HasPrefix(line, "#") || at < 0 {
		return
	}
	v, err := strconv.ParseFloat(line[at+1:], 64)
	if err != nil {
		return
	}
	name, labels, _ := strings.Cut(line[:at], "{")
	s[name] += v
	if name == "egrettack_group_epoch" {
		s["groups"]++
	}
	for _, l := range []string{`type="`, `verdict="`, `state="`} {
		if _, rest, ok := strings.Cut(labels, l); ok {
			value, _, _ := strings.Cut(rest, `"`)
			s[name+"/"+value] += v
		}
	}
}

// Scrape reads the metrics of the first n instances.
func (c *Cluster) Scrape(ctx context.Context, n int) ([]Sample, error) {
	out, errs := make([]Sample, n), make([]error, n)
	var wg sync.WaitGroup
	for k := range n {
		wg.Go(func() { out[k], errs[k] = scrape(ctx, c.World.Instances[k]) })
	}
	wg.Wait()
	return out, trace.NewAggregate(errs...)
}

// Cost is what control takes of one instance: means over the instances, and
// the worst instance where named so.
type Cost struct {
	Sent, Received, WorstSent float64 // bytes a second, UDP payload
	Heartbeats, Copies        float64 // bytes a second of Sent
	Probes, Platform          float64 // bytes a second, TCP payload both ways
	CPU, WorstCPU             float64 // % of a core
	RSS, Heap, WorstRSS       float64 // MB
	Flows, Backlog            float64
	Peers, Groups             float64 // ready ones; owned and held as backup
}

const mb = 1 << 20

// Measure returns the cost of each of the first n instances over a window.
// between runs during the window and may be nil.
func (c *Cluster) Measure(ctx context.Context, n int, window time.Duration, between func()) (Cost, error) {
	before, err := c.Scrape(ctx, n)
	if err != nil {
		return Cost{}, err
	}
	start, probes, calls := time.Now(), c.ProbeBytes.Load(), c.PlatformBytes.Load()
	if between != nil {
		between()
	}
	time.Sleep(time.Until(start.Add(window)))
	took := time.Since(start).Seconds()
	per := 1 / took / float64(n)
	cost := Cost{
		Probes:   float64(c.ProbeBytes.Load()-probes) * per,
		Platform: float64(c.PlatformBytes.Load()-calls) * per,
	}
	after, err := c.Scrape(ctx, n)
	if err != nil {
		return Cost{}, err
	}
	for k, a := range after {
		rate := func(name string) float64 { return (a[name] - before[k][name]) / took }
		sent, cpu := rate("egrettack_control_sent_bytes_total"), 100*rate("process_cpu_seconds_total")
		rss := a["process_resident_memory_bytes"] / mb
		cost.Sent += sent / float64(n)
		cost.Received += rate("egrettack_control_received_bytes_total") / float64(n)
		cost.Heartbeats += rate("egrettack_control_sent_bytes_total/heartbeat") / float64(n)
		cost.Copies += rate("egrettack_control_sent_bytes_total/copies") / float64(n)
		cost.CPU += cpu / float64(n)
		cost.RSS += rss / float64(n)
		cost.Heap += a["go_memstats_heap_inuse_bytes"] / mb / float64(n)
		cost.Flows += a["egrettack_group_flows"] / float64(n)
		cost.Peers += a["egrettack_peers/ready"] / float64(n)
		cost.Groups += a["groups"] / float64(n)
		cost.Backlog += a["egrettack_group_copy_backlog"] / float64(n)
		cost.WorstSent = max(cost.WorstSent, sent)
		cost.WorstCPU = max(cost.WorstCPU, cpu)
		cost.WorstRSS = max(cost.WorstRSS, rss)
	}
	return cost, nil
}

// Slope is the least-squares slope of y over x, and the value at x = 0.
func Slope(x, y []float64) (slope, at0 float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}
