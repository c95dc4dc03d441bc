package scenario

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/layout"
)

// boot generates a world and starts all of it but the spare instances. The
// arguments are instances=N, spare=N, domains=a,b, stop=D, PATH=N for the hosts
// of a service, and kind=PATH@PATH for a kind that the tree does not have yet,
// at the address of another one. Each service has one spare host.
func (r *run) boot(args []string) error {
	spec := layout.Spec{
		Tree: r.cfg.Tree, Out: r.dir, Domains: []string{"north", "south"}, Instances: 6, Spare: 1,
		Hosts: map[string]int{
			"prairie/register": 6, "prairie/intake": 4, "agni/dispatch": 6, "agni/evidence": 4,
		},
		SpareHosts: map[string]int{
			"prairie/register": 1, "prairie/intake": 1, "agni/dispatch": 1, "agni/evidence": 1,
		},
		Extra: map[string]string{},
		Links: true, StopTimeout: "20s", LogLevel: "info",
	}
	for _, a := range args {
		if err := option(&spec, a); err != nil {
			return err
		}
	}
	var err error
	if r.world, err = layout.Generate(spec); err != nil {
		return err
	}
	for _, n := range []string{"platform", "hosts", "link", "fabric"} {
		if err := r.start(n); err != nil {
			return err
		}
	}
	var names []string
	for _, i := range r.world.Instances {
		if i.Spare {
			continue
		}
		names = append(names, i.Name)
		if err := r.start(i.Name); err != nil {
			return err
		}
	}
	return r.ready(names...)
}

func option(s *layout.Spec, arg string) error {
	k, v, _ := strings.Cut(arg, "=")
	switch k {
	case "domains":
		s.Domains = strings.Split(v, ",")
		return nil
	case "stop":
		s.StopTimeout = v
		return nil
	case "kind":
		path, as, ok := strings.Cut(v, "@")
		if !ok {
			return trace.BadParameter("boot: %q is not kind=PATH@PATH", arg)
		}
		s.Extra[path] = as
		return nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return trace.BadParameter("boot: %q is not KEY=NUMBER", arg)
	}
	switch k {
	case "instances":
		s.Instances = n
	case "spare":
		s.Spare = n
	default:
		s.Hosts[k] = n
	}
	return nil
}

// service returns the number of a service.
func (r *run) service(path string) (uint32, error) {
	for _, k := range r.world.Kinds {
		if k.Service == path {
			return k.Number, nil
		}
	}
	return 0, trace.NotFound("service %q is not in the world", path)
}
