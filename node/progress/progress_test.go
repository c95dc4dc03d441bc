package progress

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// receive reports progress the given number of times, after the interval each.
func receive(ctx context.Context, interval time.Duration, times int) {
	for range times {
		time.Sleep(interval)
		Report(ctx)
	}
}

// Guards against ending a call whose answer takes longer than the limit on
// silence but arrives steadily.
func TestProgressKeepsACallAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithLimit(t.Context(), time.Second)
		defer cancel()
		receive(ctx, 900*time.Millisecond, 20)
		if ctx.Err() != nil {
			t.Errorf("the call ended: %v", context.Cause(ctx))
		}
	})
}

// Guards against a call that waits for a silent remote end for longer than the
// limit, at its beginning or halfway through, and against losing the reason.
func TestSilenceEndsACall(t *testing.T) {
	for _, before := range []int{0, 3} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := WithLimit(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			receive(ctx, 500*time.Millisecond, before)
			<-ctx.Done()
			if want := time.Duration(before)*500*time.Millisecond + time.Second; time.Since(began) != want {
				t.Errorf("ended after %s, want %s", time.Since(began), want)
			}
			if err := Cause(ctx, ctx.Err()); !errors.Is(err, ErrSilent) || !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got cause %v", err)
			}
		})
	}
}

// Guards against reporting silence as the cause of another error.
func TestCauseOfAnotherError(t *testing.T) {
	ctx, cancel := WithLimit(t.Context(), time.Minute)
	cancel()
	if err := Cause(ctx, io.ErrUnexpectedEOF); err != io.ErrUnexpectedEOF {
		t.Errorf("got %v", err)
	}
	if Limit(ctx) != time.Minute || Limit(t.Context()) != 0 {
		t.Errorf("got limits %s and %s", Limit(ctx), Limit(t.Context()))
	}
}

// Guards against waiting for an answer that is too large for the link, or that
// another link holds up, and against ending one that is not.
func TestSlowAnswers(t *testing.T) {
	const rate, longest = 1e6, 100 * time.Millisecond
	for _, c := range []struct {
		size  int64
		takes time.Duration
		want  error
	}{
		{50_000, 60 * time.Millisecond, nil},
		{50_000, 120 * time.Millisecond, nil},
		{50_000, 140 * time.Millisecond, ErrSlow},
		{101_000, 0, ErrSlow},
		{-1, time.Minute, nil}, // the size is not known
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := WithRate(t.Context(), rate, longest)
			defer cancel()
			ReportSize(ctx, c.size)
			time.Sleep(c.takes)
			synctest.Wait()
			if got := Cause(ctx, ctx.Err()); got != c.want {
				t.Errorf("%d bytes in %s: got %v, want %v", c.size, c.takes, got, c.want)
			}
		})
	}
}

// Guards against a limit on one answer that ends a later one.
func TestLimitOfEachAnswer(t *testing.T) {
	const rate, longest = 1e6, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithRate(t.Context(), rate, longest)
		defer cancel()
		for range 4 {
			ReportSize(ctx, 50_000)
			time.Sleep(60 * time.Millisecond)
		}
		synctest.Wait()
		if err := Cause(ctx, ctx.Err()); err != nil {
			t.Errorf("four answers in 60 ms each: %v", err)
		}
	})
}
