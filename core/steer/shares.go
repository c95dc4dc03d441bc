package steer

import (
	"net/netip"
	"strconv"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/pacing"
)

// AnyPriority in a Share means requests of its kind on routes of every priority.
const AnyPriority = -1

// Share is the part of the room at the servers of a service, and of the queue of
// waiting flows, that a kind of request has. Parts are fractions from 0 to 1.
type Share struct {
	Kind      catalog.Kind
	Priority  int     // of the route, or AnyPriority
	Guarantee float64 // part that the kind gets whatever other kinds hold
	Ceiling   float64 // largest part that the kind may take, at least Guarantee
}

var kindNames = map[catalog.Kind]string{
	catalog.Safe: "safe", catalog.Unsafe: "unsafe", catalog.Upload: "upload", catalog.Download: "download",
}

// Name returns the name of the share in logs and metrics: its kind, and its priority
// if it has one.
func (s *Share) Name() string {
	name := kindNames[s.Kind]
	if s.Priority != AnyPriority {
		name += "/" + strconv.Itoa(s.Priority)
	}
	return name
}

// otherShare is the share of all kinds that have none of their own.
var otherShare = Share{Ceiling: 1}

const otherShareName = "other"

// ShareAccount counts the requests in flight at this instance by service and share. A
// share is identified by its place in the list that the account has; the number after
// the last one stands for all kinds without a share. The zero value has no shares and
// counts nothing.
type ShareAccount struct {
	list     []Share
	spans    []span           // by share
	requests map[string][]int // in flight, by service and share
}

// active reports whether any kind has a share.
func (a *ShareAccount) active() bool { return len(a.list) > 0 }

// find returns the share of a kind of request. A share of the priority goes before one
// for every priority.
func (a *ShareAccount) find(kind catalog.Kind, priority int) int {
	found := len(a.list)
	for i := range a.list {
		switch s := &a.list[i]; {
		case s.Kind != kind:
		case s.Priority == priority:
			return i
		case s.Priority == AnyPriority:
			found = i
		}
	}
	return found
}

func (a *ShareAccount) share(i int) *Share {
	if i < len(a.list) {
		return &a.list[i]
	}
	return &otherShare
}

// Parts returns the guaranteed part and the largest part of a share.
func (a *ShareAccount) Parts(share int) (guarantee, ceiling float64) {
	s := a.share(share)
	return s.Guarantee, s.Ceiling
}

// KindShare returns the number of the share of a kind of request, its guaranteed part and
// its largest part, 0 and 1 if the kind has no share of its own.
func (a *ShareAccount) KindShare(kind catalog.Kind, priority int) (share int, guarantee, ceiling float64) {
	share = a.find(kind, priority)
	guarantee, ceiling = a.Parts(share)
	return share, guarantee, ceiling
}

// Count returns the number of shares, that of all kinds without one included. It is 0
// if no kind has a share.
func (a *ShareAccount) Count() int {
	if !a.active() {
		return 0
	}
	return len(a.list) + 1
}

// Name returns the name of a share.
func (a *ShareAccount) Name(share int) string {
	if share < len(a.list) {
		return a.list[share].Name()
	}
	return otherShareName
}

// InFlight returns the requests in flight of a share at all services.
func (a *ShareAccount) InFlight(share int) (n int) {
	for _, counts := range a.requests {
		n += counts[share]
	}
	return n
}

func (a *ShareAccount) inFlight(service string, share int) int {
	if n := a.requests[service]; n != nil {
		return n[share]
	}
	return 0
}

// counter returns the counter of the requests in flight of a share at a service.
func (a *ShareAccount) counter(service string, share int) *int {
	n := a.requests[service]
	if n == nil {
		n = make([]int, a.Count())
		a.requests[service] = n
	}
	return &n[share]
}

// ShareUse is the state of a share that decided on a new flow.
type ShareUse struct {
	Name      string
	InFlight  int // requests of the share at the servers that decide on its room
	Guarantee float64
	Ceiling   float64
	// BeyondSpan is set if the flow goes to a server that the ceiling keeps from the share,
	// since no other can take it.
	BeyondSpan bool
}

// SetShares replaces the shares of the kinds of request. The requests in flight are
// counted anew.
func (e *Engine) SetShares(list []Share) {
	e.shares = ShareAccount{list: list, spans: spansOf(list), requests: make(map[string][]int)}
	clear(e.pools) // with the positions of servers
	for _, st := range e.states {
		st.byShare = nil
	}
	for key, f := range e.flows {
		f.request.share = shareCount{}
		if f.request.inFlight {
			e.countShare(key.Dest, f)
		}
	}
}

// Shares returns the account of the shares.
func (e *Engine) Shares() *ShareAccount { return &e.shares }

// ShareOf returns the share of the requests to a destination.
func (e *Engine) ShareOf(dest netip.AddrPort) int {
	if r := e.catalog.Route(dest); r != nil {
		return e.shares.find(r.Kind, r.Priority)
	}
	return len(e.shares.list)
}

// countShare counts the flow's request, which is in flight.
func (e *Engine) countShare(dest netip.AddrPort, f *flowEntry) {
	if e.shares.active() {
		share, st := e.ShareOf(dest), e.state(f.server)
		if st.byShare == nil {
			st.byShare = make([]int, e.shares.Count())
		}
		f.request.share = shareCount{e.shares.counter(f.server.Service, share), &st.byShare[share]}
		f.request.share.add(1)
	}
}

// endShare ends the count of the flow's request.
func (f *flowEntry) endShare() {
	f.request.share.add(-1)
	f.request.share = shareCount{}
}

// shareCount is the counters that a request in flight is part of. The zero value has none.
type shareCount struct {
	atService, atServer *int // of its share
}

func (c shareCount) add(n int) {
	if c.atService != nil {
		*c.atService += n
		*c.atServer += n
	}
}

// rank tells whether a request of a share has room at servers with the given load, as
// far as the own domain is concerned. Room that a share does not use is free for the
// others; a share below its guarantee gets its part back at once, and the others
// wait until requests end.
func (e *Engine) rank(share int, l *shareLoad) (r pacing.Rank, atCeiling bool) {
	hasRoom := l.hasRoom()
	if e.shares.active() && l.slots > 0 {
		s, n := e.shares.share(share), l.requests
		used := float64(n) * l.residence
		switch {
		case s.Guarantee > 0 && (n == 0 || used < s.Guarantee*l.limit):
			return pacing.GuaranteedRoom, false
		case s.Ceiling < 1 && n > 0 && used >= s.Ceiling*l.limit:
			return pacing.NoRoom, true
		}
		hasRoom = l.usable.hasRoom() || l.exclusive.hasRoom()
	}
	if hasRoom {
		return pacing.SharedRoom, false
	}
	return pacing.NoRoom, false
}

// RankRoom returns whether a new flow of a service can be placed now, by its share. It
// returns nil if none can.
func (e *Engine) RankRoom(now time.Duration, service string) func(share int) pacing.Rank {
	spill := e.hasSpillRoom(now, service) || e.usesOtherDomains(now, e.pool(service), service)
	parts := make([]sharePart, e.shares.Count())
	for share := range parts {
		parts[share] = sharePart{share: share, span: e.shares.spans[share]}
	}
	own := e.ownLoad(now, service, parts)
	ranks, found := make([]pacing.Rank, max(len(parts), 1)), false
	for share := range ranks {
		l := shareLoad{ownLoad: own}
		if share < len(parts) {
			l = newShareLoad(own, parts[share])
		}
		r, atCeiling := e.rank(share, &l)
		if r == pacing.NoRoom && spill && !atCeiling {
			r = pacing.SharedRoom
		}
		ranks[share], found = r, found || r != pacing.NoRoom
	}
	if !found {
		return nil
	}
	return func(share int) pacing.Rank { return ranks[share] }
}

// shareUse returns the state of a share, nil if no kind has one.
func (e *Engine) shareUse(share, requests int) *ShareUse {
	if !e.shares.active() {
		return nil
	}
	s := e.shares.share(share)
	return &ShareUse{Name: e.shares.Name(share), InFlight: requests, Guarantee: s.Guarantee, Ceiling: s.Ceiling}
}

// YieldQueued decides on a SYN that waited for room at a service and yields its place in
// the queue to another kind, which is guaranteed it.
func (e *Engine) YieldQueued(p *Packet, service string) Verdict {
	v := e.RefuseQueued(p)
	if v.Action == Reset {
		share := e.ShareOf(p.Dest)
		v.Reason, v.Service, v.Share = OverShare, service, e.shareUse(share, e.shares.inFlight(service, share))
	}
	return v
}
