package trace

import (
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/wire/geneve"
)

// Guards against a trace that falls apart between two instances.
func TestTwoInstances(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracer := newTracer(Config{Sample: 1, Instance: "n1"}, nil, sdktrace.WithSyncer(spans))
	step := func(h geneve.Header, a engine.Action) geneve.Header {
		p := tracer.Start(&h, flow.Key{})
		p.Deciding()(&a)
		var out geneve.Header
		out.Trace, out.Traced = p.Sending(&a)
		p.End()
		return out
	}
	h := step(geneve.Header{}, engine.Action{Verdict: engine.ToPeer, Peer: &snapshot.Instance{Name: "n2"}})
	if !h.Traced {
		t.Fatal("relayed packet carries no context")
	}
	step(h, engine.Action{Verdict: engine.ToHost, Host: &snapshot.Host{Name: "r1"}})
	parents := map[string]string{FabricIn: "", Relay: FabricIn, Place: "", Forward: Relay}
	names := make(map[string]string)
	for _, s := range spans.GetSpans() {
		names[s.SpanContext.SpanID().String()] = s.Name
	}
	places := 0
	for _, s := range spans.GetSpans() {
		if s.SpanContext.TraceID() != spans.GetSpans()[0].SpanContext.TraceID() {
			t.Errorf("%s is of another trace", s.Name)
		}
		if s.Name == Place {
			places++
			continue
		}
		if got := names[s.Parent.SpanID().String()]; got != parents[s.Name] {
			t.Errorf("parent of %s is %q, want %q", s.Name, got, parents[s.Name])
		}
	}
	if len(names) != 5 || places != 2 {
		t.Errorf("%d spans, %d of them of decisions", len(names), places)
	}
}

// Guards against a sampling rate that is off or cannot be turned off.
func TestSample(t *testing.T) {
	if off, err := New(Config{}); err != nil || off.Sample() {
		t.Fatalf("sampled although off, %v", err)
	}
	count := func(rate float64) (n int) {
		tracer := newTracer(Config{Sample: rate}, nil)
		for range 10000 {
			if tracer.Sample() {
				n++
			}
		}
		return n
	}
	// Five standard deviations around 1000 of 10000.
	if n := count(0.1); n < 850 || n > 1150 {
		t.Errorf("%d of 10000 at a rate of 0.1", n)
	}
	if n := count(1); n != 10000 {
		t.Errorf("%d of 10000 at a rate of 1", n)
	}
}
