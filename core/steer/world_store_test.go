package steer

import (
	"maps"
	"slices"
	"time"

	"egrettack.example/core/catalog"
)

const (
	worldHeartbeat = time.Second
	// worldEntryLifetime is how long the entry of a silent server stays.
	worldEntryLifetime = 3 * worldHeartbeat
	worldCopyInterval  = 5 * time.Second
	worldPageSize      = 8 // events in one answer
)

// worldStore is the settings store with its history of server entries.
type worldStore struct {
	worldStoreState
	copy      worldStoreState // what a restore returns to
	writtenAt map[catalog.ServerID]time.Duration
	downUntil time.Duration
	lapses    bool // entries expire also while the store is down
	healthyAt time.Duration
}

// worldStoreState is what a restore brings back.
type worldStoreState struct {
	epoch     catalog.Epoch
	revision  catalog.Revision
	entries   map[catalog.ServerID]catalog.Server
	history   []worldStoreEvent
	compacted catalog.Revision // the history up to it is discarded
}

type worldStoreEvent struct {
	revision catalog.Revision
	id       catalog.ServerID
	entry    *catalog.Server // nil if the entry was removed
}

func newWorldStore() *worldStore {
	s := &worldStore{writtenAt: make(map[catalog.ServerID]time.Duration)}
	s.entries, s.revision = make(map[catalog.ServerID]catalog.Server), 1
	s.copy = s.clone()
	return s
}

func (s *worldStoreState) clone() worldStoreState {
	c := *s
	c.entries, c.history = maps.Clone(s.entries), slices.Clone(s.history)
	return c
}

func (s *worldStore) up(now time.Duration) bool { return now >= s.downUntil }

// put writes an entry if it differs from the last one in more than its sequence.
func (s *worldStore) put(now time.Duration, e catalog.Server) {
	old, listed := s.entries[e.ID]
	if listed && old.Started > e.Started {
		return
	}
	s.writtenAt[e.ID] = now
	if listed && old.Started == e.Started && old.Draining == e.Draining {
		return
	}
	s.revision++
	e.Revision = s.revision
	s.entries[e.ID] = e
	s.history = append(s.history, worldStoreEvent{s.revision, e.ID, &e})
}

func (s *worldStore) remove(id catalog.ServerID) {
	if _, listed := s.entries[id]; !listed {
		return
	}
	s.revision++
	delete(s.entries, id)
	s.history = append(s.history, worldStoreEvent{s.revision, id, nil})
}

// expire removes the entries of silent servers.
func (s *worldStore) expire(now time.Duration) {
	if !s.up(now) && !s.lapses {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		if now-s.writtenAt[id] > worldEntryLifetime {
			s.remove(id)
		}
	}
}

// restore returns the store to its copy.
func (s *worldStore) restore(now time.Duration) {
	epoch := s.epoch + 1
	s.worldStoreState = s.copy.clone()
	s.epoch = epoch
	for id := range s.entries {
		s.writtenAt[id] = now
	}
	s.copy = s.clone()
}

// full returns the list of all servers.
func (s *worldStore) full() *catalog.Change {
	ch := &catalog.Change{Epoch: s.epoch, Revision: s.revision, Full: true, Config: worldConfig, FromStore: true}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		ch.Servers = append(ch.Servers, s.entries[id])
	}
	return ch
}

// since returns the first changes after a position, nil if they are discarded.
func (s *worldStore) since(pos catalog.Position) *catalog.Change {
	if pos.Epoch != s.epoch || pos.Revision < s.compacted || pos.Revision > s.revision {
		return nil
	}
	ch := &catalog.Change{Epoch: s.epoch, Revision: s.revision, FromStore: true}
	n := 0
	for _, e := range s.history {
		if e.revision <= pos.Revision {
			continue
		}
		if n++; n > worldPageSize {
			break
		}
		ch.Revision = e.revision
		if e.entry != nil {
			ch.Servers = append(ch.Servers, *e.entry)
		} else {
			ch.Removed = append(ch.Removed, catalog.Removal{ID: e.id, Revision: e.revision})
		}
	}
	return ch
}
