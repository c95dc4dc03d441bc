package edge

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/catalog"
	"egrettack.example/node/progress"
)

const (
	// pageSilence limits the time in which nothing of a page arrives. It doubles with
	// each further attempt: the link of the store is busy for 3 s when a fleet of
	// 300 instances starts at once with 3,000 servers. A slow store begins its answer
	// within 300 ms.
	pageSilence = 500 * time.Millisecond
	// firstPageTimeout is how long after the start the first page may be missing
	// before the catalog is pulled from a peer that has it.
	firstPageTimeout = 300 * time.Millisecond
	// pageBytes is the largest size of a page.
	pageBytes = 1.4e6
	// slowPageTime is the longest time that a page may take over a slow link while
	// peers may have the catalog.
	slowPageTime = 100 * time.Millisecond
	// startSpread is the time within which the instances of a fleet start.
	startSpread = 300 * time.Millisecond
	// maxLoadTime limits the time that a larger instance needs to load its catalog.
	maxLoadTime = 500 * time.Millisecond
	// calmReplyTime is the time within which peers that run already reply.
	calmReplyTime = 30 * time.Millisecond
	// firstReplyTime is the time within which a seed replies that started last.
	firstReplyTime = startSpread + 50*time.Millisecond
	// peerPollInterval is the interval at which the wait for peers is reviewed.
	peerPollInterval = 10 * time.Millisecond
	// maxPageTries limits the attempts to read one page.
	maxPageTries = 4
	// firstPagePause is the pause before the second attempt. It doubles with each
	// further attempt.
	firstPagePause = 50 * time.Millisecond
)

// load fills the empty catalog. Over a slow link it first asks peers, which send
// the same in a tenth of the bytes, gives up a read of the store that takes long,
// and waits for peers again before it reads the store whatever that takes.
func (i *Instance) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i.mu.Lock()
	loaded := i.catalog.Loaded()
	i.state.cancelLoad = cancel
	i.mu.Unlock()
	if loaded {
		return nil
	}
	err := i.loadFromStore(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.catalog.Loaded() {
		return nil // a peer was faster
	}
	return err
}

func (i *Instance) loadFromStore(ctx context.Context) error {
	if !i.slowLink {
		return i.readAll(ctx)
	}
	if loaded, err := i.awaitPeers(ctx, calmReplyTime, false); loaded || err != nil {
		return err
	}
	quick, cancel := progress.WithRate(ctx, i.linkRate, slowPageTime)
	err := i.readAll(quick)
	cancel()
	if !errors.Is(err, progress.ErrSlow) {
		return err
	}
	i.log.Info("store is slow to read; waiting for peers")
	if loaded, err := i.awaitPeers(ctx, firstReplyTime, true); loaded || err != nil {
		return err
	}
	return i.readAll(ctx)
}

// isSlowLink reports whether a page takes long over a link.
func isSlowLink(mbps float64) bool { return pageBytes*8/(mbps*1e6) > slowPageTime.Seconds() }

// awaitPeers waits for peers to deliver the catalog: as long as one is known that
// has it or, with larger set, one that is larger and reads it first; otherwise for
// the time that first replies take. It reports whether the catalog is loaded.
func (i *Instance) awaitPeers(ctx context.Context, firstReplies time.Duration, larger bool) (loaded bool, err error) {
	began := i.clock.now()
	for {
		i.mu.Lock()
		expected, pointless := i.peers.completePeerKnown, false
		loaded = i.catalog.Loaded()
		if larger {
			expected = expected || i.peers.fleet.KnowsLarger()
			pointless = !expected && i.peers.fleet.KnowsMany()
		}
		i.mu.Unlock()
		limit := firstReplies
		if expected {
			limit = startSpread + maxLoadTime
		}
		if loaded || pointless || i.clock.now()-began >= limit {
			return loaded, nil
		}
		if err := i.sleep(ctx, peerPollInterval); err != nil {
			return loaded, err
		}
	}
}

// readAll reads the whole catalog, at the start or when the store cannot return
// the changes since the known revision. At the start new flows are placed on the
// servers of the pages that have been read. The result is complete up to the
// lowest revision of any page.
func (i *Instance) readAll(ctx context.Context) error {
	began := i.clock.now()
	all := &catalog.Change{Full: true, Revision: math.MaxUint64}
	for after := ""; ; {
		at := i.clock.now()
		page, next, err := i.page(ctx, after)
		if err != nil {
			return err
		}
		if after == "" {
			all.Epoch = page.Epoch
		} else if page.Epoch != all.Epoch {
			return trace.Wrap(errEarlierEpoch, "pages of the epochs %d and %d of the store", all.Epoch, page.Epoch)
		}
		i.addPartial(at, page)
		all.Revision = min(all.Revision, page.Revision)
		all.Servers = append(all.Servers, page.Servers...)
		all.Evacuations = append(all.Evacuations, page.Evacuations...)
		if page.Config != nil {
			all.Config = page.Config
		}
		if next == "" {
			i.applyFromStore(began, all)
			return nil
		}
		after = next
	}
}

// page reads one page, with retries.
func (i *Instance) page(ctx context.Context, after string) (ch *catalog.Change, next string, err error) {
	pause := firstPagePause
	for try := range maxPageTries {
		if try > 0 {
			if err := i.sleep(ctx, pause); err != nil {
				return nil, "", err
			}
			pause *= 2
		}
		began := i.clock.now()
		call, cancel := withLimits(ctx, pageSilence<<try, maxReadTime)
		ch, next, err = i.store.Page(call, after)
		err = progress.Cause(call, err)
		cancel()
		if err == nil {
			return ch, next, nil
		}
		if ctx.Err() != nil || errors.Is(err, progress.ErrSlow) {
			return nil, "", progress.Cause(ctx, err)
		}
		i.recordStoreResult(began, err)
	}
	return nil, "", trace.Wrap(err, "read store page after position %q, %d attempts", after, maxPageTries)
}

// addPartial adds the configuration and the servers of a page before the whole
// list is known.
func (i *Instance) addPartial(at time.Duration, ch *catalog.Change) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.now()
	ch.FromStore, ch.Source = true, sourceName(netip.Addr{})
	i.logApplied(i.catalog.AddPartial(now, ch), ch, sourceName(netip.Addr{}), now-at)
	i.retryHeld(now)
}
