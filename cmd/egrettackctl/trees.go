package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"egrettack.example/settings/document"
	"egrettack.example/settings/published"
	"egrettack.example/settings/tree"
)

type check struct {
	stub
	Args struct {
		Dir string `positional-arg-name:"DIR"`
	} `positional-args:"yes" required:"yes"`
}

type checkResult struct {
	OK       bool              `json:"ok"`
	Nodes    int               `json:"nodes"`
	Services int               `json:"services"`
	Kinds    int               `json:"kinds"`
	Problems document.Problems `json:"problems"`
}

func (c *check) run(a *app) error {
	t, err := tree.Load(c.Args.Dir)
	result := checkResult{OK: err == nil, Problems: document.Problems{}}
	if err != nil && !errors.As(err, &result.Problems) {
		return err
	}
	if err == nil {
		for _, n := range t.Nodes() {
			result.Nodes++
			switch n.Level {
			case tree.LevelService:
				result.Services++
			case tree.LevelKind:
				result.Kinds++
			}
		}
	}
	if a.JSON {
		err = a.print(result, nil)
	} else if result.OK {
		_, err = fmt.Fprintf(a.out, "fine: %d nodes, %d services, %d kinds of work\n", result.Nodes, result.Services, result.Kinds)
	} else {
		_, err = fmt.Fprintf(a.out, "%v\n", result.Problems)
	}
	if err == nil && !result.OK {
		err = errReported
	}
	return err
}

type explain struct {
	stub
	Dir  string `long:"dir" value-name:"DIR" description:"read the tree from this directory instead of an instance"`
	Args struct {
		Path string `positional-arg-name:"PATH" description:"as in west/register/lookup, or root"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explain) run(a *app) error {
	t, err := c.tree(a)
	if err != nil {
		return err
	}
	path := strings.TrimSuffix(strings.TrimPrefix(c.Args.Path, published.SettingsPrefix), tree.Extension)
	n := t.Node(strings.Trim(path, "/"))
	if n == nil {
		return fmt.Errorf("there is no node %q in the tree", path)
	}
	values := n.Explain()
	out := &table{head: "FIELD VALUE FROM ORIGIN"}
	for _, v := range values {
		out.add(v.Field, v.Value, v.Origin.Path, v.Origin)
	}
	return a.print(values, out)
}

func (c *explain) tree(a *app) (*tree.Tree, error) {
	if c.Dir != "" {
		return tree.Load(c.Dir)
	}
	r, err := a.remote()
	if err != nil {
		return nil, err
	}
	defer r.client.Close()
	values, err := r.values()
	if err != nil {
		return nil, err
	}
	t, problems := tree.Parse(published.Sources(values))
	return t, trace.Wrap(problems.Err())
}

type diff struct {
	stub
	Args struct {
		A string `positional-arg-name:"A"`
		B string `positional-arg-name:"B"`
	} `positional-args:"yes" required:"yes"`
}

func (c *diff) run(a *app) error {
	before, err := tree.Load(c.Args.A)
	if err != nil {
		return err
	}
	after, err := tree.Load(c.Args.B)
	if err != nil {
		return err
	}
	changes := tree.Diff(before, after)
	out := &table{head: "NODE FIELD OLD ORIGIN NEW ORIGIN"}
	for _, ch := range changes {
		row := []any{ch.Node, ch.Field, "", "", "", ""}
		if ch.Old != nil {
			row[2], row[3] = ch.Old.Value, ch.Old.Origin
		}
		if ch.New != nil {
			row[4], row[5] = ch.New.Value, ch.New.Origin
		}
		out.add(row...)
	}
	if changes == nil {
		changes = []tree.Change{}
	}
	return a.print(changes, out)
}
