package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	soakWarmUp      = 8 * time.Second
	soakColdPerS    = 2 // new flows a second of a server that warms up
	warmUpPeriod    = time.Second
	warmUpJitter    = 50 * time.Millisecond // of the way from an instance to a server
	warmUpsMeasured = warmUpPeriod - warmUpJitter
)

func warmUpLimit(cfg *Config) { cfg.WarmUp, cfg.ColdPerS = soakWarmUp, soakColdPerS }

// drawWarmUps lets servers that start during a third of the runs warm up with a limit, and
// replaces more of them. It is drawn apart like the series.
func drawWarmUps(rnd *rand.Rand, cfg *Config) []func(*soak, context.Context) error {
	if rnd.IntN(3) > 0 {
		return nil
	}
	warmUpLimit(cfg)
	return []func(*soak, context.Context) error{(*soak).replaceInTurn}
}

// replaceInTurn replaces servers until ctx is done.
func (s *soak) replaceInTurn(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.replaceServer(); err != nil {
			return err
		}
		sleep(ctx, s.between(500, 2500))
	}
	return nil
}

// restartDomain restarts all servers of a domain as planned, which warm up together.
func (c *City) restartDomain() error {
	domain := c.cfg.Domains[0]
	var wg sync.WaitGroup
	var errs errorList
	for _, s := range c.Servers() {
		if s.Domain == domain {
			wg.Go(func() {
				_, err := s.RestartDrained(c.cfg.DrainBound, 0, false)
				errs.add(err)
			})
		}
	}
	wg.Wait()
	time.Sleep(c.cfg.WarmUp)
	if c.warmUpFlowCount() == 0 {
		errs.add(fmt.Errorf("no flow reached domain %s while its servers warmed up", domain))
	}
	return errors.Join(errs.list...)
}

// services returns what the configuration says of the services.
func (c *City) services() []map[string]any {
	list := []map[string]any{}
	for _, name := range []string{Feed, Upload} {
		if c.cfg.ColdPerS > 0 {
			list = append(list, map[string]any{"name": name, "cold_s": c.cfg.WarmUp.Seconds(), "cold_per_s": c.cfg.ColdPerS})
		}
	}
	return list
}

// coldRemaining returns how much longer the server warms up. Those of the city's start are warm.
func (s *Server) coldRemaining(now time.Time) time.Duration {
	if !s.startsCold {
		return 0
	}
	return max(0, s.city.cfg.WarmUp-now.Sub(time.UnixMilli(s.born)))
}

func (c *City) warmUpFlowCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warmUpFlows
}

// checkWarmUp judges a new flow that an instance in touch brought to a server, which has told for
// a while that it warms up. Instances of its domain that were in trouble lately, and know other
// members than the rest, may add the whole limit each. The caller holds both locks.
func (c *City) checkWarmUp(s *Server, from netip.Addr, now time.Time) {
	if c.cfg.ColdPerS == 0 || s.coldRemaining(now) == 0 || s.entered.IsZero() || now.Sub(s.entered) < c.cfg.DrainBound {
		return
	}
	recent := s.coldFlows[:0]
	for _, at := range s.coldFlows {
		if now.Sub(at) < warmUpsMeasured {
			recent = append(recent, at)
		}
	}
	s.coldFlows = append(recent, now)
	allowed := c.cfg.ColdPerS
	for _, i := range c.Instances {
		if i.Domain == s.Domain && !c.inTouch(i.addr, now) {
			allowed += c.cfg.ColdPerS
		}
	}
	c.warmUpFlows++
	if n := len(s.coldFlows); n > allowed {
		c.violationLocked("%s placed flow %d of a second on server %x, which warms up and takes %d", from, n, s.ID, allowed)
	}
}
