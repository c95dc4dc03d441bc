package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/catalog"
)

const (
	// readEvery is the interval between looks at the store's revision. A change
	// has to be in force within 3 s, two failed reads included.
	readEvery = 600 * time.Millisecond
	// readTimeout bounds one call; a slow store answers within 300 ms.
	readTimeout = 700 * time.Millisecond
	// listTimeout bounds the reading of everything.
	listTimeout = 3 * time.Second
	// retryFirst and retryLimit are the pauses after failed reads: the first,
	// and the one that doubling leads to.
	retryFirst = 100 * time.Millisecond
	retryLimit = 600 * time.Millisecond
)

// follow keeps the catalog current until ctx is done.
func (i *Instance) follow(ctx context.Context) error {
	retry := retryFirst
	for {
		pause := readEvery
		if err := i.read(ctx); err == nil {
			i.storeAnswers(nil)
			retry = retryFirst
		} else if ctx.Err() == nil {
			i.storeAnswers(err)
			i.store.Reconnect()
			pause, retry = retry, min(2*retry, retryLimit)
		}
		// The jitter keeps instances that started together from reading together.
		pause += time.Duration(rand.Int64N(int64(pause) / 4))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// read brings the catalog up to the store's present revision.
func (i *Instance) read(ctx context.Context) error {
	i.mu.Lock()
	loaded, known := i.catalog.Loaded(), i.catalog.Revision()
	i.mu.Unlock()
	if !loaded {
		return i.readAll(ctx)
	}
	at := i.clock.now()
	rev, err := i.readRevision(ctx)
	if err != nil {
		return err
	}
	i.mu.Lock()
	current := i.catalog.Confirm(at, rev)
	if current {
		i.retryHeld(i.clock.now())
	}
	i.mu.Unlock()
	if current {
		return nil
	}
	if i.readSince(ctx, known, rev) {
		return nil
	}
	return i.readAll(ctx)
}

func (i *Instance) readRevision(ctx context.Context) (catalog.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return i.store.Revision(ctx)
}

// readSince takes the changes since a revision. It reports whether they reach
// the revision that the store is known to have.
func (i *Instance) readSince(ctx context.Context, after, want catalog.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	at := i.clock.now()
	ch, err := i.store.Since(ctx, after)
	if err != nil {
		i.log.Info("changes not read", "after", after, "error", err)
		return false
	}
	if ch.Revision < want {
		i.log.Warn("changes lag behind the store", "after", after, "got", ch.Revision, "want", want)
		return false
	}
	i.apply(at, ch)
	return true
}

func (i *Instance) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	at := i.clock.now()
	ch, err := i.store.All(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	i.apply(at, ch)
	return nil
}

// apply takes a change that the store had at the given time.
func (i *Instance) apply(at time.Duration, ch *catalog.Change) {
	now := i.clock.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	was := i.catalog.Complete()
	a := i.catalog.Apply(now, at, at, ch)
	if a.Config {
		c := i.catalog.Config()
		i.log.Info("configuration", "version", c.Version, "revision", c.Revision, "routes", len(c.Routes))
	}
	for _, s := range a.Added {
		i.log.Info("server added", "server", s.Name, "service", s.Service, "addr", s.Addr, "domain", s.Domain,
			"started", s.Started, "draining", s.Draining, "revision", s.Revision)
	}
	for _, s := range a.Changed {
		i.log.Info("server changed", "server", s.Name, "draining", s.Draining, "addr", s.Addr, "revision", s.Revision)
	}
	for _, s := range a.Removed {
		i.log.Info("server removed", "server", s.Name, "revision", ch.Revision)
	}
	if !was && i.catalog.Complete() {
		i.log.Info("ready", "version", i.catalog.Version(), "revision", i.catalog.Revision(), "held", len(i.held.packets))
	}
	i.retryHeld(now)
}

// storeAnswers logs when the store is lost or regained.
func (i *Instance) storeAnswers(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	lost := err != nil
	if lost == i.state.storeLost {
		return
	}
	i.state.storeLost = lost
	if lost {
		i.log.Warn("store lost", "error", err, "revision", i.catalog.Revision(), "age", i.clock.now()-i.catalog.AsOf())
	} else {
		i.log.Info("store regained", "revision", i.catalog.Revision())
	}
}
