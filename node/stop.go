package node

import (
	"context"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/snapshot"
)

// propagationMargin is how long the instance continues to serve after it has
// received the instance list that no longer has it as live: peers and the fabric
// may receive that list up to a second later.
const propagationMargin = time.Second

// gracefulStop hands over the groups that this instance owns and waits until
// peers and the fabric send it no more packets, or until the stop timeout
// expires.
func (n *Node) gracefulStop(ctx context.Context) {
	e := n.engine.Load()
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout.Duration)
	defer cancel()
	begin := time.Now()
	n.log.Info("leaving", "timeout", n.settings.StopTimeout.Duration)
	e.Leave(n.now())
	if !pollUntil(ctx, func() bool { return e.LeaveDone(n.now()) }) {
		n.log.Warn("stop timeout expired before all groups were handed over")
		return
	}
	n.log.Info("groups handed over", "took", time.Since(begin).Round(time.Millisecond))
	if !pollUntil(ctx, func() bool { return !isLive(e.Snapshot(), n.settings.ID) }) {
		n.log.Warn("stop timeout expired while this instance is still published as live")
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(propagationMargin):
	}
	n.log.Info("left", "took", time.Since(begin).Round(time.Millisecond))
}

// isLive reports whether the snapshot lists the instance as live, that is
// neither removed nor leaving.
func isLive(s *snapshot.Snapshot, id snapshot.InstanceID) bool {
	i := s.Instances[id]
	return i != nil && !i.Leaving
}

// pollUntil calls done at every TickInterval until it returns true. It returns
// false if ctx is done first.
func pollUntil(ctx context.Context, done func() bool) bool {
	t := time.NewTicker(engine.TickInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}
