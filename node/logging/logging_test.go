package logging

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// Guards against callers that block on log output, and against unbounded memory:
// while the output blocks, lines are dropped and counted.
func TestNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 127) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 * maxPendingBytes / len(line) {
			w.Write(line)
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	g.Expect(w.Dropped()).To(BeNumerically(">", 0))
	close(out.release)
	g.Expect(w.Close()).To(Succeed())
	g.Expect(out.written.Len() % len(line)).To(BeZero())
}

// Guards against losing the last lines of a process when it exits.
func TestCloseWritesAll(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Write([]byte("a\n"))
	w.Write([]byte("b\n"))
	g.Expect(w.Close()).To(Succeed())
	g.Expect(out.String()).To(Equal("a\nb\n"))
}

// Guards against a stop that outlasts its grace period because nobody reads the log.
func TestCloseEndsWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := NewWriter(out)
		defer func() {
			close(out.release)
			<-w.done
		}()
		w.Write([]byte("a\n"))
		time.Sleep(2 * flushInterval)
		w.Write([]byte("b\n"))
		closed := make(chan error, 1)
		go func() { closed <- w.Close() }()
		// node/edge leaves a second of the grace period unused (graceReserve).
		time.Sleep(time.Second - time.Millisecond)
		var err error
		g.Expect(closed).To(Receive(&err))
		g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})
}

// Guards against exceeding the rate limit, and against a wrong count of
// suppressed lines.
func TestLimiter(t *testing.T) {
	g := NewWithT(t)
	l := NewLimiter(10)
	allowed := 0
	for range 100 {
		if ok, _ := l.Allow(time.Second); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(10))
	ok, suppressed := l.Allow(2 * time.Second)
	g.Expect(ok).To(BeTrue())
	g.Expect(suppressed).To(Equal(uint64(90)))
}
