package node

import (
	"context"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/snapshot"
)

// propagationMargin is added to the publication of the list: peers and the fabric get
// it up to a second later than this instance.
const propagationMargin = time.Second

// gracefulStop hands over what this instance owns and waits until nobody sends to it,
// or until the stop timeout is over.
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
		n.log.Warn("stop timeout is over before all groups were handed over")
		return
	}
	n.log.Info("groups handed over", "took", time.Since(begin).Round(time.Millisecond))
	if !pollUntil(ctx, func() bool { return !isLive(e.Snapshot(), n.settings.ID) }) {
		n.log.Warn("stop timeout is over while this instance is still listed as live")
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(propagationMargin):
	}
	n.log.Info("left", "took", time.Since(begin).Round(time.Millisecond))
}

// isLive reports whether the snapshot names the instance as live.
func isLive(s *snapshot.Snapshot, id snapshot.InstanceID) bool {
	i := s.Instances[id]
	return i != nil && !i.Leaving
}

// pollUntil waits until done is true and returns false when ctx ends first.
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
