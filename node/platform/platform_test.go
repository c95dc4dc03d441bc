package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"egrettack.example/core/snapshot"
	"egrettack.example/node/platform"
	"egrettack.example/settings/published"
)

const root = `{"level": "root", "domains": {"north": {"number": 1, "region": "west"}}}`

// quiet drops what clients log.
var quiet = slog.New(slog.DiscardHandler)

// script answers each call with the next step. It ends the client's run when
// no step is left.
type script struct {
	t     *testing.T
	steps []http.HandlerFunc
	mu    sync.Mutex
	calls []string // queries
	stop  context.CancelFunc
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := len(s.calls)
	s.calls = append(s.calls, r.URL.Query().Get("after"))
	s.mu.Unlock()
	if n >= len(s.steps) {
		s.stop()
		<-r.Context().Done()
		return
	}
	s.steps[n](w, r)
}

func answer(v published.Values) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(v) }
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func text(s string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(s)) }
}

func tree(rev snapshot.Version, changed ...string) published.Values {
	v := published.Values{Revision: rev, Values: map[string]string{"settings/root": root}}
	for i := 0; i+1 < len(changed); i += 2 {
		v.Values[changed[i]] = changed[i+1]
	}
	return v
}

type result struct {
	client   *platform.Client
	stats    platform.Stats
	versions []snapshot.Version
	calls    []string
	pauses   []time.Duration
	log      string
}

// run drives a client through the steps without waiting between calls.
func run(t *testing.T, steps ...http.HandlerFunc) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s := &script{t: t, steps: steps, stop: cancel}
	server := httptest.NewServer(s)
	defer server.Close()
	var out result
	var log bytes.Buffer
	out.client = platform.New(platform.Config{
		URL: server.URL, HTTP: server.Client(), Log: slog.New(slog.NewTextHandler(&log, nil)),
		OnSnapshot: func(s *snapshot.Snapshot) { out.versions = append(out.versions, s.Version) },
		Sleep:      func(_ context.Context, d time.Duration) { out.pauses = append(out.pauses, d) },
	})
	if err := out.client.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.Fatal("the client did not make all calls in time")
	}
	out.stats, out.calls, out.log = out.client.Stats(), s.calls, log.String()
	return out
}

func check[T any](t *testing.T, what string, got, want T) {
	t.Helper()
	g, _ := json.Marshal(got)
	w, _ := json.Marshal(want)
	if !bytes.Equal(g, w) {
		t.Errorf("%s is %s, want %s", what, g, w)
	}
}

// Guards against a change that is not applied, or that costs more than one
// call and one pause.
func TestChanges(t *testing.T) {
	r := run(t, answer(tree(3)), answer(tree(4)), answer(tree(9)))
	check(t, "versions", r.versions, []snapshot.Version{3, 4, 9})
	check(t, "calls", r.calls, []string{"0", "3", "4", "9"})
	check(t, "stats", r.stats, platform.Stats{Calls: 4, Applied: 3})
	check(t, "pauses", len(r.pauses), 3)
}

// Guards against a client that gives up, or calls without growing pauses,
// while the platform is down or answers nonsense.
func TestPlatformDown(t *testing.T) {
	r := run(t, answer(tree(3)), status(500), status(503), text("not JSON"), text(""), status(502), status(500), status(500), answer(tree(4)))
	check(t, "versions", r.versions, []snapshot.Version{3, 4})
	check(t, "stats", r.stats, platform.Stats{Calls: 10, Applied: 2, Failures: 7})
	// Pauses of failed calls: 250 ms doubled up to 5 s, halved at most by jitter.
	want := 250 * time.Millisecond
	for i, p := range r.pauses[1:8] {
		if p < want/2 || p > want {
			t.Errorf("pause %d is %s, want %s to %s", i, p, want/2, want)
		}
		want = min(2*want, 5*time.Second)
	}
	check(t, "versions in force", r.client.Values().Revision, snapshot.Version(4))
}

// Guards against going back to an older version, and against one log line for
// each of many older answers.
func TestOlderAfterNewer(t *testing.T) {
	r := run(t, answer(tree(7)), answer(tree(5)), answer(tree(6)), answer(tree(8)), answer(tree(2)))
	check(t, "versions", r.versions, []snapshot.Version{7, 8})
	check(t, "calls", r.calls, []string{"0", "7", "7", "7", "8", "8"})
	check(t, "stats", r.stats, platform.Stats{Calls: 6, Applied: 2, Older: 3})
	check(t, "log lines", strings.Count(r.log, "older revision"), 2) // one for each row of them
}

// Guards against a bad publication that takes force, blocks later ones, or is
// fetched again and again.
func TestBadPublication(t *testing.T) {
	bad := published.Values{Revision: 4, Values: map[string]string{"settings/west": `{"level": "district", "wrk": {}}`}}
	fixed := published.Values{Revision: 5, Values: map[string]string{"settings/west": `{"level": "district"}`}}
	r := run(t, answer(tree(3)), answer(bad), answer(fixed))
	check(t, "versions", r.versions, []snapshot.Version{3, 5})
	check(t, "calls", r.calls, []string{"0", "3", "4", "5"})
	check(t, "stats", r.stats, platform.Stats{Calls: 4, Applied: 2, Refused: 1})
	if !strings.Contains(r.log, "settings/west:1: wrk: unknown field") {
		t.Errorf("the log does not tell the error: %s", r.log)
	}
	check(t, "difference for a peer", r.client.Values().Since(3).Values,
		map[string]string{"settings/west": `{"level": "district"}`})
}

// Guards against Values handing a refused publication to peers.
func TestBadPublicationIsNotServed(t *testing.T) {
	bad := published.Values{Revision: 4, Values: map[string]string{"settings/west": `{`}}
	r := run(t, answer(tree(3)), answer(bad))
	check(t, "revision served", r.client.Values().Revision, snapshot.Version(3))
	check(t, "difference", r.client.Values().Since(0).Values, map[string]string{"settings/root": root})
}

// Guards against calls in a tight loop when a platform answers at once though
// nothing changed.
func TestNoWait(t *testing.T) {
	r := run(t, answer(tree(3)), answer(published.Values{Revision: 3}), answer(published.Values{Revision: 3}))
	check(t, "stats", r.stats, platform.Stats{Calls: 4, Applied: 1})
	check(t, "pauses", len(r.pauses), 3)
}

// Guards against a slow answer that is cut off before its wait is over, and
// against one that holds up the values of a peer.
func TestSlowAnswer(t *testing.T) {
	var c *platform.Client
	merged := make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s := &script{t: t, stop: cancel, steps: []http.HandlerFunc{
		answer(tree(3)),
		func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			peer := tree(6)
			peer.After = 3
			if err := c.Merge(peer); err != nil {
				t.Error(err)
			}
			close(merged)
			answer(tree(5))(w, r) // late: it was true before the peer's values
		},
	}}
	server := httptest.NewServer(s)
	defer server.Close()
	var versions []snapshot.Version
	c = platform.New(platform.Config{
		URL: server.URL, Sleep: func(context.Context, time.Duration) {},
		OnSnapshot: func(s *snapshot.Snapshot) { versions = append(versions, s.Version) },
	})
	if err := c.Run(ctx); err != nil {
		t.Fatal(err)
	}
	<-merged
	check(t, "versions", versions, []snapshot.Version{3, 6})
	check(t, "stats", c.Stats(), platform.Stats{Calls: 3, Applied: 2})
}

// Guards against a peer's older or faulty values taking force.
func TestMerge(t *testing.T) {
	c := platform.New(platform.Config{})
	fullAt := func(rev snapshot.Version, text string) published.Values {
		return published.Values{Revision: rev, Full: true, Values: map[string]string{"settings/root": text}}
	}
	if err := c.Merge(tree(2)); !errors.Is(err, published.ErrGap) {
		t.Errorf("a difference without values in force gives %v", err)
	}
	if err := c.Merge(fullAt(5, root)); err != nil {
		t.Fatal(err)
	}
	if err := c.Merge(fullAt(4, root)); !errors.Is(err, published.ErrOlder) {
		t.Errorf("older values give %v", err)
	}
	if err := c.Merge(fullAt(6, "{")); err == nil {
		t.Error("faulty values give no error")
	}
	check(t, "version", c.Snapshot().Version, snapshot.Version(5))
	check(t, "stats", c.Stats(), platform.Stats{Applied: 1, Refused: 1})
}
