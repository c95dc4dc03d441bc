package snapshot

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"egrettack.example/core/flow"
	"egrettack.example/core/rank"
)

// DefaultGroupSize is the number of hosts of a full host group. Groups of five
// reach nearly the tail latency of one global view of all hosts.
const DefaultGroupSize = 5

// RankBuckets is the number of buckets that the flows of a service fall into.
// The ranking of groups is computed once for each bucket, so that ranking a
// flow costs one table look-up whatever the number of groups.
const RankBuckets = 4096

// RankDepth is the number of groups that a flow may use.
const RankDepth = 3

// seeds keep the hashes of different purposes independent of one another.
const (
	seedGroupRank uint64 = 0x67726f7570 + iota
	seedHostGroup
	seedBucket
)

// RankHistory is the number of earlier rankings that a snapshot remembers of a
// service. Flows outlive changes of the host list, and a quiet flow may meet
// its first packet after several of them.
const RankHistory = 4

// maxGroups bounds the groups of one service, since ranks are kept as int16.
const maxGroups = 1<<15 - 1

type rankRow [RankDepth]int16

// pastRank is the first group of each bucket in an earlier ranking.
type pastRank struct {
	groups []GroupID
	first  []int16
}

// Input is all that a snapshot is built from.
type Input struct {
	Version   Version
	GroupSize int // hosts of a full group, DefaultGroupSize when zero
	Domains   []Domain
	Services  []Service // without groups
	Hosts     []Host
	Instances []Instance
}

// Snapshot is one version of the settings and lists. It is immutable.
type Snapshot struct {
	Version   Version
	Domains   map[DomainID]*Domain
	Services  map[ServiceID]*Service
	Hosts     map[HostID]*Host
	Instances map[InstanceID]*Instance
	Groups    map[GroupID]*Group
	endpoints map[Endpoint]Binding
	hostGroup map[HostID]*Group
	moves     []Move
}

// New builds a snapshot. previous may be nil; it tells which endpoints have
// moved from one service to another and how flows were ranked before; services
// with the same groups take over its ranking.
func New(in Input, previous *Snapshot) (*Snapshot, error) {
	s := &Snapshot{
		Version:   in.Version,
		Domains:   make(map[DomainID]*Domain, len(in.Domains)),
		Services:  make(map[ServiceID]*Service, len(in.Services)),
		Hosts:     make(map[HostID]*Host, len(in.Hosts)),
		Instances: make(map[InstanceID]*Instance, len(in.Instances)),
		Groups:    make(map[GroupID]*Group),
		endpoints: make(map[Endpoint]Binding),
		hostGroup: make(map[HostID]*Group, len(in.Hosts)),
	}
	if err := s.addDomains(in.Domains); err != nil {
		return nil, err
	}
	if err := s.addInstances(in.Instances); err != nil {
		return nil, err
	}
	hosts, err := s.addHosts(in.Hosts)
	if err != nil {
		return nil, err
	}
	size := in.GroupSize
	if size <= 0 {
		size = DefaultGroupSize
	}
	var r ranking
	for i := range in.Services {
		if err := s.addService(in.Services[i], hosts[in.Services[i].ID], size, previous, &r); err != nil {
			return nil, err
		}
	}
	for _, h := range s.Hosts {
		if s.Services[h.Service] == nil {
			return nil, fmt.Errorf("host %s: service %d is not defined", h.Name, h.Service)
		}
	}
	s.markMoved(previous)
	return s, nil
}

func (s *Snapshot) addDomains(domains []Domain) error {
	for i := range domains {
		d := domains[i]
		if s.Domains[d.ID] != nil {
			return fmt.Errorf("domain %s: number %d is used twice", d.Name, d.ID)
		}
		s.Domains[d.ID] = &d
	}
	return nil
}

func (s *Snapshot) addInstances(instances []Instance) error {
	for i := range instances {
		inst := instances[i]
		if s.Instances[inst.ID] != nil {
			return fmt.Errorf("instance %s: number %d is used twice", inst.Name, inst.ID)
		}
		if s.Domains[inst.Domain] == nil {
			return fmt.Errorf("instance %s: domain %d is not defined", inst.Name, inst.Domain)
		}
		s.Instances[inst.ID] = &inst
	}
	return nil
}

func (s *Snapshot) addHosts(hosts []Host) (map[ServiceID][]*Host, error) {
	byService := make(map[ServiceID][]*Host)
	for i := range hosts {
		h := hosts[i]
		if s.Hosts[h.ID] != nil {
			return nil, fmt.Errorf("host %s: number %d is used twice", h.Name, h.ID)
		}
		if s.Domains[h.Domain] == nil {
			return nil, fmt.Errorf("host %s: domain %d is not defined", h.Name, h.Domain)
		}
		if h.Capacity <= 0 {
			h.Capacity = float64(max(h.Slots, 1))
		}
		s.Hosts[h.ID] = &h
		byService[h.Service] = append(byService[h.Service], &h)
	}
	return byService, nil
}

func (s *Snapshot) addService(svc Service, hosts []*Host, size int, previous *Snapshot, r *ranking) error {
	if svc.ID == 0 || svc.ID > MaxServiceID {
		return fmt.Errorf("service %s: number %d is not between 1 and %d", svc.Name, svc.ID, MaxServiceID)
	}
	if s.Services[svc.ID] != nil {
		return fmt.Errorf("service %s: number %d is used twice", svc.Name, svc.ID)
	}
	svc.Groups = formGroups(svc.ID, hosts, size)
	if len(svc.Groups) > maxGroups {
		return fmt.Errorf("service %s: %d groups are more than %d", svc.Name, len(svc.Groups), maxGroups)
	}
	svc.rank(previous, r)
	p := &svc
	s.Services[svc.ID] = p
	for _, g := range svc.Groups {
		s.Groups[g.ID] = g
		for _, h := range g.Hosts {
			s.hostGroup[h.ID] = g
		}
	}
	for _, k := range svc.Kinds {
		for _, e := range k.Endpoints {
			if other, ok := s.endpoints[e]; ok {
				return fmt.Errorf("service %s: %s is already used by service %s", svc.Name, e, other.Service.Name)
			}
			s.endpoints[e] = Binding{Service: p, Kind: k}
		}
	}
	return nil
}

func (s *Snapshot) markMoved(previous *Snapshot) {
	if previous == nil {
		return
	}
	for e, b := range s.endpoints {
		old, ok := previous.endpoints[e]
		switch {
		case !ok:
			continue
		case old.Service.ID != b.Service.ID:
			b.MovedIn, b.MovedFrom = s.Version, old.Service.ID
		default:
			b.MovedIn, b.MovedFrom = old.MovedIn, old.MovedFrom
		}
		s.endpoints[e] = b
		if b.MovedIn != 0 {
			s.moves = append(s.moves, Move{Endpoint: e, From: b.MovedFrom, To: b.Service.ID, Version: b.MovedIn})
		}
	}
}

// Moves returns the endpoints that have moved between services as far as this
// instance has seen, in no order.
func (s *Snapshot) Moves() []Move { return s.moves }

// Lookup returns what the destination leads to.
func (s *Snapshot) Lookup(e Endpoint) (Binding, bool) {
	b, ok := s.endpoints[e]
	return b, ok
}

// GroupOf returns the group that the host belongs to, or nil.
func (s *Snapshot) GroupOf(h HostID) *Group { return s.hostGroup[h] }

// EachEndpoint calls f for every endpoint.
func (s *Snapshot) EachEndpoint(f func(Endpoint, Binding)) {
	for e, b := range s.endpoints {
		f(e, b)
	}
}

// Rank returns the indexes into s.Groups of the flow's groups, best first; -1
// stands where a service has fewer groups.
func (s *Service) Rank(k flow.Key) [RankDepth]int32 {
	if len(s.ranks) == 0 {
		return [RankDepth]int32{-1, -1, -1}
	}
	row := s.ranks[bucketOf(k)]
	return [RankDepth]int32{int32(row[0]), int32(row[1]), int32(row[2])}
}

func bucketOf(k flow.Key) uint64 { return k.Hash(seedBucket) % RankBuckets }

// PreviousGroups returns the flow's first groups by earlier rankings, latest first and
// each once; the zero GroupID fills the rest. Its present first group may be
// among them.
func (s *Service) PreviousGroups(k flow.Key) [RankHistory]GroupID {
	var out [RankHistory]GroupID
	n := 0
	for _, p := range s.past {
		i := p.first[bucketOf(k)]
		if i < 0 || slices.Contains(out[:n], p.groups[i]) {
			continue
		}
		out[n] = p.groups[i]
		n++
	}
	return out
}

// SameRanking reports whether both rank every flow alike.
func (s *Service) SameRanking(o *Service) bool {
	return len(s.ranks) == len(o.ranks) && (len(s.ranks) == 0 || &s.ranks[0] == &o.ranks[0])
}

// rank ranks the groups of the service. It takes over the ranking of the
// previous snapshot when groups and weights are the same, which makes most
// changes cheap, and otherwise remembers that ranking.
func (s *Service) rank(previous *Snapshot, r *ranking) {
	var old *Service
	if previous != nil {
		old = previous.Services[s.ID]
	}
	switch {
	case old == nil:
		s.ranks = r.rankGroups(s.Groups)
		return
	case sameGroups(old.Groups, s.Groups):
		s.ranks, s.past = old.ranks, old.past
		return
	}
	s.ranks = r.rankGroups(s.Groups)
	s.past = old.past
	if len(old.ranks) > 0 {
		s.past = append([]pastRank{old.pastRank()}, old.past[:min(len(old.past), RankHistory-1)]...)
	}
}

func (s *Service) pastRank() pastRank {
	p := pastRank{first: make([]int16, RankBuckets)}
	for _, g := range s.Groups {
		p.groups = append(p.groups, g.ID)
	}
	for b, row := range s.ranks {
		p.first[b] = row[0]
	}
	return p
}

func sameGroups(a, b []*Group) bool {
	return slices.EqualFunc(a, b, func(x, y *Group) bool { return x.ID == y.ID && x.Weight == y.Weight })
}

// formGroups divides the hosts of one service into groups, each within one
// domain. It depends on the published list only, and adding or removing one
// host moves few of the others: each host takes its best-ranked group that is
// not full.
func formGroups(svc ServiceID, hosts []*Host, size int) []*Group {
	byDomain := make(map[DomainID][]*Host)
	for _, h := range hosts {
		byDomain[h.Domain] = append(byDomain[h.Domain], h)
	}
	var groups []*Group
	for d, list := range byDomain {
		slices.SortFunc(list, func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) })
		groups = append(groups, divide(svc, d, list, size)...)
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.ID.Domain, b.ID.Domain), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return groups
}

func divide(svc ServiceID, d DomainID, hosts []*Host, size int) []*Group {
	n := (len(hosts) + size - 1) / size
	limit := (len(hosts) + n - 1) / n
	groups := make([]*Group, n)
	for i := range groups {
		groups[i] = &Group{ID: GroupID{Service: svc, Domain: d, Index: uint16(i)}}
	}
	for _, h := range hosts {
		var best *Group
		bestScore := math.Inf(-1)
		for i, g := range groups {
			if len(g.Hosts) >= limit {
				continue
			}
			if score := rank.Score(seedHostGroup, uint64(h.ID), uint64(i), 1); score > bestScore {
				best, bestScore = g, score
			}
		}
		best.Hosts = append(best.Hosts, h)
		best.Weight += h.Capacity
	}
	return slices.DeleteFunc(groups, func(g *Group) bool { return len(g.Hosts) == 0 })
}

func groupNode(g GroupID) uint64 {
	return uint64(g.Service)<<32 | uint64(g.Domain)<<16 | uint64(g.Index)
}
