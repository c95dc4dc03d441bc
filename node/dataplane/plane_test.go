package dataplane

import (
	"testing"

	"egrettack.example/core/flow"
	"egrettack.example/wire/wiretest"
)

const (
	callerAddr  flow.Addr = 192<<24 | 2<<8 | 9
	serviceAddr flow.Addr = 10<<24 | 9<<16 | 1
)

func packet(port uint16, flags flow.Flags) flow.Packet {
	return flow.Packet{
		Key:   flow.Key{Src: callerAddr, Dst: serviceAddr, SrcPort: port, DstPort: 7002, Proto: flow.TCP},
		Flags: flags, Seq: 100, PayloadLen: 64,
	}
}

// encapsulated is a caller's packet as the fabric delivers it.
func encapsulated(tb testing.TB, port uint16, flags flow.Flags) []byte {
	return wiretest.FromFabric(wiretest.Packet(tb, packet(port, flags)))
}

// raceDetector tells that the test runs under the race detector.
var raceDetector bool

// Guards against allocations on the forwarding path, which would bring the
// garbage collector into every packet's delay.
func TestNoAllocation(t *testing.T) {
	for name, remote := range map[string]bool{"owner": false, "relay": true} {
		t.Run(name, func(t *testing.T) {
			r := newWorkerHarness(t, remote)
			allocs := testing.AllocsPerRun(len(r.bufs)/batchSize, func() {
				for range batchSize {
					r.handleNext()
				}
				if r.w.queued != batchSize {
					t.Fatalf("%d of %d packets are sent on", r.w.queued, batchSize)
				}
				if raceDetector {
					r.w.queued = 0
					r.w.reportCounts()
					return
				}
				r.w.flush()
			})
			if allocs != 0 {
				t.Fatalf("%v allocations per batch of %d", allocs, batchSize)
			}
		})
	}
}
