package limiter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fill takes all places of a gate and returns their passes.
func fill(t *testing.T, g *Limiter) []*InFlight {
	var list []*InFlight
	for range firstLimit {
		p, err := g.Acquire(t.Context(), Start)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, p)
	}
	return list
}

// queue has an order of the class wait, and tells its name when it has its place.
func queue(ctx context.Context, g *Limiter, c Class, name string, told chan<- string) {
	go func() {
		p, err := g.Acquire(ctx, c)
		if err != nil {
			return
		}
		told <- name
		time.Sleep(time.Millisecond)
		p.Done(false) // says nothing of delays
	}()
	synctest.Wait()
}

// Room must be cleared before what needs it starts, and starts must not wait for
// targets that do not answer.
func TestClassesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewLimiter(time.Now)
		g.limit.size = 1
		p, err := g.Acquire(t.Context(), Start)
		p.timer.Stop() // it keeps its place
		is.NoErr(err)
		told := make(chan string, 3)
		queue(t.Context(), g, Probe, "probe", told)
		queue(t.Context(), g, Start, "start", told)
		queue(t.Context(), g, Report, "report", told)
		p.Done(false)
		is.Equal(<-told, "report")
		is.Equal(<-told, "start")
		is.Equal(<-told, "probe")
		time.Sleep(time.Second)
	})
}

// Stops come without end. A start that waits gets its turn all the same: of each few
// places one goes to the order that has waited longest.
func TestNoClassStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewLimiter(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wg sync.WaitGroup
		for range 3 * mostLimit {
			wg.Go(func() {
				for ctx.Err() == nil {
					if p, err := g.Acquire(ctx, Stop); err == nil {
						time.Sleep(5 * time.Millisecond)
						p.Done(true)
					}
				}
			})
		}
		synctest.Wait()
		began := time.Now()
		p, err := g.Acquire(ctx, Probe)
		is.NoErr(err)
		p.Done(true)
		is.True(time.Since(began) < 2*time.Second)
		cancel()
		wg.Wait()
	})
}

// A zone is cut off, and orders to its targets fill all places until they time out.
// Orders to other targets wait for a small part of that only.
func TestSilentTargetsHoldUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewLimiter(time.Now)
		passes := fill(t, g)
		began := time.Now()
		p, err := g.Acquire(t.Context(), Start)
		is.NoErr(err)
		is.True(time.Since(began) <= leastSlot)
		p.Done(true)
		for _, p := range passes {
			p.Done(false) // each gives its place back once
		}
		is.Equal(g.busy, 0)
	})
}

// An order that is given up while it waits leaves nothing behind.
func TestGivenUpWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewLimiter(time.Now)
		passes := fill(t, g)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				_, err := g.Acquire(ctx, Stop)
				is.True(err != nil)
			})
		}
		synctest.Wait()
		is.Equal(g.Stats().Waiting, 10)
		cancel()
		wg.Wait()
		is.Equal(g.Stats().Waiting, 0)
		for _, p := range passes {
			p.Done(true)
		}
		is.Equal(g.busy, 0)
	})
}

// The gate tells how much may be ahead: at least what is saved together.
func TestAhead(t *testing.T) {
	is := is.New(t)
	g := NewLimiter(time.Now)
	is.Equal(g.MaxPendingStarts(), int(firstRate*waitTarget.Seconds()))
	g.rate.perSecond = 10
	is.Equal(g.MaxPendingStarts(), leastAhead)
}
