package layout

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/platform"
	"egrettack.example/testkit/world"
)

// Spec says what to generate.
type Spec struct {
	Tree       string // directory
	Out        string // directory
	BasePort   int    // 0 to look for a free block
	Domains    []string
	Instances  int
	Spare      int            // instances that are not published at first
	Hosts      map[string]int // by service path
	SpareHosts map[string]int
	// Extra names kinds that callers and hosts know but the tree does not, each
	// with the kind whose address it takes over later.
	Extra       map[string]string
	Links       bool // lead traffic between domains and to the platform over links
	StopTimeout string
	LogLevel    string
}

type builder struct {
	spec   Spec
	tree   *tree
	world  *world.World
	next   uint16
	secret string
}

// WorldFile and ValuesFile are the names of the generated files in Spec.Out.
const (
	WorldFile  = "world.json"
	ValuesFile = "values.json"
)

// Generate writes all files.
func Generate(s Spec) (*world.World, error) {
	t, err := readTree(s.Tree)
	if err != nil {
		return nil, err
	}
	base, err := findPorts(s.BasePort)
	if err != nil {
		return nil, err
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	b := &builder{spec: s, tree: t, next: base, secret: hex.EncodeToString(key), world: &world.World{Domains: s.Domains}}
	w := b.world
	w.Platform, w.Fabric, w.HostsURL, w.LinkURL = b.url(), b.url(), b.url(), b.url()
	w.Ingress, w.Egress = b.port(), b.port()
	if w.Kinds, err = t.kinds(); err != nil {
		return nil, err
	}
	if err := b.extra(); err != nil {
		return nil, err
	}
	if err := b.hosts(); err != nil {
		return nil, err
	}
	b.instances()
	if s.Links {
		b.links()
	}
	return w, b.write()
}

func (b *builder) port() netip.AddrPort {
	b.next++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), b.next-1)
}

func (b *builder) url() string { return "http://" + b.port().String() }

func (b *builder) extra() error {
	for path, as := range b.spec.Extra {
		k, err := b.world.Kind(as)
		if err != nil {
			return err
		}
		k.Path, k.Service, k.Name = path, filepath.Dir(path), filepath.Base(path)
		k.Number = b.tree.nodes[k.Service].Number
		b.world.Kinds = append(b.world.Kinds, k)
	}
	return nil
}

func (b *builder) hosts() error {
	root := b.tree.nodes["root"].Host
	for _, path := range b.tree.paths("service") {
		d := root
		for _, p := range []string{filepath.Dir(path), path} {
			override(&d, b.tree.nodes[p].Host)
		}
		n := b.spec.Hosts[path]
		for i := range n + b.spec.SpareHosts[path] {
			b.world.Hosts = append(b.world.Hosts, world.Host{
				ID:     uint32(len(b.world.Hosts) + 1),
				Name:   fmt.Sprintf("%s%d", filepath.Base(path), i+1),
				Domain: b.spec.Domains[i%len(b.spec.Domains)], Service: path, Number: b.tree.nodes[path].Number,
				Tunnel: b.port(), Health: b.port(),
				Slots: d.Slots, Connections: d.Connections, Queue: d.Queue, Spare: i >= n,
			})
		}
	}
	for path := range b.spec.Hosts {
		if b.tree.nodes[path].Level != "service" {
			return trace.NotFound("the tree has no service %q", path)
		}
	}
	return nil
}

func override(d *hostDefaults, o hostDefaults) {
	if o.Slots > 0 {
		d.Slots = o.Slots
	}
	if o.Connections > 0 {
		d.Connections = o.Connections
	}
	if o.Queue > 0 {
		d.Queue = o.Queue
	}
}

func (b *builder) instances() {
	for i := range b.spec.Instances + b.spec.Spare {
		name := fmt.Sprintf("n%d", i+1)
		b.world.Instances = append(b.world.Instances, world.Instance{
			ID: uint32(i + 1), Name: name, Domain: b.spec.Domains[i%len(b.spec.Domains)],
			Data: b.port(), Control: b.port(), RPC: b.port(), HTTP: b.port(),
			Settings: filepath.Join(b.spec.Out, name+".json"), Spare: i >= b.spec.Instances,
		})
	}
}

// links gives every domain its own way to the instances and hosts of every
// other domain and to the platform.
func (b *builder) links() {
	w := b.world
	add := func(from, to, network string, target netip.AddrPort) {
		w.Links = append(w.Links, world.Link{From: from, To: to, Net: network, Listen: b.port(), Target: target})
	}
	for _, from := range w.Domains {
		view := world.View{Domain: from, Listen: b.port()}
		w.Views = append(w.Views, view)
		add(from, world.Platform, "tcp", view.Listen)
		for _, i := range w.Instances {
			if i.Domain != from {
				add(from, i.Domain, "udp", i.Data)
				add(from, i.Domain, "udp", i.Control)
				add(from, i.Domain, "tcp", i.RPC)
			}
		}
		for _, h := range w.Hosts {
			if h.Domain != from {
				add(from, h.Domain, "udp", h.Tunnel)
				add(from, h.Domain, "tcp", h.Health)
			}
		}
	}
}

// via returns how a domain reaches a target of another one.
func via(w *world.World, from string, target netip.AddrPort) (netip.AddrPort, bool) {
	for _, l := range w.Links {
		if l.From == from && l.Target == target {
			return l.Listen, true
		}
	}
	return target, false
}

func (b *builder) write() error {
	if err := os.MkdirAll(b.spec.Out, 0o755); err != nil {
		return trace.Wrap(err, "create output directory")
	}
	for _, i := range b.world.Instances {
		if err := writeJSON(i.Settings, b.settings(i)); err != nil {
			return err
		}
	}
	change := platform.Change{Set: Lists(b.world)}
	for p, text := range b.tree.text {
		change.Set["settings/"+p] = text
	}
	if err := writeJSON(filepath.Join(b.spec.Out, ValuesFile), change); err != nil {
		return err
	}
	return b.world.Write(filepath.Join(b.spec.Out, WorldFile))
}

func (b *builder) settings(i world.Instance) map[string]any {
	url := b.world.Platform
	for _, l := range b.world.Links {
		if l.From == i.Domain && l.To == world.Platform {
			url = "http://" + l.Listen.String()
		}
	}
	return map[string]any{
		"id": i.ID, "name": i.Name, "domain": i.Domain,
		"data": i.Data, "control": i.Control, "rpc": i.RPC, "http": i.HTTP,
		"egress": b.world.Egress, "platform": url,
		"keys":    []any{map[string]any{"id": 1, "secret": b.secret}},
		"workers": 2, "control_budget": 9000, "stop_timeout": b.spec.StopTimeout,
		"trace_sample": 0, "trace_file": "", "log_level": b.spec.LogLevel,
	}
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return trace.Wrap(err, "encode %s", filepath.Base(path))
	}
	return trace.Wrap(os.WriteFile(path, append(b, '\n'), 0o644), "write %s", filepath.Base(path))
}
