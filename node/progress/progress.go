// Package progress ends calls whose remote end stays silent. A limit on silence
// lets a large answer arrive over a slow link, and still ends a call soon whose
// remote end is gone.
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

// Cause returns why a call failed: ErrSilent rather than the error that resulted
// from it.
func Cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return ErrSilent
	}
	return err
}

// Report reports progress of the call with the given context.
func Report(ctx context.Context) {
	if l, ok := ctx.Value(key{}).(*limit); ok && ctx.Err() == nil {
		l.timer.Reset(l.silence)
	}
}
