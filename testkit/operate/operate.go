// Package operate does what operators of a test installation do: it publishes
// changes of the lists and waits for the stand-ins and instances.
package operate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/layout"
	"egrettack.example/testkit/platform"
	"egrettack.example/testkit/world"
)

// Operator publishes changes to the platform of a world.
type Operator struct{ World *world.World }

func (o Operator) read(ctx context.Context, key string, v any) error {
	var r struct {
		Value string `json:"value"`
	}
	if err := control.Get(ctx, o.World.Platform+"/test/v1/value?key="+url.QueryEscape(key), &r); err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal([]byte(r.Value), v), "decode %s", key)
}

// Publish publishes values and deletions at once.
func (o Operator) Publish(ctx context.Context, c platform.Change) error {
	return control.Put(ctx, o.World.Platform+"/test/v1/values", c)
}

// HostState publishes a host as "ready" or "draining", or takes it out of its
// list with "gone".
func (o Operator) HostState(ctx context.Context, name, state string) error {
	h, err := o.World.Host(name)
	if err != nil {
		return err
	}
	var l layout.HostList
	if err := o.read(ctx, layout.HostKey(h), &l); err != nil {
		return err
	}
	l.Hosts = slices.DeleteFunc(l.Hosts, func(r layout.HostRecord) bool { return r.ID == h.ID })
	if state != "gone" {
		r := layout.NewHostRecord(o.World, h)
		r.State = state
		l.Hosts = append(l.Hosts, r)
	}
	return o.set(ctx, layout.HostKey(h), l)
}

// InstanceState publishes an instance as "live", "leaving" or "gone".
func (o Operator) InstanceState(ctx context.Context, name, state string) error {
	i, err := o.World.Instance(name)
	if err != nil {
		return err
	}
	var l layout.InstanceList
	if err := o.read(ctx, layout.InstanceKey(i), &l); err != nil {
		return err
	}
	l.Instances = slices.DeleteFunc(l.Instances, func(r layout.InstanceRecord) bool { return r.ID == i.ID })
	if state != "gone" {
		r := layout.NewInstanceRecord(o.World, i)
		r.Leaving = state == "leaving"
		l.Instances = append(l.Instances, r)
	}
	return o.set(ctx, layout.InstanceKey(i), l)
}

func (o Operator) set(ctx context.Context, key string, v any) error {
	return o.Publish(ctx, platform.Change{Set: map[string]string{key: layout.Encode(v)}})
}

// pollStep is the time between two looks at an endpoint.
const pollStep = 100 * time.Millisecond

// Await waits until a GET of the URL succeeds.
func Await(ctx context.Context, target string) error {
	for {
		err := probe(ctx, target)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(err, "wait for %s", target)
		case <-time.After(pollStep):
		}
	}
}

func probe(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return trace.Errorf("status %s", resp.Status)
	}
	return nil
}

// Set sends a fault or mode to the test interface of a stand-in.
func Set(ctx context.Context, w *world.World, standIn string, v any) error {
	target, ok := map[string]string{
		"platform": w.Platform + "/test/v1/fail",
		"fabric":   w.Fabric + "/test/v1/impair",
		"host":     w.HostsURL + "/test/v1/host",
		"links":    w.LinkURL + "/test/v1/links",
	}[standIn]
	if !ok {
		return trace.BadParameter("unknown stand-in %q", standIn)
	}
	return control.Put(ctx, target, v)
}
