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

// status returns the engine's status. Before the first snapshot there is no
// engine, and the state is Joining.
func (n *Node) status() engine.Status {
	if e := n.engine.Load(); e != nil {
		return e.Status(n.now())
	}
	return engine.Status{Self: n.settings.ID, State: message.Joining}
}

// ready returns nil if the instance is ready for packets, else an error with
// the reason.
func (n *Node) ready() error {
	if n.engine.Load() == nil {
		return trace.NotFound("no snapshot received yet")
	}
	s := n.status()
	switch {
	case s.State != message.Ready:
		return trace.CompareFailed("instance state is %s", s.State)
	case s.Stale:
		return trace.CompareFailed("membership view is stale")
	case s.Unclaimed > 0:
		return trace.CompareFailed("%d host groups of this domain have no owner", s.Unclaimed)
	}
	return nil
}

// pages returns the handler of the HTTP pages for operators and monitoring.
func (n *Node) pages() http.Handler {
	return web.Handler(web.Config{
		Name: n.settings.Name, Ready: n.ready, Status: n.status, Registry: n.metrics.Registry,
		Profiles: n.options.Profiles, Log: n.log,
	})
}

// backend serves the RPC calls of peers and operators.
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
		return message.PullReply{}, trace.NotFound("instance %s has not received a snapshot yet", b.n.settings.Name)
	}
	return e.Pull(b.n.now(), &r)
}

// Status implements rpc.Backend.
func (b backend) Status() engine.Status { return b.n.status() }

// Explain implements rpc.Backend.
func (b backend) Explain(k flow.Key) string {
	e := b.n.engine.Load()
	if e == nil {
		return "no snapshot received yet"
	}
	return e.Explain(b.n.now(), k)
}

// peerCaller makes the RPC calls to peers for the control loop.
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
