package median

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against a median that a few extreme values move, and against one that
// does not follow a change.
func TestFollows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var m Median
	feed := func(median float64, n int) {
		for range n {
			x := median * math.Exp(0.5*random.NormFloat64())
			if random.IntN(5) == 0 {
				x *= 100
			}
			m.Add(x, 0.03)
		}
	}
	for _, median := range []float64{20, 200, 2} {
		feed(median, 400)
		// A fifth of extreme values moves the median of the others by a third.
		if m.Value < 0.8*median || m.Value > 1.8*median {
			t.Errorf("median %v after values around %v", m.Value, median)
		}
	}
}
