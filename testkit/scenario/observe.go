package scenario

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/snapshot"
	"egrettack.example/testkit/control"
	"egrettack.example/testkit/hosts"
	"egrettack.example/testkit/platform"
	"egrettack.example/testkit/world"
)

// Bounds of the requirements.
const (
	leavingBound = 3 * time.Second
	inForceBound = 9 * time.Second
)

const (
	pollStep = 100 * time.Millisecond
	// pageWait bounds one look at a page of an instance.
	pageWait = 2 * time.Second
)

func get(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), pageWait)
	defer cancel()
	return control.Get(ctx, url, v)
}

// status is the part of an instance's status page that scenarios use.
type status struct {
	Version snapshot.Version `json:"version"`
	Groups  []struct {
		Group string `json:"group"` // service, domain and index
		Role  string `json:"role"`
	} `json:"groups"`
}

func (r *run) status(i world.Instance) (status, error) {
	var s status
	err := get(pageURL(i.HTTP, "status"), &s)
	return s, trace.Wrap(err, "status of %s", i.Name)
}

func (r *run) revision() (snapshot.Version, error) {
	var v struct {
		Revision snapshot.Version `json:"revision"`
	}
	err := get(r.world.Platform+"/test/v1/value?key=settings/root", &v)
	return v.Revision, err
}

// eventually tries f until it succeeds or the limit is over.
func eventually(limit time.Duration, f func() error) error {
	for start := time.Now(); ; time.Sleep(pollStep) {
		err := f()
		if err == nil || time.Since(start) > limit {
			return err
		}
	}
}

// atLeast checks that every live instance has a version in force.
func (r *run) atLeast(want snapshot.Version) error {
	for _, i := range r.live() {
		s, err := r.status(i)
		if err != nil {
			return err
		}
		if s.Version < want {
			return trace.CompareFailed("%s has version %d in force, want %d", i.Name, s.Version, want)
		}
	}
	return nil
}

// role returns the instance with a role in the first group of a service in a
// domain.
func (r *run) role(role, service, domain string) (world.Instance, error) {
	number, err := r.service(service)
	if err != nil {
		return world.Instance{}, err
	}
	group := snapshot.GroupID{
		Service: snapshot.ServiceID(number), Domain: snapshot.DomainID(slices.Index(domainNumbers, domain) + 1),
	}
	for _, i := range r.live() {
		s, err := r.status(i)
		if err != nil {
			return world.Instance{}, err
		}
		for _, g := range s.Groups {
			if g.Role == role && g.Group == group.String() {
				return i, nil
			}
		}
	}
	return world.Instance{}, trace.NotFound("no instance is %s of %s in %s", role, service, domain)
}

// domainNumbers lists the domains of the sample tree in the order of their
// numbers, from 1.
var domainNumbers = []string{"north", "south", "east"}

func (r *run) hostStats(name string) (hosts.Stats, error) {
	all := make(map[string]hosts.Stats)
	if err := get(r.world.HostsURL+"/test/v1/stats", &all); err != nil {
		return hosts.Stats{}, err
	}
	s, ok := all[name]
	if !ok {
		return s, trace.NotFound("host %q is not in the world", name)
	}
	return s, nil
}

// quietWindow is how long a host must get no connection.
const quietWindow = 3 * time.Second

// quiet checks that leaving hosts get no new work after the bound.
func (r *run) quiet(names []string) error {
	time.Sleep(leavingBound)
	if err := r.mark(names); err != nil {
		return err
	}
	time.Sleep(quietWindow)
	return r.unused(names)
}

// mark notes how many connections hosts have got so far.
func (r *run) mark(names []string) error {
	for _, n := range names {
		s, err := r.hostStats(n)
		if err != nil {
			return err
		}
		r.marks[n] = s.Accepted
	}
	return nil
}

// unused checks that hosts got no connection since they were marked.
func (r *run) unused(names []string) error {
	var bad []string
	for _, n := range names {
		s, err := r.hostStats(n)
		if err != nil {
			return err
		}
		if s.Accepted != r.marks[n] {
			bad = append(bad, n)
		}
	}
	if len(bad) > 0 {
		return trace.CompareFailed("leaving hosts got new connections: %s", strings.Join(bad, ", "))
	}
	return nil
}

// used checks that a host gets new work.
func (r *run) used(name string) error {
	before, err := r.hostStats(name)
	if err != nil {
		return err
	}
	return eventually(inForceBound, func() error {
		now, err := r.hostStats(name)
		if err == nil && now.Accepted == before.Accepted {
			return trace.CompareFailed("host %s got no new connection", name)
		}
		return err
	})
}

// clean checks that no host got a packet or request of another service.
func (r *run) clean() error {
	all := make(map[string]hosts.Stats)
	if err := get(r.world.HostsURL+"/test/v1/stats", &all); err != nil {
		return err
	}
	for name, s := range all {
		if s.Misrouted > 0 {
			return trace.CompareFailed("host %s got %d packets or requests of other services", name, s.Misrouted)
		}
	}
	return nil
}

// platformCalls checks the number of calls that the platform has counted.
func (r *run) platformCalls(limit uint64) error {
	var c platform.Calls
	if err := get(r.world.Platform+"/test/v1/stats", &c); err != nil {
		return err
	}
	if c.Total > limit || c.Refused > 0 {
		return trace.CompareFailed("platform has counted %d calls, %d refused, want at most %d", c.Total, c.Refused, limit)
	}
	return nil
}
