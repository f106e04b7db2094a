package limiter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fill acquires the whole limit of a new limiter.
func fill(t *testing.T, l *Limiter) []*InFlight {
	var list []*InFlight
	for range initialLimit {
		f, err := l.Acquire(t.Context(), Start)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, f)
	}
	return list
}

// queue makes an order of the class wait and sends its name when it is admitted. It is in
// flight for a millisecond then.
func queue(ctx context.Context, l *Limiter, c Class, name string, admitted chan<- string) {
	go func() {
		f, err := l.Acquire(ctx, c)
		if err != nil {
			return
		}
		admitted <- name
		time.Sleep(time.Millisecond)
		f.Done(false) // no measurement of delay
	}()
	synctest.Wait()
}

// Waiting orders are admitted by class, not by arrival: starts must not wait for targets
// that do not answer, nor reports for starts.
func TestClassesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(time.Now)
		l.limit.size = 1
		f, err := l.Acquire(t.Context(), Start)
		f.timer.Stop() // it does not expire
		is.NoErr(err)
		admitted := make(chan string, 3)
		queue(t.Context(), l, Probe, "probe", admitted)
		queue(t.Context(), l, Start, "start", admitted)
		queue(t.Context(), l, Report, "report", admitted)
		f.Done(false)
		is.Equal(<-admitted, "report")
		is.Equal(<-admitted, "start")
		is.Equal(<-admitted, "probe")
		time.Sleep(time.Second)
	})
}

// Under a continuous load of stops, an order of the lowest class is still admitted: every
// fairnessInterval-th admission goes to the order that has waited longest.
func TestNoClassStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wg sync.WaitGroup
		for range 3 * maxLimit {
			wg.Go(func() {
				for ctx.Err() == nil {
					if f, err := l.Acquire(ctx, Stop); err == nil {
						time.Sleep(5 * time.Millisecond)
						f.Done(true)
					}
				}
			})
		}
		synctest.Wait()
		began := time.Now()
		f, err := l.Acquire(ctx, Probe)
		is.NoErr(err)
		f.Done(true)
		is.True(time.Since(began) < 2*time.Second)
		cancel()
		wg.Wait()
	})
}

// Orders to an unreachable zone use up the limit. Orders to other targets must wait only
// until these expire, not until they time out.
func TestUnansweredOrdersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(time.Now)
		unanswered := fill(t, l)
		began := time.Now()
		f, err := l.Acquire(t.Context(), Start)
		is.NoErr(err)
		is.True(time.Since(began) <= minExpiry)
		f.Done(true)
		for _, f := range unanswered {
			f.Done(false) // each is released only once
		}
		is.Equal(l.inFlight, 0)
	})
}

// An order that is cancelled while it waits leaves neither a waiter nor an order in flight.
func TestCancelWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(time.Now)
		inFlight := fill(t, l)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				_, err := l.Acquire(ctx, Stop)
				is.True(err != nil)
			})
		}
		synctest.Wait()
		is.Equal(l.Stats().Waiting, 10)
		cancel()
		wg.Wait()
		is.Equal(l.Stats().Waiting, 0)
		for _, f := range inFlight {
			f.Done(true)
		}
		is.Equal(l.inFlight, 0)
	})
}

// The number of pending starts follows the throughput but has a minimum.
func TestMaxPendingStarts(t *testing.T) {
	is := is.New(t)
	l := New(time.Now)
	is.Equal(l.MaxPendingStarts(), int(initialRate*targetStartWait.Seconds()))
	l.rate.perSecond = 10
	is.Equal(l.MaxPendingStarts(), minPendingStarts)
}
