package tree

import (
	"maps"
	"regexp"
	"slices"
	"strings"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/document"
)

// RootPath is the path of the root node.
const RootPath = "root"

// Source is the text of one node.
type Source struct {
	Path string
	File string // stands in errors and origins
	Text string
}

// Tree is a set of nodes with their ancestors linked.
type Tree struct {
	Root  *Node
	nodes map[string]*Node
}

// pathPattern keeps "." out of names, since list keys write "/" as ".".
var pathPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*(/[a-z0-9][a-z0-9_-]*)*$`)

// Parse reads and checks all nodes. The tree is usable only when there are no
// problems.
func Parse(sources []Source) (*Tree, document.Problems) { return new(Cache).Parse(sources) }

// Cache keeps the nodes that it parsed last, so that a change of one node
// costs no reading of the others. Its zero value is empty.
type Cache struct{ read map[string]readNode }

// readNode is a node as read from its source alone, without a parent. node is
// nil when the syntax is wrong.
type readNode struct {
	source   Source
	node     *Node
	problems document.Problems
}

// Parse is like the function Parse.
func (c *Cache) Parse(sources []Source) (*Tree, document.Problems) {
	t := &Tree{nodes: make(map[string]*Node, len(sources))}
	var problems document.Problems
	failed := make(map[string]bool)
	read := make(map[string]readNode, len(sources))
	for _, s := range sources {
		r, ok := c.read[s.Path]
		if !ok || r.source != s {
			r = readSource(s)
		}
		read[s.Path] = r
		problems = append(problems, r.problems...)
		if r.node == nil {
			failed[s.Path] = true
			continue
		}
		n := *r.node
		t.nodes[s.Path] = &n
	}
	c.read = read
	t.Root = t.nodes[RootPath]
	problems = append(problems, t.link(failed)...)
	for _, n := range t.nodes {
		n.work, n.workOrigins = resolve(n, "work", func(n *Node) *Work { return &n.Work })
		n.host, n.hostOrigins = resolve(n, "host", func(n *Node) *Host { return &n.Host })
	}
	return t, append(problems, t.check()...)
}

func readSource(s Source) readNode {
	r := readNode{source: s}
	doc, problems := document.Parse(s.File, []byte(s.Text))
	if len(problems) > 0 {
		r.problems = problems
		return r
	}
	r.node, r.problems = parse(s.Path, doc)
	if !pathPattern.MatchString(s.Path) || strings.HasPrefix(s.Path, RootPath+"/") {
		r.problems = append(r.problems, doc.Problem("",
			"bad path %q: names have lower-case letters, digits, - and _, and root is reserved", s.Path))
	}
	return r
}

// link finds the parent of each node and checks its level. Nodes whose text
// has a syntax error are not reported as missing as well.
func (t *Tree) link(failed map[string]bool) (problems document.Problems) {
	if t.Root == nil && !failed[RootPath] {
		problems = append(problems, document.Problem{File: RootPath, Line: 1, Text: "missing value: there is no root node"})
	}
	for path, n := range t.nodes {
		if n.Level != "" && (path == RootPath) != (n.Level == LevelRoot) {
			problems = append(problems, n.Doc.Problem("level", "level %q is wrong here: root is the node %q and no other", n.Level, RootPath))
			n.Level = "" // so that the nodes below are not reported as well
		}
	}
	for path, n := range t.nodes {
		if n.Level == "" || path == RootPath {
			continue
		}
		above := parentPath(path)
		n.Parent = t.nodes[above]
		if n.Parent == nil {
			if !failed[above] && above != RootPath {
				problems = append(problems, n.Doc.Problem("", "missing value: there is no node %q above", above))
			}
			continue
		}
		if want := allowedParents[n.Level]; n.Parent.Level != "" && !slices.Contains(want, n.Parent.Level) {
			problems = append(problems, n.Doc.Problem("level", "a %s is below a %s, but %q is a %s",
				n.Level, strings.Join(want, " or a "), above, n.Parent.Level))
		}
	}
	return problems
}

var allowedParents = map[string][]string{
	LevelDistrict: {LevelRoot, LevelDistrict},
	LevelService:  {LevelDistrict},
	LevelKind:     {LevelService},
}

func parentPath(path string) string {
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		return path[:i]
	}
	return RootPath
}

// Node returns the node at path, or nil.
func (t *Tree) Node(path string) *Node { return t.nodes[path] }

// Nodes returns all nodes in the order of their paths, the root first.
func (t *Tree) Nodes() []*Node {
	var out []*Node
	if t.Root != nil {
		out = append(out, t.Root)
	}
	for _, p := range slices.Sorted(maps.Keys(t.nodes)) {
		if p != RootPath {
			out = append(out, t.nodes[p])
		}
	}
	return out
}

// Kinds returns the kinds of a service in the order of their paths.
func (t *Tree) kinds() map[*Node][]*Node {
	out := make(map[*Node][]*Node)
	for _, n := range t.Nodes() {
		if n.Level == LevelKind && n.Parent != nil {
			out[n.Parent] = append(out[n.Parent], n)
		}
	}
	return out
}

// Domains returns the failure domains, sorted by number.
func (t *Tree) Domains() []snapshot.Domain {
	var out []snapshot.Domain
	for name, d := range t.Root.Domains() {
		out = append(out, snapshot.Domain{ID: snapshot.DomainID(d.Number), Name: name, Region: d.Region})
	}
	slices.SortFunc(out, func(a, b snapshot.Domain) int { return int(a.ID) - int(b.ID) })
	return out
}

// Domains returns the failure domains that the root node defines.
func (n *Node) Domains() map[string]Domain {
	if n == nil || n.Root == nil {
		return nil
	}
	return n.Root.Domains
}

// Services returns all services with their kinds.
func (t *Tree) Services() []snapshot.Service {
	kinds := t.kinds()
	var out []snapshot.Service
	for _, n := range t.Nodes() {
		if n.Level != LevelService {
			continue
		}
		s := snapshot.Service{ID: snapshot.ServiceID(n.Number), Name: n.Path}
		for _, k := range kinds[n] {
			s.Kinds = append(s.Kinds, k.kind())
		}
		out = append(out, s)
	}
	return out
}

func (n *Node) kind() *snapshot.Kind {
	w, _ := n.EffectiveWork()
	k := &snapshot.Kind{
		ID: snapshot.KindID(n.Number), Name: n.Name(),
		Class: *w.Class, Share: *w.Share, Ceiling: *w.Ceiling,
		Deadline: w.Deadline.Duration, ServiceTime: w.ServiceTime.Duration, IdleTimeout: w.Idle.Duration,
		Idempotent: *w.Idempotent,
	}
	if *w.Occupies == "slot" {
		k.Occupies = snapshot.OccupiesSlot
	}
	for _, a := range n.Address {
		k.Endpoints = append(k.Endpoints, a.Endpoint)
	}
	return k
}
