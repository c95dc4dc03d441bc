package catalog

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRemovedRoutes limits the removed routes that are kept for differences.
const maxRemovedRoutes = 4096

// routeTable holds the routes of the current configuration, and since which
// version each has been as it is.
type routeTable struct {
	byDest         map[netip.AddrPort]*Route
	changedIn      map[netip.AddrPort]Version  // version that this instance first saw the route in as it is
	removedIn      map[netip.AddrPort]Version  // the same of routes that were removed
	formerServices map[netip.AddrPort][]string // former target services of the current routes
	services       map[string]bool             // target services of the current routes, former ones included
	completeSince  Version                     // differences from earlier versions are not known
	warmUps        map[string]WarmUpLimit      // by service
	checksum       uint64
}

func newRouteTable() routeTable {
	return routeTable{
		byDest:         make(map[netip.AddrPort]*Route),
		changedIn:      make(map[netip.AddrPort]Version),
		removedIn:      make(map[netip.AddrPort]Version),
		formerServices: make(map[netip.AddrPort][]string),
	}
}

// mayHaveFlows reports whether the service is a target of the route or was one.
func (t *routeTable) mayHaveFlows(r *Route, service string) bool {
	return r.HasTarget(service) || slices.Contains(t.formerServices[r.Dest], service)
}

// replace replaces all routes by those of a newer configuration.
func (t *routeTable) replace(cfg *Config) {
	if len(t.byDest) == 0 {
		t.completeSince = cfg.Version
	}
	next := make(map[netip.AddrPort]*Route, len(cfg.Routes))
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		next[r.Dest] = r
	}
	t.checksum = 0
	for dest, r := range next {
		old := t.byDest[dest]
		if old == nil || !old.equal(r) {
			t.changedIn[dest] = cfg.Version
		}
		if old != nil {
			t.keepFormerServices(old, r)
		}
		delete(t.removedIn, dest)
		t.checksum += r.hash()
	}
	t.warmUps = make(map[string]WarmUpLimit, len(cfg.WarmUps))
	for _, l := range cfg.WarmUps {
		t.warmUps[l.Service] = l
		t.checksum += l.hash()
	}
	for dest := range t.byDest {
		if next[dest] == nil {
			t.removedIn[dest] = cfg.Version
			delete(t.changedIn, dest)
			delete(t.formerServices, dest)
		}
	}
	if len(t.removedIn) > maxRemovedRoutes {
		clear(t.removedIn)
		t.completeSince = cfg.Version
	}
	t.byDest = next
	t.services = make(map[string]bool)
	for dest, r := range next {
		for _, target := range r.Targets {
			t.services[target.Service] = true
		}
		for _, service := range t.formerServices[dest] {
			t.services[service] = true
		}
	}
}

// keepFormerServices keeps the services of a route that its next form lacks:
// they may have open flows.
func (t *routeTable) keepFormerServices(old, next *Route) {
	for _, target := range old.Targets {
		if !t.mayHaveFlows(next, target.Service) {
			t.formerServices[next.Dest] = append(t.formerServices[next.Dest], target.Service)
		}
	}
}

// diff returns the difference of the configuration from an earlier version, nil
// if it is not known.
func (t *routeTable) diff(cfg *Config, from Version) *ConfigDiff {
	if from < t.completeSince {
		return nil
	}
	d := &ConfigDiff{Version: cfg.Version, Revision: cfg.Revision, IdleTimeout: cfg.IdleTimeout, WarmUps: cfg.WarmUps, Checksum: t.checksum}
	for dest, v := range t.changedIn {
		if v > from {
			d.Changed = append(d.Changed, *t.byDest[dest])
		}
	}
	for dest, v := range t.removedIn {
		if v > from {
			d.Removed = append(d.Removed, dest)
		}
	}
	return d
}

// merge returns the configuration that results from a difference. It reports
// false if it is not the one that the difference states.
func (t *routeTable) merge(current *Config, d *ConfigDiff) (*Config, bool) {
	if current != nil && d.Version <= current.Version {
		return current, true
	}
	merged := maps.Clone(t.byDest)
	for i := range d.Changed {
		merged[d.Changed[i].Dest] = &d.Changed[i]
	}
	for _, dest := range d.Removed {
		delete(merged, dest)
	}
	cfg := &Config{Version: d.Version, Revision: d.Revision, IdleTimeout: d.IdleTimeout, WarmUps: d.WarmUps, Routes: make([]Route, 0, len(merged))}
	checksum := uint64(0)
	for _, r := range merged {
		cfg.Routes = append(cfg.Routes, *r)
		checksum += r.hash()
	}
	for _, l := range d.WarmUps {
		checksum += l.hash()
	}
	return cfg, checksum == d.Checksum
}

func (r *Route) equal(x *Route) bool {
	return r.Name == x.Name && r.Dest == x.Dest && r.Kind == x.Kind && r.Priority == x.Priority &&
		r.Timeout == x.Timeout && r.TargetLatency == x.TargetLatency && slices.Equal(r.Targets, x.Targets)
}

// hash returns a hash of all fields.
func (l *WarmUpLimit) hash() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(l.Service), uint64(l.Duration))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, math.Float64bits(l.FlowsPerSecond)))
}

// hash returns a hash of all fields. The sum of the hashes of all routes does not
// depend on their order.
func (r *Route) hash() uint64 {
	b := make([]byte, 0, 128)
	addString := func(s string) {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	addString(r.Name)
	addString(r.Dest.String())
	b = append(b, byte(r.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Priority))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Timeout))
	b = binary.BigEndian.AppendUint64(b, uint64(r.TargetLatency))
	for _, target := range r.Targets {
		addString(target.Service)
		b = binary.BigEndian.AppendUint64(b, uint64(target.Weight))
	}
	return xxhash.Sum64(b)
}
