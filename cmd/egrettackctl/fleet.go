package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"egrettack.example/node/edge"
)

// maxFleetCalls is the number of instances that are asked at the same time.
const maxFleetCalls = 16

// edgeFleet asks all instances that the given ones know, and prints where they
// disagree.
type edgeFleet struct {
	stub
	MaxAge time.Duration `long:"max-age" default:"3s" description:"report instances whose knowledge is older"`
}

// member is what one instance answered.
type member struct {
	Addr    netip.AddrPort      `json:"addr"`
	Error   string              `json:"error,omitempty"` // why it did not answer
	Status  edge.Status         `json:"status"`
	Servers []edge.ServerStatus `json:"-"`
}

// finding is one point in which the fleet disagrees, or an evacuation in force.
type finding struct {
	What    string   `json:"what"`
	Subject string   `json:"subject"` // the instance or the backend server
	Detail  string   `json:"detail"`
	At      []string `json:"at,omitempty"` // names of the instances that say so
}

// isDisagreement reports whether the instances differ. An evacuation without names is in force
// at all of them.
func (f finding) isDisagreement() bool { return f.What != whatEvacuated || len(f.At) > 0 }

// whatEvacuated is the What of findings about evacuations.
const whatEvacuated = "evacuated"

// fleetReport is the JSON output.
type fleetReport struct {
	Instances []member  `json:"instances"`
	Findings  []finding `json:"findings"`
}

func (c *edgeFleet) run(a *app) error {
	members, err := a.askFleet()
	if err != nil {
		return err
	}
	r := fleetReport{members, compareFleet(members, c.MaxAge)}
	t := &table{head: "what subject detail at"}
	for _, f := range r.Findings {
		t.add(f.What, f.Subject, f.Detail, strings.Join(f.At, ","))
	}
	if err := a.print(r, t); err != nil {
		return err
	}
	silent := 0
	for _, m := range members {
		if m.Error != "" {
			silent++
		}
	}
	switch {
	case silent > 0:
		return fmt.Errorf("%w: %d of %d", errUnreachable, silent, len(members))
	case slices.ContainsFunc(r.Findings, finding.isDisagreement):
		return errReported
	}
	return nil
}

// askFleet asks the instances that the options name, and those that the asked ones
// know, which serve calls on the same port.
func (a *app) askFleet() ([]member, error) {
	if len(a.Instance) == 0 {
		return nil, fmt.Errorf("%w: --instance is needed", errUsage)
	}
	next := make(map[netip.AddrPort]bool)
	for _, text := range a.Instance {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%w: %q is not an address with a port", errUsage, text)
		}
		next[addr] = true
	}
	asked := make(map[netip.AddrPort]member)
	for len(next) > 0 {
		for _, m := range a.askAll(slices.Collect(maps.Keys(next))) {
			asked[m.Addr] = m
		}
		next = make(map[netip.AddrPort]bool)
		for _, m := range asked {
			for _, text := range m.Status.Members {
				ip, err := netip.ParseAddr(text)
				if err != nil {
					return nil, fmt.Errorf("%s lists a member: %w", m.Addr, err)
				}
				if addr := netip.AddrPortFrom(ip, m.Addr.Port()); asked[addr].Addr != addr {
					next[addr] = true
				}
			}
		}
	}
	byAddr := func(x, y member) int { return x.Addr.Compare(y.Addr) }
	return slices.SortedFunc(maps.Values(asked), byAddr), nil
}

// askAll asks instances concurrently.
func (a *app) askAll(addrs []netip.AddrPort) []member {
	members := make([]member, len(addrs))
	slots := make(chan struct{}, maxFleetCalls)
	var wg sync.WaitGroup
	for n, addr := range addrs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			members[n] = a.askMember(addr)
		})
	}
	wg.Wait()
	return members
}

func (a *app) askMember(addr netip.AddrPort) member {
	ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
	defer cancel()
	status, err := edge.FetchStatus(ctx, addr)
	servers, serversErr := edge.FetchServers(ctx, addr)
	m := member{Addr: addr, Status: status, Servers: servers}
	if err := errors.Join(err, serversErr); err != nil {
		m.Error = oneLine(err)
	}
	return m
}

// compareFleet returns where the instances disagree.
func compareFleet(members []member, maxAge time.Duration) []finding {
	answered := slices.DeleteFunc(slices.Clone(members), func(m member) bool { return m.Error != "" })
	findings := []finding{}
	for _, m := range members {
		if m.Error != "" {
			findings = append(findings, finding{What: "unreachable", Subject: m.Addr.String(), Detail: m.Error})
		}
	}
	findings = append(findings, compareInstances(answered, maxAge)...)
	findings = append(findings, compareEvacuations(answered)...)
	return append(findings, compareServers(answered)...)
}

// compareInstances returns the instances that are not ready or whose knowledge is
// older than that of the others.
func compareInstances(members []member, maxAge time.Duration) (findings []finding) {
	if len(members) == 0 {
		return nil
	}
	newest := slices.MaxFunc(members, func(a, b member) int { return cmp.Compare(a.Status.Version, b.Status.Version) }).Status.Version
	epoch := slices.MaxFunc(members, func(a, b member) int { return cmp.Compare(a.Status.Epoch, b.Status.Epoch) }).Status.Epoch
	for _, m := range members {
		s := m.Status
		add := func(what, format string, args ...any) {
			findings = append(findings, finding{What: what, Subject: s.Name, Detail: fmt.Sprintf(format, args...)})
		}
		if s.NotReady != "" {
			add("not-ready", "%s", s.NotReady)
		}
		if s.Version < newest {
			add("version", "%d, the newest is %d", s.Version, newest)
		}
		if s.Epoch < epoch {
			add("epoch", "%d, the store is restored to %d", s.Epoch, epoch)
		}
		if age := time.Duration(s.AgeMS) * time.Millisecond; age > maxAge {
			add("age", "%s, source %s", age, s.Source)
		}
		if s.StoreLost {
			add("store-lost", "source %s", s.Source)
		}
		// Members hear of each other by gossip, so that a few are always missing.
		if known := len(s.Members) + 1; known < len(members)/2 {
			add("members", "knows %d of %d instances", known, len(members))
		}
	}
	return findings
}

// compareEvacuations returns the evacuations that are in force, and which instances have them
// if not all do.
func compareEvacuations(members []member) (findings []finding) {
	at := make(map[string][]string)
	since, flows := make(map[string]time.Duration), make(map[string]int)
	for _, m := range members {
		for _, x := range m.Status.Evacuations {
			at[x.Domain] = append(at[x.Domain], m.Status.Name)
			since[x.Domain] = max(since[x.Domain], time.Duration(x.SinceMS)*time.Millisecond)
			flows[x.Domain] += x.OpenFlows
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(at)) {
		f := finding{What: whatEvacuated, Subject: domainText(domain)}
		f.Detail = fmt.Sprintf("at %d of %d instances, since %s, %d open flows", len(at[domain]), len(members), since[domain].Round(time.Second), flows[domain])
		if len(at[domain]) < len(members) {
			f.At = at[domain]
		}
		findings = append(findings, f)
	}
	return findings
}

// compareServers returns the backend servers whose state is not the same at all
// instances, and those that some instance avoids.
func compareServers(members []member) (findings []finding) {
	const unknown = "unknown"
	type views struct{ byState, avoided map[string][]string }
	servers := make(map[string]*views)
	for _, m := range members {
		for _, s := range m.Servers {
			v := servers[s.Name]
			if v == nil {
				v = &views{make(map[string][]string), make(map[string][]string)}
				servers[s.Name] = v
			}
			v.byState[s.State] = append(v.byState[s.State], m.Status.Name)
			if s.Unresponsive {
				v.avoided["silent"] = append(v.avoided["silent"], m.Status.Name)
			}
			if s.Excess > 0 {
				v.avoided["failing"] = append(v.avoided["failing"], m.Status.Name)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		v := servers[name]
		seen := 0
		for _, at := range v.byState {
			seen += len(at)
		}
		if seen < len(members) {
			v.byState[unknown] = namesWithout(members, name)
		}
		if len(v.byState) > 1 {
			findings = append(findings, minorityViews(name, v.byState)...)
		}
		for _, why := range slices.Sorted(maps.Keys(v.avoided)) {
			at := v.avoided[why]
			findings = append(findings, finding{What: why, Subject: name, Detail: fmt.Sprintf("at %d of %d instances", len(at), len(members)), At: at})
		}
	}
	return findings
}

// namesWithout returns the names of the instances that do not know a server.
func namesWithout(members []member, server string) (names []string) {
	for _, m := range members {
		if !slices.ContainsFunc(m.Servers, func(s edge.ServerStatus) bool { return s.Name == server }) {
			names = append(names, m.Status.Name)
		}
	}
	return names
}

// minorityViews returns a finding for each state of a server but the one that most
// instances report.
func minorityViews(server string, byState map[string][]string) (findings []finding) {
	states := slices.Sorted(maps.Keys(byState))
	most := slices.MaxFunc(states, func(a, b string) int { return cmp.Compare(len(byState[a]), len(byState[b])) })
	for _, state := range states {
		if state != most {
			findings = append(findings, finding{What: "server-state", Subject: server, Detail: fmt.Sprintf("%s, most say %s", state, most), At: byState[state]})
		}
	}
	return findings
}
