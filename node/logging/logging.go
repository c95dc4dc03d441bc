// Package logging writes log lines without ever holding up the work that logs:
// lines wait in a bounded buffer, and what does not fit is counted and dropped.
package logging

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait to be written: about 2,000 lines.
	maxPendingBytes = 256 << 10
	// flushInterval is how long a line may wait. Writing in batches saves system calls.
	flushInterval = 100 * time.Millisecond
)

// Writer is a bounded asynchronous writer of whole lines.
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

// NewWriter returns a Writer to out. Close stops its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one or more lines. It never blocks and never fails; lines that
// do not fit are counted.
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

// Dropped returns the number of lines that did not fit.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits and ends the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	<-w.done
	return nil
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
		// Standard output that fails has no better place to say so.
		_, _ = w.out.Write(batch)
	}
	w.spare = batch
}

// New returns a logger of key=value lines to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// Limiter bounds the lines of one kind of event.
type Limiter struct {
	perSecond  float64
	burst      float64
	tokens  float64
	lastRefill       time.Duration
	suppressed uint64
}

// NewLimiter returns a Limiter of so many lines a second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: float64(perSecond), burst: float64(perSecond), tokens: float64(perSecond)}
}

// Allow reports whether a line may be written now, and how many were held back
// since the last one.
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
