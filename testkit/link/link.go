// Package link is the stand-in for the links between failure domains and to
// the platform: it forwards UDP and TCP with delay, jitter, loss and cuts.
package link

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/world"
)

// State of the links in one direction.
type State struct {
	From     string  `json:"from"` // a domain, empty for all
	To       string  `json:"to"`   // a domain or "platform", empty for all
	Cut      bool    `json:"cut"`
	DelayMS  int     `json:"delay_ms"`
	JitterMS int     `json:"jitter_ms"`
	Loss     float64 `json:"loss"` // of datagrams, 0 to 1
}

// Stats counts what passed in one direction.
type Stats struct {
	Datagrams uint64 `json:"datagrams"`
	Bytes     uint64 `json:"bytes"`
	Dropped   uint64 `json:"dropped"`
}

type pair struct{ from, to string }

// direction is what all links from one domain to another share.
type direction struct {
	mu    sync.Mutex
	state State
	rnd   *rand.Rand
	stats struct{ datagrams, bytes, dropped atomic.Uint64 }
}

// Forwarder runs all links of a world.
type Forwarder struct {
	url        string
	links      []world.Link
	directions map[pair]*direction
}

// New prepares the links. delay is that of one way between domains, jitter is
// added to it at random.
func New(w *world.World, delay, jitter time.Duration, seed uint64) *Forwarder {
	f := &Forwarder{url: w.LinkURL, links: w.Links, directions: make(map[pair]*direction)}
	for i, l := range w.Links {
		p := pair{l.From, l.To}
		if f.directions[p] != nil {
			continue
		}
		d := &direction{rnd: rand.New(rand.NewPCG(seed, uint64(i)))}
		if l.To != world.Platform {
			d.state.DelayMS, d.state.JitterMS = int(delay.Milliseconds()), int(jitter.Milliseconds())
		}
		f.directions[p] = d
	}
	return f
}

// Run forwards until ctx is over.
func (f *Forwarder) Run(ctx context.Context) error {
	for _, l := range f.links {
		if err := f.start(ctx, l); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.Handle("PUT /test/v1/links", control.Accept(f.set))
	mux.Handle("PUT /test/v1/links/all", control.Accept(f.setAll))
	mux.Handle("GET /test/v1/stats", control.Report(func() any { return f.stats() }))
	addr, err := control.Address(f.url)
	if err != nil {
		return err
	}
	return control.Serve(ctx, addr, mux)
}

func (f *Forwarder) start(ctx context.Context, l world.Link) error {
	d := f.directions[pair{l.From, l.To}]
	if l.Net == "udp" {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.Listen))
		if err != nil {
			return trace.Wrap(err, "open link %s to %s", l.From, l.To)
		}
		context.AfterFunc(ctx, func() { c.Close() })
		go d.datagrams(c, l)
		return nil
	}
	ls, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(l.Listen))
	if err != nil {
		return trace.Wrap(err, "open link %s to %s", l.From, l.To)
	}
	context.AfterFunc(ctx, func() { ls.Close() })
	go d.connections(ls, l)
	return nil
}

// setAll sets several directions at nearly the same time.
func (f *Forwarder) setAll(r *http.Request, states []State) error {
	for _, s := range states {
		if err := f.set(r, s); err != nil {
			return err
		}
	}
	return nil
}

func (f *Forwarder) set(_ *http.Request, s State) error {
	found := false
	for p, d := range f.directions {
		if (s.From == "" || s.From == p.from) && (s.To == "" || s.To == p.to) {
			found = true
			d.set(s)
		}
	}
	if !found {
		return trace.NotFound("no link from %q to %q", s.From, s.To)
	}
	slog.Info("link", "from", s.From, "to", s.To, "cut", s.Cut, "delay_ms", s.DelayMS, "loss", s.Loss)
	return nil
}

func (f *Forwarder) stats() map[string]Stats {
	out := make(map[string]Stats)
	for p, d := range f.directions {
		out[p.from+">"+p.to] = Stats{
			Datagrams: d.stats.datagrams.Load(), Bytes: d.stats.bytes.Load(), Dropped: d.stats.dropped.Load(),
		}
	}
	return out
}

func (d *direction) set(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = s
}

// next returns the delay of one packet and whether it passes.
func (d *direction) next() (delay time.Duration, pass bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.state
	delay = time.Duration(s.DelayMS) * time.Millisecond
	if s.JitterMS > 0 {
		delay += time.Duration(d.rnd.Int64N(int64(s.JitterMS) * int64(time.Millisecond)))
	}
	return delay, !s.Cut && d.rnd.Float64() >= s.Loss
}
