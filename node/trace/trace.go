// Package trace records OpenTelemetry spans of sampled packets: one each for
// the arrival from the fabric, the decision, the relay and the forwarding. The
// context travels between instances in the relay header.
package trace

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"os"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/wire/geneve"
)

// Names of spans.
const (
	FabricIn = "fabric-in"
	Relay    = "relay"
	Place    = "place"
	Forward  = "forward"
	Refuse   = "refuse"
)

// Config of a Tracer.
type Config struct {
	// Sample is the part of the packets from the fabric that is traced, 0 to 1.
	Sample float64
	// File gets the spans as JSON, standard error if empty.
	File string
	// Instance is the name of this instance.
	Instance string
}

// Tracer samples packets and records their spans.
type Tracer struct {
	provider  *sdktrace.TracerProvider
	tracer    oteltrace.Tracer
	threshold uint64
	out       io.Closer
}

// New returns a tracer, or nil when Sample is 0. A nil Tracer is usable and
// records nothing.
func New(cfg Config) (*Tracer, error) {
	if cfg.Sample <= 0 {
		return nil, nil
	}
	var w io.Writer = os.Stderr
	var out io.Closer
	if cfg.File != "" {
		f, err := os.OpenFile(cfg.File, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
		if err != nil {
			return nil, trace.Wrap(err, "open trace file")
		}
		w, out = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, trace.Wrap(err, "create trace exporter")
	}
	return newTracer(cfg, out, sdktrace.WithBatcher(exporter)), nil
}

func newTracer(cfg Config, out io.Closer, opts ...sdktrace.TracerProviderOption) *Tracer {
	opts = append(opts,
		// The decision to sample is taken in Sample, before any span is made.
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "egrettack"),
			attribute.String("service.instance.id", cfg.Instance))),
	)
	provider := sdktrace.NewTracerProvider(opts...)
	t := &Tracer{provider: provider, tracer: provider.Tracer("egrettack"), out: out}
	t.threshold = uint64(min(cfg.Sample, 1) * (math.MaxUint64 >> 1))
	return t
}

// Sample decides whether a packet from the fabric is traced.
func (t *Tracer) Sample() bool {
	return t != nil && rand.Uint64()>>1 < t.threshold
}

// Close writes the spans that are still buffered.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.out != nil {
		err = trace.NewAggregate(err, t.out.Close())
	}
	return trace.Wrap(err, "close tracer")
}

// Packet is the trace of one packet at this instance. A nil Packet records nothing.
type Packet struct {
	t    *Tracer
	ctx  context.Context
	open []oteltrace.Span
}

// Start begins the trace of a packet from the fabric, or goes on with that of
// a relayed packet.
func (t *Tracer) Start(h *geneve.Header, k flow.Key) *Packet {
	p := &Packet{t: t, ctx: context.Background()}
	if h.Traced {
		p.ctx = oteltrace.ContextWithRemoteSpanContext(p.ctx, oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
			TraceID: h.Trace.TraceID, SpanID: h.Trace.SpanID, TraceFlags: oteltrace.TraceFlags(h.Trace.Flags), Remote: true,
		}))
		return p
	}
	p.begin(FabricIn, attribute.String("flow", k.String()))
	return p
}

func (p *Packet) begin(name string, attrs ...attribute.KeyValue) oteltrace.Span {
	ctx, span := p.t.tracer.Start(p.ctx, name, oteltrace.WithAttributes(attrs...))
	p.ctx = ctx
	p.open = append(p.open, span)
	return span
}

// Deciding begins the span of the decision and returns the function that ends it.
func (p *Packet) Deciding() func(*engine.Action) {
	if p == nil {
		return func(*engine.Action) {}
	}
	_, span := p.t.tracer.Start(p.ctx, Place)
	return func(a *engine.Action) {
		span.SetAttributes(attribute.Int("verdict", int(a.Verdict)), attribute.String("reason", string(a.Reason)))
		span.End()
	}
}

// Sending begins the span of what the decision led to. For a relay it returns
// the context that goes into the relay header.
func (p *Packet) Sending(a *engine.Action) (geneve.Trace, bool) {
	if p == nil {
		return geneve.Trace{}, false
	}
	switch a.Verdict {
	case engine.ToHost:
		p.begin(Forward, attribute.String("host", a.Host.Name))
	case engine.ToCaller:
		p.begin(Refuse)
	case engine.ToPeer:
		c := p.begin(Relay, attribute.String("peer", a.Peer.Name)).SpanContext()
		return geneve.Trace{TraceID: c.TraceID(), SpanID: c.SpanID(), Flags: byte(c.TraceFlags())}, true
	case engine.Drop:
	}
	return geneve.Trace{}, false
}

// End ends the spans of the packet, after it was sent.
func (p *Packet) End() {
	for i := len(p.open) - 1; i >= 0; i-- {
		p.open[i].End()
	}
}
