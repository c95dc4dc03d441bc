package edge

import (
	"math"
	"time"

	"egrettack.example/core/steer"
	wire "egrettack.example/wire/fleet"
)

const (
	// reportInterval is the interval of outlier reports to the neighbours. Outliers
	// that this instance has just detected are reported at once. With this interval and
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
		detected = detected || f.Failing && !f.FromPeer
	}
	if detected || now-i.peers.reportedAt >= reportInterval {
		i.peers.reportedAt = now
		i.sendOutlierReports(now)
	}
}

// sendOutlierReports tells the neighbours which servers fail more requests than
// others.
func (i *Instance) sendOutlierReports(now time.Duration) {
	reports := i.engine.OutlierReports(now, maxReportServers)
	if len(reports) == 0 || i.state.stopping {
		return
	}
	m := &wire.Message{Kind: wire.OutlierReport, Domain: i.settings.Domain}
	for _, s := range reports {
		m.FailingServers = append(m.FailingServers, wire.FailingServer{
			Token: s.Token, ExcessPercent: uint8(math.Round(100 * s.ExcessFailureRate)), Age: wire.CeilMillis(s.Age), Hops: uint8(s.Hops),
		})
	}
	for _, a := range i.peers.fleet.Neighbours(now) {
		i.sendToPeer(a, m)
	}
}

// handleOutlierReport adds the outlier reports of a neighbour.
func (i *Instance) handleOutlierReport(now time.Duration, m *wire.Message) {
	for _, s := range m.FailingServers {
		i.engine.AddOutlierReport(now, steer.OutlierReport{
			Token: s.Token, ExcessFailureRate: float64(s.ExcessPercent) / 100, Age: s.Age.Duration(), Hops: int(s.Hops),
		})
	}
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
			"heard", f.FromPeer, "asked", f.Requests, "failed", f.Failures)
	}
}
