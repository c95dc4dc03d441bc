// Package rank implements weighted rendezvous hashing: every instance that
// knows the same nodes ranks them alike for a key, and a node that joins or
// leaves changes the ranking of no other pair.
package rank

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weighted rendezvous score of a node for a key; the highest wins.
// A node is first for a part of the keys in proportion to its weight.
func Score(seed, key, node uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], seed)
	binary.LittleEndian.PutUint64(b[8:], key)
	binary.LittleEndian.PutUint64(b[16:], node)
	// The top 53 bits give a uniform value in (0, 1).
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Order sorts nodes by descending score for the key, with equal weights.
func Order[N ~uint32](seed, key uint64, nodes []N) {
	slices.SortFunc(nodes, func(a, b N) int {
		return cmp.Or(
			cmp.Compare(Score(seed, key, uint64(b), 1), Score(seed, key, uint64(a), 1)),
			cmp.Compare(a, b))
	})
}
