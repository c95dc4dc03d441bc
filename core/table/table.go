// Package table implements the flow table: a hash table with one entry per
// flow, found by its key. The table is divided into segments that grow and
// shrink separately, so that no call moves the entries of more than one
// segment. It is not safe for concurrent use.
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
	// hashBits is 63 to leave the top bit of a cursor to the user of Walk.
	hashBits = 63

	minSlots = 12
	// Growing by a quarter at a load factor of 7/8 keeps the mean load factor
	// at about 0.8. Doubling would halve the load factor right after growth.
	fillNum, fillDen = 7, 8
	growNum, growDen = 5, 4
	// sizeVariants is the number of different initial segment sizes. Hashing
	// fills segments evenly, so segments of equal size would all grow at about
	// the same number of flows.
	sizeVariants = 3
)

// segment is an open-addressing hash table with linear probing. tags holds a
// byte of each entry's hash with the top bit set, or 0 for a free slot. Probing
// reads tags only, so a lookup that misses touches one or two cache lines.
type segment struct {
	tags    []uint8
	entries []Entry
	used    int
}

// Table is a flow table. The zero value is an empty table.
type Table struct {
	segments     [segmentCount]segment
	count        int
	slots        int
	sweepSegment int // segment and slot at which Sweep continues
	sweepSlot    int
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Len returns the number of entries.
func (t *Table) Len() int { return t.count }

// Capacity returns the number of slots, free ones included.
func (t *Table) Capacity() int { return t.slots }

// Hash is the hash of a key, for callers that use the same key repeatedly.
type Hash uint64

// HashOf returns the hash of k.
func HashOf(k flow.Key) Hash { return Hash(hashKey(k)) }

// hashKey mixes the key with two 64x64-bit multiplications. Removal, growth and
// walks hash many keys, and this takes a tenth of the time of xxhash.
func hashKey(k flow.Key) uint64 {
	a := uint64(k.Src)<<32 | uint64(k.Dst)
	b := uint64(k.SrcPort)<<48 | uint64(k.DstPort)<<32 | uint64(k.Proto)
	hi, lo := bits.Mul64(a^0xa0761d6478bd642f, b^0xe7037ed1a0b428db)
	hi, lo = bits.Mul64(hi^0x8ebc6af09c88c6e3, lo^b^0x589965cc75374cc3)
	return (hi ^ lo) >> (64 - hashBits)
}

func tagOf(h uint64) uint8 { return uint8(h>>40) | 0x80 }

// homeSlot returns the slot at which probing for hash h starts, of n slots.
func homeSlot(h uint64, n int) int { return int(uint64(uint32(h)) * uint64(n) >> 32) }

func (t *Table) segment(h uint64) *segment { return &t.segments[h>>(hashBits-segmentBits)] }

// Find returns the entry of k or nil. The pointer is valid until the next call
// of Insert, Add, Delete or Sweep.
func (t *Table) Find(k flow.Key) *Entry { return t.FindHash(HashOf(k), k) }

// FindHash is like Find for a key whose hash is known.
func (t *Table) FindHash(hash Hash, k flow.Key) *Entry {
	h := uint64(hash)
	s := t.segment(h)
	if i := s.find(h, &k); i >= 0 {
		return &s.entries[i]
	}
	return nil
}

// find returns the slot of the entry of k, or -1.
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

// Insert returns the entry of k, and true if it was added with zero fields.
func (t *Table) Insert(k flow.Key) (*Entry, bool) {
	h := hashKey(k)
	s := t.segment(h)
	if i := s.find(h, &k); i >= 0 {
		return &s.entries[i], false
	}
	return t.Add(Hash(h), k), true
}

// Add inserts an entry for k, which must not have an entry yet.
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

// findFree returns the free slot for an entry with hash h. There must be one.
func (s *segment) findFree(h uint64) int {
	i := homeSlot(h, len(s.tags))
	for s.tags[i] != 0 {
		if i++; i == len(s.tags) {
			i = 0
		}
	}
	return i
}

// resize moves the entries of a segment to new arrays of n slots.
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

// remove frees slot i. It moves later entries of the same probe sequence back,
// so that no tombstones are needed.
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
		// The entry at j may move to i unless its home slot lies between them.
		if (j-h+n)%n >= (j-i+n)%n {
			s.tags[i], s.entries[i] = s.tags[j], s.entries[j]
			i = j
		}
	}
	s.tags[i] = 0
	s.used--
}

// Sweep visits the entries in the next n slots and removes those for which
// expired returns true. Successive calls cycle through the whole table. A
// sparse segment shrinks when Sweep reaches its end. expired must not call
// methods of the table.
func (t *Table) Sweep(n int, expired func(*Entry) bool) {
	for skipped := 0; n > 0 && skipped <= segmentCount; n-- {
		s := &t.segments[t.sweepSegment]
		for ; t.sweepSlot < len(s.tags) && n > 0; n-- {
			i := t.sweepSlot
			if s.tags[i] != 0 && expired(&s.entries[i]) {
				s.remove(i)
				t.count--
				continue // remove may have moved another entry to this slot
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

// shrink frees an empty segment and halves, at least, one that is less than a
// quarter full.
func (t *Table) shrink(s *segment) {
	switch {
	case s.used == 0 && len(s.tags) > 0:
		t.slots -= len(s.tags)
		*s = segment{}
	case len(s.tags) > 2*minSlots && s.used*4 < len(s.tags):
		t.resize(s, max(minSlots, s.used*2))
	}
}

// Walk visits entries in the order of their hashes, starting at cursor, which
// is 0 for the first call. It stops when n entries have been visited or when
// visit returns false, which leaves that entry for the next call. It returns
// the cursor for the next call and whether there are more entries. An entry
// that is in the table during the whole walk is visited exactly once, whatever
// is inserted or removed between calls. Cursors are below 1<<63. visit must not
// call methods of the table.
func (t *Table) Walk(cursor uint64, n int, visit func(*Entry) bool) (next uint64, more bool) {
	type position struct {
		hash uint64
		slot int
	}
	var order []position
	for g := cursor >> (hashBits - segmentBits); g < segmentCount; g++ {
		s := &t.segments[g]
		order = order[:0]
		for i, tag := range s.tags {
			if tag != 0 {
				if h := hashKey(s.entries[i].Key()); h >= cursor {
					order = append(order, position{h, i})
				}
			}
		}
		slices.SortFunc(order, func(a, b position) int { return cmp.Compare(a.hash, b.hash) })
		for _, o := range order {
			if n <= 0 || !visit(&s.entries[o.slot]) {
				return o.hash, true
			}
			n--
		}
	}
	return 0, false
}
