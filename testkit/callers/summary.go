package callers

import (
	"context"
	"fmt"
	"net/url"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/hosts"
)

// Counts of the outcomes of requests.
type Counts struct {
	Requests  int `json:"requests"`
	Answered  int `json:"answered"`
	Refused   int `json:"refused"` // shed ones included
	Broken    int `json:"broken"`
	Doubled   int `json:"doubled"`   // run more than once
	Misrouted int `json:"misrouted"` // run or answered by another service
	Lost      int `json:"lost"`      // no outcome, or answered and never run
	// FalseRefusals counts requests that were run although the caller was told
	// that they were not.
	FalseRefusals int `json:"false_refusals"`
}

// KindSummary is the part of one kind of work.
type KindSummary struct {
	Counts
	P50MS float64 `json:"p50_ms"` // of answered requests that are not feeds
	P99MS float64 `json:"p99_ms"`
	hist  *hdrhistogram.Histogram
}

// Summary of a run.
type Summary struct {
	Counts
	Retried  uint64                  `json:"retried"` // refusals followed by another try
	Kinds    map[string]*KindSummary `json:"kinds"`
	ByHost   map[string]int          `json:"by_host"`  // runs
	Failures []Result                `json:"failures"` // broken, lost and misrouted ones
	Notes    []string                `json:"notes"`
}

func (s *Summary) String() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d broken=%d doubled=%d misrouted=%d lost=%d",
		s.Requests, s.Answered, s.Refused, s.Broken, s.Doubled, s.Misrouted, s.Lost)
}

// Bad reports whether something happened that no planned change may cause.
func (s *Summary) Bad() bool {
	return s.Broken+s.Doubled+s.Misrouted+s.Lost+s.FalseRefusals > 0
}

// Summarize compares what the callers were told with the logs of the hosts.
func (p *Pool) Summarize(ctx context.Context) (*Summary, error) {
	var runs []hosts.Run
	log := p.cfg.World.HostsURL + "/test/v1/log?prefix=" + url.QueryEscape(p.cfg.Name+"-")
	if err := control.Get(ctx, log, &runs); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	numbers := make(map[string]uint32)
	for _, k := range p.cfg.World.Kinds {
		numbers[k.Path] = k.Number
	}
	s := Compare(p.results, runs, numbers)
	s.Retried = p.refused + p.shed
	return s, nil
}

// histMax is in microseconds.
const histMax = 120_000_000

// Compare builds the summary from what callers were told and what hosts ran.
// numbers gives the service number of each kind's path.
func Compare(results []Result, runs []hosts.Run, numbers map[string]uint32) *Summary {
	s := &Summary{Kinds: map[string]*KindSummary{}, ByHost: map[string]int{}}
	byID := make(map[string][]hosts.Run, len(runs))
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
		s.ByHost[r.Host]++
	}
	for i := range results {
		r := &results[i]
		k := s.Kinds[r.Path]
		if k == nil {
			k = &KindSummary{hist: hdrhistogram.New(1, histMax, 2)}
			s.Kinds[r.Path] = k
		}
		s.judge(r, byID[r.ID], numbers[r.Path], &k.Counts)
		if r.Outcome == Answered && r.Events == 0 {
			_ = k.hist.RecordValue(min(r.Duration.Microseconds(), histMax))
		}
	}
	for _, k := range s.Kinds {
		k.P50MS = float64(k.hist.ValueAtQuantile(50)) / 1000
		k.P99MS = float64(k.hist.ValueAtQuantile(99)) / 1000
		s.Counts.add(k.Counts)
	}
	return s
}

func (s *Summary) judge(r *Result, runs []hosts.Run, number uint32, c *Counts) {
	c.Requests++
	switch r.Outcome {
	case Answered:
		c.Answered++
		if len(runs) == 0 {
			c.Lost++
			s.note("%s was answered and never run", r.ID)
		}
	case Refused, Shed:
		c.Refused++
		if len(runs) > 0 {
			c.FalseRefusals++
			s.note("%s was %s on try %d and run by %s", r.ID, r.Outcome, r.Tries, runs[0].Host)
		}
	case Misrouted:
		c.Misrouted++
	case Lost:
		c.Lost++
	default:
		c.Broken++
	}
	if len(runs) > 1 {
		c.Doubled++
		s.note("%s was run by %s and %s", r.ID, runs[0].Host, runs[1].Host)
	}
	for _, run := range runs {
		if run.Service != number && r.Outcome != Misrouted {
			c.Misrouted++
			s.note("%s was run by %s of service %d", r.ID, run.Host, run.Service)
			break
		}
	}
	if r.Outcome == Broken || r.Outcome == Lost || r.Outcome == Misrouted {
		s.Failures = append(s.Failures, *r)
	}
}

func (s *Summary) note(format string, args ...any) {
	s.Notes = append(s.Notes, fmt.Sprintf(format, args...))
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Answered += o.Answered
	c.Refused += o.Refused
	c.Broken += o.Broken
	c.Doubled += o.Doubled
	c.Misrouted += o.Misrouted
	c.Lost += o.Lost
	c.FalseRefusals += o.FalseRefusals
}
