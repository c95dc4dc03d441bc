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

// checkOpening judges the opening packet that an instance brought to a server. Again says
// that the server has had one of this flow: such a packet places nothing on it.
func (c *City) checkOpening(k flowKey, s *Server, from netip.Addr, now time.Time, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.routes[k.dest]
	if !again && c.inTouch(from, now) {
		c.checkWarmUp(s, from, now)
	}
	switch {
	case h == nil || h.service != s.Service:
		c.violationLocked("a flow to %s reached a server of %s", k.dest, s.Service)
	case !c.inTouch(from, now):
	case !h.removed.IsZero() && now.Sub(h.removed) > c.cfg.ApplyBound:
		c.violationLocked("%s placed a flow on a route that went %s ago", from, now.Sub(h.removed))
	case !again && c.evacuatedFor(s.Domain, now) > c.cfg.DrainBound:
		c.violationLocked("%s placed a flow on a server of domain %s, which has been evacuated for %s", from, s.Domain, c.evacuatedFor(s.Domain, now))
	case !again && !s.reported.IsZero() && now.Sub(s.reported) > c.cfg.DrainBound && !c.Store.lost(s.reported):
		c.violationLocked("%s placed a flow on a server that has been leaving for %s", from, now.Sub(s.reported))
	}
}

// flowBound is for how long packets of a flow may reach only other servers, and
// strayPackets how many of them count.
const (
	flowBound    = 2 * time.Second
	strayPackets = 3
)

// astray are the packets of an open flow that reached other servers since one reached
// the flow's own.
type astray struct {
	holder  *Server
	packets int
	last    netip.Addr // instance that brought the last one
}

// checkArrival judges where an instance brought a packet of an open flow.
func (c *City) checkArrival(k flowKey, s *Server, a arrival, from netip.Addr, now time.Time) {
	switch a {
	case opening:
		return
	case taken:
		c.mu.Lock()
		delete(c.astray, k)
		c.mu.Unlock()
		return
	}
	holder := c.holder(k, now)
	if holder == nil || holder == s || !holder.calm(now) || !s.calm(now) || !c.hasRoute(k.dest) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.impairedLately(now) && !c.inTouch(from, now) {
		return
	}
	x := c.astray[k]
	if x == nil {
		x = &astray{holder: holder}
		c.astray[k] = x
		time.AfterFunc(flowBound, func() { c.checkAstray(k, x) })
	}
	x.packets++
	x.last = from
	if a == refused {
		c.wrongResets[k] = fmt.Sprintf("server %x, to which %s brought it, though server %x holds it", s.ID, from, holder.ID)
	}
}

// checkAstray judges a flow some time after the first of its packets went astray.
func (c *City) checkAstray(k flowKey, x *astray) {
	holds := x.holder.holds(k)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.astray[k] != x {
		return
	}
	delete(c.astray, k)
	if holds && x.packets >= strayPackets {
		c.violationLocked("%d packets of flow %s to %s reached other servers in %s, at last by %s, and none server %x, which holds it",
			x.packets, k.caller, k.dest, flowBound, x.last, x.holder.ID)
	}
}

// checkReset judges a reset that a caller got from a server on an open flow.
func (c *City) checkReset(k flowKey, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if by, ok := c.wrongResets[k]; ok {
		c.violationLocked("flow %s to %s was reset after %s by %s", k.caller, k.dest, age, by)
	}
}

// noteFurtherAnswer counts a SYN+ACK of a further server on an open flow.
func (c *City) noteFurtherAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.furtherAnswers++
}

// further returns the number of SYN+ACKs of further servers on open flows so far.
func (c *City) further() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.furtherAnswers
}

// holder returns the living server that had the flow open at a time and still has, nil
// if there is none.
func (c *City) holder(k flowKey, at time.Time) *Server {
	for _, s := range c.Servers() {
		if since, ok := s.openSince(k); ok && !since.After(at) {
			return s
		}
	}
	return nil
}

// impair notes unplanned trouble that lasts for a while. Without any, promises about
// open flows hold for all instances.
func (c *City) impair(lasts time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.impairLocked(lasts)
}

func (c *City) impairLocked(lasts time.Duration) {
	if end := time.Now().Add(lasts); end.After(c.impaired) {
		c.impaired = end
	}
}

func (c *City) impairedLately(now time.Time) bool { return now.Sub(c.impaired) <= c.cfg.Settle }

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
