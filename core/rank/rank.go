// Package rank implements weighted rendezvous hashing. All instances that know the
// same nodes rank them in the same order for a key, and adding or removing a node
// does not change the relative order of the others.
package rank

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weighted rendezvous score of a node for a key. The node with the
// highest score ranks first. Each node ranks first for a fraction of the keys that is
// proportional to its weight; a node of weight 0 never does.
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

// Order sorts nodes by descending score for the key, all with weight 1.
func Order[N ~uint32](seed, key uint64, nodes []N) {
	slices.SortFunc(nodes, func(a, b N) int {
		return cmp.Or(
			cmp.Compare(Score(seed, key, uint64(b), 1), Score(seed, key, uint64(a), 1)),
			cmp.Compare(a, b))
	})
}
