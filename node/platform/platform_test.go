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
	"testing/synctest"
	"time"

	"egrettack.example/core/snapshot"
	"egrettack.example/node/platform"
	"egrettack.example/settings/published"
)

const root = `{"level": "root", "domains": {"north": {"number": 1, "region": "west"}, "south": {"number": 2, "region": "west"}}}`

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

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

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
	r := run(t, answer(tree(3)), status(500), status(503), text("not JSON"), text(""), abort, status(500), status(500), answer(tree(4)))
	check(t, "versions", r.versions, []snapshot.Version{3, 4})
	check(t, "stats", r.stats, platform.Stats{Calls: 10, Applied: 2, Failures: 6})
	// The call that was cut off was repeated at once on a new connection.
	// Pauses of failed calls: 250 ms doubled up to 5 s, halved at most by jitter.
	want := 250 * time.Millisecond
	for i, p := range r.pauses[1:7] {
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

// Guards against a bad publication that takes force, is served to peers,
// blocks later ones, or is fetched again and again.
func TestBadPublication(t *testing.T) {
	bad := published.Values{Revision: 4, Values: map[string]string{"settings/west": `{"level": "district", "wrk": {}}`}}
	fixed := published.Values{Revision: 5, Values: map[string]string{"settings/west": `{"level": "district"}`}}
	r := run(t, answer(tree(3)), answer(bad), answer(fixed))
	check(t, "versions", r.versions, []snapshot.Version{3, 5})
	check(t, "calls", r.calls, []string{"0", "3", "4", "5"})
	check(t, "stats", r.stats, platform.Stats{Calls: 4, Applied: 2, Refused: 1})
	served := run(t, answer(tree(3)), answer(bad)).client.Values()
	check(t, "revision served", served.Revision, snapshot.Version(3))
	check(t, "values served", served.Since(0).Values, map[string]string{"settings/root": root})
	if !strings.Contains(r.log, "settings/west:1: wrk: unknown field") {
		t.Errorf("the log does not tell the error: %s", r.log)
	}
	check(t, "difference for a peer", r.client.Values().Since(3).Values,
		map[string]string{"settings/west": `{"level": "district"}`})
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
		URL: server.URL, Log: quiet, Sleep: func(context.Context, time.Duration) {},
		OnSnapshot: func(s *snapshot.Snapshot) { versions = append(versions, s.Version) },
	})
	if err := c.Run(ctx); err != nil {
		t.Fatal(err)
	}
	<-merged
	check(t, "versions", versions, []snapshot.Version{3, 6})
	check(t, "stats", c.Stats(), platform.Stats{Calls: 3, Applied: 2})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a client that waits for ever on a platform that takes calls
// and never answers.
func TestStalledPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var took []time.Duration
		stalled := roundTripper(func(r *http.Request) (*http.Response, error) {
			begin := time.Now()
			<-r.Context().Done()
			if took = append(took, time.Since(begin)); len(took) == 3 {
				cancel()
			}
			return nil, r.Context().Err()
		})
		c := platform.New(platform.Config{URL: "http://platform", HTTP: &http.Client{Transport: stalled}, Log: quiet})
		if err := c.Merge(published.Values{Revision: 1, Full: true, Values: map[string]string{"settings/root": root}}); err != nil {
			t.Fatal(err)
		}
		c.Run(ctx)
		for _, d := range took {
			if d < 55*time.Second || d > 65*time.Second {
				t.Errorf("a call was given up after %s, want its wait of about 55 s and 10 s", d)
			}
		}
	})
}

// Guards against an instance that cannot start while a faulty publication
// stands, though its peers have an earlier one in force.
func TestStartDuringBadPublication(t *testing.T) {
	bad := tree(9, "settings/west", "{", "instances/south", "{", "instances/north", `{"instances": [{"id": 1, "name": "n1",
		"data": "127.0.0.1:1", "control": "127.0.0.1:2", "rpc": "127.0.0.1:3",
		"via": {"south": {"data": "127.0.0.1:4", "control": "127.0.0.1:5", "rpc": "127.0.0.1:6"}}}]}`)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	fixed := tree(10, "settings/west", `{"level": "district"}`, "instances/south", `{"instances": []}`)
	s := &script{t: t, stop: cancel, steps: []http.HandlerFunc{answer(bad), answer(bad), answer(fixed)}}
	server := httptest.NewServer(s)
	defer server.Close()
	var asked []string
	var versions []snapshot.Version
	c := platform.New(platform.Config{
		URL: server.URL, Log: quiet, Domain: "south", Sleep: func(context.Context, time.Duration) {},
		OnSnapshot: func(s *snapshot.Snapshot) { versions = append(versions, s.Version) },
		Fetch: func(_ context.Context, addr string, after snapshot.Version) (published.Values, error) {
			if asked = append(asked, addr); len(asked) == 1 {
				return published.Values{}, errors.New("not reachable")
			}
			v := tree(8)
			v.Full = true
			return v, nil
		},
	})
	c.Run(ctx)
	check(t, "peers asked", asked, []string{"127.0.0.1:6", "127.0.0.1:6"})
	check(t, "versions", versions, []snapshot.Version{8, 10})
	check(t, "calls", s.calls, []string{"0", "9", "9", "10"})
}

// Guards against an instance that cannot serve because it starts while the
// platform is down, although other instances have settings in force.
func TestStartWhilePlatformIsDown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var asked []string
	c := platform.New(platform.Config{
		URL: "http://127.0.0.1:1", Log: quiet, Domain: "south", Peers: []string{"127.0.0.1:9"},
		Sleep:      func(context.Context, time.Duration) {},
		OnSnapshot: func(*snapshot.Snapshot) { cancel() },
		Fetch: func(_ context.Context, addr string, _ snapshot.Version) (published.Values, error) {
			if asked = append(asked, addr); len(asked) < 3 {
				return published.Values{}, errors.New("not reachable")
			}
			v := tree(8)
			v.Full = true
			return v, nil
		},
	})
	c.Run(ctx)
	check(t, "peers asked", asked, []string{"127.0.0.1:9", "127.0.0.1:9", "127.0.0.1:9"})
	check(t, "version", c.Snapshot().Version, 8)
}

// Guards against a peer's older or faulty values taking force.
func TestMerge(t *testing.T) {
	c := platform.New(platform.Config{Log: quiet})
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
