package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// A start waits for its turn while its job is cancelled, and is sent when nothing of the job may
// start any more.
func TestStartIsNotSentOnceItsRunIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		counter := &orderCounter{}
		l := newLeadership(rows.New(0), counter, now, now)
		inFlight := l.fillLimiter()
		run := order.Run{Task: graph.StepID{Job: someJob}.Task(0), Number: 1}
		target := order.Address{ID: "t1"}
		l.execute(dispatch.Start{Target: target, Order: order.Start{Run: run}, Class: limiter.Start}, now)
		l.execute(dispatch.Start{Target: target, Order: order.Start{Run: order.Run{Task: run.Task, Number: 2}}, Class: limiter.Start}, now)
		synctest.Wait()
		is.Equal(counter.starts, 0)
		l.execute(dispatch.Stop{Target: target, Run: run, Class: limiter.Stop}, now)
		synctest.Wait()
		is.Equal(len(l.events), 1) // its outcome is known at once
		for _, f := range inFlight {
			f.Done(true)
		}
		l.wg.Wait()
		synctest.Wait()
		is.Equal(counter.starts, 1) // of the other run
		is.Equal(counter.stops, 1)
		is.Equal(len(l.starts.byRun), 0)
	})
}

// A start waits for its turn while its target changes so that it would not be decided now. Guards against one
// that is sent nevertheless, and against a machine that waits for its answer.
func TestWithdrawnStartIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		counter := &orderCounter{}
		l := newLeadership(rows.New(0), counter, now, now)
		inFlight := l.fillLimiter()
		run := order.Run{Task: graph.StepID{Job: someJob}.Task(0), Number: 1}
		l.execute(dispatch.Start{Target: order.Address{ID: "t1"}, Order: order.Start{Run: run}, Class: limiter.Start}, now)
		l.execute(dispatch.Start{Target: order.Address{ID: "t2"}, Order: order.Start{Run: run}, Class: limiter.Start}, now)
		synctest.Wait()
		l.execute(dispatch.Withdraw{Target: "t1", Run: run}, now)
		synctest.Wait()
		is.Equal(len(l.events), 1) // its outcome is known at once
		for _, f := range inFlight {
			f.Done(true)
		}
		synctest.Wait()
		is.Equal(counter.starts, 1) // on the other target
		is.Equal(len(l.starts.byRun), 0)
	})
}

// fillLimiter has the limiter admit orders until the next one would wait, and returns them.
func (l *leadership) fillLimiter() []*limiter.InFlight {
	full, cancel := context.WithCancel(context.Background())
	cancel()
	var list []*limiter.InFlight
	for {
		f, err := l.limiter.Acquire(full, limiter.Start)
		if err != nil {
			return list
		}
		list = append(list, f)
	}
}

// A start waits for its turn until the entry by which it was decided is too old. Guards against one that is
// sent by a capacity that its target may not have any more.
func TestExpiredStartIsNotSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		expiry time.Time
		starts int
	}{{now.Add(time.Millisecond), 1}, {now, 0}, {time.Time{}, 1}} {
		counter := &orderCounter{}
		l := newLeadership(rows.New(0), counter, now, now)
		l.startNow(dispatch.Start{Expiry: c.expiry})
		is.Equal(counter.starts, c.starts)
		is.Equal(len(l.events), 1)
	}
}
