package rank

import (
	"math"
	"slices"
	"testing"
)

// Guards against a score that does not follow the weights.
func TestScoreFollowsWeight(t *testing.T) {
	weights := []float64{1, 2, 5}
	won := make([]float64, len(weights))
	const keys = 60000
	for key := uint64(0); key < keys; key++ {
		best, bestScore := 0, math.Inf(-1)
		for i, w := range weights {
			if s := Score(1, key, uint64(i), w); s > bestScore {
				best, bestScore = i, s
			}
		}
		won[best]++
	}
	for i, w := range weights {
		if got, want := won[i]/keys, w/8; math.Abs(got-want) > 0.01 {
			t.Errorf("weight %g won %.3f of the keys, want %.3f", w, got, want)
		}
	}
	if !math.IsInf(Score(1, 1, 1, 0), -1) {
		t.Error("a node of weight 0 can win")
	}
}

// Guards against a ranking that moves keys between nodes that stayed.
func TestOrderIsStableUnderRemoval(t *testing.T) {
	for key := uint64(0); key < 500; key++ {
		all := []uint32{1, 2, 3, 4, 5, 6, 7}
		Order(9, key, all)
		left := []uint32{1, 2, 3, 5, 6, 7}
		Order(9, key, left)
		want := slices.DeleteFunc(slices.Clone(all), func(n uint32) bool { return n == 4 })
		if !slices.Equal(left, want) {
			t.Fatalf("key %d: %v without node 4, want %v", key, left, want)
		}
	}
}
