package tree

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/settings/document"
)

// check runs the checks that look at more than one value.
func (t *Tree) check() document.Problems {
	problems := t.checkDomains()
	problems = append(problems, t.checkNumbers()...)
	problems = append(problems, t.checkAddresses()...)
	kinds := t.kinds()
	for _, n := range t.Nodes() {
		switch n.Level {
		case LevelService:
			problems = append(problems, checkShares(n, kinds[n])...)
		case LevelKind:
			problems = append(problems, n.checkCeiling()...)
			problems = append(problems, n.checkProtocol()...)
		}
	}
	return problems
}

func (t *Tree) checkDomains() (problems document.Problems) {
	if t.Root == nil || t.Root.Root == nil {
		return nil
	}
	domains := t.Root.Domains()
	if t.Root.Doc.Has("domains") && domains != nil && len(domains) == 0 {
		problems = append(problems, t.Root.Doc.Problem("domains", "missing value: at least one domain is needed"))
	}
	users := make(map[uint16]string)
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		at := "domains." + name
		if !pathPattern.MatchString(name) || strings.Contains(name, "/") {
			problems = append(problems, t.Root.Doc.Problem(at, "bad name %q: names have lower-case letters, digits, - and _", name))
		}
		number := domains[name].Number
		if number == 0 {
			continue // reported as missing or wrong
		}
		if other, ok := users[number]; ok {
			problems = append(problems, t.Root.Doc.Problem(at+".number", "domain number %d is already used by %s", number, other))
			continue
		}
		users[number] = name
	}
	return problems
}

// checkNumbers finds service numbers used twice in the tree and kind numbers
// used twice in a service.
func (t *Tree) checkNumbers() (problems document.Problems) {
	type use struct {
		scope  string
		number uint32
	}
	users := make(map[use]*Node)
	for _, n := range t.Nodes() {
		if n.Number == 0 {
			continue // no number at this level, or reported already
		}
		u := use{number: n.Number}
		if n.Level == LevelKind {
			u.scope = parentPath(n.Path)
		}
		if other := users[u]; other != nil {
			problems = append(problems, n.Doc.Problem("number", "%s number %d is already used by %s (%s:%d)",
				n.Level, n.Number, other.Path, other.Doc.File, other.Doc.Line("number")))
			continue
		}
		users[u] = n
	}
	return problems
}

func (t *Tree) checkAddresses() (problems document.Problems) {
	type use struct {
		node *Node
		at   string
	}
	users := make(map[snapshot.Endpoint]use)
	for _, n := range t.Nodes() {
		if n.Level == LevelKind && n.Address != nil && len(n.Address) == 0 {
			problems = append(problems, n.Doc.Problem("addresses", "missing value: at least one address is needed"))
		}
		for i, a := range n.Address {
			if a.Port == 0 {
				continue // reported as bad
			}
			at := fmt.Sprintf("addresses[%d]", i)
			if other, ok := users[a.Endpoint]; ok {
				problems = append(problems, n.Doc.Problem(at, "overlapping address: %s is already used by %s (%s:%d)",
					a, other.node.Path, other.node.Doc.File, other.node.Doc.Line(other.at)))
				continue
			}
			users[a.Endpoint] = use{n, at}
		}
	}
	return problems
}

// checkShares finds guaranteed shares of one resource that sum to over 1. The
// error stands at the share that passes 1, in the order of the paths.
func checkShares(service *Node, kinds []*Node) (problems document.Problems) {
	// rounding keeps ten shares of 0.1 from being refused.
	const rounding = 1e-9
	sums := make(map[string]float64)
	parts := make(map[string][]string)
	reported := make(map[string]bool)
	for _, k := range kinds {
		w, origins := k.EffectiveWork()
		if origins.Wrong("occupies", "share") {
			continue
		}
		resource := *w.Occupies
		sums[resource] += *w.Share
		parts[resource] = append(parts[resource], fmt.Sprintf("%s %g (%s)", k.Name(), *w.Share, origins["share"]))
		if sums[resource] > 1+rounding && !reported[resource] {
			reported[resource] = true
			problems = append(problems, at(k, origins["share"], "work.share",
				"impossible share: the guaranteed shares of kinds that occupy a %s in %s sum to %.4g, over 1: %s",
				resource, service.Path, sums[resource], strings.Join(parts[resource], ", ")))
		}
	}
	return problems
}

func (n *Node) checkCeiling() (problems document.Problems) {
	w, origins := n.EffectiveWork()
	if origins.Wrong("ceiling", "share") || *w.Ceiling >= *w.Share {
		return nil
	}
	// The error stands at the nearer of the two, which was written last.
	field := "ceiling"
	if origins["share"].distance < origins["ceiling"].distance {
		field = "share"
	}
	return document.Problems{at(n, origins[field], "work."+field,
		"ceiling below share: %s has ceiling %g (%s) and share %g (%s)",
		n.Path, *w.Ceiling, origins["ceiling"], *w.Share, origins["share"])}
}

func (n *Node) checkProtocol() (problems document.Problems) {
	w, origins := n.EffectiveWork()
	if origins.Wrong("idempotent") || *w.Idempotent {
		return nil
	}
	for i, a := range n.Address {
		if a.Proto == flow.UDP {
			problems = append(problems, n.Doc.Problem(fmt.Sprintf("addresses[%d]", i),
				"UDP with idempotent false (%s): a datagram has no connection that ties it to one host, so a "+
					"repeated or late one can run the request twice; use tcp, or set idempotent if running twice is harmless",
				origins["idempotent"]))
		}
	}
	return problems
}

// at returns a problem at the origin of a value that n uses.
func at(n *Node, o Origin, path, format string, args ...any) document.Problem {
	p := n.Doc.Problem(path, format, args...)
	if o.File != "" {
		p.File, p.Line = o.File, o.Line
	}
	return p
}
