package dataplane

import (
	"testing"

	"egrettack.example/core/flow"
	"egrettack.example/wire/wiretest"
)

const (
	caller flow.Addr = 192<<24 | 2<<8 | 9
	callee flow.Addr = 10<<24 | 9<<16 | 1
)

func packet(port uint16, flags flow.Flags) flow.Packet {
	return flow.Packet{
		Key:   flow.Key{Src: caller, Dst: callee, SrcPort: port, DstPort: 7002, Proto: flow.TCP},
		Flags: flags, Seq: 100, PayloadLen: 64,
	}
}

// tunnelled is a caller's packet as the fabric delivers it.
func tunnelled(tb testing.TB, port uint16, flags flow.Flags) []byte {
	return wiretest.FromFabric(wiretest.Packet(tb, packet(port, flags)))
}

// raceDetector tells that the test runs under the race detector.
var raceDetector bool

// Guards against allocations on the forwarding path, which would bring the
// garbage collector into every packet's delay.
func TestNoAllocation(t *testing.T) {
	for name, remote := range map[string]bool{"owner": false, "relay": true} {
		t.Run(name, func(t *testing.T) {
			r := newWorkerRig(t, remote)
			allocs := testing.AllocsPerRun(len(r.bufs)/batchLen, func() {
				for range batchLen {
					r.one()
				}
				if r.w.n != batchLen {
					t.Fatalf("%d of %d packets are sent on", r.w.n, batchLen)
				}
				if raceDetector {
					r.w.n = 0
					r.w.report()
					return
				}
				r.w.flush()
			})
			if allocs != 0 {
				t.Fatalf("%v allocations per batch of %d", allocs, batchLen)
			}
		})
	}
}
