package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Config of a City.
type Config struct {
	Program    string // the instance's program
	Dir        string // for settings and logs
	Domains    []string
	Instances  int // a domain
	Servers    int // a domain and service
	Callers    int // a domain
	Hash       string
	Work       time.Duration // mean time of a request
	ApplyBound time.Duration
	DrainBound time.Duration
	Settle     time.Duration // after trouble, until an instance counts as in touch
	PacketPort uint16
	Net        byte // second byte of all addresses, so that cities can run side by side

	LateAnswers int           // one of so many SYN+ACKs leaves late, 0 for none
	KeepsEcho   bool          // callers ignore the echo of a SYN+ACK of another server than the flow's
	FirstPause  time.Duration // the longest pause of a caller before the first request of a flow

	SlowRequests int           // one of so many requests takes SlowWork, 0 for none
	SlowWork     time.Duration // of a slow request
	AnswerAcks   bool          // servers acknowledge a whole request by its answer alone
	LongPauses   int           // one of so many pauses between the requests of a flow is a long one, 0 for none
	LongPause    time.Duration // the longest of the long pauses

	RepeatedSYNs  int  // one of so many SYNs arrives a second time, 0 for none
	RepeatAnswers bool // servers send SYN+ACKs again while they are not acknowledged
	BothEchoes    bool // every second caller keeps the echo, as with KeepsEcho
	DataFirst     bool // callers acknowledge a SYN+ACK by the first request, which they send at once

	HedgingShare float64 // of the openings: second SYNs that instances may send

	WarmUp   time.Duration // of servers that start later than the city
	ColdPerS int           // new flows a second that each of them takes meanwhile, 0 for no limit
}

// DefaultConfig is a city of two domains that runs on a laptop.
func DefaultConfig() Config {
	return Config{
		Domains: []string{"a", "b"}, Instances: 2, Servers: 4, Callers: 3, Hash: "steady",
		Work: 20 * time.Millisecond, ApplyBound: 3 * time.Second, DrainBound: 3 * time.Second,
		Settle: 4 * time.Second, PacketPort: 8172, Net: 80,
	}
}

// Services and their addresses.
const (
	Feed   = "feed"
	Upload = "upload"
)

// City is a whole deployment.
type City struct {
	cfg       Config
	Store     *Store
	Instances []*Instance
	http      *http.Server
	cancel    context.CancelFunc
	started   time.Time

	mu         sync.Mutex
	servers    []*Server
	callers    []*Caller
	nextServer int
	freeAddrs  []netip.AddrPort // of servers that ended
	routes     map[netip.AddrPort]*routeHistory
	version    int
	newest     []byte                  // the newest configuration
	listed     map[netip.AddrPort]bool // addresses with a route in it
	runs       map[uint64]int
	violations []string
	storeSick  time.Time // end of the last trouble with the store
	impaired   time.Time // end of the last unplanned trouble
	astray     map[flowKey]*astray
	evacuated  map[string]time.Time // since when, by domain

	wrongResets    map[flowKey]string // of open flows, by servers that do not hold them
	furtherAnswers int                // SYN+ACKs on open flows, by servers that do not hold them
	served         []sample
	warmUpFlows    int // judged by checkWarmUp
}

// routeHistory is what configurations said of an address.
type routeHistory struct {
	service string
	removed time.Time // zero while the route is in force
}

// New starts a city: the store, servers, callers and instances.
func New(cfg Config) (*City, error) {
	c := &City{
		cfg: cfg, Store: NewStore(50), routes: make(map[netip.AddrPort]*routeHistory),
		runs: make(map[uint64]int), astray: make(map[flowKey]*astray), evacuated: make(map[string]time.Time),
		wrongResets: make(map[flowKey]string), started: time.Now(),
	}
	l, err := net.Listen("tcp4", c.ip(0, 1).String()+":0")
	if err != nil {
		return nil, trace.Wrap(err, "the store's address")
	}
	c.http = &http.Server{Handler: c.Store}
	go c.http.Serve(l)
	if err := c.start(l.Addr().String()); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// start starts everything around the store at an address.
func (c *City) start(store string) error {
	if err := c.Configure(c.Dest(Feed), c.Dest(Upload)); err != nil {
		return err
	}
	for d, domain := range c.cfg.Domains {
		for range c.cfg.Servers {
			for _, service := range []string{Feed, Upload} {
				if _, err := c.AddServer(service, domain); err != nil {
					return err
				}
			}
		}
		for n := range c.cfg.Callers {
			k, err := c.newCaller(c.ip(byte(10+d), byte(n+1)), domain)
			if err != nil {
				return err
			}
			c.callers = append(c.callers, k)
		}
		for n := range c.cfg.Instances {
			if err := c.addInstance(domain, byte(20+d), byte(n+1), store); err != nil {
				return err
			}
		}
	}
	for _, i := range c.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.watchReady(ctx)
	return c.waitReady()
}

func (c *City) ip(x, y byte) netip.Addr { return netip.AddrFrom4([4]byte{127, c.cfg.Net, x, y}) }

func (c *City) addInstance(domain string, x, y byte, store string) error {
	i := &Instance{Domain: domain, city: c, number: len(c.Instances), addr: c.ip(x, y)}
	p, err := newProxy(i.addr.String()+":0", store)
	if err != nil {
		return trace.Wrap(err, "proxy of %s", i.Name())
	}
	i.proxy = p
	c.Instances = append(c.Instances, i)
	return nil
}

// waitReady waits until every instance is in rotation.
func (c *City) waitReady() error {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		c.mu.Lock()
		n := 0
		for _, i := range c.Instances {
			if i.inRotation {
				n++
			}
		}
		c.mu.Unlock()
		if n == len(c.Instances) {
			return nil
		}
	}
	return trace.LimitExceeded("the instances are not ready after 10 s")
}

// Close ends everything, the instances by SIGKILL.
func (c *City) Close() {
	for _, i := range c.Instances {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Signal(syscall.SIGCONT)
			_ = i.cmd.Process.Kill() // it may have ended
			<-i.ended
		}
		i.proxy.l.Close()
	}
	if c.cancel != nil {
		c.cancel()
	}
	c.Store.Close()
	c.http.Close()
	for _, s := range c.Servers() {
		s.stop()
	}
	for _, k := range c.callers {
		k.conn.Close()
	}
}

// Dest returns the address that callers of a service use.
func (c *City) Dest(service string) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{198, 18, 0, 1})
	if service == Feed {
		return netip.AddrPortFrom(addr, 8443)
	}
	return netip.AddrPortFrom(addr, 8080)
}

// ExtraDest returns an address of a further route to the feed service.
func (c *City) ExtraDest(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + n>>8), byte(n)}), 80)
}

// Configure writes a new configuration with routes for the given addresses, once
// the store can be reached; extra ones lead to the feed service.
func (c *City) Configure(dests ...netip.AddrPort) error {
	c.Store.WaitReachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	c.listed = make(map[netip.AddrPort]bool)
	var routes []map[string]any
	for n, d := range dests {
		service := Feed
		if d == c.Dest(Upload) {
			service = Upload
		}
		c.listed[d] = true
		c.routes[d] = &routeHistory{service: service}
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r", n), "host": d.Addr().String(), "prefix": fmt.Sprint("/", d.Port(), "/"),
			"type": "safe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": 2,
		})
	}
	cfg, err := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": c.services(), "limits": map[string]int{"idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	c.newest = cfg
	c.writeConfig()
	return nil
}

// ConfigureAgain writes the newest configuration, once the store can be reached,
// if the store has another.
func (c *City) ConfigureAgain() {
	c.Store.WaitReachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.Equal(c.Store.value("op/config"), c.newest) {
		c.writeConfig()
	}
}

// writeConfig writes the newest configuration.
func (c *City) writeConfig() {
	at := c.Store.PutRaw("op/config", c.newest)
	for d, h := range c.routes {
		switch {
		case c.listed[d]:
		case h.removed.IsZero(), c.Store.lost(h.removed): // a lost removal counts from when it is written again
			h.removed = at
		}
	}
}

// RestoreStore takes the store away for a while, from which it returns from a copy
// of an age. The operator then has to configure again.
func (c *City) RestoreStore(f Fault, away, age time.Duration) {
	c.StoreTrouble(away)
	f.Away = true
	end := c.Store.Begin(f)
	time.Sleep(away)
	c.Store.Restore(age)
	end()
}

// AddServer starts a server, at the address of one that ended if there is any.
func (c *City) AddServer(service, domain string) (*Server, error) {
	c.mu.Lock()
	n, addr := c.nextNumber()
	if len(c.freeAddrs) > 0 {
		addr, c.freeAddrs = c.freeAddrs[0], c.freeAddrs[1:]
	}
	c.mu.Unlock()
	s, err := c.startServer(uint64(n)<<20|uint64(c.cfg.Net), service, domain, addr)
	if err != nil {
		return nil, err
	}
	return s, s.enter()
}

// nextNumber returns a new number of a server and the address that belongs to it. The
// caller holds the lock.
func (c *City) nextNumber() (int, netip.AddrPort) {
	c.nextServer++
	n := c.nextServer
	return n, netip.AddrPortFrom(c.ip(byte(30+n/250), byte(1+n%250)), 8400)
}

func (c *City) addLive(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
}

// Servers returns the servers that live.
func (c *City) Servers() []*Server {
	c.mu.Lock()
	list := append([]*Server(nil), c.servers...)
	c.mu.Unlock()
	var live []*Server
	for _, s := range list {
		s.mu.Lock()
		if !s.dead {
			live = append(live, s)
		}
		s.mu.Unlock()
	}
	return live
}

// ReuseAddr lets the next server have the address of one that ended.
func (c *City) ReuseAddr(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeAddrs = append(c.freeAddrs, s.Addr)
}

// StoreTrouble notes that the store is not in good state for a while, or for longer
// by another trouble.
func (c *City) StoreTrouble(lasts time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := time.Now().Add(lasts); end.After(c.storeSick) {
		c.storeSick = end
	}
	c.impairLocked(lasts)
}
