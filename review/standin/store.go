package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	listener net.Listener
	changed  chan struct{} // closed and replaced at each change
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, items: make(map[string]item), listener: l, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /egrettack/kv-range", s.serveRange)
	mux.HandleFunc("GET /egrettack/kv-watch", s.serveWatch)
	mux.HandleFunc("GET /egrettack/kv-key", s.serveKey)
	go http.Serve(l, mux) //nolint: ends with the process
	return s, nil
}

func (s *store) addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// put writes an item and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, s.revision})
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	reply(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if over || len(events) > 0 {
			reply(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-limit:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
