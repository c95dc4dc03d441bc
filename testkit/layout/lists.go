package layout

import (
	"encoding/json"
	"net/netip"
	"strings"

	"egrettack.example/testkit/world"
)

// HostRecord is one host as the platform publishes it.
type HostRecord struct {
	ID     uint32                    `json:"id"`
	Name   string                    `json:"name"`
	Tunnel netip.AddrPort            `json:"tunnel"`
	Via    map[string]netip.AddrPort `json:"via,omitempty"`
	Health string                    `json:"health"`
	State  string                    `json:"state"`
}

// HostList is the value of hosts/<domain>/<service>.
type HostList struct {
	Hosts []HostRecord `json:"hosts"`
}

// Addresses of an instance as seen from one domain.
type Addresses struct {
	Data    netip.AddrPort `json:"data"`
	Control netip.AddrPort `json:"control"`
	RPC     netip.AddrPort `json:"rpc"`
}

// InstanceRecord is one instance as the platform publishes it.
type InstanceRecord struct {
	ID   uint32 `json:"id"`
	Name string `json:"name"`
	Addresses
	Via     map[string]Addresses `json:"via,omitempty"`
	Leaving bool                 `json:"leaving"`
}

// InstanceList is the value of instances/<domain>.
type InstanceList struct {
	Instances []InstanceRecord `json:"instances"`
}

// HostKey is the key of the list that holds a host.
func HostKey(h world.Host) string {
	return "hosts/" + h.Domain + "/" + strings.ReplaceAll(h.Service, "/", ".")
}

// InstanceKey is the key of the list that holds an instance.
func InstanceKey(i world.Instance) string { return "instances/" + i.Domain }

// Lists returns the lists of all hosts and instances that are not spare.
func Lists(w *world.World) map[string]string {
	hosts := make(map[string]*HostList)
	for _, h := range w.Hosts {
		l := at(hosts, HostKey(h))
		if !h.Spare {
			l.Hosts = append(l.Hosts, NewHostRecord(w, h))
		}
	}
	instances := make(map[string]*InstanceList)
	for _, i := range w.Instances {
		l := at(instances, InstanceKey(i))
		if !i.Spare {
			l.Instances = append(l.Instances, NewInstanceRecord(w, i))
		}
	}
	out := make(map[string]string)
	for k, l := range hosts {
		out[k] = Encode(l)
	}
	for k, l := range instances {
		out[k] = Encode(l)
	}
	return out
}

func at[T any](m map[string]*T, key string) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

// NewHostRecord returns the record of a ready host.
func NewHostRecord(w *world.World, h world.Host) HostRecord {
	r := HostRecord{
		ID: h.ID, Name: h.Name, Tunnel: h.Tunnel, State: "ready",
		Health: world.HealthURL(h.Health),
	}
	for _, d := range w.Domains {
		if a, ok := via(w, d, h.Tunnel); ok {
			if r.Via == nil {
				r.Via = make(map[string]netip.AddrPort)
			}
			r.Via[d] = a
		}
	}
	return r
}

// NewInstanceRecord returns the record of a live instance.
func NewInstanceRecord(w *world.World, i world.Instance) InstanceRecord {
	r := InstanceRecord{
		ID: i.ID, Name: i.Name, Addresses: Addresses{Data: i.Data, Control: i.Control, RPC: i.RPC},
	}
	for _, d := range w.Domains {
		data, ok := via(w, d, i.Data)
		if !ok {
			continue
		}
		control, _ := via(w, d, i.Control)
		rpc, _ := via(w, d, i.RPC)
		if r.Via == nil {
			r.Via = make(map[string]Addresses)
		}
		r.Via[d] = Addresses{Data: data, Control: control, RPC: rpc}
	}
	return r
}

// Encode returns the text of a list.
func Encode(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		// Only a type that cannot be encoded at all fails here.
		panic(err)
	}
	return string(b)
}
