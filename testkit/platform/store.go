// Package platform is the stand-in for the configuration service. It holds all
// revisions of the published values, serves them over HTTP and can be told to
// be down, slow or stale.
package platform

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// maxValue is the largest value that the platform holds, in bytes.
const maxValue = 1 << 20

// Tree is the answer to a watch.
type Tree struct {
	Revision uint64            `json:"revision"`
	Values   map[string]string `json:"values"`
	Deleted  []string          `json:"deleted"`
	Full     bool              `json:"full"` // Values holds all values
}

// Change is one publication.
type Change struct {
	Set    map[string]string `json:"set"`
	Delete []string          `json:"delete"`
}

// Store holds all revisions. Its methods may be called concurrently.
type Store struct {
	mu      sync.Mutex
	history []map[string]string // index is the revision
	shown   uint64              // revision served, less than the newest when stale
	rewind  bool                // answer readers that are ahead of shown
	changed chan struct{}       // closed when shown changes
}

// NewStore returns a store at revision 0 without values.
func NewStore() *Store {
	return &Store{history: []map[string]string{{}}, changed: make(chan struct{})}
}

// Publish adds a revision and returns it. It ends a stale view.
func (s *Store) Publish(c Change) (uint64, error) {
	for k, v := range c.Set {
		if len(v) > maxValue {
			return 0, trace.LimitExceeded("value %s has %d bytes, the limit is %d", k, len(v), maxValue)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.history[len(s.history)-1])
	maps.Copy(next, c.Set)
	for _, k := range c.Delete {
		delete(next, k)
	}
	s.history = append(s.history, next)
	s.show(uint64(len(s.history) - 1))
	return s.shown, nil
}

// Show serves an older revision; 0 serves the newest.
func (s *Store) Show(revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := uint64(len(s.history) - 1)
	if revision > newest {
		return trace.NotFound("revision %d does not exist, the newest is %d", revision, newest)
	}
	if revision == 0 {
		revision = newest
	}
	s.show(revision)
	return nil
}

func (s *Store) show(revision uint64) {
	s.shown = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Rewind makes a stale store answer readers that are ahead of it at once, with
// all values of the revision served, as a platform restored from a backup does.
func (s *Store) Rewind(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewind = on
}

// Value returns one value of the served revision.
func (s *Store) Value(key string) (string, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.history[s.shown][key]
	return v, s.shown, ok
}

// Watch returns what changed after a revision. When nothing did, it waits for
// a change until the time is over. A reader ahead of a stale platform waits
// too, since there is nothing newer for it.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) Tree {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.rewind && after > s.shown {
			after, wait = 0, 0
		}
		tree, changed := s.since(after), s.changed
		s.mu.Unlock()
		if tree.Revision > after || wait <= 0 {
			return tree
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return tree
		}
	}
}

func (s *Store) since(after uint64) Tree {
	now := s.history[s.shown]
	t := Tree{Revision: s.shown, Values: map[string]string{}, Deleted: []string{}}
	switch {
	case after == 0:
		t.Full = true
		maps.Copy(t.Values, now)
	case after < s.shown:
		old := s.history[after]
		for k, v := range now {
			if o, ok := old[k]; !ok || o != v {
				t.Values[k] = v
			}
		}
		for k := range old {
			if _, ok := now[k]; !ok {
				t.Deleted = append(t.Deleted, k)
			}
		}
		slices.Sort(t.Deleted)
	}
	return t
}
