package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ports are those of a day, the same on all machines.
type ports struct{ packets, ready, control, internal, metrics, hosts, store int }

// node is a machine with one process of the system.
type node struct {
	name, zone string
	ip         netip.Addr
	sys        *system
	cmd        *exec.Cmd
	ended      chan struct{}
	exits      int // ends that no signal of the platform asked for

	inRotation bool
	misses     int
}

// system is the deployment: the platform around the processes of the system.
type system struct {
	dir, program, hash string
	ports              ports
	store              *store
	record             *record

	mu    sync.Mutex
	nodes []*node
	hosts map[uint64]*host
}

// freePorts draws ports that nothing uses on any of the addresses.
func freePorts(ips []netip.Addr) (ports, error) {
	for range 50 {
		base := 20000 + int(time.Now().UnixNano()/1000%9000)
		p := ports{packets: base, ready: base + 1, control: base + 2, internal: base + 10, metrics: base + 25, hosts: base + 30, store: base + 31}
		free := true
		for _, ip := range ips {
			for _, n := range []int{p.packets, p.ready, p.internal, p.metrics, p.hosts, p.store} {
				addr := fmt.Sprintf("%s:%d", ip, n)
				l, err := net.Listen("tcp4", addr)
				if err == nil {
					l.Close()
				}
				u, err2 := net.ListenPacket("udp4", addr)
				if err2 == nil {
					u.Close()
				}
				free = free && err == nil && err2 == nil
			}
		}
		if free {
			return p, nil
		}
		time.Sleep(7 * time.Millisecond)
	}
	return ports{}, fmt.Errorf("no free ports")
}

func (s *system) addNode(name, zone, ip string) *node {
	n := &node{name: name, zone: zone, ip: netip.MustParseAddr(ip), sys: s}
	s.nodes = append(s.nodes, n)
	return n
}

// settings is the deploy file's template, filled in.
func (n *node) settings() string {
	p, seeds := n.sys.ports, ""
	for i, x := range n.sys.nodes[:min(3, len(n.sys.nodes))] {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf(`"%s:%d"`, x.ip, p.control)
	}
	return fmt.Sprintf(`{
	"name": %q, "domain": %q,
	"packets": "%s:%d", "health": "%s:%d",
	"internal_ports": [%d,%d], "seeds": [%s], "store": %q,
	"metrics_port": %d, "link_mbps": 1000.0,
	"apply_within": "5000ms", "drain_within": "5000ms", "stop_grace": "6s",
}
`, n.name, n.zone, n.ip, p.packets, n.ip, p.ready, p.internal, p.internal+15, seeds, n.sys.store.addr(), p.metrics)
}

func (n *node) start() error {
	path := filepath.Join(n.sys.dir, n.name+".json")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.sys.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(n.sys.program, "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	n.sys.record.line("started %s, process %d", n.name, n.cmd.Process.Pid)
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.sys.record.line("%s: %s", n.name, sig)
	n.cmd.Process.Signal(sig)
}

// stop ends the processes that this run started.
func (s *system) stop() {
	for _, n := range s.nodes {
		if n.cmd == nil {
			continue
		}
		n.cmd.Process.Signal(syscall.SIGCONT)
		n.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range s.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.ended:
		case <-time.After(6 * time.Second):
			n.cmd.Process.Kill()
			<-n.ended
		}
	}
}

func (s *system) addHost(id uint64, service, zone, ip string, work time.Duration) (*host, error) {
	h := &host{
		id: id, service: service, zone: zone, work: work, record: s.record, reqPort: uint16(s.ports.packets),
		addr:           netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(s.ports.hosts)),
		halfOpenSilent: os.Getenv("HALF_OPEN") == "silent",
	}
	if err := h.start(); err != nil {
		return nil, err
	}
	s.store.put(h.key(), h.entry())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = make(map[uint64]*host)
	}
	s.hosts[id] = h
	return h, nil
}

// Times of the routers.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	probeMisses   = 2
)

// probe asks each node twice a second whether it is ready.
func (s *system) probe() {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, n := range s.nodes {
		go func() {
			time.Sleep(time.Duration(i) * probeInterval / time.Duration(len(s.nodes)))
			for ; ; time.Sleep(probeInterval) {
				go s.probeOnce(client, n)
			}
		}()
	}
}

func (s *system) probeOnce(client *http.Client, n *node) {
	ok := false
	if r, err := client.Get(fmt.Sprintf("http://%s:%d/egrettack/ready", n.ip, s.ports.ready)); err == nil {
		ok = r.StatusCode == http.StatusOK
		r.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was := n.inRotation
	if ok {
		n.misses, n.inRotation = 0, true
	} else if n.misses++; n.misses >= probeMisses {
		n.inRotation = false
	}
	if was != n.inRotation {
		s.record.line("%s in rotation: %v", n.name, n.inRotation)
	}
}

// route returns the node that gets the packets of a flow, by the hash of the settings.
func (s *system) route(zone string, k flowKey) (*node, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var own, in []*node
	for _, n := range s.nodes {
		if n.zone == zone {
			own = append(own, n)
			if n.inRotation {
				in = append(in, n)
			}
		}
	}
	if 2*len(in) < len(own) {
		in = own
	}
	if s.hash == "mod" && len(in) > 0 {
		return in[flowHash(k, "")%uint64(len(in))], true
	}
	var best *node
	var highest uint64
	for _, n := range in {
		if x := flowHash(k, n.name); best == nil || x > highest {
			best, highest = n, x
		}
	}
	return best, best != nil
}

func flowHash(k flowKey, node string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, k.requester, k.route, node)
	x := h.Sum64()
	x ^= x >> 33 // spreads the last bytes
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
