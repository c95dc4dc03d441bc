package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/outlier"
)

// Config of an Engine.
type Config struct {
	Domain string // the failure domain of this instance
	Seed   uint64 // of the choice among equal servers and of weighted targets
}

// Engine decides on packets. It is not safe for concurrent use.
type Engine struct {
	cfg     Config
	catalog *catalog.Catalog
	flows   map[Key]*entry
	loads   map[*catalog.Server]*load
	pools   map[string]*pool // by service, for the catalog's state pooled
	pooled  uint64
	random  *rand.Rand
	sweep   []Key // flows to look at in the present round

	profiles map[netip.AddrPort]*outlier.ResponseProfile // by destination
	reviewed time.Duration                               // the last review of outcomes
	called   time.Duration                               // the last call of the engine
}

// New returns an engine that reads c, which the caller changes only between
// the engine's calls.
func New(cfg Config, c *catalog.Catalog) *Engine {
	return &Engine{
		cfg: cfg, catalog: c,
		flows:    make(map[Key]*entry),
		loads:    make(map[*catalog.Server]*load),
		pools:    make(map[string]*pool),
		profiles: make(map[netip.AddrPort]*outlier.ResponseProfile),
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x7374656572)),
	}
}

// Decide returns what to do with a packet and notes what it shows of the load
// and the life of servers.
func (e *Engine) Decide(now time.Duration, p *Packet) Verdict {
	e.noteTime(now)
	if e.catalog.Config() == nil {
		return Verdict{Action: Hold, Reason: NotLoaded}
	}
	route := e.catalog.Route(p.Dest)
	if route == nil {
		e.forget(Key{p.Caller, p.Dest})
		if p.RST {
			return Verdict{Action: Drop, Reason: NoRoute}
		}
		return Verdict{Action: Reset, Reason: NoRoute}
	}
	if p.SYN {
		return e.open(now, p, route)
	}
	return e.deliver(now, p, route)
}

// open places a new flow. A copy of an opening packet goes to a server that
// has not had one: no server has run anything for the flow yet.
func (e *Engine) open(now time.Duration, p *Packet, route *catalog.Route) Verdict {
	key := Key{p.Caller, p.Dest}
	f := e.flows[key]
	if f != nil && (f.acked || f.seq != p.Seq) {
		// The caller uses the address and port again for a new flow.
		e.drop(key, f)
		f = nil
	}
	s, level := e.choose(now, route, f)
	if s == nil && !e.catalog.Loaded() {
		return Verdict{Action: Hold, Reason: NotLoaded}
	}
	if s == nil {
		return Verdict{Action: Reset, Reason: NoServer}
	}
	if f == nil {
		f = &entry{seq: p.Seq, next: p.Seq + 1}
		e.flows[key] = f
	}
	f.last = now
	e.assign(now, f, s)
	f.tried = append(f.tried, s)
	e.load(s).sent(now)
	return Verdict{Action: Forward, Reason: Placed, Server: s, Load: level}
}

// deliver forwards a packet of an open flow to the server that its token names.
func (e *Engine) deliver(now time.Duration, p *Packet, route *catalog.Route) Verdict {
	key := Key{p.Caller, p.Dest}
	s := e.catalog.ByToken(p.Token)
	f := e.flows[key]
	if f != nil && len(f.tried) > 1 && f.acked {
		// Several servers answered the copies of the opening packet, and the
		// token is the last one that the caller received. The flow is at the
		// server that the first packet after the handshake went to.
		s = f.server
	}
	switch {
	case p.Token == 0 && s == nil:
		return Verdict{Action: Drop, Reason: NoToken}
	case s == nil && p.RST:
		return Verdict{Action: Drop, Reason: UnknownToken}
	case s == nil:
		return Verdict{Action: Hold, Reason: UnknownToken}
	case !e.catalog.MayHaveFlows(route, s.Service):
		return Verdict{Action: Drop, Reason: WrongService}
	case e.catalog.Gone(now, s):
		e.forget(key)
		if p.RST {
			return Verdict{Action: Drop, Reason: ServerGone, Server: s}
		}
		return Verdict{Action: Reset, Reason: ServerGone, Server: s}
	}
	return Verdict{Action: Forward, Reason: Token, Server: s, ResponseTime: e.observe(now, key, f, s, p)}
}

// DecideHeld decides once more on a packet that was held, after the catalog moved
// on. heldAt is when it arrived.
func (e *Engine) DecideHeld(now, heldAt time.Duration, p *Packet) Verdict {
	v := e.Decide(now, p)
	if v.Action == Hold && !p.SYN && e.catalog.Complete() && e.catalog.AbsenceConfirmed(heldAt) {
		// The store was read since and has no server of the token.
		return Verdict{Action: Reset, Reason: ServerGone}
	}
	return v
}

// HoldTimeoutVerdict is the verdict on a packet that was held for as long as it may be.
func (e *Engine) HoldTimeoutVerdict() Verdict { return Verdict{Action: Drop, Reason: UnknownToken} }
