package edge

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egrettack.example/core/catalog"
)

// oddEvacuationLines is the number of log lines a second about evacuations of domains without servers.
const oddEvacuationLines = 2

// logEvacuations logs the evacuations that a change began and ended. Of domains without servers,
// which another writer may have named, many are logged in one line, and few lines a second.
func (i *Instance) logEvacuations(a catalog.ApplyResult, ch *catalog.Change, from string, age time.Duration) {
	odd := func(message string, attrs ...any) { // of domains without servers
		if ok, suppressed := i.evacuationLog.Allow(i.clock.now()); ok {
			i.log.Warn(message, append(attrs, "revision", ch.Revision, "from", from, "age", age, "suppressed", suppressed)...)
		}
	}
	if a.EvacuationsIgnored > 0 {
		odd("too many evacuations", "ignored", a.EvacuationsIgnored)
	}
	if len(a.Evacuated)+len(a.EvacuationsEnded) == 0 {
		return
	}
	servers := i.serversByDomain()
	unknown := func(x catalog.Evacuation) bool { return servers[x.Domain] == 0 }
	if began, ended := countOf(a.Evacuated, unknown), countOf(a.EvacuationsEnded, unknown); began+ended > maxServerLines {
		odd("domains without servers evacuated", "began", began, "ended", ended)
		a.Evacuated, a.EvacuationsEnded = slices.DeleteFunc(a.Evacuated, unknown), slices.DeleteFunc(a.EvacuationsEnded, unknown)
	}
	for _, x := range a.Evacuated {
		if unknown(x) {
			odd("domain without servers evacuated", "domain", x.Domain)
			continue
		}
		i.log.Info("domain evacuated", "domain", x.Domain, "servers", servers[x.Domain], "revision", x.Revision, "from", from, "age", age)
	}
	for _, x := range a.EvacuationsEnded {
		if unknown(x) {
			odd("evacuation ended", "domain", x.Domain, "after", i.clock.now()-x.Since)
			continue
		}
		i.log.Info("evacuation ended", "domain", x.Domain, "after", i.clock.now()-x.Since, "revision", ch.Revision, "from", from, "age", age)
	}
}

func countOf(list []catalog.Evacuation, matches func(catalog.Evacuation) bool) (n int) {
	for _, x := range list {
		if matches(x) {
			n++
		}
	}
	return n
}

// serversByDomain returns the number of published servers of each failure domain.
func (i *Instance) serversByDomain() map[string]int {
	n := make(map[string]int)
	i.catalog.EachServer(func(s *catalog.Server) {
		if s.Published() {
			n[s.Domain]++
		}
	})
	return n
}

// updateDomainSizes tells the engine how many instances of domains that are evacuated, or
// whose servers warm up with limits, share the servers of the others.
func (i *Instance) updateDomainSizes() {
	if i.catalog.HasEvacuations() || i.catalog.HasWarmUpLimits() {
		i.engine.SetDomainSizes(i.peers.fleet.DomainSizes())
	}
}

// evacuations returns the evacuations in force, by domain.
func (i *Instance) evacuations(now time.Duration) (list []EvacuationStatus) {
	for _, x := range i.catalog.Evacuations() {
		status := EvacuationStatus{Domain: x.Domain, Revision: x.Revision, SinceMS: (now - x.Since).Milliseconds(), Source: x.Source}
		i.catalog.EachServer(func(s *catalog.Server) {
			if s.Domain == x.Domain {
				status.OpenFlows += i.engine.ServerLoad(now, s).OpenFlows
			}
		})
		list = append(list, status)
	}
	return list
}

// evacuationCollector exports the evacuations that an instance has in force.
type evacuationCollector struct {
	instance *Instance
	since    *prometheus.Desc
}

func newEvacuationCollector(i *Instance) *evacuationCollector {
	return &evacuationCollector{i, prometheus.NewDesc(namespace+"_evacuation_seconds",
		"Time since this instance learned of the evacuation of a failure domain that is in force, and from whom.",
		[]string{"domain", "source"}, nil)}
}

func (c *evacuationCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.since }

func (c *evacuationCollector) Collect(ch chan<- prometheus.Metric) {
	i := c.instance
	now := i.clock.now()
	i.mu.Lock()
	list := i.catalog.Evacuations()
	i.mu.Unlock()
	for _, x := range list {
		ch <- prometheus.MustNewConstMetric(c.since, prometheus.GaugeValue, (now - x.Since).Seconds(), x.Domain, x.Source)
	}
}
