package edge

import (
	"math"
	"net/netip"
	"time"

	"egrettack.example/core/steer"
	wire "egrettack.example/wire/fleet"
)

const (
	// reportInterval is the interval of outlier reports to the neighbours. When an
	// outlier is detected they are sent at once. With this interval and
	// maxReportServers a member with 16 followers sends at most 3 KB/s.
	reportInterval = time.Second
	// maxReportServers is the number of servers in one message.
	maxReportServers = 12
)

// checkOutliers runs the outlier detection, logs what it found and sends reports to
// the neighbours.
func (i *Instance) checkOutliers(now time.Duration) {
	events := i.engine.Tick(now)
	i.logOutlierEvents(events)
	detected := false
	for _, f := range events {
		detected = detected || f.Failing
	}
	if detected || now-i.peers.reportedAt >= reportInterval {
		i.peers.reportedAt = now
		i.sendOutlierReports(now)
	}
}

// sendOutlierReports sends the source and the followers in the same domain what the
// other neighbours and this instance have seen of servers that failed requests.
func (i *Instance) sendOutlierReports(now time.Duration) {
	if i.state.stopping {
		return
	}
	source, followers := i.peers.fleet.DomainTree(now)
	if source.IsValid() {
		i.sendOutlierReport(now, source, true)
	}
	for _, a := range followers {
		i.sendOutlierReport(now, a, false)
	}
}

func (i *Instance) sendOutlierReport(now time.Duration, to netip.Addr, toSource bool) {
	m := &wire.Message{Kind: wire.OutlierReport, Domain: i.settings.Domain, ToSource: toSource}
	for _, x := range i.engine.Evidence(now, to, maxReportServers) {
		m.Evidence = append(m.Evidence, wire.ServerEvidence{
			Token: x.Token, RequestsTenths: tenths(x.Requests), FailuresTenths: tenths(x.Failures),
		})
	}
	if len(m.Evidence) > 0 {
		i.sendToPeer(to, m)
	}
}

func tenths(x float64) uint16 { return uint16(min(math.Round(10*x), math.MaxUint16)) }

// handleOutlierReport adds the evidence of a follower or of the source in the same
// domain. That of others is counted elsewhere in the tree.
func (i *Instance) handleOutlierReport(now time.Duration, from netip.Addr, m *wire.Message) {
	if m.Domain != i.settings.Domain || !m.ToSource && from != i.peers.fleet.Source() {
		return
	}
	evidence := make([]steer.Evidence, 0, len(m.Evidence))
	for _, x := range m.Evidence {
		evidence = append(evidence, steer.Evidence{
			Token: x.Token, Requests: float64(x.RequestsTenths) / 10, Failures: float64(x.FailuresTenths) / 10,
		})
	}
	i.engine.AddEvidence(now, from, evidence)
}

// logOutlierEvents logs servers that started or stopped failing requests.
func (i *Instance) logOutlierEvents(list []steer.OutlierEvent) {
	if len(list) > maxServerLines {
		i.log.Info("servers fail requests or recovered", "servers", len(list))
		return
	}
	for _, f := range list {
		msg := "server recovered"
		if f.Failing {
			msg = "server fails requests"
		}
		i.log.Info(msg, "server", f.Server.Name, "service", f.Server.Service, "excess", f.ExcessFailureRate,
			"heard", f.FromPeers, "asked", f.Requests, "failed", f.Failures)
	}
}
