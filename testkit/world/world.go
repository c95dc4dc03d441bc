// Package world describes one test installation: the addresses of all
// stand-ins, the services, the hosts, the instances and the links between
// failure domains. Every stand-in reads it from one file.
package world

import (
	"encoding/json"
	"net/netip"
	"os"

	"github.com/gravitational/trace"
)

// World is one test installation.
type World struct {
	Platform  string         `json:"platform"` // URL
	Views     []View         `json:"views"`    // of the platform, one a domain with links
	Ingress   netip.AddrPort `json:"ingress"`  // fabric, from callers
	Egress    netip.AddrPort `json:"egress"`   // fabric, from hosts and instances
	Fabric    string         `json:"fabric"`   // test interfaces, URLs
	HostsURL  string         `json:"hosts_url"`
	LinkURL   string         `json:"link_url"`
	Domains   []string       `json:"domains"`
	Kinds     []Kind         `json:"kinds"`
	Hosts     []Host         `json:"hosts"`
	Instances []Instance     `json:"instances"`
	Links     []Link         `json:"links"`
}

// Kind is one kind of work and its address.
type Kind struct {
	Path    string         `json:"path"`    // "prairie/register/feed"
	Service string         `json:"service"` // "prairie/register"
	Name    string         `json:"name"`
	Number  uint32         `json:"number"` // of the service
	Address netip.AddrPort `json:"address"`
	Slot    bool           `json:"slot"` // occupies a slot of the host
	WorkUS  int64          `json:"work_us"`
}

// Host is one backend server.
type Host struct {
	ID          uint32         `json:"id"`
	Name        string         `json:"name"`
	Domain      string         `json:"domain"`
	Service     string         `json:"service"`
	Number      uint32         `json:"number"`
	Tunnel      netip.AddrPort `json:"tunnel"`
	Health      netip.AddrPort `json:"health"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Queue       int            `json:"queue"`
	Spare       bool           `json:"spare"` // runs but is not in the first host list
}

// Instance is one entry machine.
type Instance struct {
	ID       uint32         `json:"id"`
	Name     string         `json:"name"`
	Domain   string         `json:"domain"`
	Data     netip.AddrPort `json:"data"`
	Control  netip.AddrPort `json:"control"`
	RPC      netip.AddrPort `json:"rpc"`
	HTTP     netip.AddrPort `json:"http"`
	Settings string         `json:"settings"` // path of its settings file
	Spare    bool           `json:"spare"`
}

// Link is one forwarded address: what domain From uses to reach Target in To.
type Link struct {
	From   string         `json:"from"`
	To     string         `json:"to"`      // a domain, or Platform
	Net    string         `json:"network"` // udp or tcp
	Listen netip.AddrPort `json:"listen"`
	Target netip.AddrPort `json:"target"`
}

// View is the address at which the platform serves one domain.
type View struct {
	Domain string         `json:"domain"`
	Listen netip.AddrPort `json:"listen"`
}

// Platform is the To of links to the platform.
const Platform = "platform"

// HealthPath is the path of the health endpoint of a host.
const HealthPath = "/health"

// HealthVia returns pairs of the health URLs of hosts in other domains and the
// URLs by which the given domain reaches them.
func (w *World) HealthVia(domain string) []string {
	health := make(map[netip.AddrPort]bool)
	for _, h := range w.Hosts {
		health[h.Health] = true
	}
	var out []string
	for _, l := range w.Links {
		if l.From == domain && health[l.Target] {
			out = append(out, HealthURL(l.Target), HealthURL(l.Listen))
		}
	}
	return out
}

// HealthURL returns the URL of the health endpoint at an address.
func HealthURL(a netip.AddrPort) string { return "http://" + a.String() + HealthPath }

// Read loads a world from a file.
func Read(path string) (*World, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "read world")
	}
	w := &World{}
	if err := json.Unmarshal(b, w); err != nil {
		return nil, trace.Wrap(err, "decode world %s", path)
	}
	return w, nil
}

// Write stores the world in a file.
func (w *World) Write(path string) error {
	b, err := json.MarshalIndent(w, "", " ")
	if err != nil {
		return trace.Wrap(err, "encode world")
	}
	return trace.Wrap(os.WriteFile(path, b, 0o644), "write world")
}

// Kind returns the kind with the given path.
func (w *World) Kind(path string) (Kind, error) {
	for _, k := range w.Kinds {
		if k.Path == path {
			return k, nil
		}
	}
	return Kind{}, trace.NotFound("kind %q is not in the world", path)
}

// Host returns the host with the given name.
func (w *World) Host(name string) (Host, error) {
	for _, h := range w.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return Host{}, trace.NotFound("host %q is not in the world", name)
}

// Instance returns the instance with the given name.
func (w *World) Instance(name string) (Instance, error) {
	for _, i := range w.Instances {
		if i.Name == name {
			return i, nil
		}
	}
	return Instance{}, trace.NotFound("instance %q is not in the world", name)
}
