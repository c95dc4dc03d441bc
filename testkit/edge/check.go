package edge

import (
	"fmt"
	"net/netip"
	"time"
)

// violation notes a broken promise.
func (c *City) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violationLocked(format, args...)
}

func (c *City) violationLocked(format string, args ...any) {
	at := time.Since(c.started).Round(time.Millisecond)
	c.violations = append(c.violations, fmt.Sprintf("%s: %s", at, fmt.Sprintf(format, args...)))
}

// Violations returns the broken promises so far.
func (c *City) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// inTouch reports whether the promises with a time bound hold for the instance
// at an address: neither it nor the store had trouble for a while.
func (c *City) inTouch(addr netip.Addr, now time.Time) bool {
	if now.Sub(c.storeSick) < c.cfg.Settle {
		return false
	}
	for _, i := range c.Instances {
		if i.addr == addr {
			return now.Sub(i.troubled) > c.cfg.Settle
		}
	}
	return false
}

// checkOpening judges the opening packet that an instance brought to a server.
func (c *City) checkOpening(k flowKey, s *Server, from netip.Addr, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.routes[k.dest]
	switch {
	case h == nil || h.service != s.Service:
		c.violationLocked("a flow to %s reached a server of %s", k.dest, s.Service)
	case !c.inTouch(from, now):
	case !h.removed.IsZero() && now.Sub(h.removed) > c.cfg.ApplyBound:
		c.violationLocked("%s placed a flow on a route that went %s ago", from, now.Sub(h.removed))
	case !s.reported.IsZero() && now.Sub(s.reported) > c.cfg.DrainBound:
		c.violationLocked("%s placed a flow on a server that has been leaving for %s", from, now.Sub(s.reported))
	}
}

// ran notes that a server began to work on a request.
func (c *City) ran(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.runs[id] > 1 {
		c.violationLocked("request %x ran %d times", id, c.runs[id])
	}
}

// held reports whether a living server holds the flow open.
func (c *City) held(k flowKey) bool {
	for _, s := range c.Servers() {
		if s.holds(k) {
			return true
		}
	}
	return false
}

func (c *City) hasRoute(dest netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.routes[dest]
	return h != nil && h.removed.IsZero()
}
