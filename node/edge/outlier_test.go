package edge

import (
	"net/netip"
	"testing"
	"time"

	"egrettack.example/core/catalog"
	"egrettack.example/core/steer"
)

// Guards against requests that are counted again and again on their way through the
// tree of a domain while members choose other sources, and the sums grow without end.
func TestEvidenceIsCountedOnce(t *testing.T) {
	const (
		members, domains   = 295, 6
		requests, failures = 40, 20
		inDomain           = members / domains
	)
	w := newSimulation(members, domains, 1, t.Fatalf)
	w.linkRate, w.largeLinkRate = 20e6/8, 200e6/8
	for n := range members / 10 {
		w.members[n].large = true
	}
	w.servers = []catalog.Server{{
		ID: 1, Name: "host-1", Started: 1, Service: "feed", Domain: "d0", Slots: 2, Revision: 1, Addr: netip.MustParseAddrPort("10.1.0.1:80"),
	}}
	w.run(20 * time.Second)
	evidence := []steer.Evidence{{Requests: requests, Failures: failures}}
	w.members[0].catalog.EachServer(func(s *catalog.Server) { evidence[0].Token = s.Token })
	outside := netip.MustParseAddr("10.9.9.9") // evidence that is not of a member
	leaf := w.members[members-1]               // of the domain of members[0]
	heard := 0
	for step := range 200 {
		w.run(100 * time.Millisecond)
		if step%10 == 0 {
			leaf.engine.AddEvidence(leaf.clock.now(), outside, evidence)
		}
		if step == 100 {
			w.members[2*domains].restart(500 * time.Millisecond)
			w.members[3*domains].freeze(2 * time.Second)
		}
		heard = 0
		for _, m := range w.members {
			if m.dead {
				continue
			}
			list := m.engine.Evidence(m.clock.now(), netip.Addr{}, 1)
			if len(list) == 0 {
				continue
			}
			heard++
			// The former source of a member counts it until evidenceLifetime has passed.
			if got := list[0].Requests; got > 2*requests {
				t.Fatalf("step %d: %s counts %.0f requests, want at most %d", step, m.addr, got, 2*requests)
			}
		}
	}
	if heard < inDomain*9/10 {
		t.Errorf("%d of %d members of the domain have heard of the failures, want 90%%", heard, inDomain)
	}
}
