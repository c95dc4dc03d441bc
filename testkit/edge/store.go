package edge

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how the store treats calls.
type Fault struct {
	Status int           // answered in place of the call, 0 for none
	Silent bool          // not answered at all
	Delay  time.Duration // before the answer
	Mute   bool          // watches tell nothing
}

// Store is the settings store: items with revisions, ranges in pages, and
// watches over a history that can be dropped.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item // removals included
	kept     uint64 // changes up to here are no longer in the history
	faults   map[netip.Addr]Fault
	fault    Fault // of all callers that have none of their own
	page     int
	calls    map[string]int
	done     chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// NewStore returns an empty store whose ranges have pages of so many items.
func NewStore(page int) *Store {
	return &Store{
		revision: 1, items: make(map[string]item), faults: make(map[netip.Addr]Fault),
		page: page, calls: make(map[string]int), done: make(chan struct{}),
	}
}

// Put writes an item as JSON.
func (s *Store) Put(key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.PutRaw(key, b)
	return nil
}

// PutRaw writes an item.
func (s *Store) PutRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	s.items[key] = it
	s.history = append(s.history, it)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.kept = nil, s.revision
}

// SetFault sets how calls are treated, those of one address or, with the zero
// Addr, all others.
func (s *Store) SetFault(from netip.Addr, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.IsValid() {
		s.faults[from] = f
	} else {
		s.fault = f
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.calls {
		n += k
	}
	return n
}

// Close ends calls that wait.
func (s *Store) Close() { close(s.done) }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.faultFor(r)
	if f.Silent {
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		return
	}
	time.Sleep(f.Delay)
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	q := r.URL.Query()
	switch strings.TrimPrefix(r.URL.Path, "/egrettack/") {
	case "kv-range":
		s.answerRange(w, q.Get("prefix"), q.Get("after"))
	case "kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // 0 is before all history
		s.answerWatch(w, q.Get("prefix"), after, f.Mute)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) faultFor(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	addr, _ := netip.ParseAddr(host)
	if f, ok := s.faults[addr]; ok && f != (Fault{}) {
		return f
	}
	return s.fault
}

func (s *Store) answerRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > s.page
	keys = keys[:min(len(keys), s.page)]
	items := make([]item, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	reply(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) answerWatch(w http.ResponseWriter, prefix string, after uint64, mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.kept {
		w.WriteHeader(http.StatusGone)
		return
	}
	if mute {
		reply(w, map[string]any{"events": []item{}, "store_revision": after})
		return
	}
	events := []item{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	reply(w, map[string]any{"events": events, "store_revision": s.revision})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
