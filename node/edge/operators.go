package edge

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/fleet"
	"egrettack.example/core/token"
)

// Methods of calls by operators.
const (
	methodStatus  = "edge.status"
	methodServers = "edge.servers"
	methodToken   = "edge.token"
)

// Status is the state of an instance as it reports it.
type Status struct {
	Name        string           `json:"name"`
	Domain      string           `json:"domain"`
	NotReady    string           `json:"not_ready,omitempty"` // why it should not get packets, empty if it should
	Version     catalog.Version  `json:"version"`
	Epoch       catalog.Epoch    `json:"epoch"` // of the store, that Revision is of
	Revision    catalog.Revision `json:"revision"`
	AgeMS       int64            `json:"age_ms"` // time since the catalog was known to be current
	Routes      int              `json:"routes"`
	Servers     int              `json:"servers"`
	Flows       int              `json:"flows"`
	HeldPackets int              `json:"held_packets"`
	Source      string           `json:"source"` // peer that sends it changes, or "store"
	StoreLost   bool             `json:"store_lost"`
	Members     []string         `json:"members"` // addresses of the other instances

	Evacuations []EvacuationStatus `json:"evacuations,omitempty"` // in force here
}

// EvacuationStatus is the evacuation of a failure domain as an instance knows it.
type EvacuationStatus struct {
	Domain    string           `json:"domain"`
	Revision  catalog.Revision `json:"revision"`
	SinceMS   int64            `json:"since_ms"`   // time since the instance learned of it
	Source    string           `json:"source"`     // peer that told of it, or "store"
	OpenFlows int              `json:"open_flows"` // flows seen by this instance that the domain's servers still have
}

// ServerStatus is the state of a backend server as an instance knows it.
type ServerStatus struct {
	Name         string         `json:"name"`
	Service      string         `json:"service"`
	Domain       string         `json:"domain"`
	Addr         netip.AddrPort `json:"addr"`
	State        string         `json:"state"` // ready, evacuated, draining, missing or gone
	Unresponsive bool           `json:"silent"`
	Excess       float64        `json:"failing"` // failure rate above the baseline, from 0 to 1
	Token        token.Token    `json:"token"`
	OpenFlows    int            `json:"open_flows"` // flows seen by this instance
	InFlight     int            `json:"busy"`
	Revision     uint64         `json:"revision"`
	Speed        float64        `json:"speed"`             // multiple of the usual one of the service, as measured by this instance
	WarmUp       *WarmUpStatus  `json:"warm_up,omitempty"` // limit of new flows, if there is one now
}

type tokenParams struct {
	Token token.Token `json:"token"`
}

// FetchStatus returns the status of the instance at addr.
func FetchStatus(ctx context.Context, addr netip.AddrPort) (s Status, err error) {
	err = call(ctx, addr, methodStatus, struct{}{}, &s)
	return s, err
}

// FetchServers returns the backend servers that the instance at addr knows.
func FetchServers(ctx context.Context, addr netip.AddrPort) (list []ServerStatus, err error) {
	err = call(ctx, addr, methodServers, struct{}{}, &list)
	return list, err
}

// FetchServersByToken returns the servers that the instance at addr knows by a
// token. The list is empty if there is none.
func FetchServersByToken(ctx context.Context, addr netip.AddrPort, t token.Token) (list []ServerStatus, err error) {
	err = call(ctx, addr, methodToken, tokenParams{t}, &list)
	return list, err
}

func (i *Instance) status() Status {
	notReady := i.notReady()
	now := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	age, _ := i.catalog.Age(now)
	s := Status{
		Name: i.settings.Name, Domain: i.settings.Domain, NotReady: notReady,
		Version: i.catalog.Version(), Epoch: i.catalog.Position().Epoch, Revision: i.catalog.Revision(), AgeMS: age.Milliseconds(),
		Flows: i.engine.FlowCount(), HeldPackets: len(i.held.packets),
		Source: sourceName(i.peers.fleet.Source()), StoreLost: i.state.store.lost,
	}
	if c := i.catalog.Config(); c != nil {
		s.Routes = len(c.Routes)
	}
	i.catalog.EachServer(func(x *catalog.Server) {
		if x.Published() {
			s.Servers++
		}
	})
	s.Evacuations = i.evacuations(now)
	i.peers.fleet.EachMember(func(m *fleet.Member) { s.Members = append(s.Members, m.Addr.String()) })
	return s
}

// servers returns the servers that keep accepts, sorted by service and name.
func (i *Instance) servers(keep func(*catalog.Server) bool) []ServerStatus {
	now := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	list := []ServerStatus{}
	i.catalog.EachServer(func(s *catalog.Server) {
		if keep(s) {
			list = append(list, i.serverStatus(now, s))
		}
	})
	slices.SortFunc(list, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func (i *Instance) serverStatus(now time.Duration, s *catalog.Server) ServerStatus {
	state := "ready"
	switch {
	case i.catalog.Presence(s) >= catalog.Gone:
		state = "gone"
	case !s.Published():
		state = "missing"
	case s.Draining:
		state = "draining"
	case i.catalog.Evacuated(s.Domain):
		state = "evacuated"
	}
	load := i.engine.ServerLoad(now, s)
	return ServerStatus{
		Name: s.Name, Service: s.Service, Domain: s.Domain, Addr: s.Addr, State: state, Unresponsive: load.Unresponsive, Excess: load.ExcessFailureRate,
		Token: s.Token, OpenFlows: load.OpenFlows, InFlight: load.InFlight, Revision: uint64(s.Revision),
		Speed: i.engine.Speed(now, s), WarmUp: i.warmUpStatus(now, s),
	}
}
