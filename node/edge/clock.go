package edge

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock is a monotonic clock.
type clock interface {
	// now returns the time since an arbitrary origin. It is always positive.
	now() time.Duration
	// adjust includes the time that the machine was suspended in the readings from
	// now on. It returns how much has been added since the last call.
	adjust() time.Duration
}

// bootClock measures the time since the start of the process, including the time
// that the machine was suspended. It does not use the time of day, which may jump.
type bootClock struct {
	start       time.Time
	bootAtStart time.Duration // CLOCK_BOOTTIME at start
	suspended   *atomic.Int64 // time suspended since start, nanoseconds
}

// minSuspend is the smallest difference between the two clocks that counts as a
// suspend. The clocks are read microseconds apart.
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

// bootTime reads CLOCK_BOOTTIME, which also runs while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without this clock a suspend is not detected, and knowledge read from
		// the store before it counts as fresh for one read interval.
		return 0
	}
	return time.Duration(t.Nano())
}
