// Package callers is the stand-in for the clients of the services. It drives
// load through the fabric and records what each caller was told, to be
// compared with what the hosts have run.
package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/netstack"
	"egrettack.example/testkit/world"
)

// Config of a Pool.
type Config struct {
	World *world.World
	// Name starts the ids of all requests; it is unique among the runs.
	Name string
	// Network is the first address of the pool; Addresses are used from there.
	Network   netip.Addr
	Addresses int
	Seed      uint64
}

// Pool is a set of callers that share one TCP/IP stack.
type Pool struct {
	cfg    Config
	net    *netstack.Net
	addrs  []netip.Addr
	serial atomic.Uint64

	mu      sync.Mutex
	rnd     *rand.Rand
	results []Result
	refused uint64 // refusals of all tries but the last
	shed    uint64
}

// New starts the stack of the callers.
func New(cfg Config) (*Pool, error) {
	p := &Pool{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 4))}
	for a := cfg.Network; len(p.addrs) < max(cfg.Addresses, 1); a = a.Next() {
		p.addrs = append(p.addrs, a)
	}
	var err error
	p.net, err = netstack.New(netstack.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Peer: cfg.World.Ingress, Addresses: p.addrs,
	})
	return p, trace.Wrap(err, "start callers")
}

// Close ends the stack.
func (p *Pool) Close() { p.net.Close() }

// firstPort is above the ports that the netstack itself chooses for nothing
// else than Load.Ports, so that a small range makes callers reuse 5-tuples.
const firstPort = 10000

func (p *Pool) source(l *Load) (netip.Addr, uint16) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addrs[p.rnd.IntN(len(p.addrs))]
	if l.Ports == 0 {
		return a, 0
	}
	return a, uint16(firstPort + p.rnd.IntN(l.Ports))
}

func (p *Pool) body(size int) []byte {
	b := make([]byte, size)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := 0; i < len(b); i += 8 {
		v := p.rnd.Uint64()
		for j := i; j < min(i+8, len(b)); j++ {
			b[j] = byte(v)
			v >>= 8
		}
	}
	return b
}

func (p *Pool) count(o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o == Refused {
		p.refused++
	} else {
		p.shed++
	}
}

func (p *Pool) add(r Result) {
	p.mu.Lock()
	p.results = append(p.results, r)
	p.mu.Unlock()
}

func (p *Pool) id() string { return fmt.Sprintf("%s-%d", p.cfg.Name, p.serial.Add(1)) }

// Run drives all loads for the given time, then waits for the requests in
// progress and closes the feeds.
func (p *Pool) Run(ctx context.Context, loads []Load, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for i := range loads {
		l := &loads[i]
		wg.Go(func() {
			if l.Every > 0 {
				p.openFeeds(ctx, l)
			} else {
				p.drive(ctx, l)
			}
		})
	}
	wg.Wait()
}

// feedGap keeps the opening of many feeds from being a flood.
const feedGap = 5 * time.Millisecond

func (p *Pool) openFeeds(ctx context.Context, l *Load) {
	var wg sync.WaitGroup
	for range l.Count {
		wg.Go(func() {
			for {
				r := p.perform(ctx, p.id(), l)
				p.add(r)
				if !l.Reopen || ctx.Err() != nil {
					return
				}
				time.Sleep(firstRetry)
			}
		})
		time.Sleep(feedGap)
	}
	wg.Wait()
}

// drive starts requests at a rate, with exponential gaps, or all at once when
// the load has a count only.
func (p *Pool) drive(ctx context.Context, l *Load) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for n := 0; l.Count == 0 || n < l.Count; n++ {
		if l.Rate > 0 {
			p.mu.Lock()
			next = next.Add(time.Duration(p.rnd.ExpFloat64() / l.Rate * float64(time.Second)))
			p.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
		}
		wg.Go(func() { p.add(p.perform(ctx, p.id(), l)) })
	}
}
