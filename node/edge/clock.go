package edge

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock tells the time.
type clock interface {
	// now returns the time since some start. It is above zero.
	now() time.Duration
	// adjust takes in time that the machine was suspended and returns how much
	// came since the last call.
	adjust() time.Duration
}

// bootClock tells the time since the process started, the time that the
// machine was suspended included. The time of day, which may jump, is not used.
type bootClock struct {
	start  time.Time
	bootAtStart   time.Duration // of the boot clock at start
	suspended *atomic.Int64 // time suspended since start, ns
}

// minSuspend is the least difference of the two clocks that counts as a
// suspend: readings of both lie microseconds apart.
const minSuspend = 50 * time.Millisecond

func newBootClock() bootClock {
	return bootClock{start: time.Now(), bootAtStart: bootTime(), suspended: new(atomic.Int64)}
}

func (c bootClock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load()) + 1
}

func (c bootClock) adjust() time.Duration {
	total := bootTime() - c.bootAtStart - time.Since(c.start)
	slept := total - time.Duration(c.suspended.Load())
	if slept < minSuspend {
		return 0
	}
	c.suspended.Store(int64(total))
	return slept
}

// bootTime reads the clock that also runs while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without the clock no suspend is seen, and answers of the store from
		// before it count as fresh for one read interval.
		return 0
	}
	return time.Duration(t.Nano())
}
