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

// encapsulated returns a caller's packet as the fabric delivers it.
func encapsulated(tb testing.TB, port uint16, flags flow.Flags) []byte {
	return wiretest.FromFabric(wiretest.Packet(tb, packet(port, flags)))
}

// raceDetector reports whether the test was built with the race detector.
var raceDetector bool

// Guards against allocations on the forwarding path: garbage collection would
// add to the latency of packets.
func TestNoAllocation(t *testing.T) {
	for name, remote := range map[string]bool{"owner": false, "relay": true} {
		t.Run(name, func(t *testing.T) {
			h := newWorkerHarness(t, remote)
			allocs := testing.AllocsPerRun(len(h.bufs)/batchSize, func() {
				for range batchSize {
					h.handleNext()
				}
				if h.w.queued != batchSize {
					t.Fatalf("%d of %d packets were queued for sending", h.w.queued, batchSize)
				}
				if raceDetector {
					h.w.queued = 0
					h.w.reportCounts()
					return
				}
				h.w.flush()
			})
			if allocs != 0 {
				t.Fatalf("%v allocations per batch of %d", allocs, batchSize)
			}
		})
	}
}
