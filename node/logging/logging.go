// Package logging writes log lines asynchronously, so that the caller never
// blocks on output. Lines wait in a bounded buffer; lines that do not fit are
// dropped and counted.
package logging

import (
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxPendingBytes is the limit on buffered output, enough for about 2,000
	// lines.
	maxPendingBytes = 256 << 10
	// flushInterval is how long lines are collected before they are written.
	// Writing in batches saves system calls.
	flushInterval = 100 * time.Millisecond
	// closeTimeout is how long Close waits for the output. It is half of the second
	// that node/edge leaves unused of the grace period, and more than the two
	// flushInterval that a stop with working output may take.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an asynchronous writer with a bounded buffer. It writes or drops
// lines whole.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool

	wake chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one or more whole lines. It never blocks on output and always
// reports success; if the lines do not fit or w is closed, they are dropped and
// count once.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of calls of Write whose lines were dropped; a
// slog handler writes one line per call.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the goroutine of w. If the output
// blocks for closeTimeout, Close returns os.ErrDeadlineExceeded and leaves the
// goroutine behind. It does not close the underlying writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	select {
	case <-w.done:
		return nil
	case <-time.After(closeTimeout):
		return trace.Wrap(os.ErrDeadlineExceeded, "write the last log lines")
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(batch) > 0 {
		// The error is ignored: when standard output fails there is nowhere else
		// to report it.
		_, _ = w.out.Write(batch)
	}
	w.spare = batch
}

// New returns a logger that writes key=value lines to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// Limiter is a token bucket that limits the rate of log lines for one kind of
// event.
type Limiter struct {
	perSecond  float64
	burst      float64
	tokens     float64
	lastRefill time.Duration
	suppressed uint64
}

// NewLimiter returns a Limiter that allows perSecond lines per second, and bursts
// of as many.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: float64(perSecond), burst: float64(perSecond), tokens: float64(perSecond)}
}

// Allow reports whether a line may be written at time now, and if so how many
// lines were suppressed since the last allowed one.
func (l *Limiter) Allow(now time.Duration) (ok bool, suppressed uint64) {
	l.tokens = min(l.burst, l.tokens+l.perSecond*(now-l.lastRefill).Seconds())
	l.lastRefill = now
	if l.tokens < 1 {
		l.suppressed++
		return false, 0
	}
	l.tokens--
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
