package node

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/web"
	"egrettack.example/settings/daemon"
	"egrettack.example/settings/published"
)

// status returns the engine's status; before the first snapshot the instance
// is joining and knows nothing.
func (n *Node) status() engine.Status {
	if e := n.engine.Load(); e != nil {
		return e.Status(n.now())
	}
	return engine.Status{Self: n.settings.ID, State: message.Joining}
}

func (n *Node) ready() error {
	if n.engine.Load() == nil {
		return trace.NotFound("no snapshot yet")
	}
	s := n.status()
	switch {
	case s.State != message.Ready:
		return trace.CompareFailed("state is %s", s.State)
	case s.Stale:
		return trace.CompareFailed("views are not fresh")
	case s.Unclaimed > 0:
		return trace.CompareFailed("%d host groups of this domain have no owner", s.Unclaimed)
	}
	return nil
}

func (n *Node) pages() http.Handler {
	return web.Handler(web.Config{
		Name: n.settings.Name, Ready: n.ready, Status: n.status, Registry: n.metrics.Registry,
		Profiles: n.options.Profiles, Log: n.log,
	})
}

// backend answers the rpc calls of peers and operators.
type backend struct{ n *Node }

// Keys implements rpc.Backend.
func (b backend) Keys() []daemon.Key { return b.n.settings.Keys }

// SnapshotSince implements rpc.Backend.
func (b backend) SnapshotSince(after snapshot.Version) published.Values {
	return b.n.platform.Values().Since(after)
}

// Pull implements rpc.Backend.
func (b backend) Pull(r message.PullRequest) (message.PullReply, error) {
	e := b.n.engine.Load()
	if e == nil {
		return message.PullReply{}, trace.NotFound("instance %s has no snapshot yet", b.n.settings.Name)
	}
	return e.Pull(b.n.now(), &r)
}

// Status implements rpc.Backend.
func (b backend) Status() engine.Status { return b.n.status() }

// Explain implements rpc.Backend.
func (b backend) Explain(k flow.Key) string {
	e := b.n.engine.Load()
	if e == nil {
		return "no snapshot yet"
	}
	return e.Explain(b.n.now(), k)
}

// peerCaller makes the calls to peers that the control loop asks for.
type peerCaller struct{ n *Node }

// Pull implements control.Peers.
func (c peerCaller) Pull(ctx context.Context, addr string, r message.PullRequest) (message.PullReply, error) {
	return c.n.peers.Pull(ctx, addr, r)
}

// FetchSnapshot implements control.Peers.
func (c peerCaller) FetchSnapshot(ctx context.Context, addr string) error {
	v, err := c.n.peers.SnapshotSince(ctx, addr, c.n.platform.Values().Revision)
	if err != nil {
		return err
	}
	return c.n.platform.Merge(v)
}
