package published_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"egrettack.example/core/snapshot"
	"egrettack.example/settings/published"
)

// platformModel remembers all values at each revision.
type platformModel struct {
	history []map[string]string // by revision, 0 is empty
}

func (m *platformModel) publish(t *rapid.T) {
	next := maps.Clone(m.history[len(m.history)-1])
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
	if rapid.Bool().Draw(t, "delete") {
		delete(next, key)
	} else {
		// Few texts, so that a key often gets back a text it had before.
		next[key] = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "text")
	}
	m.history = append(m.history, next)
}

// answer is the platform's answer: the difference between two revisions, or
// everything.
func (m *platformModel) answer(t *rapid.T, after, to int) published.Values {
	if rapid.IntRange(0, 4).Draw(t, "full") == 0 {
		return published.Values{Revision: snapshot.Version(to), Full: true, Values: maps.Clone(m.history[to])}
	}
	v := published.Values{Revision: snapshot.Version(to), After: snapshot.Version(after), Values: map[string]string{}}
	for r := after + 1; r <= to; r++ {
		for _, k := range []string{"a", "b", "c", "d", "e"} {
			old, had := m.history[r-1][k]
			text, has := m.history[r][k]
			if had == has && old == text {
				continue
			}
			if final, ok := m.history[to][k]; ok {
				v.Values[k] = final
			} else if !slices.Contains(v.Deleted, k) {
				v.Deleted = append(v.Deleted, k)
			}
		}
	}
	return v
}

// Guards against instances whose values differ from what was published at
// their revision, however they learned them: from the platform or from each
// other, by differences or full sets, in any order, old answers included.
func TestMergeModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &platformModel{history: []map[string]string{{}}}
		held := make([]published.Values, 3)
		merge := func(i int, change published.Values) {
			before := held[i]
			after, err := published.Merge(before, change)
			switch {
			case err != nil && !errors.Is(err, published.ErrOlder) && !errors.Is(err, published.ErrGap):
				t.Fatalf("unexpected error %v", err)
			case errors.Is(err, published.ErrOlder) && change.Revision >= before.Revision:
				t.Fatalf("revision %d refused as older than %d", change.Revision, before.Revision)
			case errors.Is(err, published.ErrGap) && before.Full && change.After <= before.Revision:
				t.Fatalf("difference from %d refused at %d", change.After, before.Revision)
			case after.Revision < before.Revision:
				t.Fatalf("revision fell from %d to %d", before.Revision, after.Revision)
			}
			held[i] = after
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish,
			"platform": func(t *rapid.T) {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "instance")
				to := rapid.IntRange(0, len(m.history)-1).Draw(t, "served") // may be stale
				after := rapid.IntRange(0, to).Draw(t, "after")
				merge(i, m.answer(t, after, to))
			},
			"peer": func(t *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				if held[from].Full {
					data, err := json.Marshal(held[from].Since(held[to].Revision))
					if err != nil {
						t.Fatal(err)
					}
					var change published.Values
					if err := json.Unmarshal(data, &change); err != nil {
						t.Fatal(err)
					}
					merge(to, change)
				}
			},
			"": func(t *rapid.T) {
				for i, v := range held {
					if v.Full && !maps.Equal(v.Values, m.history[v.Revision]) {
						t.Fatalf("instance %d at revision %d has %v, published was %v", i, v.Revision, v.Values, m.history[v.Revision])
					}
				}
			},
		})
	})
}

// Guards against a difference that holds values the receiver has already.
func TestSinceIsSmall(t *testing.T) {
	held, _ := published.Merge(published.Values{}, published.Values{Revision: 1, Full: true, Values: map[string]string{"a": "1", "b": "1"}})
	for r := range 5 {
		key := fmt.Sprint("k", r)
		change := published.Values{Revision: held.Revision + 1, After: held.Revision, Values: map[string]string{key: "x"}}
		held, _ = published.Merge(held, change)
	}
	if d := held.Since(4); len(d.Values) != 2 || d.Full || held.KeyRevision("k4") != 6 {
		t.Errorf("the difference after revision 4 is %+v", d)
	}
	if d := held.Since(9); len(d.Values) != 0 || d.Revision != 9 {
		t.Errorf("the difference after a later revision is %+v", d)
	}
}

// Guards against removed keys that pile up, and against a difference that
// misses one that was forgotten.
func TestRemovedKeysAreForgotten(t *testing.T) {
	held, _ := published.Merge(published.Values{}, published.Values{Revision: 1, Full: true})
	step := func(v published.Values) {
		v.After, v.Revision = held.Revision, held.Revision+1
		held, _ = published.Merge(held, v)
	}
	const keys = 1100
	for i := range keys {
		step(published.Values{Values: map[string]string{fmt.Sprint(i): "x"}})
		step(published.Values{Deleted: []string{fmt.Sprint(i)}})
	}
	if d := held.Since(1); !d.Full {
		t.Error("the difference after revision 1 is not the full set")
	}
	if d := held.Since(held.Revision - 100); d.Full || len(d.Deleted) != 50 {
		t.Errorf("the latest difference has %d removed keys, want 50", len(d.Deleted))
	}
}
