package published

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/document"
	"egrettack.example/settings/tree"
)

// Prefixes of the keys.
const (
	SettingsPrefix  = "settings/"
	HostsPrefix     = "hosts/"
	InstancesPrefix = "instances/"
)

// HostList is the format of hosts/<domain>/<service>.
type HostList struct {
	Hosts []HostRecord `json:"hosts" required:"true"`
}

// HostRecord is one backend server. Fields of tree.Host that it does not give
// are those of its service.
type HostRecord struct {
	ID     snapshot.HostID           `json:"id" required:"true" min:"1" unit:"host number"`
	Name   string                    `json:"name" required:"true"`
	Tunnel netip.AddrPort            `json:"tunnel" required:"true" unit:"address:port, UDP"`
	Health string                    `json:"health,omitempty" default:"" unit:"http or https URL"`
	State  string                    `json:"state,omitempty" default:"ready" oneof:"ready draining"`
	Via    map[string]netip.AddrPort `json:"via,omitempty" unit:"domain to address:port"`
	tree.Host
}

// InstanceList is the format of instances/<domain>.
type InstanceList struct {
	Instances []InstanceRecord `json:"instances" required:"true"`
}

// InstanceRecord is one instance.
type InstanceRecord struct {
	ID      snapshot.InstanceID  `json:"id" required:"true" min:"1" unit:"instance number"`
	Name    string               `json:"name" required:"true"`
	Data    netip.AddrPort       `json:"data" required:"true" unit:"address:port, UDP"`
	Control netip.AddrPort       `json:"control" required:"true" unit:"address:port, UDP"`
	RPC     netip.AddrPort       `json:"rpc" required:"true" unit:"address:port, TCP"`
	Leaving bool                 `json:"leaving,omitempty" default:"false"`
	Via     map[string]Addresses `json:"via,omitempty" unit:"domain to addresses"`
}

// Addresses are the addresses of an instance as seen from one domain.
type Addresses struct {
	Data    netip.AddrPort `json:"data" required:"true" unit:"address:port, UDP"`
	Control netip.AddrPort `json:"control" required:"true" unit:"address:port, UDP"`
	RPC     netip.AddrPort `json:"rpc" required:"true" unit:"address:port, TCP"`
}

// builder turns lists into snapshot input and collects the problems.
type builder struct {
	domains   map[string]tree.Domain
	services  map[string]*service // by list name, "west.register"
	hosts     map[snapshot.HostID]string
	instances map[snapshot.InstanceID]string
	in        snapshot.Input
	problems  document.Problems
}

type service struct {
	id   snapshot.ServiceID
	host tree.Host
}

func (b *builder) fail(p document.Problem) { b.problems = append(b.problems, p) }

// domain looks a name up. Line 1 stands for the key itself.
func (b *builder) domain(doc *document.Document, path, name string) snapshot.DomainID {
	d, ok := b.domains[name]
	if !ok {
		b.fail(doc.Problem(path, "unknown domain %q", name))
	}
	return snapshot.DomainID(d.Number)
}

func (b *builder) hostList(key string, read *readList[HostList]) {
	b.problems = append(b.problems, read.problems...)
	doc, list := read.doc, &read.list
	if doc == nil {
		return
	}
	domainName, serviceName, _ := strings.Cut(strings.TrimPrefix(key, HostsPrefix), "/")
	domain := b.domain(doc, "", domainName)
	svc := b.services[serviceName]
	if svc == nil {
		b.fail(doc.Problem("", "unknown service %q", serviceName))
		return
	}
	for i := range list.Hosts {
		h := &list.Hosts[i]
		path := fmt.Sprintf("hosts[%d]", i)
		if user, ok := b.hosts[h.ID]; ok && h.ID != 0 {
			b.fail(doc.Problem(path+".id", "host number %d is already used by %s", h.ID, user))
		}
		b.hosts[h.ID] = h.Name + " in " + key
		b.in.Hosts = append(b.in.Hosts, b.host(doc, path, h, domain, svc))
	}
}

func (b *builder) host(doc *document.Document, path string, r *HostRecord, d snapshot.DomainID, svc *service) snapshot.Host {
	h := snapshot.Host{
		ID: r.ID, Name: r.Name, Domain: d, Service: svc.id, Tunnel: r.Tunnel, HealthURL: r.Health,
		Slots:           *cmp.Or(r.Slots, svc.host.Slots),
		ConnectionLimit: *cmp.Or(r.Connections, svc.host.Connections),
		QueueLimit:      *cmp.Or(r.Queue, svc.host.Queue),
		WarmUp:          cmp.Or(r.WarmUp, svc.host.WarmUp).Duration,
	}
	if c := cmp.Or(r.Capacity, svc.host.Capacity); c != nil {
		h.Capacity = *c
	}
	if r.State == "draining" {
		h.State = snapshot.HostDraining
	}
	if r.Health != "" && !strings.HasPrefix(r.Health, "http://") && !strings.HasPrefix(r.Health, "https://") {
		b.fail(doc.Problem(path+".health", `bad address: %q is not an http or https URL`, r.Health))
	}
	for name, addr := range r.Via {
		if h.Via == nil {
			h.Via = make(map[snapshot.DomainID]netip.AddrPort, len(r.Via))
		}
		h.Via[b.domain(doc, path+".via."+name, name)] = addr
	}
	return h
}

func (b *builder) instanceList(key string, read *readList[InstanceList]) {
	b.problems = append(b.problems, read.problems...)
	doc, list := read.doc, &read.list
	if doc == nil {
		return
	}
	domain := b.domain(doc, "", strings.TrimPrefix(key, InstancesPrefix))
	for i := range list.Instances {
		r := &list.Instances[i]
		path := fmt.Sprintf("instances[%d]", i)
		if user, ok := b.instances[r.ID]; ok && r.ID != 0 {
			b.fail(doc.Problem(path+".id", "instance number %d is already used by %s", r.ID, user))
		}
		b.instances[r.ID] = r.Name + " in " + key
		inst := snapshot.Instance{
			ID: r.ID, Name: r.Name, Domain: domain,
			Data: r.Data, Control: r.Control, RPC: r.RPC, Leaving: r.Leaving,
		}
		for name, a := range r.Via {
			if inst.Via == nil {
				inst.Via = make(map[snapshot.DomainID]snapshot.Addresses, len(r.Via))
			}
			inst.Via[b.domain(doc, path+".via."+name, name)] = snapshot.Addresses{Data: a.Data, Control: a.Control, RPC: a.RPC}
		}
		b.in.Instances = append(b.in.Instances, inst)
	}
}

// sortInput puts the input in one order, so that equal values give equal
// snapshots.
func (b *builder) sortInput() {
	slices.SortFunc(b.in.Hosts, func(x, y snapshot.Host) int { return cmp.Compare(x.ID, y.ID) })
	slices.SortFunc(b.in.Instances, func(x, y snapshot.Instance) int { return cmp.Compare(x.ID, y.ID) })
}

// RPCAddresses returns the rpc addresses of the listed instances as seen from
// a domain. Lists with errors are passed over, so that it serves for values
// that fail the checks.
func RPCAddresses(values Values, domain string) (addrs []string) {
	for _, key := range slices.Sorted(maps.Keys(values.Values)) {
		if !strings.HasPrefix(key, InstancesPrefix) {
			continue
		}
		doc, problems := document.Parse(key, []byte(values.Values[key]))
		var list InstanceList
		if len(problems) > 0 || len(doc.Decode(&list)) > 0 {
			continue
		}
		for _, r := range list.Instances {
			addr := r.RPC
			if via, ok := r.Via[domain]; ok {
				addr = via.RPC
			}
			addrs = append(addrs, addr.String())
		}
	}
	return addrs
}
