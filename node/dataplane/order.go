package dataplane

import (
	"encoding/binary"
	"sync"

	"egrettack.example/wire/geneve"
)

// buckets is the number of hash buckets for flows. Batches that have a bucket in
// common are handled one after the other. With 4 workers, 5 of 6 batches of
// unrelated flows have none in common, and the table of 128 KiB stays in the
// cache of a core.
const buckets = 1 << 14

// batchOrder keeps the packets of each flow in the order in which they were
// read, although several workers read and send batches. Reordered packets slow
// TCP down and look like retransmissions to the owner of the flow.
//
// A batch waits only for earlier batches, so workers cannot deadlock.
type batchOrder struct {
	readMu       sync.Mutex        // held while a batch is read and registered
	lastBatch    uint64            // number of the last batch; guarded by readMu
	lastInBucket [buckets]batchRef // last batch with a packet of the bucket; guarded by readMu
	progress     []workerProgress  // by worker
}

// batchRef is the number of a batch and, in the low 8 bits, the worker that
// handles it.
type batchRef uint64

const (
	workerBits = 8
	maxWorkers = 1 << workerBits
)

// workerProgress is the state of the batch that a worker is handling.
type workerProgress struct {
	mu    sync.Mutex
	ended sync.Cond
	batch uint64   // number of the batch, 0 if none
	_     [64]byte // keeps the fields of two workers in different cache lines
}

func newBatchOrder(workers int) *batchOrder {
	o := &batchOrder{progress: make([]workerProgress, workers)}
	for i := range o.progress {
		o.progress[i].ended.L = &o.progress[i].mu
	}
	return o
}

// begin registers a new batch of the worker. The caller must hold o.readMu.
func (o *batchOrder) begin(worker int) {
	o.lastBatch++
	p := &o.progress[worker]
	p.mu.Lock()
	p.batch = o.lastBatch
	p.mu.Unlock()
}

// addBucket adds a bucket to the batch that the worker has begun. If another
// worker has the previous batch with this bucket, waitFor of that worker is set
// to the number of that batch. The caller must hold o.readMu.
func (o *batchOrder) addBucket(worker int, bucket uint16, waitFor []uint64) {
	previous := o.lastInBucket[bucket]
	if other := int(previous % maxWorkers); other != worker {
		waitFor[other] = max(waitFor[other], uint64(previous>>workerBits))
	}
	o.lastInBucket[bucket] = batchRef(o.lastBatch<<workerBits | uint64(worker))
}

// await waits until the batches in waitFor have ended, and clears waitFor.
func (o *batchOrder) await(waitFor []uint64) {
	for worker, batch := range waitFor {
		if batch == 0 {
			continue
		}
		waitFor[worker] = 0
		p := &o.progress[worker]
		p.mu.Lock()
		for p.batch == batch {
			p.ended.Wait()
		}
		p.mu.Unlock()
	}
}

// end marks the worker's batch as ended and wakes the workers that wait for it.
func (o *batchOrder) end(worker int) {
	p := &o.progress[worker]
	p.mu.Lock()
	p.batch = 0
	p.mu.Unlock()
	p.ended.Broadcast()
}

// Fields of the inner packet that bucketOf reads, and the factor of its hash.
const (
	ip4SrcOff      = 12
	ip4HeaderLen   = 20
	portsLen       = 4
	hashMultiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
)

// bucketOf returns the bucket of a Geneve datagram by the addresses and ports of
// its inner packet. Datagrams that are too short for these are dropped later;
// they are all in bucket 0.
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
	return uint16(h >> 50) // the top 14 bits: 2^14 buckets
}
