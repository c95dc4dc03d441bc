package edge

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// emptyCheckInterval is the time after which a reader that waits for a datagram looks
// again whether one has arrived. It is short against the 200 ms until a caller sends a
// copy of its SYN.
const emptyCheckInterval = 50 * time.Millisecond

// packetReader reads the packets of callers from a socket, and tells how long they may
// have waited there: while the process stood still or was slow, the kernel has kept them.
type packetReader struct {
	conn    *net.UDPConn
	raw     syscall.RawConn
	clock   clock
	emptyAt time.Duration // last time at which no packet was waiting
}

func newPacketReader(conn *net.UDPConn, clk clock) (*packetReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, trace.Wrap(err, "access the packet socket %s", conn.LocalAddr())
	}
	r := &packetReader{conn: conn, raw: raw, clock: clk}
	return r, r.setWait()
}

// setWait limits the next wait for a packet.
func (r *packetReader) setWait() error {
	return trace.Wrap(r.conn.SetReadDeadline(time.Now().Add(emptyCheckInterval)), "limit the wait for packets on %s", r.conn.LocalAddr())
}

// read reads the next packet into b. It arrived after emptyAt.
func (r *packetReader) read(b []byte) (n int, err error) {
	for {
		waitErr := r.raw.Read(func(fd uintptr) bool {
			at := r.clock.now()
			for {
				n, err = syscall.Read(int(fd), b)
				if !errors.Is(err, syscall.EINTR) {
					break
				}
			}
			if errors.Is(err, syscall.EAGAIN) {
				r.emptyAt = at
				return false
			}
			return true
		})
		switch {
		case waitErr == nil && err != nil:
			return 0, trace.Wrap(err, "read a packet from %s", r.conn.LocalAddr())
		case waitErr == nil:
			return n, nil
		case !errors.Is(waitErr, os.ErrDeadlineExceeded):
			return 0, waitErr
		}
		if err := r.setWait(); err != nil {
			return 0, err
		}
	}
}
