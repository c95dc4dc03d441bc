package edge

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/catalog"
	"egrettack.example/node/progress"
)

const (
	// Fractions of the time within which changes have to be in force. An instance
	// without a source reads the store after readFraction of it. An instance that
	// probes the store reads it when its knowledge is older than probeFraction,
	// which leaves time for two failed reads. The others wait for followFraction,
	// which leaves the probers time to update them, and themselves time for one read.
	// While their sources have lost the store as well, they read in turn.
	readFraction   = 0.25
	probeFraction  = 0.45
	followFraction = 0.6
	// readGapFraction is the longest time between two successful reads of the store
	// that count as one span: a follower's read after its source fell silent, and a
	// retry.
	readGapFraction = 0.8
	// storeSilence limits the time in which nothing of the answer to a call to the
	// store arrives, and so does silenceFraction of the time within which changes
	// have to be in force; the shorter one holds. A slow store begins its answer
	// within 300 ms.
	storeSilence    = 700 * time.Millisecond
	silenceFraction = 0.25
	// maxReadTime limits one call to the store in all. It is the time of the largest
	// page, 1.4 MB, on a link of 1 Mbit/s.
	maxReadTime = 11 * time.Second
	// firstRetryPause and maxRetryPause bound the pauses after failed reads, which
	// double with each failure.
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = 800 * time.Millisecond
	// backupReadsPerSecond is the average number of reads of the members of a domain
	// in a second, those that probe the store apart, while it is lost.
	backupReadsPerSecond = 4
	// earlyReadInterval is the shortest time from a read to one that packets of open
	// flows wait for. At the design size of 420 instances these reads stay below half of
	// the store's limit of 2,000 a second.
	earlyReadInterval = 500 * time.Millisecond
	// minReadPause is the shortest pause between reads.
	minReadPause = 200 * time.Millisecond
	// minFollowPause and maxFollowPause bound the pause between two checks of the age
	// of the catalog. The longest is short compared with the time in which a silent
	// source has to be noticed.
	minFollowPause = 20 * time.Millisecond
	maxFollowPause = 250 * time.Millisecond
)

// follow keeps the catalog current until ctx is done.
func (i *Instance) follow(ctx context.Context) error {
	var r readState
	for {
		pause := maxRetryPause
		i.contain("read of the store", func() { pause = i.readWhenDue(ctx, &r) })
		select {
		case <-ctx.Done():
			return nil
		case <-i.state.readWanted:
		case <-time.After(pause):
		}
	}
}

// wantRead has the store read soon: a packet that arrived now waits for later knowledge.
func (i *Instance) wantRead(now time.Duration) {
	i.state.wantedAfter = now
	select {
	case i.state.readWanted <- struct{}{}:
	default: // it is wanted already
	}
}

// readState is the state between two reads of the store.
type readState struct {
	notBefore  time.Duration // time before which there is no read
	lastAt     time.Duration // when the last read began
	retryPause time.Duration // last pause after a failed read, 0 after a successful one
	backupAt   time.Duration // time of the next read while the store is lost, 0 if none was drawn
	missed     missedReads
}

// readWhenDue reads the store if a read is due, and returns the time to wait
// until the next check.
func (i *Instance) readWhenDue(ctx context.Context, r *readState) time.Duration {
	if i.clock.now() >= i.readDue(r) {
		i.readOnce(ctx, r, i.read)
	} else if due, ok := i.missedDue(r); ok && i.clock.now() >= due {
		r.missed.due = 0
		i.readOnce(ctx, r, i.readMissed)
	}
	due := i.readDue(r)
	if missed, ok := i.missedDue(r); ok {
		due = min(due, missed)
	}
	return min(max(due-i.clock.now(), minFollowPause), maxFollowPause)
}

// readOnce reads the store by read and sets the time before which there is no other read.
func (i *Instance) readOnce(ctx context.Context, r *readState, read func(context.Context) error) {
	began := i.clock.now()
	r.lastAt = began
	err := read(ctx)
	i.recordStoreResult(began, err)
	pause := minReadPause
	r.backupAt = 0
	if err == nil {
		r.retryPause = 0
		i.metrics.storeReads.Observe((i.clock.now() - began).Seconds())
	} else {
		r.retryPause = min(max(2*r.retryPause, firstRetryPause), maxRetryPause)
		pause = r.retryPause
	}
	// The jitter spreads the reads of instances that lost the store at the same
	// time.
	r.notBefore = i.clock.now() + pause + time.Duration(i.random.Int64N(int64(pause/4)+1))
}

// readDue returns the time of the next read of the store, which depends on whether
// the instance has a source and whether it probes the store.
func (i *Instance) readDue(r *readState) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.catalog.Loaded() {
		return r.notBefore
	}
	now, asOf := i.clock.now(), i.catalog.AsOf()
	hasSource, probes := i.peers.fleet.Source().IsValid(), i.peers.fleet.ProbesStore(now)
	if (!hasSource || probes) && i.state.store.mayBeBack(now, asOf) {
		return r.notBefore
	}
	share := followFraction
	switch {
	case !hasSource:
		share = readFraction
	case probes:
		share = probeFraction
	}
	due := max(r.notBefore, asOf+fractionOf(i.settings.CurrentWithin(), share))
	if i.state.wantedAfter > asOf && !i.state.store.lost {
		due = min(due, max(r.notBefore, r.lastAt+earlyReadInterval))
	}
	inTurn := hasSource && !probes && i.peers.fleet.SourceLostStore(now)
	if !inTurn || now < due {
		r.backupAt = 0
		return due
	}
	if r.backupAt == 0 {
		r.backupAt = now + i.drawBackupPause()
	}
	return r.backupAt
}

// drawBackupPause draws the time until the next read of this instance while the
// store is lost, so that its domain makes backupReadsPerSecond.
func (i *Instance) drawBackupPause() time.Duration {
	mean := float64(i.peers.fleet.DomainSize()) / backupReadsPerSecond
	return time.Duration(i.random.ExpFloat64() * mean * float64(time.Second))
}

func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// read updates the catalog to the current revision of the store.
func (i *Instance) read(ctx context.Context) error {
	i.mu.Lock()
	loaded, known := i.catalog.Loaded(), i.catalog.Position()
	i.mu.Unlock()
	if !loaded {
		return i.load(ctx)
	}
	at := i.clock.now()
	pos, err := i.readPosition(ctx)
	if err != nil {
		return err
	}
	if pos.Epoch < known.Epoch {
		return trace.Wrap(errEarlierEpoch, "epoch %d of the store, %d is known", pos.Epoch, known.Epoch)
	}
	if pos.Epoch > known.Epoch {
		i.log.Warn("store restored from a copy", "epoch", pos.Epoch, "known_epoch", known.Epoch, "revision", pos.Revision, "known", known.Revision)
		return i.readAll(ctx)
	}
	i.mu.Lock()
	current := i.catalog.Confirm(at, pos)
	if current {
		now := i.adjustedTime()
		i.reactToUpdate(now)
		i.informSource(now, netip.Addr{})
	}
	i.mu.Unlock()
	if current {
		return nil
	}
	if i.readSince(ctx, known, pos.Revision) {
		return nil
	}
	return i.readAll(ctx)
}

// errEarlierEpoch means that an answer of the store is of an epoch that a restore has
// ended. Match it with errors.Is.
var errEarlierEpoch = errors.New("the answer is from before a restore of the store")

// withReadLimit returns a context with the limits of one call to the store.
func (i *Instance) withReadLimit(ctx context.Context) (context.Context, context.CancelFunc) {
	i.mu.Lock()
	within := i.settings.CurrentWithin()
	i.mu.Unlock()
	return withLimits(ctx, min(storeSilence, fractionOf(within, silenceFraction)), maxReadTime)
}

// withLimits returns a context that ends when there is no progress for the time
// silence, and after the time whole in any case.
func withLimits(ctx context.Context, silence, whole time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, whole)
	ctx, stop := progress.WithLimit(ctx, silence)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (i *Instance) readPosition(ctx context.Context) (catalog.Position, error) {
	ctx, cancel := i.withReadLimit(ctx)
	defer cancel()
	pos, err := i.store.Position(ctx)
	return pos, progress.Cause(ctx, err)
}

// readSince applies the changes after a position, which the store returns in one
// or more parts. It reports whether they reach the revision that the store is
// known to have.
func (i *Instance) readSince(ctx context.Context, from catalog.Position, want catalog.Revision) bool {
	after := from.Revision
	for after < want {
		at := i.clock.now()
		ch, err := i.readPart(ctx, after)
		if err != nil {
			i.log.Info("changes not read", "after", after, "error", err)
			return false
		}
		if ch.Epoch != from.Epoch {
			i.log.Info("changes of another epoch", "epoch", ch.Epoch, "want", from.Epoch)
			return false
		}
		if ch.Revision <= after {
			i.log.Warn("changes lag behind the store", "after", after, "got", ch.Revision, "want", want)
			return false
		}
		i.applyPart(at, ch, ch.Revision >= want)
		after = ch.Revision
	}
	return true
}

func (i *Instance) readPart(ctx context.Context, after catalog.Revision) (*catalog.Change, error) {
	ctx, cancel := i.withReadLimit(ctx)
	defer cancel()
	ch, err := i.store.Since(ctx, after)
	return ch, progress.Cause(ctx, err)
}

// applyPart applies a part of the changes that was read from the store at the
// given time. Only the last part makes the catalog current.
func (i *Instance) applyPart(at time.Duration, ch *catalog.Change, last bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !last {
		at = i.catalog.AsOf()
	}
	now := i.adjustedTime()
	ch.FromStore = true
	i.applyChange(now, at, 0, ch, sourceName(netip.Addr{}))
	i.informSource(now, netip.Addr{})
}

// applyFromStore applies a change that was read from the store at the given time.
func (i *Instance) applyFromStore(at time.Duration, ch *catalog.Change) { i.applyPart(at, ch, true) }

// applyChange applies a change that was current at the time at, when the store had
// been healthy for the given duration. It reports false if the change holds a
// difference of the configuration that does not fit the present one.
func (i *Instance) applyChange(now, at, healthyFor time.Duration, ch *catalog.Change, from string) bool {
	was := i.catalog.Complete()
	ch.Source = from
	a := i.catalog.Apply(now, at, at-healthyFor, ch)
	if a.ConfigMismatch {
		i.log.Info("configuration difference does not fit", "version", i.catalog.Version(), "to", ch.ConfigDiff.Version, "from", from)
		i.peers.needsWholeConfig = true
		return false
	}
	if a.ConfigChanged {
		i.peers.needsWholeConfig = false
	}
	i.logApplied(a, ch, from, now-at)
	i.updateDomainSizes()
	if !was && i.catalog.Complete() {
		if cancel := i.state.cancelLoad; cancel != nil {
			cancel()
		}
		i.log.Info("ready", "version", i.catalog.Version(), "revision", i.catalog.Revision(),
			"held", len(i.held.packets), "from", from)
	}
	i.reactToUpdate(now)
	return true
}

// reactToUpdate does what an update of the catalog allows: it resets flows that have
// ended, decides again on held packets and updates the followers.
func (i *Instance) reactToUpdate(now time.Duration) {
	i.resetEndedFlows(now)
	i.retryHeld(now)
	i.updateFollowers(now)
}

// maxServerLines is the largest number of servers of one change that are logged in
// a line each. A larger change is logged in one line.
const maxServerLines = 32

// logApplied logs the effect of a change.
func (i *Instance) logApplied(a catalog.ApplyResult, ch *catalog.Change, from string, age time.Duration) {
	if a.ConfigChanged {
		c := i.catalog.Config()
		i.log.Info("configuration", "version", c.Version, "revision", c.Revision, "routes", len(c.Routes),
			"from", from, "age", age)
	}
	i.logEvacuations(a, ch, from, age)
	if n := len(a.Added) + len(a.Changed) + len(a.Removed); n > maxServerLines {
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
