// Package platform owns an instance's reading of the configuration service:
// the long polls, the published values in force and the snapshot built from
// them.
package platform

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/published"
)

const (
	// defaultWait is the longest wait of one call. It is below one minute,
	// after which middle boxes commonly drop quiet connections.
	defaultWait = 55 * time.Second
	// answerTime is added to the wait before a call counts as failed.
	answerTime = 10 * time.Second
	minBackoff = 250 * time.Millisecond
	// maxBackoff leaves room within the 9 s in which a change has to be in
	// force once the platform is back. 420 instances then make 112 calls a
	// second at most, of the 2,000 that the platform allows.
	maxBackoff = 5 * time.Second
	// changePause follows each change, doubled by jitter, so that a burst of
	// publications costs at most 4 calls a second per instance.
	changePause = 250 * time.Millisecond
	// quick is the time under which an answer without a change is not the
	// end of a wait.
	quick = time.Second
)

// Config of a Client.
type Config struct {
	URL string // of the platform, "http://10.0.0.1:8000"
	// OnSnapshot is called with each snapshot that comes into force, one call
	// at a time and in rising order of versions. It must not call Merge. It
	// may be nil.
	OnSnapshot func(*snapshot.Snapshot)
	Log        *slog.Logger  // slog.Default when nil
	Wait       time.Duration // longest wait of one call, 55 s when zero
	HTTP       *http.Client  // for tests; a client without proxy when nil
	// Fetch asks a peer for values, as rpc.Client.SnapshotSince does. It is
	// used when nothing is in force and the platform does not answer or its
	// publication fails a check: other instances may have an earlier one in
	// force. It may be nil.
	Fetch  func(ctx context.Context, addr string, after snapshot.Version) (published.Values, error)
	Domain string // own failure domain, for the addresses of peers
	// Peers are rpc addresses to ask beside those of the list, for a start
	// while the platform is down and there is no list.
	Peers []string
	// Sleep waits between calls; for tests. It returns early when ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
}

// Stats counts what a Client did.
type Stats struct {
	Calls    uint64 // requests sent to the platform, repeated ones included
	Failures uint64 // calls without a usable answer
	Applied  uint64 // snapshots taken into force
	Older    uint64 // answers with a revision older than that in force
	Refused  uint64 // publications that failed a check
}

// Client keeps the values and the snapshot in force. Its methods may be
// called concurrently.
type Client struct {
	cfg Config

	calls, failures, applied, older, refused atomic.Uint64

	mu sync.Mutex // held while a change is built, so that changes come one by one
	// seen is the newest set of values. It is ahead of values while the
	// newest publication fails a check.
	seen     published.Values
	cache    published.Cache
	current  atomic.Pointer[state]
	olderLog bool // an older revision was logged and none newer came since
}

type state struct {
	values   published.Values
	snapshot *snapshot.Snapshot
}

// New returns a client without values. Run fills it.
func New(cfg Config) *Client {
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConns: 2, IdleConnTimeout: 2 * defaultWait}}
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleep
	}
	c := &Client{cfg: cfg}
	c.current.Store(&state{})
	return c
}

// Values returns the published values of the snapshot in force.
func (c *Client) Values() published.Values { return c.current.Load().values }

// Snapshot returns the snapshot in force, or nil before the first one.
func (c *Client) Snapshot() *snapshot.Snapshot { return c.current.Load().snapshot }

// Stats returns the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Calls: c.calls.Load(), Failures: c.failures.Load(), Applied: c.applied.Load(),
		Older: c.older.Load(), Refused: c.refused.Load(),
	}
}

// Merge takes values that a peer sent. Values that are older than those in
// force, or that fail a check, are refused and change nothing.
func (c *Client) Merge(v published.Values) error {
	err := c.apply(v)
	return trace.Wrap(err, "merging values of a peer")
}

// apply merges a change and takes the snapshot that it gives into force.
func (c *Client) apply(change published.Values) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.current.Load()
	// While the newest publication fails a check, a peer may have one that is
	// newer than that in force and passes.
	behind := change.Revision < c.seen.Revision && change.Revision > old.values.Revision
	base := c.seen
	if behind {
		base = old.values
	}
	merged, err := published.Merge(base, change)
	if err != nil {
		return err
	}
	if merged.Revision == base.Revision && base.Full {
		return nil
	}
	if !behind {
		c.seen, c.olderLog = merged, false
	}
	s, err := c.cache.Build(merged, old.snapshot)
	if err != nil {
		c.refused.Add(1)
		return err
	}
	c.current.Store(&state{values: merged, snapshot: s})
	c.applied.Add(1)
	c.cfg.Log.Info("snapshot in force", "version", uint64(s.Version), "previous", uint64(old.values.Revision),
		"services", len(s.Services), "hosts", len(s.Hosts), "instances", len(s.Instances))
	if c.cfg.OnSnapshot != nil {
		c.cfg.OnSnapshot(s)
	}
	return nil
}

// newest returns the newest revision seen, whether it passed the checks or not.
func (c *Client) newest() (snapshot.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen.Revision, c.seen.Full
}

// Run reads the platform until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		pause, ok := c.poll(ctx)
		if ok {
			backoff = minBackoff
		} else {
			pause, backoff = backoff, min(2*backoff, maxBackoff)
		}
		if pause > 0 && ctx.Err() == nil {
			c.cfg.Sleep(ctx, jitter(pause))
		}
	}
	return nil
}

// poll makes one call. It returns the pause before the next, and false when
// the call was of no use and the caller has to back off.
func (c *Client) poll(ctx context.Context) (time.Duration, bool) {
	after, started := c.newest()
	begin := time.Now()
	change, err := c.fetch(ctx, after, started)
	switch {
	case ctx.Err() != nil:
		return 0, true
	case err != nil:
		c.failures.Add(1)
		c.cfg.Log.Warn("platform call failed", "url", c.cfg.URL, "after", uint64(after), "err", err)
		c.askPeers(ctx)
		return 0, false
	case started && change.Revision == after:
		c.askPeers(ctx)
		return 0, time.Since(begin) >= min(quick, c.cfg.Wait/2)
	case started && change.Revision < after:
		c.noteOlder(change.Revision)
		return 0, false
	}
	// ErrOlder means here that a peer's newer values came during the call.
	if err := c.apply(change); err != nil && !errors.Is(err, published.ErrOlder) {
		c.cfg.Log.Error("publication refused", "revision", uint64(change.Revision),
			"in_force", uint64(c.Values().Revision), "err", err)
		c.askPeers(ctx)
		return changePause, !errors.Is(err, published.ErrGap)
	}
	return changePause, true
}

// noteOlder counts an older answer and logs the first of a row.
func (c *Client) noteOlder(revision snapshot.Version) {
	c.older.Add(1)
	c.mu.Lock()
	logged := c.olderLog
	c.olderLog = true
	c.mu.Unlock()
	if !logged {
		c.cfg.Log.Warn("platform serves an older revision, keeping the newer", "url", c.cfg.URL,
			"revision", uint64(revision), "in_force", uint64(c.Values().Revision))
	}
}

// jitter spreads a pause over half to all of its length.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
