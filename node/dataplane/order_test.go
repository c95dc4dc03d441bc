package dataplane

import (
	"context"
	"encoding/binary"
	"log/slog"
	"testing"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/metrics"
	"egrettack.example/wire/geneve"
)

// fixedHost is a Decider that sends every packet to one host.
type fixedHost struct{ host *snapshot.Host }

func (b fixedHost) Packet(time.Duration, *flow.Packet, *engine.Relay) engine.Action {
	return engine.Action{Verdict: engine.ToHost, Host: b.host}
}

// Guards against workers that let packets of one flow overtake one another:
// with 4 workers and no order a fifth of the packets did.
func TestOrder(t *testing.T) {
	const packets, seqOff = 5000, geneve.HeaderLen + ip4HeaderLen + 4
	in, sink, out := listen(t), listen(t), listen(t)
	plane := New(Config{
		Conn: in, Decider: fixedHost{&snapshot.Host{Tunnel: addrOf(sink)}}, Workers: 4, Metrics: metrics.New(),
		Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = plane.Run(ctx) }()
	slots := make(chan struct{}, maxInFlight)
	go func() {
		b := encapsulated(t, 5, flow.ACK)
		for i := range uint32(packets) {
			slots <- struct{}{}
			binary.BigEndian.PutUint32(b[seqOff:], i)
			_, _ = out.WriteTo(b, in.LocalAddr())
		}
	}()
	buf := make([]byte, 2048)
	for want := range uint32(packets) {
		_ = sink.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := sink.Read(buf); err != nil {
			t.Fatal(err)
		}
		<-slots
		if got := binary.BigEndian.Uint32(buf[seqOff:]); got != want {
			t.Fatalf("got packet %d, want %d", got, want)
		}
	}
}

// Guards against a batch that waits for one that shares no flow with it, or
// does not wait for one that does.
func TestAwait(t *testing.T) {
	o := newBatchOrder(3)
	enter := func(worker int, lanes ...uint16) []uint64 {
		after := make([]uint64, 3)
		o.begin(worker)
		for _, l := range lanes {
			o.addBucket(worker, l, after)
		}
		return after
	}
	enter(0, 1, 1, 2)
	enter(1, 3)
	after := enter(2, 2, 4)
	if after[0] != 1 || after[1] != 0 || after[2] != 0 {
		t.Fatalf("waits for batches %v", after)
	}
	done := make(chan struct{})
	go func() { o.await(after); close(done) }()
	select {
	case <-done:
		t.Fatal("did not wait")
	case <-time.After(20 * time.Millisecond):
	}
	o.end(0)
	// The worker's next batch waits for the third, which must not wait for it.
	if again := enter(0, 4); again[2] != 3 {
		t.Fatalf("waits for batches %v", again)
	}
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("waits for a batch that has ended")
	}
}
