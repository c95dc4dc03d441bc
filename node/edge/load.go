package edge

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/catalog"
)

const (
	// pageTimeout bounds the first try of one page; it doubles, since the
	// store's link is busy for 3 s when a fleet of 300 starts at once with
	// 3,000 servers. A slow store answers within 300 ms.
	pageTimeout = 500 * time.Millisecond
	// firstPageTimeout is how long after the start the first page may be missing
	// before the catalog is taken from a peer that has it.
	firstPageTimeout = 300 * time.Millisecond
	// maxPageTries is how often one page is asked for.
	maxPageTries = 4
	// firstPagePause is the pause before the second try; it doubles.
	firstPagePause = 50 * time.Millisecond
)

// load fills the empty catalog. Deployments of one page are read at once. For
// larger ones the first page has the configuration, and the others are stale,
// from a random one on: new flows are placed while they come, and instances
// that start together begin with different servers.
func (i *Instance) load(ctx context.Context) error {
	at := i.clock.now()
	first, next, err := i.page(ctx, "", false)
	if err != nil {
		return err
	}
	if next == "" {
		first.Full = true
		i.applyFromStore(at, first)
		return nil
	}
	i.addPartial(at, &catalog.Change{Revision: first.Revision, Config: first.Config})
	start := i.store.RandomPosition(next)
	all := &catalog.Change{Full: true, Revision: first.Revision, Config: first.Config}
	for _, part := range [][2]string{{start, ""}, {"", start}} {
		if err := i.pages(ctx, part[0], part[1], true, all); err != nil {
			return err
		}
	}
	i.applyFromStore(1, all) // nothing is known of the age of the stale pages
	return nil
}

// readAll reads everything anew, for a catalog whose changes are not to be had.
func (i *Instance) readAll(ctx context.Context) error {
	at := i.clock.now()
	all := &catalog.Change{Full: true, Revision: math.MaxUint64}
	if err := i.pages(ctx, "", "", false, all); err != nil {
		return err
	}
	i.applyFromStore(at, all)
	return nil
}

// pages collects the pages after a position, up to another or to the last one.
// The result is complete up to the lowest revision of a page.
func (i *Instance) pages(ctx context.Context, after, until string, stale bool, all *catalog.Change) error {
	for {
		at := i.clock.now()
		ch, next, err := i.page(ctx, after, stale)
		if err != nil {
			return err
		}
		i.addPartial(at, ch)
		all.Revision = min(all.Revision, ch.Revision)
		all.Servers = append(all.Servers, ch.Servers...)
		if ch.Config != nil && (all.Config == nil || ch.Config.Version > all.Config.Version) {
			all.Config = ch.Config
		}
		if next == "" || until != "" && next >= until {
			return nil
		}
		after = next
	}
}

// page reads one page, with a few tries.
func (i *Instance) page(ctx context.Context, after string, stale bool) (ch *catalog.Change, next string, err error) {
	pause := firstPagePause
	for try := range maxPageTries {
		if try > 0 {
			if err := i.sleep(ctx, pause); err != nil {
				return nil, "", err
			}
			pause *= 2
			i.store.Reconnect()
		}
		call, cancel := context.WithTimeout(ctx, pageTimeout<<try)
		ch, next, err = i.store.Page(call, after, stale)
		cancel()
		if err == nil {
			return ch, next, nil
		}
		i.recordStoreResult(err)
	}
	return nil, "", trace.Wrap(err, "page after %q, %d tries", after, maxPageTries)
}

// addPartial takes servers before the first whole list is known.
func (i *Instance) addPartial(at time.Duration, ch *catalog.Change) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.now()
	i.logApplied(i.catalog.AddPartial(now, ch), ch, sourceName(netip.Addr{}), now-at)
	i.retryHeld(now)
}
