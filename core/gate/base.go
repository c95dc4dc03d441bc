package gate

import (
	"time"

	"egrettack.example/core/median"
)

const (
	// bucketTime and buckets give the span over which the base time of a kind is
	// the least: five minutes, so that a flood of minutes does not become usual.
	bucketTime = 15 * time.Second
	buckets    = 20
	// leastSamples is the number of answers that make a bucket count.
	leastSamples = 10
	// medianStep is the part by which a median moves with each answer.
	medianStep = 0.03
)

// baseTime is the usual time of an answer at light load: the least median of
// the recent spans.
type baseTime struct {
	medians [buckets]median.Median // ns, 0 for none
	current int
	began   time.Duration // of the current bucket
	samples int
}

func (b *baseTime) add(now time.Duration, took time.Duration) {
	if now-b.began > bucketTime {
		if b.samples < leastSamples {
			b.medians[b.current] = median.Median{}
		}
		b.current = (b.current + 1) % buckets
		b.medians[b.current], b.samples, b.began = median.Median{}, 0, now
	}
	b.medians[b.current].Add(float64(max(took, 1)), medianStep)
	b.samples++
}

// stretch returns how long an answer waited, 1 for as long as it may.
func (b *baseTime) stretch(a Answer) float64 {
	base := time.Duration(b.value())
	if base == 0 {
		return 0
	}
	may := max(leastWait, time.Duration(waitPart*float64(a.Target-base)))
	return float64(max(0, a.Took-base)) / float64(may)
}

// value returns the base time in ns, 0 while it is not known.
func (b *baseTime) value() (least float64) {
	for i, m := range b.medians {
		if m.Value > 0 && (i != b.current || b.samples >= leastSamples) && (least == 0 || m.Value < least) {
			least = m.Value
		}
	}
	return least
}
