package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// ask returns what the store answers to a call: the status, the era, and the
// revision and keys if there are any.
func ask(t *testing.T, s *Store, call string) string {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/egrettack/"+call, nil))
	text := fmt.Sprint(w.Code, " era ", w.Header().Get("Store-Era"))
	if w.Code != http.StatusOK {
		return text
	}
	var a struct {
		Items    []item `json:"items"`
		Events   []item `json:"events"`
		Revision uint64 `json:"store_revision"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		t.Fatal(err)
	}
	text += fmt.Sprint(" revision ", a.Revision)
	for _, it := range append(a.Items, a.Events...) {
		text += " " + it.Key
	}
	return text
}

func expect[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Guards against a stand-in that keeps what it acknowledged after the copy, or
// that does not say that it lost it.
func TestStoreReturnsFromOlderCopy(t *testing.T) {
	s := NewStore(50)
	defer s.Close()
	kept := s.PutRaw("a", nil)
	time.Sleep(20 * time.Millisecond)
	copied := time.Now()
	time.Sleep(200 * time.Millisecond)
	lost := s.PutRaw("b", nil)
	s.Delete("a")
	expect(t, "before", ask(t, s, "kv-range"), "200 era 1 revision 4 b")
	s.Restore(time.Since(copied))
	expect(t, "after", ask(t, s, "kv-range"), "200 era 2 revision 2 a")
	expect(t, "watch from a revision that is lost", ask(t, s, "kv-watch?after=3"), "410 era 2")
	expect(t, "a write before the copy is lost", s.lost(kept), false)
	expect(t, "a write after the copy is lost", s.lost(lost), true)
	again := s.PutRaw("c", nil)
	expect(t, "a write after the restore is lost", s.lost(again), false)
	expect(t, "watch", ask(t, s, "kv-watch?after=1"), "200 era 2 revision 3 a c")
	s.Restore(time.Since(again))
	expect(t, "a copy from between", ask(t, s, "kv-range"), "200 era 3 revision 3 a c")
	expect(t, "unknown call", ask(t, s, "kv-other"), "404 era 3")
	defer s.Begin(Fault{Status: 503})()
	expect(t, "refused call", ask(t, s, "kv-range"), "503 era 3")
}

// Guards against heartbeats that change the store without need, and against
// entries that outlive their servers or do not come back.
func TestHeartbeats(t *testing.T) {
	t.Parallel()
	s := NewStore(50)
	defer s.Close()
	beat := func(entry string) string {
		written, ok := s.Heartbeat("servers/x", []byte(entry))
		return map[bool]string{false: "away", true: map[bool]string{false: "written", true: "known"}[written.IsZero()]}[ok]
	}
	listed := func() bool { return s.value("servers/x") != nil }
	expect(t, "first", beat(`{"state":"ready","sequence":1}`), "written")
	expect(t, "another sequence", beat(`{"state":"ready","sequence":2}`), "known")
	expect(t, "another state", beat(`{"state":"draining","sequence":3}`), "written")
	expect(t, "revisions", ask(t, s, "kv-range"), "200 era 1 revision 3 servers/x")

	end := s.Begin(Fault{Away: true})
	expect(t, "without the store", beat(`{"state":"draining","sequence":4}`), "away")
	time.Sleep(lapseAfter / 2)
	expect(t, "listed before the entry lapses", listed(), true)
	time.Sleep(lapseAfter/2 + 500*time.Millisecond)
	expect(t, "listed after three heartbeats without one", listed(), false)
	end()
	expect(t, "after the outage", beat(`{"state":"draining","sequence":5}`), "written")

	s.Delete("servers/x")
	s.Restore(100 * time.Millisecond)
	expect(t, "listed in a copy without the server", listed(), false)
	expect(t, "after the restore", beat(`{"state":"draining","sequence":6}`), "written")
	s.Restore(0)
	time.Sleep(lapseAfter + 200*time.Millisecond)
	expect(t, "listed in a copy, without heartbeats", listed(), false)
}
