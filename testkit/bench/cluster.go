package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/layout"
	"egrettack.example/testkit/operate"
	"egrettack.example/testkit/platform"
	"egrettack.example/testkit/world"
)

// Service is the service that clusters have hosts of.
const Service = "prairie/register"

// feed is the kind of work whose flows are open for hours.
const feed = Service + "/feed"

// Spec says what a cluster consists of.
type Spec struct {
	Bin       string // directory of the built binaries
	Tree      string // directory of the settings tree
	Dir       string // for settings files and logs
	Domains   []string
	Instances int
	Hosts     int
	// Cut is the number of instances that read the platform through a view of
	// its own, which CutOff stops.
	Cut int
	// Large adds the rest of the design's size (LargeDomains) in place of Hosts.
	Large bool
}

// Cluster is a set of daemons on loopback with a platform and health endpoints
// in this process. Instances are started by Start and listed by List.
type Cluster struct {
	spec    Spec
	World   *world.World
	store   *platform.Store
	servers []*http.Server
	cutURL  string
	health  netip.AddrPort
	sink    *net.UDPConn
	sent    atomic.Uint64 // packets to hosts
	drained bool          // the first host is published as draining

	// ProbeBytes and PlatformBytes count TCP payload in both directions.
	ProbeBytes, PlatformBytes atomic.Uint64

	mu    sync.Mutex
	procs map[string]*exec.Cmd
	hosts int
}

// NewCluster generates the settings and serves the platform. No instance is
// listed or runs yet.
func NewCluster(s Spec) (*Cluster, error) {
	if s.Large {
		s.Tree = filepath.Join(s.Dir, "tree")
		if err := writeLargeTree(s.Tree); err != nil {
			return nil, err
		}
	}
	w, err := layout.Generate(layout.Spec{
		Tree: s.Tree, Out: s.Dir, Domains: s.Domains, Instances: s.Instances, StopTimeout: "2s", LogLevel: "warn",
	})
	if err != nil {
		return nil, err
	}
	c := &Cluster{spec: s, World: w, store: platform.NewStore(), procs: make(map[string]*exec.Cmd)}
	if c.sink, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, trace.Wrap(err, "open sink")
	}
	go c.drain()
	if err := c.serve(); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.divert(); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.publishTree()
}

// drain reads the packets that instances forward to hosts.
func (c *Cluster) drain() {
	buf := make([]byte, 2048)
	for {
		if _, err := c.sink.Read(buf); err != nil {
			return
		}
		c.sent.Add(1)
	}
}

// serve starts the platform, its second view and the health endpoint that all
// hosts share.
func (c *Cluster) serve() error {
	addr, err := control.Address(c.World.Platform)
	if err != nil {
		return err
	}
	if _, err := c.listen(addr, platform.NewServer(c.store), &c.PlatformBytes); err != nil {
		return err
	}
	cut, err := c.listen("127.0.0.1:0", platform.NewServer(c.store), &c.PlatformBytes)
	if err != nil {
		return err
	}
	c.cutURL = "http://" + cut.String()
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control.Answer(w, map[string]any{"state": "ready", "load": 0.1})
	})
	c.health, err = c.listen("127.0.0.1:0", ready, &c.ProbeBytes)
	return err
}

func (c *Cluster) listen(addr string, h http.Handler, bytes *atomic.Uint64) (netip.AddrPort, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return netip.AddrPort{}, trace.Wrap(err, "listen on %s", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(counting{l, bytes}) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// counting counts the bytes of accepted connections.
type counting struct {
	net.Listener
	bytes *atomic.Uint64
}

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// divert makes the first Cut instances read the second view.
func (c *Cluster) divert() error {
	for _, i := range c.World.Instances[:c.spec.Cut] {
		b, err := os.ReadFile(i.Settings)
		if err != nil {
			return trace.Wrap(err, "read settings of %s", i.Name)
		}
		var v map[string]any
		if err := json.Unmarshal(b, &v); err != nil {
			return trace.Wrap(err, "decode settings of %s", i.Name)
		}
		v["platform"] = c.cutURL
		if b, err = json.Marshal(v); err != nil {
			return trace.Wrap(err, "encode settings of %s", i.Name)
		}
		if err := os.WriteFile(i.Settings, b, 0o644); err != nil {
			return trace.Wrap(err, "write settings of %s", i.Name)
		}
	}
	return nil
}

func (c *Cluster) publishTree() error {
	b, err := os.ReadFile(filepath.Join(c.spec.Dir, layout.ValuesFile))
	if err != nil {
		return trace.Wrap(err, "read first publication")
	}
	var change platform.Change
	if err := json.Unmarshal(b, &change); err != nil {
		return trace.Wrap(err, "decode first publication")
	}
	for k := range change.Set {
		if strings.HasPrefix(k, "instances/") {
			change.Set[k] = layout.Encode(layout.InstanceList{})
		}
	}
	if c.spec.Large {
		c.addLarge(change.Set) // all instances too
		_, err := c.store.Publish(change)
		return err
	}
	if _, err := c.store.Publish(change); err != nil {
		return err
	}
	_, err = c.SetHosts(c.spec.Hosts)
	return err
}

// SetHosts publishes the first n hosts, spread over the domains, and returns
// the revision.
func (c *Cluster) SetHosts(n int) (uint64, error) {
	c.hosts = n
	return c.publishHosts()
}

// Toggle publishes the first host as draining or ready by turns.
func (c *Cluster) Toggle() (uint64, error) {
	c.drained = !c.drained
	if c.spec.Large {
		return c.store.Publish(platform.Change{Set: c.largeHosts(0, 0)})
	}
	return c.publishHosts()
}

func (c *Cluster) publishHosts() (uint64, error) {
	lists := make([]layout.HostList, len(c.spec.Domains))
	for i := range c.hosts {
		d := i % len(lists)
		lists[d].Hosts = append(lists[d].Hosts, c.hostRecord(i))
	}
	change := platform.Change{Set: make(map[string]string)}
	for d, l := range lists {
		change.Set[layout.HostKey(world.Host{Domain: c.spec.Domains[d], Service: Service})] = layout.Encode(l)
	}
	return c.store.Publish(change)
}

// hostRecord returns host i, from 0. All hosts share the sink and the health
// endpoint.
func (c *Cluster) hostRecord(i int) layout.HostRecord {
	r := layout.HostRecord{
		ID: uint32(i + 1), Name: fmt.Sprintf("h%d", i+1), State: "ready",
		Tunnel: c.sink.LocalAddr().(*net.UDPAddr).AddrPort(), Health: world.HealthURL(c.health),
	}
	if i == 0 && c.drained {
		r.State = "draining"
	}
	return r
}

// List publishes the first n instances.
func (c *Cluster) List(n int) (uint64, error) {
	w := *c.World
	w.Instances = w.Instances[:n]
	change := platform.Change{Set: make(map[string]string)}
	for k, v := range layout.Lists(&w) {
		if strings.HasPrefix(k, "instances/") {
			change.Set[k] = v
		}
	}
	return c.store.Publish(change)
}

// Start starts the instances from..to-1 of the world.
func (c *Cluster) Start(from, to int) error {
	for _, i := range c.World.Instances[from:to] {
		log, err := os.Create(filepath.Join(c.spec.Dir, i.Name+".log"))
		if err != nil {
			return trace.Wrap(err, "open log of %s", i.Name)
		}
		cmd := exec.Command(filepath.Join(c.spec.Bin, "egrettack"), "--settings", i.Settings)
		cmd.Stdout, cmd.Stderr = log, log
		// No daemon outlives a benchmark that is killed.
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = cmd.Start()
		log.Close()
		if err != nil {
			return trace.Wrap(err, "start %s", i.Name)
		}
		c.mu.Lock()
		c.procs[i.Name] = cmd
		c.mu.Unlock()
	}
	return nil
}

// Ready waits until the first n instances are ready.
func (c *Cluster) Ready(ctx context.Context, n int) error {
	for _, i := range c.World.Instances[:n] {
		if err := operate.Await(ctx, fmt.Sprintf("http://%s/readyz", i.HTTP)); err != nil {
			return trace.Wrap(err, "instance %s", i.Name)
		}
	}
	return nil
}

// CutOff stops or resumes the second view of the platform.
func (c *Cluster) CutOff(ctx context.Context, on bool) error {
	return control.Put(ctx, c.cutURL+"/test/v1/fail", platform.Fault{Down: on})
}

// Down stops or resumes the first view.
func (c *Cluster) Down(ctx context.Context, on bool) error {
	return control.Put(ctx, c.World.Platform+"/test/v1/fail", platform.Fault{Down: on})
}

// Calls returns the calls of readers of the first view.
func (c *Cluster) Calls(ctx context.Context) (platform.Calls, error) {
	var v platform.Calls
	err := control.Get(ctx, c.World.Platform+"/test/v1/stats", &v)
	return v, err
}

// Close ends exactly the processes that Start started.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.procs {
		_ = p.Process.Kill()
	}
	for _, p := range c.procs {
		_ = p.Wait()
	}
	for _, s := range c.servers {
		s.Close()
	}
	c.sink.Close()
}
