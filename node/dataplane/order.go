package dataplane

import (
	"encoding/binary"
	"sync"

	"egrettack.example/wire/geneve"
)

// buckets is the number of classes that flows fall into by their hash. Batches
// that share a lane are worked on one after the other. With 4 workers, 5 of 6
// batches of unrelated flows share none, and the table of 128 KiB stays in the
// cache of a core.
const buckets = 1 << 14

// batchOrder keeps the packets of each flow in the batchOrder in which they were read,
// although several workers read and send batches. Packets that overtake one
// another slow TCP down and look like retransmissions to the owner.
//
// A batch waits for earlier batches only, so that no circle of waiting workers
// can arise.
type batchOrder struct {
	readMu       sync.Mutex        // held while a batch is read and entered
	lastBatch    uint64            // number of the last batch; guarded by read
	lastInBucket [buckets]batchRef // last batch with a packet of the lane; guarded by read
	progress     []progress        // by worker
}

// batchRef names a batch and, in the low 8 bits, its worker.
type batchRef uint64

const (
	workerBits = 8
	maxWorkers = 1 << workerBits
)

// progress is the batch that a worker has in progress, 0 if none.
type progress struct {
	mu    sync.Mutex
	ended sync.Cond
	batch uint64
	_     [64]byte // keeps the turns of two workers out of one cache line
}

func newBatchOrder(workers int) *batchOrder {
	o := &batchOrder{progress: make([]progress, workers)}
	for i := range o.progress {
		o.progress[i].ended.L = &o.progress[i].mu
	}
	return o
}

// begin enters a batch of the worker. o.read is held.
func (o *batchOrder) begin(worker int) {
	o.lastBatch++
	t := &o.progress[worker]
	t.mu.Lock()
	t.batch = o.lastBatch
	t.mu.Unlock()
}

// addBucket adds a lane to the batch that the worker has begun and notes the batch
// that held the lane before in after, by worker. o.read is held.
func (o *batchOrder) addBucket(worker int, lane uint16, after []uint64) {
	before := o.lastInBucket[lane]
	if by := int(before % maxWorkers); by != worker {
		after[by] = max(after[by], uint64(before>>workerBits))
	}
	o.lastInBucket[lane] = batchRef(o.lastBatch<<workerBits | uint64(worker))
}

// await waits until the batches in after have ended, and clears it.
func (o *batchOrder) await(after []uint64) {
	for worker, batch := range after {
		if batch == 0 {
			continue
		}
		after[worker] = 0
		t := &o.progress[worker]
		t.mu.Lock()
		for t.batch == batch {
			t.ended.Wait()
		}
		t.mu.Unlock()
	}
}

// end ends the batch of the worker.
func (o *batchOrder) end(worker int) {
	t := &o.progress[worker]
	t.mu.Lock()
	t.batch = 0
	t.mu.Unlock()
	t.ended.Broadcast()
}

// Offsets in an IPv4 header, and the length of what laneOf takes behind it.
const (
	ip4SrcOff      = 12
	ip4HeaderLen   = 20
	portsLen       = 4
	hashMultiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
)

// bucketOf returns the lane of a Geneve datagram by its inner addresses and
// ports. Datagrams that are too short for them, and are dropped later, share
// one lane.
func bucketOf(b []byte) uint16 {
	if len(b) < geneve.HeaderLen {
		return 0
	}
	inner := geneve.HeaderLen + int(b[0]&0x3F)*4
	if len(b) < inner+ip4HeaderLen {
		return 0
	}
	ports := inner + int(b[inner]&0x0F)*4
	if len(b) < ports+portsLen {
		return 0
	}
	h := binary.LittleEndian.Uint64(b[inner+ip4SrcOff:]) * hashMultiplier
	h = (h ^ h>>32 ^ uint64(binary.LittleEndian.Uint32(b[ports:]))) * hashMultiplier
	return uint16(h >> 50) // the top 14 bits, lanes of them
}
