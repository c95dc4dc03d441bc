package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

func evacuationKey(domain string) string { return "op/evacuate/" + domain }

// Evacuate requests that the servers of a domain get no new flows, once the store can be
// reached.
func (c *City) Evacuate(domain string) {
	c.Store.WaitReachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[domain] = c.Store.PutRaw(evacuationKey(domain), []byte("{}"))
}

// EndEvacuation ends the evacuation of a domain, once the store can be reached.
func (c *City) EndEvacuation(domain string) {
	c.Store.WaitReachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, domain)
	c.Store.Delete(evacuationKey(domain))
}

// evacuatedFor returns for how long a domain has been evacuated, 0 if it is not or a restore of
// the store has lost that. The caller holds the lock.
func (c *City) evacuatedFor(domain string, now time.Time) time.Duration {
	since, ok := c.evacuated[domain]
	if !ok || c.Store.lost(since) {
		return 0
	}
	return now.Sub(since)
}

// evacuateDomain evacuates a domain, takes that back and evacuates it again after the store has
// lost its history. An instance restarts meanwhile that can't reach the store.
func (c *City) evacuateDomain() error {
	domain, i := c.cfg.Domains[0], c.Instances[len(c.Instances)-1]
	const beyond = time.Second
	time.Sleep(c.cfg.Settle) // the instances are in touch from here on
	c.Evacuate(domain)
	i.Proxy(Reset)
	if err := i.Stop(syscall.SIGKILL); err != nil {
		return err
	}
	if err := i.Start(); err != nil {
		return err
	}
	time.Sleep(c.cfg.DrainBound + c.cfg.Settle + beyond)
	i.Proxy(Pass)
	before := c.openedIn(domain)
	c.EndEvacuation(domain)
	time.Sleep(c.cfg.DrainBound)
	if c.openedIn(domain) == before {
		return fmt.Errorf("no flow has returned to domain %s %s after its evacuation", domain, c.cfg.DrainBound)
	}
	c.Evacuate(domain)
	c.Store.DropHistory()
	time.Sleep(c.cfg.DrainBound + beyond)
	return nil
}

// openedIn returns the number of flows that were opened at the living servers of a domain.
func (c *City) openedIn(domain string) (n int) {
	for _, s := range c.Servers() {
		if s.Domain == domain {
			n += s.Opened()
		}
	}
	return n
}

// drawEvacuations evacuates a domain time and again in a third of the runs. It is drawn apart
// like the series.
func drawEvacuations(rnd *rand.Rand) []func(*soak, context.Context) error {
	if rnd.IntN(3) > 0 {
		return nil
	}
	return []func(*soak, context.Context) error{(*soak).evacuateInTurn}
}

// evacuateInTurn evacuates one domain at a time until ctx is done.
func (s *soak) evacuateInTurn(ctx context.Context) error {
	for ctx.Err() == nil {
		domain, lasts := s.c.cfg.Domains[s.rnd.IntN(len(s.c.cfg.Domains))], s.between(1000, 9000)
		s.event(lasts, "evacuate %s", domain)
		s.c.Evacuate(domain)
		sleep(ctx, lasts)
		s.c.EndEvacuation(domain)
		sleep(ctx, s.between(500, 5000))
	}
	return nil
}
