package main

import (
	"fmt"
	"net/netip"
	"time"
)

// play is one run of a case.
type play struct {
	*system
	trouble bool // false: the same without the disruption
}

const (
	routeIP     = "127.77.50.1"
	routePort   = 8443
	serviceName = "dispatch"
	work        = 20 * time.Millisecond
	startTime   = 8 * time.Second // from the start of the machines to the traffic
)

var route = netip.AddrPortFrom(netip.MustParseAddr(routeIP), routePort)

// config is a configuration with one route, as the operator writes it.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeIP, "prefix": fmt.Sprintf("/%d/", routePort), "type": "safe",
			"timeout_ms": 2000, "target_latency_ms": 150, "priority": 2, "service": serviceName, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// begin starts the store, hosts and nodes of one zone and waits until all nodes are in
// rotation.
func (p *play) begin(nodes, hosts int) error {
	var ips []netip.Addr
	for n := range nodes {
		ips = append(ips, netip.AddrFrom4([4]byte{127, 77, 10, byte(n + 1)}))
	}
	ips = append(ips, netip.MustParseAddr("127.77.200.1"), netip.MustParseAddr("127.77.30.1"))
	for n := range hosts {
		ips = append(ips, netip.AddrFrom4([4]byte{127, 77, 40, byte(n + 1)}))
	}
	var err error
	if p.ports, err = freePorts(ips); err != nil {
		return err
	}
	if p.store, err = newStore(fmt.Sprintf("127.77.200.1:%d", p.ports.store)); err != nil {
		return err
	}
	p.store.put("op/config", config(3))
	for n := range nodes {
		p.addNode(fmt.Sprintf("front-amd-a-%d", n+1), "amd-a", fmt.Sprintf("127.77.10.%d", n+1))
	}
	for n := range hosts {
		if _, err := p.addHost(0xa100+uint64(n), serviceName, "amd-a", fmt.Sprintf("127.77.40.%d", n+1), work); err != nil {
			return err
		}
	}
	for _, n := range p.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	p.probe()
	time.Sleep(startTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		if !n.inRotation {
			return fmt.Errorf("%s is not in rotation %s after its start", n.name, startTime)
		}
	}
	return nil
}
