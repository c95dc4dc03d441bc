package platform

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/control"
)

const (
	// maxCalls is the number of calls a second that the platform allows over
	// all readers.
	maxCalls = 2000
	// maxWait bounds a watch.
	maxWait = 60 * time.Second
)

// Fault is what a test makes the platform do. A zero Fault heals it.
type Fault struct {
	Down     bool   `json:"down"`
	Revision uint64 `json:"revision"` // serve this older revision, 0 for the newest
	// Rewind answers readers that are ahead of Revision at once.
	Rewind  bool `json:"rewind"`
	DelayMS int  `json:"delay_ms"`
}

// Calls counts the calls of readers.
type Calls struct {
	Total     uint64 `json:"total"`
	PerSecond uint64 `json:"per_second"` // in the last full second
	Peak      uint64 `json:"peak"`       // most in one second
	Refused   uint64 `json:"refused"`
}

// Server serves a Store.
type Server struct {
	store *Store
	mux   *http.ServeMux

	mu      sync.Mutex
	fault   Fault
	calls   Calls
	second  int64
	current uint64
}

// NewServer returns the HTTP handler of a store.
func NewServer(store *Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux()}
	s.readers(s.mux, strings.NewReplacer())
	s.mux.Handle("PUT /test/v1/values", control.Accept(s.publish))
	s.mux.Handle("PUT /test/v1/fail", control.Accept(s.fail))
	s.mux.Handle("GET /test/v1/stats", control.Report(func() any { return s.stats() }))
	// Not counted, so that publishing works while the platform is down.
	s.mux.HandleFunc("GET /test/v1/value", func(w http.ResponseWriter, r *http.Request) {
		s.value(w, r, strings.NewReplacer())
	})
	return s
}

// View returns a handler for the readers of one failure domain. rewrite puts
// the addresses of links in place of the health URLs of other domains, since
// the records have no such addresses and a cut must stop probes too.
func (s *Server) View(rewrite *strings.Replacer) http.Handler {
	mux := http.NewServeMux()
	s.readers(mux, rewrite)
	return mux
}

func (s *Server) readers(mux *http.ServeMux, rewrite *strings.Replacer) {
	mux.HandleFunc("GET /v1/tree", func(w http.ResponseWriter, r *http.Request) { s.tree(w, r, rewrite) })
	mux.HandleFunc("GET /v1/value", func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w) {
			s.value(w, r, rewrite)
		}
	})
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// admit counts a call. It returns false when the platform is down or the
// readers call too often.
func (s *Server) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	now := time.Now().Unix()
	if now != s.second {
		s.calls.PerSecond = 0
		if now == s.second+1 {
			s.calls.PerSecond = s.current
		}
		s.second, s.current = now, 0
	}
	s.calls.Total++
	s.current++
	s.calls.Peak = max(s.calls.Peak, s.current)
	fault, busy := s.fault, s.current > maxCalls
	if busy {
		s.calls.Refused++
	}
	s.mu.Unlock()
	if busy {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return !fault.Down
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Down
}

func (s *Server) tree(w http.ResponseWriter, r *http.Request, rewrite *strings.Replacer) {
	if !s.admit(w) {
		return
	}
	q := r.URL.Query()
	after, err := parse(q.Get("after"))
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	seconds, err := parse(q.Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(seconds)*time.Second, maxWait)
	t := s.store.Watch(r.Context(), after, wait)
	if s.down() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	for k, v := range t.Values {
		t.Values[k] = rewrite.Replace(v)
	}
	control.Answer(w, t)
}

func parse(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 63)
}

func (s *Server) value(w http.ResponseWriter, r *http.Request, rewrite *strings.Replacer) {
	v, revision, ok := s.store.Value(r.URL.Query().Get("key"))
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	control.Answer(w, map[string]any{"value": rewrite.Replace(v), "revision": revision})
}

func (s *Server) publish(_ *http.Request, c Change) error {
	revision, err := s.store.Publish(c)
	if err != nil {
		return err
	}
	slog.Info("published", "revision", revision, "set", len(c.Set), "deleted", len(c.Delete))
	return nil
}

func (s *Server) fail(_ *http.Request, f Fault) error {
	if f.DelayMS < 0 {
		return trace.BadParameter("delay_ms is negative")
	}
	s.store.Rewind(f.Rewind)
	if err := s.store.Show(f.Revision); err != nil {
		return err
	}
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	slog.Info("fault", "down", f.Down, "revision", f.Revision, "delay_ms", f.DelayMS)
	return nil
}

func (s *Server) stats() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
