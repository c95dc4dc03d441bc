// Package tree owns the tree of settings: its files, the inheritance of
// values field by field with their origin, and the checks.
package tree

import (
	"fmt"
	"net/netip"
	"strings"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/settings/document"
)

// Levels of the tree.
const (
	LevelRoot     = "root"
	LevelDistrict = "district"
	LevelService  = "service"
	LevelKind     = "kind"
)

// Work is what applies to kinds of work. A field that is not given is
// inherited from the nearest ancestor that gives it.
type Work struct {
	Class       *uint8             `json:"class,omitempty" default:"1" min:"0" max:"15" unit:"0 is the most urgent"`
	Share       *float64           `json:"share,omitempty" default:"0" min:"0" max:"1" unit:"part from 0 to 1"`
	Ceiling     *float64           `json:"ceiling,omitempty" default:"1" min:"0" max:"1" unit:"part from 0 to 1"`
	Occupies    *string            `json:"occupies,omitempty" default:"connection" oneof:"slot connection"`
	Deadline    *document.Duration `json:"deadline,omitempty" default:"1s" min:"1ms" max:"1h" unit:"us, ms, s, m, h"`
	ServiceTime *document.Duration `json:"service_time,omitempty" default:"50ms" min:"1us" max:"1h" unit:"us, ms, s, m, h"`
	// The default of Idle is above two hours, after which a TCP stack with
	// usual settings probes a quiet connection.
	Idle       *document.Duration `json:"idle,omitempty" default:"2h5m" min:"1s" max:"168h" unit:"us, ms, s, m, h"`
	Idempotent *bool              `json:"idempotent,omitempty" default:"false"`
}

// Host is what applies to backend servers, inherited like Work.
type Host struct {
	Slots       *int               `json:"slots,omitempty" default:"2" min:"0" max:"100000" unit:"requests at once"`
	Connections *int               `json:"connections,omitempty" default:"2000" min:"1" max:"10000000" unit:"connections"`
	Queue       *int               `json:"queue,omitempty" default:"4" min:"0" max:"1000000" unit:"waiting requests"`
	Capacity    *float64           `json:"capacity,omitempty" min:"0.001" max:"1000000" unit:"weight"`
	WarmUp      *document.Duration `json:"warm_up,omitempty" default:"30s" min:"0s" max:"1h" unit:"us, ms, s, m, h"`
}

// Root is the format of the root node.
type Root struct {
	Level     string            `json:"level" required:"true" oneof:"root"`
	Domains   map[string]Domain `json:"domains" required:"true"`
	GroupSize int               `json:"group_size,omitempty" default:"5" min:"1" max:"64" unit:"hosts"`
	Work      Work              `json:"work,omitzero"`
	Host      Host              `json:"host,omitzero"`
}

// Domain is the format of one failure domain.
type Domain struct {
	Number uint16 `json:"number" required:"true" min:"1" unit:"domain number"`
	Region string `json:"region" required:"true"`
}

// District is the format of a district node.
type District struct {
	Level string `json:"level" required:"true" oneof:"district"`
	Work  Work   `json:"work,omitzero"`
	Host  Host   `json:"host,omitzero"`
}

// Service is the format of a service node.
type Service struct {
	Level  string `json:"level" required:"true" oneof:"service"`
	Number uint32 `json:"number" required:"true" min:"1" max:"16777215" unit:"service number"`
	Work   Work   `json:"work,omitzero"`
	Host   Host   `json:"host,omitzero"`
}

// Kind is the format of a node of a kind of work.
type Kind struct {
	Level     string     `json:"level" required:"true" oneof:"kind"`
	Number    uint8      `json:"number" required:"true" min:"1" unit:"kind number"`
	Addresses []Endpoint `json:"addresses" required:"true" unit:"IPv4:port/protocol"`
	Work      Work       `json:"work,omitzero"`
}

// Endpoint is a destination as written in settings, "10.9.0.1:7002/tcp".
type Endpoint struct{ snapshot.Endpoint }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Endpoint) UnmarshalText(text []byte) error {
	addr, proto, _ := strings.Cut(string(text), "/")
	switch proto {
	case "tcp":
		e.Proto = flow.TCP
	case "udp":
		e.Proto = flow.UDP
	default:
		return fmt.Errorf(`bad address: %q does not end in /tcp or /udp, as in "10.9.0.1:7002/tcp"`, text)
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || !ap.Addr().Is4() || ap.Addr().IsUnspecified() || ap.Port() == 0 {
		return fmt.Errorf(`bad address: %q is not an IPv4 address with a port, as in "10.9.0.1:7002/tcp"`, text)
	}
	e.Addr, e.Port = flow.AddrFrom(ap.Addr()), ap.Port()
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (e Endpoint) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

func (e Endpoint) String() string { return fmt.Sprintf("%s:%d/%s", e.Addr, e.Port, e.Proto) }

// Node is one node of the tree.
type Node struct {
	Path    string // "root", "west", "west/register", "west/register/lookup"
	Level   string // "" when it is missing or wrong
	Number  uint32 // of a service or kind
	Parent  *Node
	Doc     *document.Document
	Root    *Root // of the root node
	Work    Work
	Host    Host
	Address []Endpoint // of a kind

	// Resolved once all nodes are linked.
	work        Work
	host        Host
	workOrigins Origins
	hostOrigins Origins
}

// Name returns the last element of the path.
func (n *Node) Name() string { return n.Path[strings.LastIndexByte(n.Path, '/')+1:] }

// parse decodes a text by its level.
func parse(path string, doc *document.Document) (*Node, document.Problems) {
	n := &Node{Path: path, Doc: doc, Level: doc.Member("level")}
	var problems document.Problems
	switch n.Level {
	case LevelRoot:
		n.Root = new(Root)
		problems = doc.Decode(n.Root)
		n.Work, n.Host = n.Root.Work, n.Root.Host
	case LevelDistrict:
		var d District
		problems = doc.Decode(&d)
		n.Work, n.Host = d.Work, d.Host
	case LevelService:
		var s Service
		problems = doc.Decode(&s)
		n.Number, n.Work, n.Host = s.Number, s.Work, s.Host
	case LevelKind:
		var k Kind
		problems = doc.Decode(&k)
		n.Number, n.Address, n.Work = uint32(k.Number), k.Addresses, k.Work
	case "":
		problems = document.Problems{doc.Problem("level", "missing value: level is root, district, service or kind")}
	default:
		problems = document.Problems{doc.Problem("level", "%q is not one of root, district, service, kind", n.Level)}
		n.Level = ""
	}
	return n, problems
}
