// Package layout generates a test installation from a settings tree: the
// world file of the stand-ins, the first publication of the platform and the
// settings files of the instances.
package layout

import (
	"encoding/json"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"egrettack.example/testkit/world"
)

// node is the part of a tree node that the stand-ins need.
type node struct {
	Level     string   `json:"level"`
	Number    uint32   `json:"number"`
	Addresses []string `json:"addresses"`
	Work      struct {
		Occupies    string `json:"occupies"`
		ServiceTime string `json:"service_time"`
	} `json:"work"`
	Host hostDefaults `json:"host"`
}

type hostDefaults struct {
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	Queue       int `json:"queue"`
}

const ext = ".jsonc"

// tree holds the text and the parsed form of all nodes, by path.
type tree struct {
	text  map[string]string
	nodes map[string]node
}

func readTree(dir string) (*tree, error) {
	t := &tree{text: map[string]string{}, nodes: map[string]node{}}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ext {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		return t.add(strings.TrimSuffix(filepath.ToSlash(rel), ext), b)
	})
	return t, trace.Wrap(err, "read tree %s", dir)
}

func (t *tree) add(path string, text []byte) error {
	t.text[path] = string(text)
	b, err := hujson.Standardize(text)
	if err != nil {
		return trace.Wrap(err, "parse %s", path)
	}
	var n node
	if err := json.Unmarshal(b, &n); err != nil {
		return trace.Wrap(err, "decode %s", path)
	}
	t.nodes[path] = n
	return nil
}

// paths returns the paths of all nodes of a level in order.
func (t *tree) paths(level string) []string {
	var out []string
	for p, n := range t.nodes {
		if n.Level == level {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

func (t *tree) kinds() ([]world.Kind, error) {
	var out []world.Kind
	for _, p := range t.paths("kind") {
		n := t.nodes[p]
		service, name := filepath.Dir(p), filepath.Base(p)
		if len(n.Addresses) == 0 {
			return nil, trace.BadParameter("kind %s has no address", p)
		}
		a, err := netip.ParseAddrPort(strings.TrimSuffix(n.Addresses[0], "/tcp"))
		if err != nil {
			return nil, trace.Wrap(err, "address of %s", p)
		}
		var mean time.Duration
		if n.Work.ServiceTime != "" {
			if mean, err = time.ParseDuration(n.Work.ServiceTime); err != nil {
				return nil, trace.Wrap(err, "service time of %s", p)
			}
		}
		out = append(out, world.Kind{
			Path: p, Service: service, Name: name, Number: t.nodes[service].Number, Address: a,
			Slot: n.Work.Occupies == "slot", WorkUS: mean.Microseconds(),
		})
	}
	return out, nil
}
