package main

import (
	"fmt"
	"os"

	"egrettack.example/testkit/edge"
)

// edgeDemoCommand plays scripts around instances with affinity by token.
type edgeDemoCommand struct {
	Program string `long:"program" required:"true" description:"program of the instances"`
}

func (c *edgeDemoCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "edge-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var total edge.Counts
	violations, calls, seconds := 0, 0, 0.0
	for _, s := range edge.Scripts() {
		fmt.Fprintln(os.Stderr, "demo:", s.Name)
		cfg := edge.DefaultConfig()
		cfg.Program, cfg.Dir = c.Program, dir
		r, err := edge.Run(cfg, s)
		if err != nil {
			return err
		}
		for _, v := range r.Violations {
			fmt.Fprintln(os.Stderr, "demo: broken promise:", v)
		}
		total.Asked += r.Counts.Asked
		total.Served += r.Counts.Served
		total.Failed += r.Counts.Failed
		violations, calls, seconds = violations+len(r.Violations), calls+r.Calls, seconds+r.Seconds
	}
	fmt.Printf("seconds=%.0f asked=%d served=%d failed=%d broken_promises=%d store_calls=%d\n",
		seconds, total.Asked, total.Served, total.Failed, violations, calls)
	if violations > 0 {
		return fmt.Errorf("%d promises were broken", violations)
	}
	return nil
}
