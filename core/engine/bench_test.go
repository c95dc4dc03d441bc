package engine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/member"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// designInput is the size to design for: 420 instances in 7 domains of 2
// regions, 3,500 hosts of 50 services behind 500 addresses.
func designInput(version snapshot.Version) snapshot.Input {
	const domains, instances, services, kinds, hosts = 7, 420, 50, 10, 3500
	in := snapshot.Input{Version: version}
	for d := range domains {
		in.Domains = append(in.Domains, snapshot.Domain{ID: snapshot.DomainID(d + 1), Region: fmt.Sprint("r", d%2)})
	}
	for s := range services {
		svc := snapshot.Service{ID: snapshot.ServiceID(s + 1), Name: fmt.Sprint("service", s)}
		for k := range kinds {
			o := snapshot.OccupiesSlot
			if k%2 == 0 {
				o = snapshot.OccupiesConnection
			}
			svc.Kinds = append(svc.Kinds, kind(snapshot.KindID(k+1), o,
				snapshot.Endpoint{Addr: flow.Addr(s*kinds + k + 1), Port: 80, Proto: flow.TCP}))
		}
		in.Services = append(in.Services, svc)
	}
	for h := range hosts {
		in.Hosts = append(in.Hosts, snapshot.Host{
			ID: snapshot.HostID(h + 1), Domain: snapshot.DomainID(h%domains + 1),
			Service: snapshot.ServiceID(h/domains%services + 1), Slots: 2, ConnectionLimit: 2000, QueueLimit: 10,
		})
	}
	for i := range instances {
		in.Instances = append(in.Instances, snapshot.Instance{
			ID: snapshot.InstanceID(i + 1), Domain: snapshot.DomainID(i%domains + 1),
		})
	}
	return in
}

func mustSnapshot(tb testing.TB, in snapshot.Input, old *snapshot.Snapshot) *snapshot.Snapshot {
	s, err := snapshot.New(in, old)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// designEngine is an instance that has heard all peers and owns a group.
func designEngine(tb testing.TB, s *snapshot.Snapshot) (*Engine, time.Duration) {
	for self := snapshot.InstanceID(1); self < 420; self += 7 {
		e := New(0, Config{Self: self, Domain: 1, Boot: 1, Seed: 1, MaxFlows: 1 << 24})
		e.SetSnapshot(0, s)
		var now time.Duration
		for seq := uint64(1); now < 4*time.Second; now += TickInterval {
			if now%(500*time.Millisecond) == 0 {
				for id := snapshot.InstanceID(1); id <= 420; id++ {
					e.Heartbeat(now, &message.Heartbeat{From: id, Boot: 1, Seq: seq, State: message.Ready, Version: s.Version})
				}
				seq++
			}
			e.Tick(now)
		}
		for _, l := range e.order {
			if l.owned() {
				return e, now
			}
		}
	}
	tb.Fatal("no instance owns a group")
	return nil, 0
}

// ownedKeys returns flow keys whose first group the engine owns, or not.
func ownedKeys(e *Engine, n int, owned bool) []flow.Key {
	v := e.view.Load()
	var keys []flow.Key
	for i := uint32(0); len(keys) < n && i < 1<<28; i++ {
		k := flow.Key{Src: flow.Addr(i / 50000), SrcPort: uint16(i % 50000), Dst: flow.Addr(i%50*10 + 1), DstPort: 80, Proto: flow.TCP}
		b, _ := v.Lookup(endpoint(k))
		o := v.ServiceOwners(b.Service.ID)[b.Service.Rank(k)[0]]
		l := e.local(o.ID)
		if (l != nil && l.owned()) == owned && o.Target != nil {
			keys = append(keys, k)
		}
	}
	return keys
}

func BenchmarkPacket(b *testing.B) {
	s := mustSnapshot(b, designInput(1), nil)
	e, now := designEngine(b, s)
	run := func(name string, keys []flow.Key, p flow.Packet, want Verdict) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Key = keys[i%len(keys)]
				if a := e.Packet(now, &p, nil); a.Verdict != want {
					b.Fatalf("verdict %d, reason %s", a.Verdict, a.Reason)
				}
				i++
			}
		})
	}
	syn := flow.Packet{Flags: flow.SYN, Seq: 1}
	data := flow.Packet{Flags: flow.ACK, Seq: 2, Ack: 1, PayloadLen: 100}
	known := ownedKeys(e, 4096, true)
	for _, k := range known {
		syn.Key = k
		e.Packet(now, &syn, nil)
	}
	run("established", known, data, ToHost)
	run("relayed", ownedKeys(e, 4096, false), data, ToPeer)
	missing := ownedKeys(e, 8192, true)[4096:]
	run("miss", missing, data, ToPeer)
	// A flow is opened and ended again, since owned keys are few; one operation
	// is two packets.
	b.Run("new and reset", func(b *testing.B) {
		b.ReportAllocs()
		rst := flow.Packet{Flags: flow.RST}
		i := 0
		for b.Loop() {
			syn.Key, rst.Key = known[i%len(known)], known[i%len(known)]
			syn.Seq++
			e.Packet(now, &rst, nil)
			if a := e.Packet(now, &syn, nil); a.Verdict != ToHost {
				b.Fatalf("verdict %d, reason %s", a.Verdict, a.Reason)
			}
			i++
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	in := designInput(1)
	old := mustSnapshot(b, in, nil)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			mustSnapshot(b, in, nil)
		}
	})
	b.Run("settings change", func(b *testing.B) {
		for b.Loop() {
			mustSnapshot(b, in, old)
		}
	})
	more := in
	more.Hosts = append(more.Hosts[:len(more.Hosts):len(more.Hosts)], newHost(4000, 1, 1))
	b.Run("host change", func(b *testing.B) {
		for b.Loop() {
			mustSnapshot(b, more, old)
		}
	})
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkMemory(b *testing.B) {
	in := designInput(1)
	for b.Loop() {
		start := liveHeap()
		s := mustSnapshot(b, in, nil)
		built := liveHeap()
		t := member.New(0, member.Config{Self: 1, Domain: 1, Boot: 1})
		t.SetSnapshot(0, s)
		v := t.View()
		b.ReportMetric((built-start)/1e6, "MB-snapshot")
		b.ReportMetric((liveHeap()-built)/1e6, "MB-view")
		runtime.KeepAlive(v)
		runtime.KeepAlive(in)
	}
}

// BenchmarkHeartbeats measures the bytes a second that an instance sends, by
// the estimate of member.Size, and the time that it takes for one second of
// peers' heartbeats and its own ticks.
func BenchmarkHeartbeats(b *testing.B) {
	for _, peers := range []int{8, 20, 40, 60} {
		b.Run(fmt.Sprint(peers, " peers"), func(b *testing.B) {
			in := designInput(1)
			in.Instances = nil
			for i := range 7 * (peers + 1) {
				in.Instances = append(in.Instances, snapshot.Instance{
					ID: snapshot.InstanceID(i + 1), Domain: snapshot.DomainID(i%7 + 1),
				})
			}
			s := mustSnapshot(b, in, nil)
			e := New(0, Config{Self: 1, Domain: 1, Boot: 1})
			e.SetSnapshot(0, s)
			var now time.Duration
			bytes, seconds := 0, 0
			seq := uint64(0)
			second := func() {
				seconds++
				for range int(time.Second / TickInterval) {
					now += TickInterval
					for _, o := range e.Tick(now) {
						if o.Heartbeat != nil {
							bytes += member.HeartbeatSize(o.Heartbeat)
						}
					}
				}
				seq++
				hear := func(id int) {
					e.Heartbeat(now, &message.Heartbeat{
						From: snapshot.InstanceID(id), Boot: 1, Seq: seq, State: message.Ready,
						Version: 1, Interval: time.Second,
					})
				}
				for i := range peers {
					hear(7*(i+1) + 1)
				}
				for i := range 8 {
					hear(i%6 + 2 + 7*int(seq%uint64(peers)))
				}
			}
			for range 10 {
				second() // until the instance is ready and has claimed its groups
			}
			bytes, seconds = 0, 0
			for b.Loop() {
				second()
			}
			b.ReportMetric(float64(bytes)/float64(seconds), "B/s")
		})
	}
}
