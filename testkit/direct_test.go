package testkit

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"egrettack.example/testkit/callers"
	"egrettack.example/testkit/fabric"
	"egrettack.example/testkit/hosts"
	"egrettack.example/testkit/layout"
	"egrettack.example/testkit/operate"
)

// The stand-ins must work without any instance, so that a failure of the demo
// is one of the instances: requests are answered, also with lost, late and
// doubled packets, and the packets of another service are counted.
func TestDirect(t *testing.T) {
	w, err := layout.Generate(layout.Spec{
		Tree: "demo/tree", Out: t.TempDir(), Domains: []string{"north"},
		Hosts: map[string]int{"prairie/register": 2, "prairie/intake": 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h, err := hosts.New(w)
	if err != nil {
		t.Fatal(err)
	}
	f, err := fabric.New(fabric.Config{World: w, Direct: true, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 2)
	go func() { stopped <- h.Run(ctx) }()
	go func() { stopped <- f.Run(ctx) }()
	defer func() { <-stopped; <-stopped }()
	defer cancel()
	for _, u := range []string{w.HostsURL, w.Fabric} {
		if err := operate.Await(ctx, u+"/test/v1/stats"); err != nil {
			t.Fatal(err)
		}
	}
	bad := fabric.Impairment{Loss: 0.01, Duplicate: 0.05, Reorder: 0.1, HoldMS: 5}
	if err := operate.Set(ctx, w, "fabric", fabric.Impairments{In: bad, Out: bad}); err != nil {
		t.Fatal(err)
	}
	p, err := callers.New(callers.Config{World: w, Name: "t", Network: netip.MustParseAddr("10.64.0.1"), Addresses: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	var loads []callers.Load
	for _, s := range []string{
		"prairie/register/feed:count=5,every=20ms", "prairie/register/lookup:count=20,work=1ms,answer=3000",
		"prairie/intake/upload:count=20,work=1ms,size=20000",
	} {
		l, err := callers.ParseLoad(s, w)
		if err != nil {
			t.Fatal(err)
		}
		loads = append(loads, l)
	}
	p.Run(ctx, loads, 500*time.Millisecond)
	s, err := p.Summarize(ctx)
	if err != nil {
		t.Fatal(err)
	}
	// Hosts shed what exceeds their queues; that is an outcome too.
	if s.Requests != 45 || s.Bad() || s.Answered+s.Refused != s.Requests || s.Answered < 25 {
		t.Errorf("%s %v %v", s, s.Failures, s.Notes)
	}
}
