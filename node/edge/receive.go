package edge

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// packetReader reads the packets of callers from a socket, and tells how long they may
// have waited there: while the process stood still or was slow, the kernel has kept them.
type packetReader struct {
	conn    *net.UDPConn
	raw     syscall.RawConn
	clock   clock
	emptyAt atomic.Int64  // last time at which no packet was waiting, nanoseconds
	after   time.Duration // the last packet arrived after this time
}

func newPacketReader(conn *net.UDPConn, clk clock) (*packetReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, trace.Wrap(err, "access the packet socket %s", conn.LocalAddr())
	}
	return &packetReader{conn: conn, raw: raw, clock: clk}, nil
}

// read reads the next packet into b.
func (r *packetReader) read(b []byte) (n int, err error) {
	waitErr := r.raw.Read(func(fd uintptr) bool {
		// Taken before the packet, since checkEmpty may run right after that.
		r.after = time.Duration(r.emptyAt.Load())
		at := r.clock.now()
		for {
			n, err = syscall.Read(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if errors.Is(err, syscall.EAGAIN) {
			r.emptyAt.Store(int64(at))
			return false
		}
		return true
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, trace.Wrap(err, "read a packet from %s", r.conn.LocalAddr())
}

// checkEmpty looks whether a packet is waiting. It may run beside read, which notices only
// the packets that come.
func (r *packetReader) checkEmpty() error {
	at := r.clock.now()
	err := r.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) {
			r.emptyAt.Store(int64(at))
		}
	})
	return trace.Wrap(err, "check the packet socket %s", r.conn.LocalAddr())
}
