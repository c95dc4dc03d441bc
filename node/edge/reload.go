package edge

import (
	"context"
	"net/netip"
	"os"
	"time"

	"egrettack.example/settings/edge"
)

// settingsInterval is the interval at which the settings file is checked, since it
// may change without a signal.
const settingsInterval = 2 * time.Second

// WatchSettings reloads the settings when the file has changed and after each
// signal. It returns when ctx is done.
func (i *Instance) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	seen := statFile(path)
	for {
		why := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			why = "a signal"
		case <-t.C:
			if statFile(path) == seen {
				continue
			}
		}
		seen = statFile(path)
		s, err := edge.Load(path)
		if err != nil {
			i.log.Error("settings not reloaded; the old ones stay in force", "reason", why, "error", err)
			continue
		}
		i.reload(s, why)
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced exists at the next check.
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// reload puts new settings in force. The name of this instance, its domain and
// the addresses that it uses stay until it restarts.
func (i *Instance) reload(s *edge.Settings, why string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.settings
	if s.Name != old.Name || s.Domain != old.Domain || s.Packets != old.Packets || s.Health != old.Health ||
		s.MetricsPort != old.MetricsPort || s.InternalPorts[0] != old.InternalPorts[0] || s.Store != old.Store {
		i.log.Warn("some changed settings take effect only after a restart", "reason", why)
	}
	next := *old
	next.Seeds, next.StopGrace, next.LogLevel = s.Seeds, s.StopGrace, s.LogLevel
	next.ApplyWithin, next.DrainWithin, next.EvacuateWithin = s.ApplyWithin, s.DrainWithin, s.EvacuateWithin
	next.Hedging, next.UnevenSpeeds, next.ProcessorWait = s.Hedging, s.UnevenSpeeds, s.ProcessorWait
	i.setProcessorWait(s.ProcessorWait.Duration)
	if s.ShareProblems == nil {
		next.Shares = s.Shares
		i.setShares(s.Shares)
	}
	i.settings = &next
	i.engine.SetHedging(s.Hedging.MaxShare)
	i.engine.SetUnevenSpeeds(s.UnevenSpeeds)
	i.peers.fleet.SetSeeds(seedAddrs(s))
	i.catalog.SetMaxStoreReadInterval(fractionOf(s.CurrentWithin(), readGapFraction))
	if err := i.level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		i.log.Error("log level not set", "level", s.LogLevel, "error", err)
	}
	i.logShareProblems(s, "the old ones stay in force")
	i.log.Info("reload", "reason", why, "seeds", len(s.Seeds), "apply_within", s.ApplyWithin,
		"drain_within", s.DrainWithin, "evacuate_within", s.EvacuateWithin, "stop_grace", s.StopGrace, "shares", len(next.Shares),
		"hedging_max_share", s.Hedging.MaxShare, "uneven_speeds", s.UnevenSpeeds, "processor_wait", s.ProcessorWait)
}

// logShareProblems logs what is wrong with the shares. The other settings are in force.
func (i *Instance) logShareProblems(s *edge.Settings, instead string) {
	if err := s.ShareProblems.Err(); err != nil {
		i.log.Error("shares not in force", "instead", instead, "error", err)
	}
}

func seedAddrs(s *edge.Settings) []netip.Addr {
	seeds := make([]netip.Addr, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		seeds = append(seeds, a.Addr())
	}
	return seeds
}
