package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"egrettack.example/core/flow"
)

// BenchmarkFlowState measures what open flows of a connection kind take of their
// owner and their backup together, in live heap, and the part of them that is
// copied to the backup with the bytes of the copies. Two in-process engines
// before 15 hosts, in virtual time.
func BenchmarkFlowState(b *testing.B) {
	var x, heap []float64
	for _, n := range []int{2000, 5000, 14_286, 28_572} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			in := labInput(1)
			in.Instances = in.Instances[:2]
			l, err := NewLab(1, in)
			if err != nil {
				b.Fatal(err)
			}
			l.Run(5 * time.Second)
			before := liveHeap()
			for i := range n {
				k := flow.Key{
					Src: flow.Addr(10<<24 | i>>14), SrcPort: uint16(1024 + i&0x3fff),
					Dst: feedAt.Addr, DstPort: feedAt.Port, Proto: feedAt.Proto,
				}
				l.Packet(&flow.Packet{Key: k, Flags: flow.SYN, Seq: 5})
				l.Packet(&flow.Packet{Key: k, Flags: flow.ACK | flow.PSH, Seq: 6, Ack: 1, PayloadLen: 10})
				if i%40 == 0 {
					l.Run(500 * time.Millisecond) // 80 new flows a second
				}
			}
			l.Run(time.Minute)
			grown := float64(liveHeap() - before)
			runtime.KeepAlive(l)
			x, heap = append(x, float64(n)), append(heap, grown)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(grown/float64(n), "heap-B/flow")
			b.ReportMetric(100*float64(l.CopyEntries)/float64(n), "copied-%")
			b.ReportMetric(float64(l.CopyBytes)/float64(n), "copy-B/flow")
		})
	}
	b.Run("slope", func(b *testing.B) {
		slope, at0 := Slope(x, heap)
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(slope, "heap-B/flow")
		b.ReportMetric(at0, "heap-B-at-0")
	})
}

func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
