package edge

import (
	"math"
	"time"

	"egrettack.example/core/steer"
	wire "egrettack.example/wire/fleet"
)

const (
	// reportInterval is the interval at which neighbours are told of servers that
	// fail requests; news go at once. With it and warnLimit a member with 16
	// followers sends 3 KB/s at most.
	reportInterval = time.Second
	// maxReportServers is the number of servers that one message tells of.
	maxReportServers = 12
)

// checkOutliers compares the servers, logs what changed and tells the neighbours.
func (i *Instance) checkOutliers(now time.Duration) {
	findings := i.engine.Tick(now)
	i.logOutlierEvents(findings)
	news := false
	for _, f := range findings {
		news = news || f.Failing && !f.FromPeer
	}
	if news || now-i.peers.reportedAt >= reportInterval {
		i.peers.reportedAt = now
		i.sendOutlierReports(now)
	}
}

// sendOutlierReports tells neighbours of servers that fail requests.
func (i *Instance) sendOutlierReports(now time.Duration) {
	suspicions := i.engine.OutlierReports(now, maxReportServers)
	if len(suspicions) == 0 || i.state.stopping {
		return
	}
	m := &wire.Message{Kind: wire.FailureReport, Domain: i.settings.Domain}
	for _, s := range suspicions {
		m.Suspects = append(m.Suspects, wire.Suspect{
			Token: s.Token, ExcessPercent: uint8(math.Round(100 * s.Excess)), Age: wire.CeilMillis(s.Age), Hops: uint8(s.Hops),
		})
	}
	for _, a := range i.peers.fleet.Neighbours(now) {
		i.sendToPeer(a, m)
	}
}

// handleFailureReport takes what a neighbour tells of servers that fail requests.
func (i *Instance) handleFailureReport(now time.Duration, m *wire.Message) {
	for _, s := range m.Suspects {
		i.engine.AddOutlierReport(now, steer.OutlierReport{
			Token: s.Token, Excess: float64(s.ExcessPercent) / 100, Age: s.Age.Duration(), Hops: int(s.Hops),
		})
	}
}

// logOutlierEvents logs servers that began or ceased to fail requests.
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
		i.log.Info(msg, "server", f.Server.Name, "service", f.Server.Service, "excess", f.Excess,
			"heard", f.FromPeer, "asked", f.Requests, "failed", f.Failures)
	}
}
