package snapshot

import (
	"math"
	"slices"

	"egrettack.example/core/rank"
)

// balanceRounds is the number of corrections after which twelve equal groups
// get their parts of the buckets to within about 1%.
const balanceRounds = 30

// ranking is what the ranks of a service's groups are computed from. One is used
// for all services of a snapshot, since the scores of seven groups take 230 KB.
type ranking struct {
	groups  []*Group
	scores  []float64 // by bucket, then group
	factors []float64 // corrections of the groups' weights
}

// rankGroups ranks the groups for each bucket. Plain rendezvous hashing of
// 4096 buckets gives each of twelve equal groups a part that is up to 18% off,
// and the groups cannot even that out among themselves. So the weights are
// corrected until the parts fit. When a group changes a little, so do the
// corrections, hence few buckets move.
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

func (r *ranking) bucketScores(bucket int) []float64 {
	n := len(r.groups)
	return r.scores[bucket*n : (bucket+1)*n]
}

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
			// The square root keeps the corrections from overshooting.
			r.factors[i] *= math.Sqrt(RankBuckets * g.Weight / total / max(counts[i], 1))
		}
	}
}

func (r *ranking) firstGroup(bucket int) int {
	best, most := 0, math.Inf(-1)
	for i, s := range r.bucketScores(bucket) {
		if s *= r.factors[i]; s > most {
			best, most = i, s
		}
	}
	return best
}

func (r *ranking) rankBucket(bucket int) rankRow {
	row := rankRow{-1, -1, -1}
	scores := [RankDepth]float64{math.Inf(-1), math.Inf(-1), math.Inf(-1)}
	for i, s := range r.bucketScores(bucket) {
		at, idx := s*r.factors[i], int16(i)
		for n := range row {
			if at > scores[n] {
				scores[n], at = at, scores[n]
				row[n], idx = idx, row[n]
			}
		}
	}
	return row
}
