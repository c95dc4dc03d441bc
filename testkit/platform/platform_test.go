package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A reader that misses a change or a deletion between two watches would keep a
// wrong configuration.
func TestWatchReturnsDifference(t *testing.T) {
	s := NewStore()
	mustPublish(t, s, Change{Set: map[string]string{"a": "1", "b": "1"}})
	mustPublish(t, s, Change{Set: map[string]string{"b": "2", "c": "1"}, Delete: []string{"a"}})
	full := s.Watch(context.Background(), 0, 0)
	if !full.Full || full.Revision != 2 || len(full.Values) != 2 {
		t.Errorf("full: %+v", full)
	}
	diff := s.Watch(context.Background(), 1, time.Minute)
	if diff.Full || len(diff.Values) != 2 || len(diff.Deleted) != 1 || diff.Deleted[0] != "a" {
		t.Errorf("difference: %+v", diff)
	}
}

// A stale platform must not wake a reader that is ahead of it, which would
// otherwise call in a loop.
func TestWatchOfStalePlatformWaits(t *testing.T) {
	s := NewStore()
	mustPublish(t, s, Change{Set: map[string]string{"a": "1"}})
	mustPublish(t, s, Change{Set: map[string]string{"a": "2"}})
	if err := s.Show(1); err != nil {
		t.Fatal(err)
	}
	got := make(chan Tree)
	go func() { got <- s.Watch(context.Background(), 2, time.Minute) }()
	mustPublish(t, s, Change{Set: map[string]string{"a": "3"}})
	if tree := <-got; tree.Revision != 3 || tree.Values["a"] != "3" {
		t.Errorf("after the next publication: %+v", tree)
	}
}

// A platform that is down must answer no reader but take publications.
func TestDown(t *testing.T) {
	store := NewStore()
	mustPublish(t, store, Change{Set: map[string]string{"a": "1"}})
	s := NewServer(store)
	if err := s.fail(nil, Fault{Down: true}); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]int{
		"/v1/tree": http.StatusServiceUnavailable, "/v1/value?key=a": http.StatusServiceUnavailable,
		"/test/v1/value?key=a": http.StatusOK, "/test/v1/stats": http.StatusOK,
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", path, w.Code, want)
		}
		if path == "/test/v1/stats" && !json.Valid(w.Body.Bytes()) {
			t.Errorf("%s: %q", path, w.Body)
		}
	}
}

func mustPublish(t *testing.T, s *Store, c Change) {
	t.Helper()
	if _, err := s.Publish(c); err != nil {
		t.Fatal(err)
	}
}
