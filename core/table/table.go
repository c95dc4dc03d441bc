// Package table is a flow table: one entry a flow, found by its key. It is
// divided into segments that grow and shrink one at a time, so that no call
// pays for moving more than one segment. It is not safe for concurrent use.
package table

import (
	"cmp"
	"math/bits"
	"slices"

	"egrettack.example/core/flow"
)

const (
	segmentBits  = 10
	segmentCount = 1 << segmentBits
	// hashBits leaves the top bit of a cursor to the user of Walk.
	hashBits = 63

	minSlots = 12
	// Growing by a quarter at a fill of 7/8 keeps the mean fill at about 0.8.
	// Doubling would halve the fill right after growth.
	fillNum, fillDen = 7, 8
	growNum, growDen = 5, 4
	// Segments start with slightly different sizes. As hashing fills them
	// alike, they would otherwise all grow at the same number of flows.
	sizeVariants = 3
)

// segment is an open-addressing table with linear probing. tags holds a byte
// of each entry's hash with the top bit set, 0 for a free slot; probing reads
// tags only, so that a miss touches one or two cache lines.
type segment struct {
	tags    []uint8
	entries []Entry
	used    int
}

// Table holds the entries.
type Table struct {
	segments     [segmentCount]segment
	count        int
	slots        int
	sweepSegment int // segment and slot where Sweep goes on
	sweepSlot    int
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Len returns the number of entries.
func (t *Table) Len() int { return t.count }

// Capacity returns the number of slots, free ones included.
func (t *Table) Capacity() int { return t.slots }

// Hash is the hash of a key, for calls that look the same key up again.
type Hash uint64

// HashOf returns the hash of k.
func HashOf(k flow.Key) Hash { return Hash(hashKey(k)) }

// hashKey mixes the key with two wide multiplications. Removal, growth and
// walks hash many keys, and this takes a tenth of the time of xxhash.
func hashKey(k flow.Key) uint64 {
	a := uint64(k.Src)<<32 | uint64(k.Dst)
	b := uint64(k.SrcPort)<<48 | uint64(k.DstPort)<<32 | uint64(k.Proto)
	hi, lo := bits.Mul64(a^0xa0761d6478bd642f, b^0xe7037ed1a0b428db)
	hi, lo = bits.Mul64(hi^0x8ebc6af09c88c6e3, lo^b^0x589965cc75374cc3)
	return (hi ^ lo) >> (64 - hashBits)
}

func tagOf(h uint64) uint8 { return uint8(h>>40) | 0x80 }

func homeSlot(h uint64, n int) int { return int(uint64(uint32(h)) * uint64(n) >> 32) }

func (t *Table) segment(h uint64) *segment { return &t.segments[h>>(hashBits-segmentBits)] }

// Find returns the entry of k or nil. The pointer is valid until the next
// Insert, Delete or Sweep.
func (t *Table) Find(k flow.Key) *Entry { return t.FindHash(HashOf(k), k) }

// FindHash is Find for a key whose hash is known.
func (t *Table) FindHash(hash Hash, k flow.Key) *Entry {
	h := uint64(hash)
	s := t.segment(h)
	if i := s.find(h, &k); i >= 0 {
		return &s.entries[i]
	}
	return nil
}

func (s *segment) find(h uint64, k *flow.Key) int {
	n := len(s.tags)
	if n == 0 {
		return -1
	}
	tag := tagOf(h)
	for i := homeSlot(h, n); ; {
		switch s.tags[i] {
		case 0:
			return -1
		case tag:
			if s.entries[i].matches(k) {
				return i
			}
		}
		if i++; i == n {
			i = 0
		}
	}
}

// Insert returns the entry of k, and true when it was added with zero fields.
func (t *Table) Insert(k flow.Key) (*Entry, bool) {
	h := hashKey(k)
	s := t.segment(h)
	if i := s.find(h, &k); i >= 0 {
		return &s.entries[i], false
	}
	return t.Add(Hash(h), k), true
}

// Add inserts an entry for k, which must not have one.
func (t *Table) Add(hash Hash, k flow.Key) *Entry {
	h := uint64(hash)
	s := t.segment(h)
	if (s.used+1)*fillDen > len(s.tags)*fillNum {
		t.resize(s, max(minSlots+int(h>>(hashBits-segmentBits))%sizeVariants, len(s.tags)*growNum/growDen))
	}
	i := s.findFree(h)
	s.tags[i] = tagOf(h)
	s.entries[i] = Entry{}
	s.entries[i].setKey(k)
	s.used++
	t.count++
	return &s.entries[i]
}

func (s *segment) findFree(h uint64) int {
	i := homeSlot(h, len(s.tags))
	for s.tags[i] != 0 {
		if i++; i == len(s.tags) {
			i = 0
		}
	}
	return i
}

func (t *Table) resize(s *segment, n int) {
	old := *s
	s.tags, s.entries = make([]uint8, n), make([]Entry, n)
	for i, tag := range old.tags {
		if tag != 0 {
			j := s.findFree(hashKey(old.entries[i].Key()))
			s.tags[j], s.entries[j] = tag, old.entries[i]
		}
	}
	t.slots += n - len(old.tags)
}

// Delete removes the entry of k and reports whether there was one.
func (t *Table) Delete(k flow.Key) bool {
	h := hashKey(k)
	s := t.segment(h)
	i := s.find(h, &k)
	if i < 0 {
		return false
	}
	s.remove(i)
	t.count--
	return true
}

// remove frees slot i and moves later entries of the same run back, so that no
// tombstones are needed.
func (s *segment) remove(i int) {
	n := len(s.tags)
	for j := i; ; {
		if j++; j == n {
			j = 0
		}
		if s.tags[j] == 0 {
			break
		}
		h := homeSlot(hashKey(s.entries[j].Key()), n)
		// The entry at j may move to i unless its home lies between them.
		if (j-h+n)%n >= (j-i+n)%n {
			s.tags[i], s.entries[i] = s.tags[j], s.entries[j]
			i = j
		}
	}
	s.tags[i] = 0
	s.used--
}

// Sweep visits the entries in the next n slots, going round the table over
// many calls, and removes those for which expired returns true. expired must
// not call the table. Sparse segments shrink once they have been passed.
func (t *Table) Sweep(n int, expired func(*Entry) bool) {
	for skipped := 0; n > 0 && skipped <= segmentCount; n-- {
		s := &t.segments[t.sweepSegment]
		for ; t.sweepSlot < len(s.tags) && n > 0; n-- {
			i := t.sweepSlot
			if s.tags[i] != 0 && expired(&s.entries[i]) {
				s.remove(i)
				t.count--
				continue // another entry may have moved to this slot
			}
			t.sweepSlot++
		}
		if t.sweepSlot < len(s.tags) {
			return
		}
		t.shrink(s)
		t.sweepSegment, t.sweepSlot = (t.sweepSegment+1)%segmentCount, 0
		skipped++
	}
}

func (t *Table) shrink(s *segment) {
	switch {
	case s.used == 0 && len(s.tags) > 0:
		t.slots -= len(s.tags)
		*s = segment{}
	case len(s.tags) > 2*minSlots && s.used*4 < len(s.tags):
		t.resize(s, max(minSlots, s.used*2))
	}
}

// Walk visits entries in the order of their hashes, from cursor 0, until visit
// returns false, which leaves that entry for the next call, or n entries have
// been visited. It returns the cursor to go on from and whether there is more.
// An entry that is in the table during the whole walk is visited once,
// whatever is inserted or removed between calls. The cursor stays below 1<<63.
// visit must not call the table.
func (t *Table) Walk(cursor uint64, n int, visit func(*Entry) bool) (next uint64, more bool) {
	type at struct {
		hash uint64
		slot int
	}
	var order []at
	for g := cursor >> (hashBits - segmentBits); g < segmentCount; g++ {
		s := &t.segments[g]
		order = order[:0]
		for i, tag := range s.tags {
			if tag != 0 {
				if h := hashKey(s.entries[i].Key()); h >= cursor {
					order = append(order, at{h, i})
				}
			}
		}
		slices.SortFunc(order, func(a, b at) int { return cmp.Compare(a.hash, b.hash) })
		for _, o := range order {
			if n <= 0 || !visit(&s.entries[o.slot]) {
				return o.hash, true
			}
			n--
		}
	}
	return 0, false
}
