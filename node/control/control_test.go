package control

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
	wire "egrettack.example/wire/control"
)

// fakeEngine implements Engine and Peers. The first Tick returns all outputs;
// the calls that it receives are recorded in events.
type fakeEngine struct {
	Engine
	snap    *snapshot.Snapshot
	mu      sync.Mutex
	outputs []engine.Output
	events  chan string
}

func (s *fakeEngine) Snapshot() *snapshot.Snapshot { return s.snap }

func (s *fakeEngine) Tick(time.Duration) []engine.Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	outputs := s.outputs
	s.outputs = nil
	return outputs
}

func (s *fakeEngine) Heartbeat(_ time.Duration, h *message.Heartbeat) { s.events <- "heartbeat" }
func (s *fakeEngine) Learn(_ time.Duration, l *message.Learn)         { s.events <- "learn" }
func (s *fakeEngine) CopyAck(_ time.Duration, a *message.CopyAck)     { s.events <- "ack" }
func (s *fakeEngine) Pull(context.Context, string, message.PullRequest) (message.PullReply, error) {
	return message.PullReply{}, errors.New("no connection")
}

func (s *fakeEngine) FetchSnapshot(context.Context, string) error { s.events <- "fetch"; return nil }

func (s *fakeEngine) CopyBatch(_ time.Duration, b *message.CopyBatch) (message.CopyAck, bool) {
	return message.CopyAck{From: 2, Group: b.Group, Epoch: b.Epoch, Seq: b.Seq}, true
}

func (s *fakeEngine) PullDone(_ time.Duration, r *message.PullRequest, reply *message.PullReply, err error) {
	if reply == nil && err != nil {
		s.events <- "pull failed"
	}
}

// expect waits for len(want) events and compares them regardless of their
// order. want must be sorted.
func (s *fakeEngine) expect(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for range want {
		select {
		case e := <-s.events:
			got = append(got, e)
		case <-time.After(5 * time.Second):
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
}

type loopPair struct {
	conns   [2]*net.UDPConn
	engines [2]*fakeEngine
	loops   [2]*Loop
	codec   *wire.Codec
}

// newLoopPair runs the control loops of instances 1 and 2, which send to each
// other over loopback sockets.
func newLoopPair(t *testing.T, budget int) *loopPair {
	t.Helper()
	p := &loopPair{}
	in := snapshot.Input{Version: 1, Domains: []snapshot.Domain{{ID: 1}}}
	for i := range p.conns {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		p.conns[i] = c
		in.Instances = append(in.Instances, snapshot.Instance{ID: snapshot.InstanceID(i + 1), Domain: 1, Control: c.LocalAddr().(*net.UDPAddr).AddrPort()})
	}
	snap, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if p.codec, err = wire.NewCodec([]wire.Key{{ID: 1, Secret: bytes.Repeat([]byte{1}, 32)}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range p.loops {
		e := &fakeEngine{snap: snap, events: make(chan string, 16)}
		p.engines[i] = e
		p.loops[i] = New(Config{
			Conn: p.conns[i], Engine: e, Peers: e, Codec: p.codec, Self: snapshot.InstanceID(i + 1), Domain: 1, Boot: 5, Budget: budget,
			Now: func() time.Duration { return 0 }, SendReset: func(*flow.Reset) error { e.events <- "reset"; return nil },
			Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler),
		})
		wg.Go(func() { _ = p.loops[i].Run(ctx) })
	}
	return p
}

// Guards against engine outputs that are not executed, messages that do not
// reach the peer's engine, and copies that are not acknowledged.
func TestOutputs(t *testing.T) {
	p := newLoopPair(t, 9000)
	to := p.engines[0].snap.Instances[2]
	p.engines[0].mu.Lock()
	p.engines[0].outputs = []engine.Output{
		{To: to, Heartbeat: &message.Heartbeat{From: 1, Boot: 5, Seq: 1}},
		{To: to, Copies: &message.CopyBatch{From: 1, Epoch: 1, Seq: 1}},
		{To: to, Pull: &message.PullRequest{From: 1}},
		{To: to, Fetch: true},
		{Reset: &flow.Reset{}},
		{To: to, Learn: &message.Learn{From: 1}},
	}
	// A new field of engine.Output has to be added here and in execute.
	if fields := reflect.TypeFor[engine.Output]().NumField(); fields != len(p.engines[0].outputs)+1 {
		t.Errorf("engine.Output has %d kinds of output, the test covers %d", fields-1, len(p.engines[0].outputs))
	}
	p.engines[0].mu.Unlock()
	p.loops[0].Learn(to, message.Learn{From: 1})
	p.engines[1].expect(t, "heartbeat", "learn", "learn")
	p.engines[0].expect(t, "ack", "fetch", "pull failed", "reset")
}

// Guards against control messages that are accepted twice (replay) or without
// a valid authentication tag.
func TestRejects(t *testing.T) {
	p := newLoopPair(t, 9000)
	b, err := p.codec.Append(nil, 2, &wire.Message{From: 1, Boot: 5, Seq: 3, Learn: &message.Learn{From: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range [][]byte{[]byte("garbage"), append(bytes.Clone(b[:len(b)-1]), b[len(b)-1]^1), b, b} {
		if _, err := p.conns[0].WriteTo(d, p.conns[1].LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	p.engines[1].expect(t, "learn")
	rejected := p.loops[1].cfg.Metrics.ControlRejected
	for _, reason := range []string{"length", "tag", "replay"} {
		deadline := time.Now().Add(5 * time.Second)
		for testutil.ToFloat64(rejected.WithLabelValues(reason)) != 1 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if n := testutil.ToFloat64(rejected.WithLabelValues(reason)); n != 1 {
			t.Errorf("%v messages rejected with reason %q, want 1", n, reason)
		}
	}
}

// Guards against control traffic over the budget, and against heartbeats that
// the limiter rejects.
func TestLimiter(t *testing.T) {
	l := newLimiter(1000)
	if !l.allow(0, 2000, false) || l.allow(0, 1, false) {
		t.Fatal("burst is not limited to 2000 bytes (2 s of the budget)")
	}
	if !l.allow(0, 500, true) || l.allow(500*time.Millisecond, 1, false) {
		t.Fatal("heartbeat rejected, or its bytes not taken from the budget")
	}
	if !l.allow(time.Second, 500, false) || l.allow(time.Second, 1, false) {
		t.Fatal("tokens added in 0.5 s are not 500 bytes")
	}
	for range 100 {
		l.allow(time.Second, 1000, true)
	}
	if l.allow(3*time.Second, 1, false) || !l.allow(4*time.Second, 1000, false) {
		t.Fatal("tokens are not limited to -2000 bytes (2 s of the budget) after heartbeats")
	}
}
