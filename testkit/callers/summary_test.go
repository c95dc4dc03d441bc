package callers

import (
	"testing"

	"egrettack.example/testkit/hosts"
)

// The scenarios rest on this comparison: a doubled, lost or falsely refused
// request that it overlooks would pass every one of them.
func TestCompare(t *testing.T) {
	numbers := map[string]uint32{"a/b/upload": 7}
	run := func(id string, service uint32) hosts.Run {
		return hosts.Run{ID: id, Service: service, Host: "h"}
	}
	for name, c := range map[string]struct {
		outcome Outcome
		runs    []hosts.Run
		want    Counts
	}{
		"answered":        {Answered, []hosts.Run{run("x", 7)}, Counts{Answered: 1}},
		"never run":       {Answered, nil, Counts{Answered: 1, Lost: 1}},
		"doubled":         {Answered, []hosts.Run{run("x", 7), run("x", 7)}, Counts{Answered: 1, Doubled: 1}},
		"other service":   {Answered, []hosts.Run{run("x", 8)}, Counts{Answered: 1, Misrouted: 1}},
		"wrong answer":    {Misrouted, []hosts.Run{run("x", 8)}, Counts{Misrouted: 1}},
		"refused":         {Refused, nil, Counts{Refused: 1}},
		"refused and run": {Refused, []hosts.Run{run("x", 7)}, Counts{Refused: 1, FalseRefusals: 1}},
		"shed":            {Shed, nil, Counts{Refused: 1}},
		"broken":          {Broken, []hosts.Run{run("x", 7)}, Counts{Broken: 1}},
		"no outcome":      {Lost, nil, Counts{Lost: 1}},
	} {
		c.want.Requests = 1
		s := Compare([]Result{{ID: "x", Path: "a/b/upload", Outcome: c.outcome}}, c.runs, numbers)
		if s.Counts != c.want {
			t.Errorf("%s: %+v, want %+v", name, s.Counts, c.want)
		}
	}
}
