package edge

import (
	"bytes"
	"encoding/json"
	"maps"
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
	Away   bool          // servers and the operator do not reach the store, and entries lapse
}

// expireInterval is the time between two looks for entries that lapsed.
const expireInterval = 20 * time.Millisecond

// Store is the settings store: items with revisions, ranges in pages, and
// watches over a history that can be dropped. It can return from an older copy
// of its state.
type Store struct {
	mu       sync.Mutex
	state    state
	era      uint64               // rises with each restore
	copies   []backup             // after each change, the oldest first
	restores []restore            // the earliest first
	beats    map[string]time.Time // last heartbeat of the entries that lapse
	faults   map[netip.Addr]Fault
	fault    Fault    // of all callers that have none of their own
	passing  []*Fault // of all callers; the latest is in force
	page     int
	calls    map[string]int
	done     chan struct{}
}

// state is what the store loses when it returns from a copy.
type state struct {
	revision uint64
	items    map[string]item
	history  []item // removals included
	kept     uint64 // changes up to here are no longer in the history
}

// backup is a copy of the state.
type backup struct {
	at time.Time
	state
}

// restore is a return to the state at an earlier time.
type restore struct{ to, at time.Time }

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
	s := &Store{
		state: state{revision: 1, items: make(map[string]item)}, era: 1, beats: make(map[string]time.Time),
		faults: make(map[netip.Addr]Fault), page: page, calls: make(map[string]int), done: make(chan struct{}),
	}
	s.keepCopy(time.Now())
	go s.expire()
	return s
}

// PutRaw writes an item and returns the time from which on it counts as accepted.
func (s *Store) PutRaw(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value)
}

func (s *Store) put(key string, value []byte) time.Time {
	st, now := &s.state, time.Now()
	st.revision++
	it := item{Key: key, Value: value, Revision: st.revision, Created: st.revision}
	st.items[key] = it
	st.history = append(st.history, it)
	s.keepCopy(now)
	return now
}

// Heartbeat keeps the entry of a server from lapsing, and writes it if the store
// has none or one that differs in more than its sequence. It returns the time of
// the write, zero if there was none, and reports false if the store is away.
func (s *Store) Heartbeat(key string, value []byte) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away() {
		return time.Time{}, false
	}
	s.beats[key] = time.Now()
	if it, ok := s.state.items[key]; ok && bytes.Equal(withoutSequence(it.Value), withoutSequence(value)) {
		return time.Time{}, true
	}
	return s.put(key, value), true
}

// Touch keeps the entry of a server from lapsing for lapseAfter.
func (s *Store) Touch(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away() {
		s.beats[key] = time.Now()
	}
}

// withoutSequence returns an entry without its sequence.
func withoutSequence(value []byte) []byte {
	var entry map[string]json.RawMessage
	if err := json.Unmarshal(value, &entry); err != nil {
		return value // another writer's
	}
	delete(entry, "sequence")
	b, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return b
}

// Delete removes an item for a server, unless the store is away.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away() {
		s.remove(key)
	}
}

func (s *Store) remove(key string) {
	st := &s.state
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	delete(st.items, key)
	st.history = append(st.history, item{Key: key, Revision: st.revision, Deleted: true})
	s.keepCopy(time.Now())
}

// expire removes the entries that had no heartbeat for lapseAfter, until the
// store is closed.
func (s *Store) expire() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-t.C:
			s.mu.Lock()
			for key, last := range s.beats {
				if now.Sub(last) >= lapseAfter {
					s.remove(key)
				}
			}
			s.mu.Unlock()
		}
	}
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.history, s.state.kept = nil, s.state.revision
	s.keepCopy(time.Now())
}

func (s *Store) keepCopy(now time.Time) { s.copies = append(s.copies, backup{now, s.state.clone()}) }

// clone returns a copy that later changes of st leave as it is.
func (st *state) clone() state {
	c := *st
	c.items, c.history = maps.Clone(st.items), slices.Clip(st.history)
	return c
}

// Restore sets the store back to its state of a while ago. Entries of servers then
// lapse as if all had just sent a heartbeat.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	from := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(now.Add(-age)) {
			from = c
		}
	}
	s.state = from.clone()
	s.era++
	s.restores = append(s.restores, restore{now.Add(-age), now})
	s.keepCopy(now)
	for key := range s.beats {
		s.beats[key] = now
	}
}

// lost reports whether a restore took back what was accepted at a time.
func (s *Store) lost(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.restores, func(r restore) bool { return at.After(r.to) && !at.After(r.at) })
}

// value returns the value of an item.
func (s *Store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Value
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

// Begin sets how all calls are treated until the returned function is called. Of
// several such faults the latest is in force, of those with Away if there are any.
func (s *Store) Begin(f Fault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passing = append(s.passing, &f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.passing = slices.DeleteFunc(s.passing, func(g *Fault) bool { return g == &f })
	}
}

// away reports whether servers and the operator do not reach the store.
func (s *Store) away() bool {
	return slices.ContainsFunc(s.passing, func(f *Fault) bool { return f.Away })
}

// WaitReachable waits until the operator reaches the store, or it is closed.
func (s *Store) WaitReachable() {
	for {
		s.mu.Lock()
		away := s.away()
		s.mu.Unlock()
		if !away {
			return
		}
		select {
		case <-s.done:
			return
		case <-time.After(expireInterval):
		}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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
	in := s.fault
	for _, f := range s.passing {
		if f.Away || !in.Away {
			in = *f
		}
	}
	return in
}

func (s *Store) answerRange(w http.ResponseWriter, prefix, after string) {
	st := &s.state
	var keys []string
	for k := range st.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > s.page
	keys = keys[:min(len(keys), s.page)]
	items := make([]item, 0, len(keys))
	for _, k := range keys {
		items = append(items, st.items[k])
	}
	reply(w, map[string]any{"items": items, "has_more": more, "store_revision": st.revision})
}

func (s *Store) answerWatch(w http.ResponseWriter, prefix string, after uint64, mute bool) {
	st := &s.state
	if after < st.kept || after > st.revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	if mute {
		reply(w, map[string]any{"events": []item{}, "store_revision": after})
		return
	}
	events := []item{}
	for _, it := range st.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	reply(w, map[string]any{"events": events, "store_revision": st.revision})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
