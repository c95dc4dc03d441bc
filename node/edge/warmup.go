package edge

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egrettack.example/core/catalog"
)

// WarmUpStatus is the limit of a server that warms up, as an instance keeps it.
type WarmUpStatus struct {
	PerSecond   float64 `json:"per_second"`    // new flows of all instances
	OwnFlows    int     `json:"own_flows"`     // of them those of this instance in each period
	OwnPeriodMS int64   `json:"own_period_ms"` // 0 if the instance sends the server none
	RemainingMS int64   `json:"remaining_ms"`
	Sent        int     `json:"sent"` // new flows of this instance within the limit
}

// warmUpStatus returns the limit of a server, nil if it has none now.
func (i *Instance) warmUpStatus(now time.Duration, s *catalog.Server) *WarmUpStatus {
	x, ok := i.engine.WarmUp(now, s)
	if !ok {
		return nil
	}
	return &WarmUpStatus{x.PerSecond, x.Quota.Flows, x.Quota.Period.Milliseconds(), x.Remaining.Milliseconds(), x.Sent}
}

// logWarmUps logs the servers whose limits this instance keeps a part of.
func (i *Instance) logWarmUps(now time.Duration) {
	events := i.engine.WarmUpEvents(now)
	if len(events) > maxServerLines {
		i.log.Info("warm-up limits", "servers", len(events))
		return
	}
	for _, x := range events {
		if x.Ended {
			i.log.Info("warm-up limit ended", "server", x.Server.Name, "service", x.Server.Service, "sent", x.Sent)
			continue
		}
		i.log.Info("warm-up limit", "server", x.Server.Name, "service", x.Server.Service, "per_second", x.PerSecond,
			"own_flows", x.Quota.Flows, "own_period", x.Quota.Period, "members", x.Members, "remaining", x.Remaining,
			"revision", x.Server.Revision, "version", i.catalog.Version())
	}
}

// warmUpCollector exports the number of servers that warm up with a limit.
type warmUpCollector struct {
	instance *Instance
	servers  *prometheus.Desc
}

func newWarmUpCollector(i *Instance) *warmUpCollector {
	return &warmUpCollector{i, prometheus.NewDesc(namespace+"_warm_up_limited_servers",
		"Servers that warm up with a limit of new flows, by whether this instance may send them any.", []string{"own"}, nil)}
}

func (c *warmUpCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.servers }

func (c *warmUpCollector) Collect(ch chan<- prometheus.Metric) {
	i := c.instance
	n := make(map[bool]int)
	i.mu.Lock()
	now := i.clock.now()
	i.catalog.EachServer(func(s *catalog.Server) {
		if x, ok := i.engine.WarmUp(now, s); ok {
			n[x.Quota.Flows > 0]++
		}
	})
	i.mu.Unlock()
	for _, own := range []bool{false, true} {
		ch <- prometheus.MustNewConstMetric(c.servers, prometheus.GaugeValue, float64(n[own]), strconv.FormatBool(own))
	}
}
