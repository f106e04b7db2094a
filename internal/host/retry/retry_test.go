package retry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var errPeer = errors.New("peer failed")

// A peer is down and everybody calls it. The calls must not be multiplied by
// the retries, and each caller gets its final answer at once when its retry is
// refused.
//
// Seen failing without the test of saved in peer.retry.
func TestRetriesAreAShareOfTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(WithBudget(0.1, 5), WithCircuit(1000000, time.Second))
		calls := 0
		for range 1000 {
			start := time.Now()
			before := calls
			err := c.Do(t.Context(), "10.0.0.1:7000", func(context.Context) error { calls++; return errPeer })
			is.True(errors.Is(err, errPeer))
			if calls == before+1 {
				is.True(errors.Is(err, ErrBudget))
				is.Equal(time.Since(start), time.Duration(0))
			}
		}
		is.True(calls <= 1000+100+5)
		is.True(calls >= 1000+100)
	})
}

// A caller has 1 s. When the next try could not begin before, it is told so then
// and not at its deadline.
//
// Seen failing without the test of the deadline in NextBackOff.
func TestGivenUpBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(WithWaits(400*time.Millisecond, time.Minute), WithTries(100))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := c.Do(ctx, "p", func(inner context.Context) error {
			d, ok := inner.Deadline()
			want, _ := ctx.Deadline()
			is.True(ok && d.Equal(want)) // carried along
			return errPeer
		})
		is.True(errors.Is(err, ErrDeadline))
		is.True(errors.Is(err, errPeer))
		is.NoErr(ctx.Err())
	})
}

// A refusal that says when to come back is obeyed, and refused at once if that
// is too late; an error marked as permanent is not tried again.
func TestLaterAndPermanent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New()
		start, calls := time.Now(), 0
		is.NoErr(c.Do(t.Context(), "p", func(context.Context) error {
			if calls++; calls == 1 {
				return &LaterError{At: start.Add(30 * time.Second), Err: errPeer}
			}
			return nil
		}))
		is.True(time.Since(start) >= 30*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := c.Do(ctx, "p", func(context.Context) error {
			return &LaterError{At: time.Now().Add(30 * time.Second), Err: errPeer}
		})
		var later *LaterError
		is.True(errors.Is(err, ErrDeadline) && errors.As(err, &later))
		calls = 0
		err = c.Do(t.Context(), "p", func(context.Context) error { calls++; return Permanent(errPeer) })
		is.True(errors.Is(err, errPeer))
		is.Equal(calls, 1)
		is.Equal(Permanent(nil), nil)
	})
}

// A dependency fails again and again. It is left alone for a while, callers are
// told at once when to come back, and one call finds out that it is well again.
//
// Seen failing with the circuit's ReadyToTrip never true.
func TestCircuit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(WithTries(1), WithCircuit(3, 2*time.Second))
		calls := 0
		fail := func(context.Context) error { calls++; return errPeer }
		for range 10 {
			is.True(c.Do(t.Context(), "p", fail) != nil)
		}
		is.Equal(calls, 3)
		is.True(!c.Available("p"))
		is.True(c.Available("other"))
		err := c.Do(t.Context(), "p", fail)
		var later *LaterError
		is.True(errors.Is(err, ErrOpen) && errors.As(err, &later))
		is.True(time.Until(later.At) > 0 && time.Until(later.At) < 3*time.Second)
		time.Sleep(time.Until(later.At))
		is.NoErr(c.Do(t.Context(), "p", func(context.Context) error { return nil }))
		is.True(c.Available("p"))
	})
}
