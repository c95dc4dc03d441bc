package table

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrettack.example/core/flow"
)

func testKey(n int) flow.Key {
	return flow.Key{
		Src: flow.Addr(0x0a000000 + n>>14), SrcPort: uint16(1024 + n&0x3fff),
		Dst: 0x0a090001, DstPort: 7001, Proto: flow.TCP,
	}
}

// Guards against entries that are lost, duplicated or mixed up when segments
// grow or shrink, or when removal and expiry move entries.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, want := New(), map[flow.Key]uint32{}
		// Few source addresses and many ports fill some segments and leave others empty.
		key := rapid.Custom(func(t *rapid.T) flow.Key { return testKey(rapid.IntRange(0, 6_000).Draw(t, "n")) })
		next := uint32(0)
		insert := func(k flow.Key) {
			e, added := tab.Insert(k)
			if _, had := want[k]; had == added {
				t.Fatalf("Insert(%s) returned added=%v, want %v", k, added, !had)
			}
			next++
			e.ISN, want[k] = next, next
		}
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) { insert(key.Draw(t, "key")) },
			"fill": func(t *rapid.T) {
				from := rapid.IntRange(0, 5_000).Draw(t, "from")
				for n := range 1000 {
					insert(testKey(from + n))
				}
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				if _, had := want[k]; tab.Delete(k) != had {
					t.Fatalf("Delete(%s) returned %v, want %v", k, !had, had)
				}
				delete(want, k)
			},
			"sweep": func(t *rapid.T) {
				n, mod := rapid.IntRange(1, 4000).Draw(t, "slots"), rapid.Uint32Range(2, 9).Draw(t, "mod")
				visits := 0
				tab.Sweep(n, func(e *Entry) bool {
					if visits++; e.ISN%mod == 0 {
						delete(want, e.Key())
						return true
					}
					return false
				})
				if visits > n {
					t.Fatalf("Sweep made %d visits, want at most %d", visits, n)
				}
			},
			"": func(t *rapid.T) {
				if tab.Len() != len(want) {
					t.Fatalf("%d entries, want %d", tab.Len(), len(want))
				}
				for k, isn := range want {
					if e := tab.Find(k); e == nil || e.ISN != isn || e.Key() != k {
						t.Fatalf("Find(%s) = %+v, want ISN %d", k, e, isn)
					}
				}
				for range 10 {
					k := key.Draw(t, "probe")
					if _, had := want[k]; had != (tab.Find(k) != nil) {
						t.Fatalf("Find(%s): found=%v, want %v", k, !had, had)
					}
				}
			},
		})
	})
}

// Guards against handover pages that omit or repeat an entry that stays in the
// table while other entries are inserted and removed between pages.
func TestWalkVisitsEachEntryOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	tab := New()
	for n := range 20_000 {
		tab.Insert(testKey(n))
	}
	seen := map[flow.Key]int{}
	cursor, more := uint64(0), true
	for more {
		visits := 0
		cursor, more = tab.Walk(cursor, 50, func(e *Entry) bool {
			if visits == 45 {
				return false // the batch is full
			}
			seen[e.Key()]++
			visits++
			return true
		})
		for range 60 { // insertions and removals between pages
			tab.Insert(testKey(20_000 + rng.IntN(50_000)))
			tab.Delete(testKey(10_000 + rng.IntN(60_000)))
		}
	}
	for n := range 10_000 {
		if seen[testKey(n)] != 1 {
			t.Fatalf("entry %d was visited %d times, want once", n, seen[testKey(n)])
		}
	}
	for k, n := range seen {
		if n > 1 && tab.Find(k) != nil && k.Src == testKey(0).Src {
			t.Fatalf("%s was visited %d times, want once", k, n)
		}
	}
}

// Guards against a table that never frees its memory after a flood of flows.
func TestSweepShrinks(t *testing.T) {
	tab := New()
	for n := range 100_000 {
		tab.Insert(testKey(n))
	}
	for tab.Len() > 0 {
		tab.Sweep(5000, func(*Entry) bool { return true })
	}
	if tab.Capacity() != 0 {
		t.Fatalf("the empty table still has %d slots", tab.Capacity())
	}
}

// Guards against bit fields of the packed entry that overwrite one another.
func TestEntryFields(t *testing.T) {
	e, _ := New().Insert(testKey(1))
	e.SetHost(9)
	for s := SynSeen; s <= Closed; s++ {
		e.SetState(s)
		e.SetFlags(CountedConnection | ISNMismatch)
		e.ClearFlags(CountedConnection)
		if e.State() != s || e.Host() != 9 || e.Has(CountedConnection) || !e.Has(ISNMismatch) || e.Has(Copied) {
			t.Fatalf("state %s: %+v", s, e)
		}
	}
	// Timestamps wrap after 49 days.
	if d := Timestamp(0xffffffff).Elapsed(1); d.Milliseconds() != 2 {
		t.Fatalf("elapsed time across the wrap is %s, want 2 ms", d)
	}
}

// Guards against a timestamp of another worker that is slightly later than the
// current time being taken for one of 49 days ago, which caused healthy flows to
// be reset as silent.
func TestElapsedOfLaterTimestampIsZero(t *testing.T) {
	for _, ahead := range []Timestamp{1, 20, 59_000} {
		if d := (1000 + ahead).Elapsed(1000); d != 0 {
			t.Errorf("timestamp %d ms ahead: elapsed time is %s, want 0", ahead, d)
		}
	}
	if d := Timestamp(1<<32 - 500).Elapsed(500); d != time.Second {
		t.Errorf("elapsed time across the wrap is %s, want 1 s", d)
	}
}
