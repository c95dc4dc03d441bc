package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"egrettack.example/testkit/queueing"
)

// queueingCommand runs the queueing model and prints a table.
type queueingCommand struct {
	Load   float64 `long:"load" default:"0.85" description:"load of the imbalance runs, 1 is the capacity of the fleet"`
	Odd    bool    `long:"odd-hosts" description:"let a host start cold, one be slow and two report a wrong load"`
	Share  float64 `long:"demand" default:"0.75" description:"part of their share that kinds ask for in a flood"`
	Runs   int     `long:"runs" default:"1" description:"seeds to average over"`
	Flood  bool    `long:"flood" description:"measure floods in place of imbalance"`
	Spread bool    `long:"spread" description:"compare ways of placing with affinity by token, at several loads"`
}

func (c *queueingCommand) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	if c.Flood {
		for _, f := range queueing.Floods() {
			for _, fleet := range queueing.Fleets() {
				printMetrics(w, f.Name+" "+fleet.Name, queueing.MeasureFlood(f, fleet, c.Share, c.Runs))
			}
		}
		return nil
	}
	if c.Spread {
		for _, uneven := range []bool{false, true} {
			for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
				for _, v := range queueing.Spreads() {
					name := fmt.Sprintf("load %.2f uneven %t: %s", load, uneven, v.Name)
					printMetrics(w, name, queueing.MeasureSpread(v, load, uneven, c.Runs))
				}
			}
		}
		return nil
	}
	for _, v := range queueing.Variants() {
		printMetrics(w, v.Name, queueing.MeasureImbalance(v, c.Load, c.Odd, c.Runs))
	}
	return nil
}

func printMetrics(w *tabwriter.Writer, name string, metrics []queueing.Metric) {
	for _, m := range metrics {
		fmt.Fprintf(w, "%s\t%s\t%.3f\n", name, m.Unit, m.Value)
	}
}
