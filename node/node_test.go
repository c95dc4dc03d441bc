package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/settings/daemon"
	"egrettack.example/wire/geneve"
	"egrettack.example/wire/wiretest"
)

const waitTimeout = 10 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// fakePlatform serves fixed values over the platform's HTTP interface. Instance
// n1 gets revision 2 once newer is closed; requests of other instances for a
// later revision get no answer.
type fakePlatform struct {
	values map[string]string
	newer  chan struct{}
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	revision := 1
	if r.URL.Query().Get("after") != "0" {
		var newer chan struct{}
		if strings.HasPrefix(r.URL.Path, "/n1/") && r.URL.Query().Get("after") == "1" {
			newer = p.newer
		}
		select {
		case <-r.Context().Done():
			return
		case <-newer:
			revision = 2
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"revision": revision, "full": true, "values": p.values})
}

func udpSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

type cluster struct {
	nodes    []*Node
	stops    []func() // stops[i] stops nodes[i]
	platform *fakePlatform
	host     *net.UDPConn
	caller   *net.UDPConn
}

// startCluster runs n instances of one domain with one host and waits until
// the instances are ready.
func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{host: udpSocket(t), caller: udpSocket(t), platform: &fakePlatform{newer: make(chan struct{})}}
	srv := httptest.NewServer(c.platform)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	list := ""
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("n%d", i)
		s := &daemon.Settings{
			ID: snapshot.InstanceID(i), Name: name, Domain: "north", Data: anyPort, Control: anyPort, RPC: anyPort, HTTP: anyPort,
			Egress: c.caller.LocalAddr().(*net.UDPAddr).AddrPort(), Platform: srv.URL + "/" + name,
			Keys: []daemon.Key{{ID: 1, Secret: daemon.Secret{1}}}, Workers: 2, ControlBudget: 9000,
		}
		s.StopTimeout.Duration = 300 * time.Millisecond
		node, err := New(s, Options{Log: slog.New(slog.NewTextHandler(t.Output(), nil))})
		if err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, node)
		list += fmt.Sprintf(`{"id": %d, "name": %q, "data": %q, "control": %q, "rpc": %q},`,
			i, name, node.data.LocalAddr(), node.control.LocalAddr(), node.rpc.Addr())
	}
	c.platform.values = platformValues(c.host.LocalAddr().String(), list)
	for _, node := range c.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- node.Run(ctx) }()
		stop := sync.OnceFunc(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
		c.stops = append(c.stops, stop)
		t.Cleanup(stop)
	}
	for _, node := range c.nodes {
		waitUntil(t, node.settings.Name+" ready", func() bool { return node.ready() == nil })
	}
	return c
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %v", what, waitTimeout)
		}
	}
}

func platformValues(host, instances string) map[string]string {
	return map[string]string{
		"settings/root": `{"level": "root", "domains": {"north": {"number": 1, "region": "west"}},
			"work": {"deadline": "2s"}, "host": {"slots": 2, "queue": 30, "connections": 100}}`,
		"settings/west":                 `{"level": "district"}`,
		"settings/west/register":        `{"level": "service", "number": 7}`,
		"settings/west/register/lookup": `{"level": "kind", "number": 2, "addresses": ["10.9.0.1:7002/tcp"], "work": {"occupies": "slot", "share": 0.4}}`,
		"hosts/north/west.register":     fmt.Sprintf(`{"hosts": [{"id": 1, "name": "r1", "tunnel": %q, "state": "ready"}]}`, host),
		"instances/north":               fmt.Sprintf(`{"instances": [%s]}`, instances),
	}
}

// segment returns a TCP packet of a caller: a SYN or an ACK.
func segment(t *testing.T, port uint16, seq uint32, syn bool) []byte {
	p := flow.Packet{Key: flow.Key{Src: 192<<24 | 2<<8 | 9, Dst: 10<<24 | 9<<16 | 1, SrcPort: port, DstPort: 7002, Proto: flow.TCP}, Flags: flow.ACK, Seq: seq}
	if syn {
		p.Flags = flow.SYN
	}
	return wiretest.Packet(t, p)
}

// send sends inner to a node, encapsulated as by the fabric.
func (c *cluster) send(t *testing.T, to *Node, inner []byte) {
	t.Helper()
	if _, err := c.caller.WriteTo(wiretest.FromFabric(inner), to.data.LocalAddr()); err != nil {
		t.Fatal(err)
	}
}

// expectPacket reads one Geneve packet from c and checks its VNI, that it is not
// relayed, and its inner packet.
func expectPacket(t *testing.T, c *net.UDPConn, vni uint32, inner []byte) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 2048)
	n, err := c.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	var h geneve.Header
	if err := geneve.Read(b[:n], &h); err != nil {
		t.Fatal(err)
	}
	if h.VNI != vni || h.Relayed {
		t.Fatalf("Geneve header %+v, want VNI %d and not relayed", h, vni)
	}
	if !bytes.Equal(b[h.InnerOffset:n], inner) {
		t.Fatalf("inner packet % x\nwant % x", b[h.InnerOffset:n], inner)
	}
}

// Guards against an instance that does not start, forward or relay: all packets
// of a flow must reach its host unchanged, whichever instance receives them,
// also after the owner of its group has stopped.
func TestForwardAndStop(t *testing.T) {
	c := startCluster(t, 2)
	for port := uint16(2000); port < 2004; port++ {
		for i, node := range []*Node{c.nodes[0], c.nodes[1], c.nodes[0]} {
			p := segment(t, port, 100+uint32(i), i == 0)
			c.send(t, node, p)
			expectPacket(t, c.host, 7, p)
		}
	}
	owner := slices.IndexFunc(c.nodes, func(n *Node) bool {
		return slices.ContainsFunc(n.status().Groups, func(g engine.GroupStatus) bool { return g.Role == "owner" })
	})
	c.stops[owner]()
	for port := uint16(2000); port < 2006; port++ {
		p := segment(t, port, 200, port >= 2004)
		c.send(t, c.nodes[1-owner], p)
		expectPacket(t, c.host, 7, p)
	}
}

// Guards against an instance that gets no newer values from the platform and
// keeps its old ones although a peer has newer ones.
func TestSnapshotFromPeer(t *testing.T) {
	c := startCluster(t, 2)
	close(c.platform.newer)
	waitUntil(t, "newer snapshot at n2", func() bool { return c.nodes[1].engine.Load().Snapshot().Version == 2 })
}

// Guards against failing HTTP pages that operators and monitoring use, and
// against profiles that are served without the option.
func TestPages(t *testing.T) {
	c := startCluster(t, 1)
	for path, want := range map[string]int{
		"/healthz": 200, "/readyz": 200, "/metrics": 200, "/status": 200, "/debug/pprof/": 404,
	} {
		resp, err := http.Get("http://" + c.nodes[0].http.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d: %s", path, resp.StatusCode, body)
		}
	}
}
