package fabric

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/platform"
)

const (
	// watchWait is the length of one watch, seconds.
	watchWait = 20
	retryWait = 200 * time.Millisecond
)

type instanceList struct {
	Instances []struct {
		Data    netip.AddrPort `json:"data"`
		Leaving bool           `json:"leaving"`
	} `json:"instances"`
}

// targetList is the live instances at a revision of the platform.
type targetList struct {
	revision uint64
	addrs    []netip.AddrPort
}

// follow keeps the targets equal to the instances that the platform lists as
// live, Config.Lag late.
func (f *Fabric) follow(ctx context.Context) {
	values := make(map[string]string)
	var revision uint64
	for ctx.Err() == nil {
		var tree platform.Tree
		url := fmt.Sprintf("%s/v1/tree?after=%d&wait=%d", f.cfg.World.Platform, revision, watchWait)
		if err := control.Get(ctx, url, &tree); err != nil {
			time.Sleep(retryWait)
			continue
		}
		if tree.Revision <= revision {
			if tree.Revision < revision {
				// A platform that serves an older revision may answer at once.
				time.Sleep(retryWait)
			}
			continue
		}
		revision = tree.Revision
		for k, v := range tree.Values {
			values[k] = v
		}
		for _, k := range tree.Deleted {
			delete(values, k)
		}
		addrs, err := liveInstances(values)
		if err != nil {
			slog.Error("instance list", "revision", revision, "err", err)
			continue
		}
		t := targetList{revision, addrs}
		time.AfterFunc(f.cfg.Lag, func() { f.setTargets(t) })
	}
}

// setTargets replaces the targets unless those of a later revision are in force: the timers
// of two changes that follow each other closely may fire in either order.
func (f *Fabric) setTargets(t targetList) {
	for {
		old := f.targets.Load()
		if t.revision < old.revision {
			return
		}
		if f.targets.CompareAndSwap(old, &t) {
			if !slices.Equal(old.addrs, t.addrs) {
				slog.Info("targets", "count", len(t.addrs), "revision", t.revision)
			}
			return
		}
	}
}

func liveInstances(values map[string]string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for k, v := range values {
		if !strings.HasPrefix(k, "instances/") {
			continue
		}
		b, err := hujson.Standardize([]byte(v))
		if err != nil {
			return nil, trace.Wrap(err, "read %s", k)
		}
		var l instanceList
		if err := json.Unmarshal(b, &l); err != nil {
			return nil, trace.Wrap(err, "decode %s", k)
		}
		for _, i := range l.Instances {
			if !i.Leaving {
				out = append(out, i.Data)
			}
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out, nil
}
