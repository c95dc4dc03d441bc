package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
)

const (
	// firstFailurePause is the pause after a socket has failed. It doubles with each
	// further failure up to maxFailurePause.
	firstFailurePause = 10 * time.Millisecond
	maxFailurePause   = time.Second
	// maxFailures is the number of successive failures of a socket after which it
	// is given up, and the process ends to be started again: about 10 s.
	maxFailures = 16
)

// contain runs f. A panic in it is logged and counted instead of ending the
// process, so that one malformed message costs no more than itself.
func (i *Instance) contain(what string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			i.metrics.panics.Inc()
			i.logPanic(what, r)
		}
	}()
	f()
}

func (i *Instance) logPanic(what string, r any) {
	i.mu.Lock()
	ok, suppressed := i.packetLogLimiter.Allow(i.clock.now())
	i.mu.Unlock()
	if ok {
		i.log.Error("a failure was contained", "in", what, "error", fmt.Sprint(r), "suppressed", suppressed, "stack", string(debug.Stack()))
	}
}

// failures counts the successive failures of a socket.
type failures struct{ count int }

// retry waits before the socket is used again after an error. It reports false
// when it is closed, and an error when it is given up.
func (f *failures) retry(ctx context.Context, i *Instance, step string, err error) (bool, error) {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return false, nil
	}
	f.count++
	if f.count > maxFailures {
		return false, trace.Wrap(err, "%s, %d failures", step, f.count)
	}
	pause := min(firstFailurePause<<(f.count-1), maxFailurePause)
	i.log.Warn("socket failed", "step", step, "error", err, "failures", f.count, "pause", pause)
	return sleep(ctx, pause) == nil, nil
}

// receive handles the datagrams of a socket until ctx is done. A failure to read
// is survived, a panic of the handler as well.
func (i *Instance) receive(ctx context.Context, conn *net.UDPConn, what string, read func(b []byte) (int, error), handle func(datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	b := make([]byte, readBuffer)
	var f failures
	for {
		n, err := read(b)
		if err != nil {
			again, err := f.retry(ctx, i, "receive "+what+" on "+conn.LocalAddr().String(), err)
			if !again {
				return err
			}
			continue
		}
		f = failures{}
		i.contain(what, func() { handle(b[:n]) })
	}
}
