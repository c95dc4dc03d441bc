package published

import (
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/document"
	"egrettack.example/settings/tree"
)

// Build checks a full set of values and builds the snapshot that it stands
// for. previous may be nil. The error holds a document.Problems with all
// errors when the texts are wrong.
func Build(values Values, previous *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	return new(Cache).Build(values, previous)
}

// Cache keeps what it read last, so that a change of one value costs no
// reading of the others. Its zero value is empty. It is not safe for
// concurrent use.
type Cache struct {
	tree      tree.Cache
	hosts     map[string]*readList[HostList]
	instances map[string]*readList[InstanceList]
}

// readList is a list as read from its text alone.
type readList[T any] struct {
	text     string
	doc      *document.Document // nil when the syntax is wrong
	list     T
	problems document.Problems
}

// read returns the list of a key from the cache, or reads it. What is in use
// goes to next.
func read[T any](cache, next map[string]*readList[T], key, text string) *readList[T] {
	r := cache[key]
	if r == nil || r.text != text {
		r = &readList[T]{text: text}
		if r.doc, r.problems = document.Parse(key, []byte(text)); r.doc != nil {
			r.problems = r.doc.Decode(&r.list)
		}
	}
	next[key] = r
	return r
}

// Build is like the function Build.
func (c *Cache) Build(values Values, previous *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	t, problems := c.tree.Parse(Sources(values))
	b := newBuilder(t)
	hosts := make(map[string]*readList[HostList], len(c.hosts))
	instances := make(map[string]*readList[InstanceList], len(c.instances))
	b.in.Version = values.Revision
	for _, key := range slices.Sorted(maps.Keys(values.Values)) {
		switch text := values.Values[key]; {
		case strings.HasPrefix(key, SettingsPrefix): // read above
		case strings.HasPrefix(key, HostsPrefix):
			b.hostList(key, read(c.hosts, hosts, key, text))
		case strings.HasPrefix(key, InstancesPrefix):
			b.instanceList(key, read(c.instances, instances, key, text))
		default:
			b.fail(document.Problem{File: key, Line: 1, Text: "unknown key: keys begin with settings/, hosts/ or instances/"})
		}
	}
	c.hosts, c.instances = hosts, instances
	if err := append(problems, b.problems...).Err(); err != nil {
		return nil, trace.Wrap(err, "checking revision %d", values.Revision)
	}
	b.sortInput()
	b.in.GroupSize, b.in.Domains, b.in.Services = t.Root.Root.GroupSize, t.Domains(), t.Services()
	s, err := snapshot.New(b.in, previous)
	return s, trace.Wrap(err, "building revision %d", values.Revision)
}

// Sources returns the nodes of the tree among the values.
func Sources(values Values) []tree.Source {
	var out []tree.Source
	for key, text := range values.Values {
		if path, ok := strings.CutPrefix(key, SettingsPrefix); ok {
			out = append(out, tree.Source{Path: path, File: key, Text: text})
		}
	}
	return out
}

func newBuilder(t *tree.Tree) *builder {
	b := &builder{
		domains:   t.Root.Domains(),
		services:  make(map[string]*service),
		hosts:     make(map[snapshot.HostID]string),
		instances: make(map[snapshot.InstanceID]string),
	}
	for _, n := range t.Nodes() {
		if n.Level == tree.LevelService {
			host, _ := n.EffectiveHost()
			b.services[ListName(n.Path)] = &service{id: snapshot.ServiceID(n.Number), host: host}
		}
	}
	return b
}

// ListName returns a service's path as written in keys of host lists.
func ListName(path string) string { return strings.ReplaceAll(path, "/", ".") }
