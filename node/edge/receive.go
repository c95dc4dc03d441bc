package edge

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	// minPacketMemory is less than what the kernel counts for a datagram of any size
	// against the size of the socket's buffer, in bytes.
	minPacketMemory = 512
	// readMarks is the number of reads whose times are kept, spread evenly over the last
	// reads of as many packets as the socket can hold.
	readMarks = 16
)

// packetReader reads the packets of callers from a socket, and tells how long they may
// have waited there: while the process stood still or was slow, the kernel has kept them.
// A packet arrived after the last time at which the socket was empty, and after the read
// of the packet that was as many packets before it as the socket can hold.
type packetReader struct {
	conn    *net.UDPConn
	raw     syscall.RawConn
	clock   clock
	emptyAt atomic.Int64  // last time at which no packet was waiting, nanoseconds
	after   time.Duration // the last packet arrived after this time

	measuresBusy atomic.Bool   // whether the fields below are kept
	readAt       time.Duration // last read of a packet
	busySince    time.Duration // first read since no packet was waiting
	wasEmpty     bool          // no packet was waiting at the last attempt
	wait         waitTime

	marks       [readMarks + 1]time.Duration // a ring of times of reads, markSpacing reads apart
	oldestMark  int
	markSpacing int
	reads       int

	// tryRead is called while the socket is readable. The fields below are its argument
	// and its result.
	tryRead func(fd uintptr) bool
	noWait  bool
	buffer  []byte
	n       int
	err     error
}

func newPacketReader(conn *net.UDPConn, clk clock) (*packetReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, trace.Wrap(err, "access the packet socket %s", conn.LocalAddr())
	}
	size, sizeErr := 0, error(nil)
	if err := raw.Control(func(fd uintptr) {
		size, sizeErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}); err != nil || sizeErr != nil {
		return nil, trace.Wrap(errors.Join(err, sizeErr), "read the buffer size of the packet socket %s", conn.LocalAddr())
	}
	// Where less is reported than was asked for, the socket may still hold that.
	capacity := max(size, socketBuffer) / minPacketMemory
	r := &packetReader{conn: conn, raw: raw, clock: clk, markSpacing: capacity/readMarks + 1, wasEmpty: true}
	r.tryRead = r.readOnce
	return r, nil
}

// read reads the next packet into b.
func (r *packetReader) read(b []byte) (n int, err error) {
	r.buffer, r.noWait = b, false
	if err := r.raw.Read(r.tryRead); err != nil {
		return 0, err
	}
	return r.n, trace.Wrap(r.err, "read a packet from %s", r.conn.LocalAddr())
}

// readWaiting reads the next packet into b if one is waiting. A lasting error comes
// back at the next read that waits.
func (r *packetReader) readWaiting(b []byte) (n int, ok bool) {
	r.buffer, r.noWait = b, true
	if err := r.raw.Read(r.tryRead); err != nil || r.err != nil {
		return 0, false
	}
	return r.n, true
}

// busyFor returns the time for which packets had been waiting without a break at the last
// read.
func (r *packetReader) busyFor() time.Duration { return r.readAt - r.busySince }

// readOnce reads a packet. It reports false if none is waiting and one is to be waited for.
func (r *packetReader) readOnce(fd uintptr) bool {
	// Taken before the packet, since checkEmpty may run right after that.
	emptyAt := time.Duration(r.emptyAt.Load())
	at := r.clock.now()
	for {
		r.n, r.err = syscall.Read(int(fd), r.buffer)
		if !errors.Is(r.err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(r.err, syscall.EAGAIN) {
		r.emptyAt.Store(int64(at))
		if r.measuresBusy.Load() {
			r.noteEmpty(at)
		}
		return r.noWait
	}
	if r.measuresBusy.Load() {
		r.noteBusy(at)
	} else {
		r.wasEmpty = true // the measurement may begin at the next read
	}
	r.after = max(emptyAt, r.mark(at))
	return true
}

// noteEmpty notes that no packet was waiting.
func (r *packetReader) noteEmpty(at time.Duration) {
	r.wasEmpty = true
	if !r.noWait {
		r.wait.begin(at)
	}
}

// noteBusy notes a read of a packet.
func (r *packetReader) noteBusy(at time.Duration) {
	r.readAt = at
	if r.wasEmpty {
		r.busySince, r.wasEmpty = at, false
	}
	r.wait.end(at)
}

// mark notes the time of a read. It returns the time of one that was as many packets ago
// as the socket can hold, 0 if there were fewer.
func (r *packetReader) mark(at time.Duration) time.Duration {
	if r.reads%r.markSpacing == 0 {
		r.marks[r.oldestMark] = at
		r.oldestMark = (r.oldestMark + 1) % len(r.marks)
	}
	r.reads++
	return r.marks[r.oldestMark]
}

// checkEmpty looks whether a packet is waiting. It may run beside read, which notices only
// the packets that come.
func (r *packetReader) checkEmpty() error {
	_, err := r.isEmpty()
	return err
}

// isEmpty reports whether no packet is waiting.
func (r *packetReader) isEmpty() (empty bool, err error) {
	at := r.clock.now()
	err = r.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) {
			empty = true
			r.emptyAt.Store(int64(at))
		}
	})
	return empty, trace.Wrap(err, "check the packet socket %s", r.conn.LocalAddr())
}

// waitTime is the time spent waiting for packets.
type waitTime struct {
	mu    sync.Mutex
	since time.Duration // begin of the present wait, 0 if there is none
	ended time.Duration // time of the waits that have ended
}

func (w *waitTime) begin(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since == 0 {
		w.since = at
	}
}

func (w *waitTime) end(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since > 0 {
		w.ended += max(at-w.since, 0)
		w.since = 0
	}
}

// total returns the time up to now, that of the present wait included.
func (w *waitTime) total(now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since > 0 {
		return w.ended + max(now-w.since, 0)
	}
	return w.ended
}
