package steer

import "time"

// maxReturnTime is the longest time after the evacuation of a domain for which its instances
// use other domains beside it.
const maxReturnTime = 10 * time.Second

// minLimitedPart is the part of a domain's slots at servers that warm up with a limit from
// which on its instances use other domains beside it. Fewer are replaced by the rest.
const minLimitedPart = 0.5

// displacement is what the evacuation of failure domains changes for a service: the
// instances of an evacuated domain share the servers of the others with the instances
// there, which keep their limits. All know this at once, so that nothing has to be probed.
// After the evacuation, as long as the servers warm up, only a part of the load returns to
// them. A domain whose servers start together and have limits is treated as one that returns.
// The zero value means that no domain is evacuated or returns.
type displacement struct {
	domains   []displacedDomain
	receiving []domainSlots // the other domains; those that return if this one is evacuated and there are no more
	slots     int           // of receiving
}

// displacedDomain is a domain whose instances use the servers of others.
type displacedDomain struct {
	name string
	// returnUntil is the time until which a part of the load is displaced, 0 during the
	// evacuation.
	returnUntil time.Duration
	part        float64 // of its load that is displaced until then
}

// weight returns the part of the domain's load that is displaced.
func (d *displacedDomain) weight(now time.Duration) float64 {
	switch {
	case d.returnUntil == 0:
		return 1
	case now < d.returnUntil:
		return d.part
	}
	return 0
}

// domainSlots is the slots of a service in a failure domain.
type domainSlots struct {
	domain string
	slots  int
}

// find returns what is known of a displaced domain, nil if it is not.
func (d *displacement) find(domain string) *displacedDomain {
	for i := range d.domains {
		if d.domains[i].name == domain {
			return &d.domains[i]
		}
	}
	return nil
}

func (d *displacement) addEvacuated(domain string) {
	if d.find(domain) == nil {
		d.domains = append(d.domains, displacedDomain{name: domain})
	}
}

// completeDisplacement fills the displacement of a pool, whose evacuated domains and
// candidates are known.
func (e *Engine) completeDisplacement(p *pool) {
	d, limited := &p.displacement, limitedParts(p)
	for _, list := range [][]candidate{p.sameDomain, p.otherDomains} {
		for i := range list {
			e.addReturning(d, &list[i], limited[list[i].server.Domain])
		}
	}
	if len(d.domains) == 0 {
		return
	}
	for _, list := range [][]candidate{p.sameDomain, p.otherDomains} {
		for i := range list {
			if s := list[i].server; d.find(s.Domain) == nil {
				d.addReceiving(s.Domain, s.Slots)
			}
		}
	}
	if d.slots > 0 || !e.isDisplaced(p) {
		return
	}
	for i := range p.otherDomains { // of domains that return
		d.addReceiving(p.otherDomains[i].server.Domain, p.otherDomains[i].server.Slots)
	}
}

// limitedParts returns the part of the slots at servers that warm up with a limit, by domain.
func limitedParts(p *pool) map[string]float64 {
	limited, all := make(map[string]float64), make(map[string]float64)
	for _, list := range [][]candidate{p.sameDomain, p.otherDomains} {
		for i := range list {
			c := &list[i]
			all[c.server.Domain] += float64(c.server.Slots)
			if c.warmUpLimited {
				limited[c.server.Domain] += float64(c.server.Slots)
			}
		}
	}
	for domain, n := range limited {
		limited[domain] = n / all[domain]
	}
	return limited
}

// addReturning adds the domain of a candidate that warms up after an evacuation, or with a
// limit that a part of the domain's slots has.
func (e *Engine) addReturning(d *displacement, c *candidate, limited float64) {
	ended, ok := e.catalog.EvacuationEnded(c.server.Domain)
	until := min(c.warmUpUntil, ended+maxReturnTime)
	if c.warmUpLimited && limited >= minLimitedPart {
		until, ok = c.warmUpUntil, true
		e.planLimitedParts(until)
	}
	if !ok || until <= e.lastCall {
		return
	}
	x := d.find(c.server.Domain)
	if x == nil {
		d.domains = append(d.domains, displacedDomain{name: c.server.Domain, part: max(limited, 1-warmUpSpeed)})
		x = &d.domains[len(d.domains)-1]
	}
	x.returnUntil = max(x.returnUntil, until)
	e.poolsUntil = max(e.poolsUntil, until)
}

// planLimitedParts plans to find the limited parts of domains again when the limit of a server
// ends, at most once in each detectionInterval.
func (e *Engine) planLimitedParts(end time.Duration) {
	end = max(end, e.lastCall+detectionInterval)
	if e.limitedPartsUntil == 0 || end < e.limitedPartsUntil {
		e.limitedPartsUntil = end
	}
}

func (d *displacement) addReceiving(domain string, n int) {
	d.slots += n
	for i := range d.receiving {
		if d.receiving[i].domain == domain {
			d.receiving[i].slots += n
			return
		}
	}
	d.receiving = append(d.receiving, domainSlots{domain, n})
}

// SetDomainSizes sets the number of known instances of each failure domain. They matter
// only while a domain is evacuated or returns.
func (e *Engine) SetDomainSizes(sizes map[string]int) { e.domainSizes = sizes }

// instancesOf returns the number of instances of a domain.
func (e *Engine) instancesOf(domain string) float64 {
	if domain == e.cfg.Domain {
		return float64(max(e.instances, 1))
	}
	return float64(max(e.domainSizes[domain], 1))
}

// otherShare returns the share of this instance, whose domain is displaced, of the slots of the
// other domains, as a part of them. In each domain it has the share of one of its instances
// if the instances of the displaced domains were spread over the others by their slots.
func (e *Engine) otherShare(now time.Duration, d *displacement) (share float64) {
	displaced := 0.0
	for i := range d.domains {
		displaced += d.domains[i].weight(now) * e.instancesOf(d.domains[i].name)
	}
	for _, x := range d.receiving {
		part := float64(x.slots) / float64(d.slots)
		share += part * part / (e.instancesOf(x.domain) + part*displaced)
	}
	return share * d.find(e.cfg.Domain).weight(now)
}

// isDisplaced reports whether the own domain is evacuated.
func (e *Engine) isDisplaced(p *pool) bool {
	x := p.displacement.find(e.cfg.Domain)
	return x != nil && x.returnUntil == 0
}

// isReturning reports whether the servers of the own domain warm up after an evacuation, or
// together with a limit.
func (e *Engine) isReturning(now time.Duration, p *pool) bool {
	x := p.displacement.find(e.cfg.Domain)
	return x != nil && now < x.returnUntil
}

// hasOtherRoom reports whether the servers of the other domains can take a new flow of this
// instance, whose domain is displaced, as far as its share of them tells.
func (e *Engine) hasOtherRoom(now time.Duration, p *pool, service string) bool {
	l := e.otherLoad(now, p, service, nil)
	return l.slots > 0 && l.hasRoom()
}

// otherLoad returns the load of the servers of the other domains, of which this instance,
// whose domain is displaced, has a share. Without such servers there is none to wait for.
func (e *Engine) otherLoad(now time.Duration, p *pool, service string, parts []sharePart) ownLoad {
	slots, _, inFlight := p.others.inUse(now, parts)
	if slots == 0 || p.displacement.slots == 0 {
		return ownLoad{}
	}
	limit := maxLoad * float64(slots) * e.otherShare(now, &p.displacement)
	return ownLoad{slots, inFlight, e.residenceShare(service), limit}
}

// usesOtherDomains reports whether a new flow goes to another domain since the servers of the own
// one, which warm up, have as much work as they have slots for, by their present speed, or as
// their limits allow.
func (e *Engine) usesOtherDomains(now time.Duration, p *pool, service string) bool {
	if !e.isReturning(now, p) {
		return false
	}
	slots, servers, inFlight := p.same.inUse(now, nil)
	returned := float64(inFlight)*e.residenceShare(service) >= warmUpSpeed*e.share(slots, servers)
	return returned && e.hasOtherRoom(now, p, service)
}
