package rank

import (
	"math"
	"slices"
	"testing"
)

// Guards against a distribution of keys that is not proportional to the weights.
func TestScoreFollowsWeight(t *testing.T) {
	weights := []float64{1, 2, 5}
	wins := make([]float64, len(weights))
	const keys = 60000
	for key := uint64(0); key < keys; key++ {
		best, bestScore := 0, math.Inf(-1)
		for i, w := range weights {
			if s := Score(1, key, uint64(i), w); s > bestScore {
				best, bestScore = i, s
			}
		}
		wins[best]++
	}
	for i, w := range weights {
		if got, want := wins[i]/keys, w/8; math.Abs(got-want) > 0.01 {
			t.Errorf("node of weight %g ranks first for %.3f of the keys, want %.3f", w, got, want)
		}
	}
	if !math.IsInf(Score(1, 1, 1, 0), -1) {
		t.Error("a node of weight 0 can rank first")
	}
}

// Guards against a changed order of the remaining nodes when a node is removed.
func TestOrderIsStableUnderRemoval(t *testing.T) {
	for key := uint64(0); key < 500; key++ {
		all := []uint32{1, 2, 3, 4, 5, 6, 7}
		Order(9, key, all)
		remaining := []uint32{1, 2, 3, 5, 6, 7}
		Order(9, key, remaining)
		want := slices.DeleteFunc(slices.Clone(all), func(n uint32) bool { return n == 4 })
		if !slices.Equal(remaining, want) {
			t.Fatalf("key %d: order is %v without node 4, want %v", key, remaining, want)
		}
	}
}
