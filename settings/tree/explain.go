package tree

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"egrettack.example/settings/document"
)

// Effective is one value in force at a node.
type Effective struct {
	Node   string `json:"node"`
	Field  string `json:"field"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// Explain returns all values in force at a node with the origin of each:
// first those of the node itself, then work and host.
func (n *Node) Explain() []Effective {
	out := n.own()
	if n.Level != "" {
		work, origins := n.EffectiveWork()
		out = append(out, n.section("work", reflect.ValueOf(work), origins)...)
	}
	if n.Level != LevelKind {
		host, origins := n.EffectiveHost()
		out = append(out, n.section("host", reflect.ValueOf(host), origins)...)
	}
	return out
}

// own returns the values that are not inherited.
func (n *Node) own() (out []Effective) {
	add := func(field, value string) {
		o := Origin{File: n.Doc.File, Line: n.Doc.Line(field), Path: n.Path}
		if !n.Doc.Has(field) {
			o = Origin{}
		}
		out = append(out, Effective{Node: n.Path, Field: field, Value: value, Origin: o})
	}
	switch n.Level {
	case LevelRoot:
		add("group_size", strconv.Itoa(n.Root.GroupSize))
		for _, name := range slices.Sorted(maps.Keys(n.Domains())) {
			d := n.Domains()[name]
			add("domains."+name+".number", strconv.Itoa(int(d.Number)))
			add("domains."+name+".region", d.Region)
		}
	case LevelService, LevelKind:
		add("number", strconv.Itoa(int(n.Number)))
	}
	if n.Level == LevelKind {
		var addresses []string
		for _, a := range n.Address {
			addresses = append(addresses, a.String())
		}
		slices.Sort(addresses)
		add("addresses", strings.Join(addresses, " "))
	}
	return out
}

func (n *Node) section(name string, v reflect.Value, origins Origins) (out []Effective) {
	for _, f := range document.Fields(v.Type()) {
		value := "slots" // only capacity has no default of its own
		if p := v.FieldByIndex(f.Index); !p.IsNil() {
			value = fmt.Sprint(p.Elem().Interface())
		}
		out = append(out, Effective{Node: n.Path, Field: name + "." + f.Name, Value: value, Origin: origins[f.Name]})
	}
	return out
}

// Change is a difference between the effective values of two trees. Old or
// New is nil for a node that only one of them has.
type Change struct {
	Node  string     `json:"node"`
	Field string     `json:"field"`
	Old   *Effective `json:"old,omitempty"`
	New   *Effective `json:"new,omitempty"`
}

// Diff returns the effective differences from tree a to tree b. A value that
// is written elsewhere but is the same is no difference.
func Diff(a, b *Tree) []Change {
	type key struct{ node, field string }
	changes := make(map[key]*Change)
	collect := func(t *Tree, set func(*Change, *Effective)) {
		for _, n := range t.Nodes() {
			for _, e := range n.Explain() {
				k := key{e.Node, e.Field}
				if changes[k] == nil {
					changes[k] = &Change{Node: e.Node, Field: e.Field}
				}
				set(changes[k], &e)
			}
		}
	}
	collect(a, func(c *Change, e *Effective) { c.Old = e })
	collect(b, func(c *Change, e *Effective) { c.New = e })
	var out []Change
	for _, c := range changes {
		if c.Old == nil || c.New == nil || c.Old.Value != c.New.Value {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Node, y.Node), cmp.Compare(x.Field, y.Field))
	})
	return out
}
