package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"egrettack.example/core/snapshot"
	"egrettack.example/node/platform"
	"egrettack.example/settings/published"
)

// watched is a platform with waiting calls, which counts them.
type watched struct {
	mu       sync.Mutex
	revision snapshot.Version
	changed  chan struct{} // closed by the next publication
	calls    int
	waiting  int
	wake     *sync.Cond // signalled when waiting changes
}

func newWatched() *watched {
	w := &watched{revision: 1, changed: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	return w
}

func (w *watched) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.waiting = 0
	close(w.changed)
	w.changed = make(chan struct{})
}

// allWaiting blocks until n calls wait for the next publication.
func (w *watched) allWaiting(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.waiting < n {
		w.wake.Wait()
	}
}

func (w *watched) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	w.mu.Lock()
	w.calls++
	if snapshot.Version(after) == w.revision {
		changed := w.changed
		w.waiting++
		w.wake.Broadcast()
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Second):
		}
		w.mu.Lock()
	}
	v := published.Values{Revision: w.revision, Values: map[string]string{}}
	w.mu.Unlock()
	if after < uint64(v.Revision) {
		v.Values["settings/root"] = root
		v.Values["settings/west"] = fmt.Sprintf(`{"level": "district"} // %d`, v.Revision)
	}
	json.NewEncoder(out).Encode(v)
}

// start runs n clients against w until the test ends.
func (w *watched) start(t testing.TB, n int, cfg platform.Config) []*platform.Client {
	server := httptest.NewServer(w)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	clients := make([]*platform.Client, n)
	cfg.URL = server.URL
	for i := range clients {
		clients[i] = platform.New(cfg)
		wg.Go(func() { clients[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		server.Close()
	})
	return clients
}

// Guards against more than one call per instance and change: at 420 instances
// every further call a change is 420 calls of the 2,000 allowed a second.
func TestCallsPerChange(t *testing.T) {
	const clients, changes = 420, 3
	w := newWatched()
	all := w.start(t, clients, platform.Config{Log: quiet, Sleep: func(context.Context, time.Duration) {}})
	for range changes {
		w.allWaiting(clients)
		w.publish()
	}
	w.allWaiting(clients)
	// One call to begin with, one that each change ended, none more; the last
	// ones are waiting.
	if want := clients * (1 + changes + 1); w.calls != want {
		t.Errorf("%d calls, want %d", w.calls, want)
	}
	for i, c := range all {
		if s := c.Stats(); c.Snapshot().Version != 1+changes || s.Applied != 1+changes || s.Failures != 0 {
			t.Fatalf("client %d has version %d, %+v", i, c.Snapshot().Version, s)
		}
	}
}

// BenchmarkCalls measures the calls of 84 clients that wait 2 s at most,
// first without changes and then with one change a second. A fifth of the 420
// instances that wait 55 s make 1/137.5 of the waiting calls and 1/5 of the
// calls for changes.
func BenchmarkCalls(b *testing.B) {
	const (
		clients = 84
		wait    = 2 * time.Second
		period  = 6 * time.Second
	)
	for _, c := range []struct {
		name    string
		changes int // in the period
	}{{"idle", 0}, {"change-a-second", 6}} {
		b.Run(c.name, func(b *testing.B) {
			w := newWatched()
			w.start(b, clients, platform.Config{Log: quiet, Wait: wait})
			w.allWaiting(clients)
			for b.Loop() {
				before := w.count()
				for range max(c.changes, 1) {
					if c.changes > 0 {
						w.publish()
					}
					time.Sleep(period / time.Duration(max(c.changes, 1)))
				}
				b.ReportMetric(float64(w.count()-before)/period.Seconds(), "calls/s")
			}
		})
	}
}

func (w *watched) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}
