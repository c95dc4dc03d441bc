// Package published owns the values that the platform publishes: the set in
// force with the revision of each key, differences between revisions, and the
// snapshot that a set stands for.
package published

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"egrettack.example/core/snapshot"
)

// ErrOlder is returned for a change that is older than the values in force.
var ErrOlder = errors.New("older than the values in force")

// ErrGap is returned for a difference that starts after the revision in force.
var ErrGap = errors.New("difference starts after the revision in force")

// maxRemoved limits the removed keys that are remembered. Differences from
// before the oldest one are served as a full set.
const maxRemoved = 1024

// Values are published values at one revision: all of them when Full is set,
// else what changed after the revision After. They are the answer of the
// platform and what peers send each other. They are never changed once made.
type Values struct {
	Revision snapshot.Version  `json:"revision"`
	After    snapshot.Version  `json:"after,omitempty"`
	Values   map[string]string `json:"values"`
	Deleted  []string          `json:"deleted,omitempty"`
	Full     bool              `json:"full"`

	// changed and removed give the revision of each key. Those learned by
	// one change get the revision of that change, which may be later than the
	// true one: a difference then holds more than needed and never less.
	changed map[string]snapshot.Version
	removed map[string]snapshot.Version
	// floor is the earliest revision that differences can start from.
	floor snapshot.Version
}

// Merge applies a change to the values in force and returns the new set.
// Revisions only rise: a change that is not newer is refused.
func Merge(held, change Values) (Values, error) {
	if change.Revision < held.Revision {
		return held, fmt.Errorf("revision %d: %w, revision %d", change.Revision, ErrOlder, held.Revision)
	}
	if change.Full {
		if change.Revision == held.Revision && held.Full {
			return held, nil
		}
		return full(change), nil
	}
	if change.After > held.Revision || !held.Full {
		return held, fmt.Errorf("difference from revision %d to %d: %w, %d", change.After, change.Revision, ErrGap, held.Revision)
	}
	if change.Revision == held.Revision {
		return held, nil
	}
	return apply(held, change), nil
}

func full(change Values) Values {
	v := Values{
		Revision: change.Revision, Values: maps.Clone(change.Values), Full: true, floor: change.Revision,
		changed: make(map[string]snapshot.Version, len(change.Values)),
		removed: make(map[string]snapshot.Version),
	}
	if v.Values == nil {
		v.Values = make(map[string]string)
	}
	for k := range v.Values {
		v.changed[k] = v.Revision
	}
	return v
}

func apply(held, change Values) Values {
	v := Values{
		Revision: change.Revision, Full: true, floor: held.floor,
		Values: maps.Clone(held.Values), changed: maps.Clone(held.changed), removed: maps.Clone(held.removed),
	}
	for _, k := range change.Deleted {
		if _, ok := v.Values[k]; ok {
			delete(v.Values, k)
			delete(v.changed, k)
		}
		v.removed[k] = v.Revision
	}
	for k, text := range change.Values {
		v.Values[k] = text
		v.changed[k] = v.Revision
		delete(v.removed, k)
	}
	v.forget()
	return v
}

// forget drops the oldest removed keys beyond the limit.
func (v *Values) forget() {
	if len(v.removed) <= maxRemoved {
		return
	}
	revisions := slices.Sorted(maps.Values(v.removed))
	v.floor = max(v.floor, revisions[len(revisions)-maxRemoved-1])
	maps.DeleteFunc(v.removed, func(_ string, r snapshot.Version) bool { return r <= v.floor })
}

// Since returns what changed after a revision, or the full set when the
// revision is before what is remembered. A revision that is not older gives
// an empty difference.
func (v Values) Since(after snapshot.Version) Values {
	if after < v.floor {
		return Values{Revision: v.Revision, Values: v.Values, Full: true}
	}
	out := Values{Revision: max(v.Revision, after), After: after, Values: make(map[string]string)}
	for k, r := range v.changed {
		if r > after {
			out.Values[k] = v.Values[k]
		}
	}
	for k, r := range v.removed {
		if r > after {
			out.Deleted = append(out.Deleted, k)
		}
	}
	slices.Sort(out.Deleted)
	return out
}

// KeyRevision returns the revision in which this process saw a key change
// last, or zero when the key has no value.
func (v Values) KeyRevision(key string) snapshot.Version { return v.changed[key] }
