package steer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"egrettack.example/core/outlier"
	"egrettack.example/core/token"
)

const (
	// evidenceLifetime is how long the evidence of a neighbour is valid: three
	// messages.
	evidenceLifetime = 3 * time.Second
	// minEvidence is the number of failed requests from which on a server is worth a
	// mention.
	minEvidence = 0.4
	// minRequests is the number of requests from which on there is something to report.
	minRequests = 0.1
	// busyEvidence is the number of requests of neighbours to a server from which on
	// all servers of its service are taken to have had requests. Those that fail none
	// are not reported, and get at least as many.
	busyEvidence = 4
	// maxEvidence limits the requests that a neighbour may report of one server. It is
	// ten times what all instances of a domain have at the design size. Neighbours that
	// report in a circle, while sources change, would add up without end.
	maxEvidence = 200
)

// Evidence is the outcomes of the requests to one server, as one side of the tree of
// sources in a domain has seen them, with the weights of outlier.History. In a large
// domain each instance sees too few requests of each server to tell a slow one.
type Evidence struct {
	Token              token.Token // of the server
	Requests, Failures float64
}

// heardEvidence is the last evidence of a neighbour.
type heardEvidence struct {
	from               netip.Addr
	at                 time.Duration
	requests, failures float64
}

// counts returns the decayed counts, none when they are no longer valid.
func (h *heardEvidence) counts(now time.Duration) (requests, failures float64) {
	age := now - h.at
	if age > evidenceLifetime {
		return 0, 0
	}
	f := math.Exp2(-float64(age) / float64(outlier.HalfLife))
	return f * h.requests, f * h.failures
}

// evidence returns the decayed counts of a server, of this instance and of all
// neighbours but one. Along a tree they add up to those of all instances.
func (st *serverState) evidence(now time.Duration, except netip.Addr) (requests, failures float64) {
	requests, failures = st.history.Counts(now)
	for i := range st.heard {
		if h := &st.heard[i]; h.from != except {
			r, f := h.counts(now)
			requests, failures = requests+r, failures+f
		}
	}
	return requests, failures
}

// heardRequests returns the number of requests that the neighbours have reported.
func (st *serverState) heardRequests(now time.Duration) (requests float64) {
	for i := range st.heard {
		r, _ := st.heard[i].counts(now)
		requests += r
	}
	return requests
}

// failureRate returns the fraction of the requests of all instances that failed.
func (st *serverState) failureRate(now time.Duration) float64 {
	return outlier.FailureRate(st.evidence(now, netip.Addr{}))
}

// AddEvidence takes in what a neighbour reports. It replaces what the neighbour
// reported of these servers before.
func (e *Engine) AddEvidence(now time.Duration, from netip.Addr, list []Evidence) {
	for _, x := range list {
		s := e.catalog.ByToken(x.Token)
		if s == nil {
			continue
		}
		st := e.state(s)
		st.heard = slices.DeleteFunc(st.heard, func(h heardEvidence) bool { return h.from == from || now-h.at > evidenceLifetime })
		st.heard = append(st.heard, heardEvidence{from, now, min(x.Requests, maxEvidence), min(x.Failures, x.Requests, maxEvidence)})
	}
}

// ForgetEvidence drops what a neighbour has reported. It is called when the source
// changes: the former one has told what the new one will tell as well.
func (e *Engine) ForgetEvidence(from netip.Addr) {
	for _, st := range e.states {
		st.heard = slices.DeleteFunc(st.heard, func(h heardEvidence) bool { return h.from == from })
	}
}

// Evidence returns what to report to a neighbour: at most n servers, those with the
// most failures that this instance knows of, its own and those of the other
// neighbours. Servers that only that neighbour has reported are among them, so that it
// learns of the requests that did not fail.
func (e *Engine) Evidence(now time.Duration, to netip.Addr, n int) []Evidence {
	type ranked struct {
		Evidence
		known float64 // failures, with those that the neighbour reported
	}
	var list []ranked
	for s, st := range e.states {
		if e.catalog.Latest(s) != s {
			continue // it has started again, under the same token
		}
		if _, known := st.evidence(now, netip.Addr{}); known >= minEvidence {
			if requests, failures := st.evidence(now, to); requests >= minRequests {
				list = append(list, ranked{Evidence{s.Token, requests, failures}, known})
			}
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.known, a.known), cmp.Compare(a.Token, b.Token))
	})
	evidence := make([]Evidence, 0, min(n, len(list)))
	for _, x := range list[:min(n, len(list))] {
		evidence = append(evidence, x.Evidence)
	}
	return evidence
}
