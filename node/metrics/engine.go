package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"egrettack.example/core/engine"
)

// engineCollector reads the engine's status when metrics are collected, so
// that deciding on packets does not pay for it.
type engineCollector struct {
	status func() engine.Status

	version, stale, ready, peers, flows, backlog, copies, epoch *prometheus.Desc
	connections, slots, weight, usable                          *prometheus.Desc
}

// WatchEngine registers the metrics that describe the engine's status.
func (m *Metrics) WatchEngine(status func() engine.Status) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(namespace+"_"+name, help, labels, nil)
	}
	m.Registry.MustRegister(&engineCollector{
		status:      status,
		version:     desc("snapshot_version", "Version of the snapshot in force."),
		stale:       desc("stale", "1 while the instance decides nothing because its views may be old."),
		ready:       desc("state", "1 for the present state of the instance.", "state"),
		peers:       desc("peers", "Peers by state.", "state"),
		flows:       desc("group_flows", "Open flows of a host group.", "group", "role"),
		backlog:     desc("group_copy_backlog", "Entries that wait to be copied to the backup.", "group"),
		copies:      desc("group_copies", "Copies held as the backup of a group.", "group"),
		epoch:       desc("group_epoch", "Epoch of the claim on a group.", "group"),
		connections: desc("host_connections", "Open flows on a host.", "group", "host"),
		slots:       desc("host_slots_used", "Requests in progress or waiting on a host.", "group", "host"),
		weight:      desc("host_weight", "Weight of a host in placing.", "group", "host"),
		usable:      desc("host_usable", "1 if the host gets new flows.", "group", "host"),
	})
}

// Describe implements prometheus.Collector.
func (c *engineCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.version, c.stale, c.ready, c.peers, c.flows, c.backlog, c.copies, c.epoch,
		c.connections, c.slots, c.weight, c.usable,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *engineCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s := c.status()
	gauge(c.version, float64(s.Version))
	gauge(c.stale, number(s.Stale))
	gauge(c.ready, 1, s.State.String())
	peers := make(map[string]int)
	for _, p := range s.Peers {
		peers[p.State.String()]++
	}
	for state, n := range peers {
		gauge(c.peers, float64(n), state)
	}
	for _, g := range s.Groups {
		name := g.Group.String()
		gauge(c.epoch, float64(g.Epoch), name)
		gauge(c.copies, float64(g.CopiesHeld), name)
		gauge(c.flows, float64(g.Stats.Flows), name, g.Role)
		gauge(c.backlog, float64(g.Stats.Backlog), name)
		for _, h := range g.Stats.Hosts {
			host := strconv.FormatUint(uint64(h.Host), 10)
			gauge(c.connections, float64(h.Connections), name, host)
			gauge(c.slots, float64(h.Slots), name, host)
			gauge(c.weight, h.Weight, name, host)
			gauge(c.usable, number(h.Usable), name, host)
		}
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
