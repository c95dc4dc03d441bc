package edge

import (
	"context"
	"net/netip"
	"time"

	"egrettack.example/core/catalog"
)

const (
	// Parts of the time within which changes have to be in force. Readers look at
	// the store that often. A prober whose knowledge is older than staleShare
	// of it reads the store itself, which leaves time for two failed reads; the
	// others leave the probers time to tell them, and themselves time for one.
	readShare    = 0.25
	staleShare   = 0.45
	patientShare = 0.6
	// gapShare of it may lie between two good reads of the store that count as
	// one span: a follower's read after its source fell silent, and a retry.
	gapShare = 0.8
	// readTimeout bounds one call, and no call takes longer than timeoutShare of
	// the time within which changes have to be in force. A slow store answers
	// within 300 ms.
	readTimeout  = 700 * time.Millisecond
	timeoutShare = 0.25
	// retryFirst and retryLimit are the pauses after failed reads: the first,
	// and the one that doubling leads to.
	retryFirst = 100 * time.Millisecond
	retryLimit = 800 * time.Millisecond
	// readLeast is the least pause between reads.
	readLeast = 200 * time.Millisecond
	// followLeast and followMost bound the pause between two looks at the age of
	// the catalog. The longest is short beside the time in which a source that
	// fell silent has to be noticed.
	followLeast = 20 * time.Millisecond
	followMost  = 250 * time.Millisecond
)

// follow keeps the catalog current until ctx is done.
func (i *Instance) follow(ctx context.Context) error {
	var r reading
	for {
		pause := i.readWhenDue(ctx, &r)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// reading is the state between two reads of the store.
type reading struct {
	next  time.Duration // no read before that
	retry time.Duration // the last pause after a failed read, 0 after a good one
}

// readWhenDue reads the store if that is due, and returns how long to wait
// until the next look.
func (i *Instance) readWhenDue(ctx context.Context, r *reading) time.Duration {
	due := max(r.next, i.readDue())
	if i.clock.now() >= due {
		i.readOnce(ctx, r)
		due = max(r.next, i.readDue())
	}
	return min(max(due-i.clock.now(), followLeast), followMost)
}

func (i *Instance) readOnce(ctx context.Context, r *reading) {
	began := i.clock.now()
	err := i.read(ctx)
	i.storeAnswers(err)
	pause := readLeast
	if err == nil {
		r.retry = 0
		i.metrics.reads.Observe((i.clock.now() - began).Seconds())
	} else {
		i.store.Reconnect()
		first, longest := i.retryPause()
		r.retry = min(max(2*r.retry, first), longest)
		pause = r.retry
	}
	// The jitter keeps instances that lost the store together from reading
	// together.
	r.next = i.clock.now() + pause + time.Duration(i.random.Int64N(int64(pause/4)+1))
}

// retryPause returns the first and the longest pause between reads of a store
// that does not answer. Members whose domain has others that go on reading it
// hear of its return.
func (i *Instance) retryPause() (first, longest time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.catalog.Loaded() || i.peers.fleet.ProbesStore(i.clock.now()) {
		return retryFirst, retryLimit
	}
	return i.set.CurrentWithin() / 2, 3 * i.set.CurrentWithin()
}

// readDue returns when this instance reads the store next: as the reader of
// the fleet, or since its source tells nothing new.
func (i *Instance) readDue() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.catalog.Loaded() {
		return 0
	}
	share := patientShare
	switch {
	case !i.peers.fleet.Source().IsValid():
		share = readShare
	case i.peers.fleet.ProbesStore(i.clock.now()):
		share = staleShare
	}
	return i.catalog.AsOf() + partOf(i.set.CurrentWithin(), share)
}

func partOf(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// read brings the catalog up to the store's present revision.
func (i *Instance) read(ctx context.Context) error {
	i.mu.Lock()
	loaded, known := i.catalog.Loaded(), i.catalog.Revision()
	i.mu.Unlock()
	if !loaded {
		// What has changed since stale pages usually comes from the source
		// before the next read is due.
		return i.load(ctx)
	}
	at := i.clock.now()
	rev, err := i.readRevision(ctx)
	if err != nil {
		return err
	}
	i.mu.Lock()
	current := i.catalog.Confirm(at, rev)
	if current {
		now := i.clock.now()
		i.retryHeld(now)
		i.tellFollowers(now)
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

// bounded bounds one call to the store.
func (i *Instance) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	i.mu.Lock()
	within := i.set.CurrentWithin()
	i.mu.Unlock()
	return context.WithTimeout(ctx, min(readTimeout, partOf(within, timeoutShare)))
}

func (i *Instance) readRevision(ctx context.Context) (catalog.Revision, error) {
	ctx, cancel := i.bounded(ctx)
	defer cancel()
	return i.store.Revision(ctx)
}

// readSince takes the changes since a revision. It reports whether they reach
// the revision that the store is known to have.
func (i *Instance) readSince(ctx context.Context, after, want catalog.Revision) bool {
	ctx, cancel := i.bounded(ctx)
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

// apply takes a change that the store had at the given time.
func (i *Instance) apply(at time.Duration, ch *catalog.Change) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.take(i.clock.now(), at, 0, ch, sourceName(netip.Addr{}))
}

// take takes a change that was current at the given time, with the store in
// good state for a while before.
func (i *Instance) take(now, at, good time.Duration, ch *catalog.Change, from string) {
	was := i.catalog.Complete()
	a := i.catalog.Apply(now, at, at-good, ch)
	i.logApplied(a, ch, from, now-at)
	if !was && i.catalog.Complete() {
		i.log.Info("ready", "version", i.catalog.Version(), "revision", i.catalog.Revision(),
			"held", len(i.held.packets), "from", from)
	}
	i.retryHeld(now)
	i.tellFollowers(now)
}

// serverLines is the number of servers of one change that get a line each;
// more get one line together.
const serverLines = 32

// logApplied logs what a change moved.
func (i *Instance) logApplied(a catalog.ApplyResult, ch *catalog.Change, from string, age time.Duration) {
	if a.ConfigChanged {
		c := i.catalog.Config()
		i.log.Info("configuration", "version", c.Version, "revision", c.Revision, "routes", len(c.Routes),
			"from", from, "age", age)
	}
	if n := len(a.Added) + len(a.Changed) + len(a.Removed); n > serverLines {
		i.log.Info("servers", "added", len(a.Added), "changed", len(a.Changed), "removed", len(a.Removed),
			"revision", ch.Revision, "from", from, "age", age)
		return
	}
	for _, s := range a.Added {
		i.log.Info("server added", "server", s.Name, "service", s.Service, "addr", s.Addr, "domain", s.Domain,
			"started", s.Started, "draining", s.Draining, "revision", s.Revision, "from", from, "age", age)
	}
	for _, s := range a.Changed {
		i.log.Info("server changed", "server", s.Name, "draining", s.Draining, "addr", s.Addr,
			"revision", s.Revision, "from", from, "age", age)
	}
	for _, s := range a.Removed {
		i.log.Info("server removed", "server", s.Name, "revision", ch.Revision, "from", from, "age", age)
	}
}

// storeAnswers logs when the store is lost or regained.
func (i *Instance) storeAnswers(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, was, lost := i.clock.now(), i.state.storeLost, err != nil
	i.state.storeLost = lost
	if lost {
		i.state.lostAt = now
	}
	switch {
	case lost == was:
		return
	case lost:
		i.log.Warn("store lost", "error", err, "revision", i.catalog.Revision(), "age", now-i.catalog.AsOf())
	default:
		i.log.Info("store regained", "revision", i.catalog.Revision())
	}
	// Followers choose another source when theirs is cut off.
	for _, a := range i.peers.fleet.Followers(now) {
		i.tell(now, a, 0)
	}
}
