package edge

import (
	"fmt"
	"strings"

	"egrettack.example/settings/document"
)

// Share is the share of a kind of request in the servers of each service that it uses,
// as far as they belong to one instance, and in the queue of new flows that wait.
type Share struct {
	Kind string `json:"kind" required:"true" oneof:"safe unsafe upload download"`
	// Priority of the routes, nil for those of every priority.
	Priority  *int    `json:"priority" min:"0" max:"1000000"`
	Guarantee float64 `json:"guarantee" default:"0" min:"0" max:"1" unit:"part from 0 to 1"`
	Ceiling   float64 `json:"ceiling" default:"1" min:"0" max:"1" unit:"part from 0 to 1"`
}

// rounding is the error allowed in a sum of guarantees.
const rounding = 1e-9

func (s *Share) name() string {
	if s.Priority == nil {
		return s.Kind
	}
	return fmt.Sprintf("%s of priority %d", s.Kind, *s.Priority)
}

// checkShares checks what the limits of single fields do not.
func checkShares(doc *document.Document, list []Share) (problems document.Problems) {
	sum, seen := 0.0, make(map[string]bool)
	for n := range list {
		s, path := &list[n], fmt.Sprintf("shares[%d]", n)
		if seen[s.name()] {
			problems = append(problems, doc.Problem(path+".kind", "%s has a share already", s.name()))
		}
		seen[s.name()] = true
		if s.Ceiling < s.Guarantee {
			problems = append(problems, doc.Problem(path+".ceiling", "ceiling below guarantee: %s has ceiling %g and guarantee %g", s.name(), s.Ceiling, s.Guarantee))
		}
		if sum += s.Guarantee; sum > 1+rounding && sum-s.Guarantee <= 1+rounding {
			problems = append(problems, doc.Problem(path+".guarantee", "impossible share: the guarantees up to that of %s sum to %.4g, over 1", s.name(), sum))
		}
	}
	return problems
}

// splitShareProblems separates the problems in the shares from the others.
func splitShareProblems(all document.Problems) (others, ofShares document.Problems) {
	for _, p := range all {
		if p.Path == "shares" || strings.HasPrefix(p.Path, "shares[") {
			ofShares = append(ofShares, p)
		} else {
			others = append(others, p)
		}
	}
	return others, ofShares
}
