package queueing

import (
	"maps"
	"slices"

	"egrettack.example/core/snapshot"
)

// Variant is one way to choose hosts.
type Variant struct {
	Name string
	size int // hosts of a full group
	pick func() picker
}

// Variants are the ways that are compared. "global" is one group of all hosts.
func Variants() []Variant {
	groups := func() picker { return byGroups }
	return []Variant{
		{"hash", 5, func() picker { return byHash }},
		{"two-choices", 5, byTwoChoices},
		{"groups-of-3", 3, groups},
		{"groups-of-5", 5, groups},
		{"groups-of-8", 8, groups},
		{"global", 15, groups},
	}
}

// Metric is one measured value.
type Metric struct {
	Unit  string
	Value float64
}

// MeasureImbalance runs feeds and lookups at a load (1 is the capacity of the
// fleet) on 15 hosts of 2 slots and returns the means over the seeds 1 to runs.
// With odd, one host starts cold, one runs at half speed, one always reports
// full load and one none.
func MeasureImbalance(v Variant, load float64, odd bool, runs int) []Metric {
	var sum imbalance
	for seed := range runs {
		sum.add(measureImbalance(uint64(seed+1), load, odd, v.size, v.pick()))
	}
	return sum.metrics()
}

// Fleet is one way to run the fleet in a flood.
type Fleet struct {
	Name  string
	queue int
	kinds func() []*snapshot.Kind
}

// Fleets are the whole admission and two baselines.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "no-admission", queue: 1_000_000, kinds: sameKinds(0)},
		{Name: "host-limit", queue: 4, kinds: sameKinds(0)},
		{Name: "egrettack", queue: 4, kinds: floodKinds},
	}
}

// Flood names the kinds that flood.
type Flood struct {
	Name  string
	kinds []snapshot.KindID
}

// Floods are the flood of the least urgent kinds and that of the most urgent.
func Floods() []Flood {
	return []Flood{
		{"photo+upload", []snapshot.KindID{photo, upload}},
		{"ticket+lookup", []snapshot.KindID{ticket, quick}},
	}
}

// MeasureFlood runs a flood of ten times the fleet's capacity, in which the
// other kinds ask for the given part of their share, and returns what these
// keep, as means over the seeds 1 to runs.
func MeasureFlood(f Flood, fleet Fleet, demand float64, runs int) []Metric {
	sums := map[string]float64{}
	for seed := range runs {
		runFlood(uint64(seed+1), demand, fleet, f.kinds...).addTo(sums)
	}
	var out []Metric
	for _, unit := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, Metric{unit, sums[unit] / float64(runs)})
	}
	return out
}
