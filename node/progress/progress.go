// Package progress ends calls whose remote end stays silent, or whose answer takes
// too long to be worth waiting for. A limit on silence lets a large answer arrive
// over a slow link, and still ends a call soon whose remote end is gone.
package progress

import (
	"context"
	"errors"
	"time"
)

// ErrSilent is the cause of a context that ended for lack of progress. It
// matches context.DeadlineExceeded.
var ErrSilent error = silentError{}

type silentError struct{}

func (silentError) Error() string   { return "the remote end sent nothing for too long" }
func (silentError) Is(e error) bool { return e == context.DeadlineExceeded }
func (silentError) Timeout() bool   { return true }
func (silentError) Temporary() bool { return true }

type key struct{}

// limit is the limit on silence of one call.
type limit struct {
	silence time.Duration
	timer   *time.Timer
}

// WithLimit returns a context that ends when no progress was reported for the
// given time.
func WithLimit(parent context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	l := &limit{silence: silence, timer: time.AfterFunc(silence, func() { cancel(ErrSilent) })}
	return context.WithValue(ctx, key{}, l), func() {
		l.timer.Stop()
		cancel(nil)
	}
}

// Limit returns the limit on silence of a context, 0 if it has none.
func Limit(ctx context.Context) time.Duration {
	if l, ok := ctx.Value(key{}).(*limit); ok {
		return l.silence
	}
	return 0
}

// Cause returns why a call failed: ErrSilent or ErrSlow rather than the error that
// resulted from it.
func Cause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	for _, cause := range []error{ErrSilent, ErrSlow} {
		if errors.Is(context.Cause(ctx), cause) {
			return cause
		}
	}
	return err
}

// Report reports progress of the call with the given context.
func Report(ctx context.Context) {
	if l, ok := ctx.Value(key{}).(*limit); ok && ctx.Err() == nil {
		l.timer.Reset(l.silence)
	}
}

// ErrSlow is the cause of a context that ended because its answer takes too long.
var ErrSlow = errors.New("the answer takes too long over the link")

const (
	// slowFactor is the multiple of the time that an answer takes over the link of
	// the receiver after which another link must be the bottleneck.
	slowFactor = 2
	// slowReserve is added to that time for the way of the first packets.
	slowReserve = 30 * time.Millisecond
)

type rateKey struct{}

// rateLimit limits the time that an answer may take.
type rateLimit struct {
	bytesPerSecond float64
	longest        time.Duration
	cancel         context.CancelCauseFunc
	timer          *time.Timer // nil until the size is known
}

// WithRate returns a context that ends when the size of the answer is known and
// takes longer than longest over a link of the given rate, or when the answer does
// not arrive at about that rate.
func WithRate(parent context.Context, bytesPerSecond float64, longest time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	r := &rateLimit{bytesPerSecond: bytesPerSecond, longest: longest, cancel: cancel}
	return context.WithValue(ctx, rateKey{}, r), func() {
		cancel(nil)
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// AllowedTime returns how long an answer of the given size may take under the
// limit of WithRate. It reports false if there is no limit.
func AllowedTime(ctx context.Context, size int64) (time.Duration, bool) {
	r, ok := ctx.Value(rateKey{}).(*rateLimit)
	if !ok {
		return 0, false
	}
	needed := time.Duration(float64(size) / r.bytesPerSecond * float64(time.Second))
	if needed > r.longest {
		return 0, true
	}
	return slowFactor*needed + slowReserve, true
}

// ReportSize reports the size of the answer to the call with the given context,
// when its first part arrives. It has to be called by the goroutine that waits for
// the answer.
func ReportSize(ctx context.Context, size int64) {
	allowed, ok := AllowedTime(ctx, size)
	if !ok || size < 0 {
		return
	}
	r := ctx.Value(rateKey{}).(*rateLimit)
	if r.timer != nil {
		r.timer.Stop() // of the answer before
	}
	if allowed == 0 {
		r.cancel(ErrSlow)
		return
	}
	r.timer = time.AfterFunc(allowed, func() { r.cancel(ErrSlow) })
}
