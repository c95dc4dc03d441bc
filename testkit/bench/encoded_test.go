package bench

import (
	"bytes"
	"fmt"
	"math"
	"syscall"
	"testing"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/wire/control"
)

// headers is what IPv4 and UDP add to a datagram, in bytes.
const headers = 28

// BenchmarkEncodedPeers measures heartbeats of one instance against the peers of
// its domain where processes do not suffice: an in-process engine whose messages
// are encoded, and which decodes those of its peers, over a minute of virtual
// time. cpu-% is processor time over virtual time, without system calls.
func BenchmarkEncodedPeers(b *testing.B) {
	for _, peers := range []int{8, 20, 59, 120, 240} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			var r encodedRun
			for range b.N {
				r = newEncodedRun(b, peers)
				r.run(b, 60*time.Second)
			}
			span := r.span.Seconds()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(r.sent)/span, "sent-wire-B/s")
			b.ReportMetric(float64(r.received)/span, "received-wire-B/s")
			b.ReportMetric(100*r.cpu.Seconds()/span, "cpu-%")
		})
	}
}

type encodedRun struct {
	codec          *control.Codec
	snap           *snapshot.Snapshot
	engine         *engine.Engine
	peers          int
	sent, received int
	span, cpu      time.Duration
}

func newEncodedRun(b *testing.B, peers int) encodedRun {
	b.Helper()
	in := labInput(1)
	in.Instances = nil
	for i := range peers + 1 {
		in.Instances = append(in.Instances, snapshot.Instance{ID: snapshot.InstanceID(i + 1), Domain: 1})
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		b.Fatal(err)
	}
	codec, err := control.NewCodec([]control.Key{{ID: 1, Secret: bytes.Repeat([]byte{1}, control.MinSecretLen)}})
	if err != nil {
		b.Fatal(err)
	}
	e := engine.New(0, engine.Config{Self: 1, Domain: 1, Boot: 1, Seed: 1})
	e.SetSnapshot(0, s)
	return encodedRun{codec: codec, snap: s, engine: e, peers: peers}
}

// run gives the engine its ticks and the heartbeats of its peers, which keep the
// engine's own interval. Only the time after the first 10 s counts.
func (r *encodedRun) run(b *testing.B, d time.Duration) {
	b.Helper()
	const warm = 10 * time.Second
	every := time.Second
	next := make([]time.Duration, r.peers)
	seq := make([]uint64, r.peers)
	var begin time.Duration
	for now := time.Duration(0); now < warm+d; now += engine.TickInterval {
		if now == warm {
			r.sent, r.received, begin = 0, 0, processTime()
		}
		for i := range r.peers {
			if now < next[i] {
				continue
			}
			seq[i]++
			next[i] = now + every + time.Duration(i%10)*time.Millisecond
			r.receive(b, now, snapshot.InstanceID(i+2), seq[i], every)
		}
		for _, o := range r.engine.Tick(now) {
			if h := o.Heartbeat; h != nil {
				every = h.Interval
				r.sent += headers + len(r.encode(b, o.To.ID, h))
			}
		}
	}
	r.span, r.cpu = d, processTime()-begin
}

func (r *encodedRun) encode(b *testing.B, to snapshot.InstanceID, h *message.Heartbeat) []byte {
	d, err := r.codec.Append(nil, to, &control.Message{From: h.From, Boot: h.Boot, Seq: h.Seq, Heartbeat: h})
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// receive encodes a peer's heartbeat too, so that the processor time is above
// that of an instance by one encoding a heartbeat received.
func (r *encodedRun) receive(b *testing.B, now time.Duration, from snapshot.InstanceID, seq uint64, every time.Duration) {
	h := &message.Heartbeat{From: from, Boot: 1, Seq: seq, State: message.Ready, Version: r.snap.Version, Interval: every}
	// Each peer claims a group of its own, as most do at the design's size.
	h.Claims = []message.Claim{{Group: snapshot.GroupID{Service: 2, Domain: 1, Index: uint16(from)}, Epoch: 1}}
	d := r.encode(b, 1, h)
	r.received += headers + len(d)
	m, err := r.codec.Read(d, 1)
	if err != nil {
		b.Fatal(err)
	}
	r.engine.Heartbeat(now, m.Heartbeat)
}

// processTime is the processor time of this process.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A slope that is fitted wrongly would make every account of capacity wrong.
func TestSlope(t *testing.T) {
	for _, c := range []struct {
		name       string
		x, y       []float64
		slope, at0 float64
	}{
		{"line", []float64{1, 2, 4}, []float64{5, 7, 11}, 2, 3},
		{"level", []float64{1, 2, 3}, []float64{4, 4, 4}, 0, 4},
		{"scattered", []float64{0, 1, 2, 3}, []float64{1, 0, 3, 2}, 0.6, 0.6},
		{"one point", []float64{2}, []float64{6}, 0, 6},
	} {
		slope, at0 := Slope(c.x, c.y)
		if math.Abs(slope-c.slope) > 1e-9 || math.Abs(at0-c.at0) > 1e-9 {
			t.Errorf("%s: slope %v at 0 %v, want %v and %v", c.name, slope, at0, c.slope, c.at0)
		}
	}
}

// Metrics that are summed under a wrong name would read as no cost at all.
func TestSampleSums(t *testing.T) {
	s := make(Sample)
	for _, l := range []string{
		"# HELP x y", `sent{type="heartbeat"} 5`, `sent{type="copies"} 7`, "plain 1.5e+3", `peers{state="ready"} 4`,
	} {
		s.add(l)
	}
	for name, want := range map[string]float64{"sent": 12, "sent/heartbeat": 5, "sent/copies": 7, "plain": 1500, "peers/ready": 4} {
		if s[name] != want {
			t.Errorf("%s is %v, want %v", name, s[name], want)
		}
	}
}
