package edge

import (
	"math"
	"time"

	"egrettack.example/core/steer"
	wire "egrettack.example/wire/fleet"
)

const (
	// warnEvery is the interval at which neighbours are told of servers that
	// fail requests; news go at once. With it and warnLimit a member with 16
	// followers sends 3 KB/s at most.
	warnEvery = time.Second
	// warnLimit is the number of servers that one message tells of.
	warnLimit = 12
)

// review compares the servers, logs what changed and tells the neighbours.
func (i *Instance) review(now time.Duration) {
	findings := i.engine.Tick(now)
	i.logFindings(findings)
	news := false
	for _, f := range findings {
		news = news || f.Failing && !f.FromPeer
	}
	if news || now-i.peers.warned >= warnEvery {
		i.peers.warned = now
		i.warn(now)
	}
}

// warn tells neighbours of servers that fail requests.
func (i *Instance) warn(now time.Duration) {
	suspicions := i.engine.OutlierReports(now, warnLimit)
	if len(suspicions) == 0 || i.state.stopping {
		return
	}
	m := &wire.Message{Kind: wire.OutlierReport, Domain: i.set.Domain}
	for _, s := range suspicions {
		m.FailingServers = append(m.FailingServers, wire.FailingServer{
			Token: s.Token, ExcessPercent: uint8(math.Round(100 * s.ExcessFailureRate)), Age: wire.CeilMillis(s.Age), Hops: uint8(s.Hops),
		})
	}
	for _, a := range i.peers.fleet.Neighbours(now) {
		i.sendPeer(a, m)
	}
}

// takeWarning takes what a neighbour tells of servers that fail requests.
func (i *Instance) takeWarning(now time.Duration, m *wire.Message) {
	for _, s := range m.FailingServers {
		i.engine.AddOutlierReport(now, steer.OutlierReport{
			Token: s.Token, ExcessFailureRate: float64(s.ExcessPercent) / 100, Age: s.Age.Duration(), Hops: int(s.Hops),
		})
	}
}

// logFindings logs servers that began or ceased to fail requests.
func (i *Instance) logFindings(list []steer.OutlierEvent) {
	if len(list) > serverLines {
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
