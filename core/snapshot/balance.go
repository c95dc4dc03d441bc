package snapshot

import (
	"math"
	"slices"

	"egrettack.example/core/rank"
)

// balanceRounds is the number of correction rounds. After 30 rounds, twelve equal
// groups each rank first for their share of the buckets to within about 1%.
const balanceRounds = 30

// ranking computes the ranks of a service's groups. One ranking is reused for all
// services of a snapshot, since the scores of seven groups take 230 KB.
type ranking struct {
	groups  []*Group
	scores  []float64 // by bucket, then group
	factors []float64 // corrections of the weights, by group
}

// rankGroups ranks the groups for each bucket. With plain rendezvous hashing of 4096
// buckets, the shares of twelve equal groups deviate by up to 18%, and the groups have
// no means to balance that among themselves. The weights are therefore corrected
// iteratively until the shares match them. A small change of a group changes the
// corrections little, so that few buckets move.
func (r *ranking) rankGroups(groups []*Group) []rankRow {
	if len(groups) == 0 {
		return nil
	}
	r.groups, r.scores, r.factors = groups, r.scores[:0], r.factors[:0]
	for range groups {
		r.factors = append(r.factors, 1)
	}
	r.scores = slices.Grow(r.scores, RankBuckets*len(groups))
	for b := range RankBuckets {
		for _, g := range groups {
			r.scores = append(r.scores, rank.Score(seedGroupRank, uint64(b), groupNode(g.ID), g.Weight))
		}
	}
	r.balance()
	rows := make([]rankRow, RankBuckets)
	for b := range rows {
		rows[b] = r.rankBucket(b)
	}
	return rows
}

// bucketScores returns the scores of the groups for a bucket.
func (r *ranking) bucketScores(bucket int) []float64 {
	n := len(r.groups)
	return r.scores[bucket*n : (bucket+1)*n]
}

// balance computes the correction factors of the groups.
func (r *ranking) balance() {
	total := 0.0
	for _, g := range r.groups {
		total += g.Weight
	}
	counts := make([]float64, len(r.groups))
	for range balanceRounds {
		clear(counts)
		for b := range RankBuckets {
			counts[r.firstGroup(b)]++
		}
		for i, g := range r.groups {
			// The square root prevents the corrections from overshooting.
			r.factors[i] *= math.Sqrt(RankBuckets * g.Weight / total / max(counts[i], 1))
		}
	}
}

// firstGroup returns the index of the first-ranked group of a bucket.
func (r *ranking) firstGroup(bucket int) int {
	best, bestScore := 0, math.Inf(-1)
	for i, s := range r.bucketScores(bucket) {
		if s *= r.factors[i]; s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// rankBucket returns the indexes of the highest-ranked groups of a bucket.
func (r *ranking) rankBucket(bucket int) rankRow {
	row := rankRow{-1, -1, -1}
	scores := [RankDepth]float64{math.Inf(-1), math.Inf(-1), math.Inf(-1)}
	for i, s := range r.bucketScores(bucket) {
		score, idx := s*r.factors[i], int16(i)
		for n := range row {
			if score > scores[n] {
				scores[n], score = score, scores[n]
				row[n], idx = idx, row[n]
			}
		}
	}
	return row
}
