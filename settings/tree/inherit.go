package tree

import (
	"fmt"
	"reflect"
	"slices"

	"egrettack.example/settings/document"
)

// Origin tells where an effective value was written.
type Origin struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Path string `json:"path,omitempty"` // of the node
	// distance is the number of levels between the node that uses the value
	// and the one that gives it; a default is farthest.
	distance int
	// wrong is set when the nearest value given has an error of its own.
	wrong bool
}

func (o Origin) String() string {
	if o.File == "" {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Wrong reports whether any of the fields has an error of its own, so that
// checks of it against other fields would mislead.
func (o Origins) Wrong(fields ...string) bool {
	return slices.ContainsFunc(fields, func(f string) bool { return o[f].wrong })
}

// Origins maps the name of a field to its origin.
type Origins map[string]Origin

// EffectiveWork returns the work settings in force at a node.
func (n *Node) EffectiveWork() (Work, Origins) { return n.work, n.workOrigins }

// EffectiveHost returns the host settings in force at a node. Capacity is nil
// when nothing gives it, which stands for the number of slots.
func (n *Node) EffectiveHost() (Host, Origins) { return n.host, n.hostOrigins }

// resolve takes each field from the nearest node, beginning with n itself,
// that gives it, else from its default tag.
func resolve[T any](n *Node, section string, of func(*Node) *T) (T, Origins) {
	var out T
	v := reflect.ValueOf(&out).Elem()
	origins := make(Origins)
	for _, f := range document.Fields(v.Type()) {
		target := v.FieldByIndex(f.Index)
		distance := 0
		for at := n; at != nil; at = at.Parent {
			given := reflect.ValueOf(of(at)).Elem().FieldByIndex(f.Index)
			if path := section + "." + f.Name; !given.IsNil() || at.Doc.Has(path) {
				target.Set(given)
				origins[f.Name] = Origin{
					File: at.Doc.File, Line: at.Doc.Line(path),
					Path: at.Path, distance: distance, wrong: given.IsNil(),
				}
				break
			}
			distance++
		}
		if text, ok := f.Tag.Lookup("default"); target.IsNil() {
			if ok {
				target.Set(reflect.New(target.Type().Elem()))
				document.SetDefault(target.Elem(), text)
			}
			if !origins[f.Name].wrong {
				origins[f.Name] = Origin{distance: distance}
			}
		}
	}
	return out, origins
}
