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

func (h fixedHost) Packet(time.Duration, *flow.Packet, *engine.Relay) engine.Action {
	return engine.Action{Verdict: engine.ToHost, Host: h.host}
}

// Guards against workers that reorder the packets of one flow: without the batch
// order, 4 workers reordered a fifth of the packets.
func TestOrder(t *testing.T) {
	const packets, seqOff = 5000, geneve.HeaderLen + ip4HeaderLen + 4
	in, sink, sender := listen(t), listen(t), listen(t)
	plane := New(Config{
		Conn: in, Decider: fixedHost{&snapshot.Host{Tunnel: addrOf(sink)}}, Workers: 4, Metrics: metrics.New(),
		Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = plane.Run(ctx) }()
	inFlight := make(chan struct{}, maxInFlight)
	go func() {
		b := encapsulated(t, 5, flow.ACK)
		for i := range uint32(packets) {
			inFlight <- struct{}{}
			binary.BigEndian.PutUint32(b[seqOff:], i)
			_, _ = sender.WriteTo(b, in.LocalAddr())
		}
	}()
	buf := make([]byte, 2048)
	for want := range uint32(packets) {
		_ = sink.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := sink.Read(buf); err != nil {
			t.Fatal(err)
		}
		<-inFlight
		if got := binary.BigEndian.Uint32(buf[seqOff:]); got != want {
			t.Fatalf("received packet %d, want %d", got, want)
		}
	}
}

// Guards against a batch that waits for another with which it has no bucket in
// common, or that does not wait for an earlier one with which it has.
func TestAwait(t *testing.T) {
	o := newBatchOrder(3)
	begin := func(worker int, buckets ...uint16) []uint64 {
		waitFor := make([]uint64, 3)
		o.begin(worker)
		for _, b := range buckets {
			o.addBucket(worker, b, waitFor)
		}
		return waitFor
	}
	begin(0, 1, 1, 2)
	begin(1, 3)
	waitFor := begin(2, 2, 4)
	if waitFor[0] != 1 || waitFor[1] != 0 || waitFor[2] != 0 {
		t.Fatalf("batch 3 waits for batches %v (by worker), want [1 0 0]", waitFor)
	}
	done := make(chan struct{})
	go func() { o.await(waitFor); close(done) }()
	select {
	case <-done:
		t.Fatal("await returned before the earlier batch had ended")
	case <-time.After(20 * time.Millisecond):
	}
	o.end(0)
	// Worker 0's next batch waits for batch 3, which must not wait for that one.
	if next := begin(0, 4); next[2] != 3 {
		t.Fatalf("batch 4 waits for batches %v (by worker), want batch 3 of worker 2", next)
	}
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("await still waits 5 s after the earlier batch has ended")
	}
}
