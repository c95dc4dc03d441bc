package queueing

import (
	"fmt"
	"testing"
)

func report(b *testing.B, metrics []Metric) {
	for _, m := range metrics {
		b.ReportMetric(m.Value, m.Unit)
	}
	b.ReportMetric(0, "ns/op") // the time the model takes means nothing
}

// BenchmarkImbalance reports the p99 sojourn time of lookups, and the highest
// over the mean of connections (each second) and of requests in progress (over
// the time).
func BenchmarkImbalance(b *testing.B) {
	for _, load := range []float64{0.60, 0.85} {
		for _, odd := range []bool{false, true} {
			for _, v := range Variants() {
				b.Run(fmt.Sprintf("load=%.0f%%/odd-hosts=%v/%s", load*100, odd, v.Name), func(b *testing.B) {
					report(b, MeasureImbalance(v, load, odd, b.N))
				})
			}
		}
	}
}

// BenchmarkFlood reports what the kinds that do not flood keep: goodput in
// percent of that before the flood, p99 during and before it, the useful part
// of the fleet's work, and the time until requests are normal again.
func BenchmarkFlood(b *testing.B) {
	for _, f := range Floods() {
		for _, fleet := range Fleets() {
			for _, demand := range []float64{0.5, 0.75} {
				b.Run(fmt.Sprintf("%s/%s/demand=%.2f", f.Name, fleet.Name, demand), func(b *testing.B) {
					report(b, MeasureFlood(f, fleet, demand, b.N))
				})
			}
		}
	}
}
