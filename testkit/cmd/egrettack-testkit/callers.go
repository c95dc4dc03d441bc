package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/callers"
)

type callersCommand struct {
	withWorld
	Name      string        `long:"name" required:"true" description:"start of all request ids, unique among runs"`
	Network   string        `long:"network" default:"10.64.0.1" description:"first caller address, unique among runs"`
	Addresses int           `long:"addresses" default:"50"`
	Loads     []string      `long:"load" required:"true" description:"PATH:rate=R,count=N,every=D,size=B,answer=B,work=D,retry=N,wait=D,ping=D,reopen=B,ports=N"`
	Duration  time.Duration `long:"duration" default:"10s" description:"time in which requests are started"`
	Seed      uint64        `long:"seed" default:"1"`
	JSON      string        `long:"json" description:"file for the summary"`
	Prefix    string        `long:"prefix" description:"text in front of the summary line"`
	Allow     []string      `long:"allow" description:"outcome that is no failure: broken, lost" choice:"broken" choice:"lost"`
}

// maxShown bounds the failures that are printed.
const maxShown = 10

func (c *callersCommand) Execute([]string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	network, err := netip.ParseAddr(c.Network)
	if err != nil {
		return trace.Wrap(err, "--network")
	}
	var loads []callers.Load
	for _, s := range c.Loads {
		l, err := callers.ParseLoad(s, w)
		if err != nil {
			return err
		}
		loads = append(loads, l)
	}
	pool, err := callers.New(callers.Config{
		World: w, Name: c.Name, Network: network, Addresses: c.Addresses, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := interrupted()
	defer cancel()
	pool.Run(ctx, loads, c.Duration)
	s, err := pool.Summarize(context.Background())
	if err != nil {
		return err
	}
	return c.report(s)
}

func (c *callersCommand) report(s *callers.Summary) error {
	if c.JSON != "" {
		b, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			return trace.Wrap(err, "encode summary")
		}
		if err := os.WriteFile(c.JSON, b, 0o644); err != nil {
			return trace.Wrap(err, "write summary")
		}
	}
	for path, k := range s.Kinds {
		fmt.Fprintf(os.Stderr, "%s: requests=%d answered=%d refused=%d broken=%d p50=%.1fms p99=%.1fms\n",
			path, k.Requests, k.Answered, k.Refused, k.Broken, k.P50MS, k.P99MS)
	}
	for i, f := range s.Failures {
		if i == maxShown {
			fmt.Fprintf(os.Stderr, "and %d more failures\n", len(s.Failures)-i)
			break
		}
		fmt.Fprintf(os.Stderr, "%s %s from %s host=%d at=%s after=%s events=%d err=%q\n", f.ID, f.Outcome,
			f.Local, f.Host, f.At.Format("15:04:05.000"), f.Duration.Round(time.Millisecond), f.Events, f.Err)
	}
	for i, n := range s.Notes {
		if i == maxShown {
			break
		}
		fmt.Fprintln(os.Stderr, n)
	}
	fmt.Println(c.Prefix + s.String())
	return c.verdict(s)
}

func (c *callersCommand) verdict(s *callers.Summary) error {
	left := s.Counts
	for _, a := range c.Allow {
		switch a {
		case "broken":
			left.Broken = 0
		case "lost":
			left.Lost = 0
		}
	}
	var bad []string
	for _, f := range []struct {
		name  string
		count int
	}{
		{"broken", left.Broken},
		{"doubled", left.Doubled},
		{"misrouted", left.Misrouted},
		{"lost", left.Lost},
		{"false refusals", left.FalseRefusals},
	} {
		if f.count > 0 {
			bad = append(bad, fmt.Sprintf("%d %s", f.count, f.name))
		}
	}
	if len(bad) > 0 {
		return trace.Errorf("requests failed: %s", strings.Join(bad, ", "))
	}
	return nil
}
