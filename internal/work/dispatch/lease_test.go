package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/progress"
)

// A target that had been idle executes a start late, after its lease is presumed to have lapsed:
// its slow clock had fallen behind the estimate by which the deadline was set.
func TestDeadlineAllowsForSlowClockOfIdleTarget(t *testing.T) {
	for _, rate := range []float64{1, 0.99, 0.98} {
		for _, idle := range []time.Duration{0, time.Second, 10 * time.Second, time.Minute, time.Hour} {
			is := is.New(t)
			reported := time.Unix(1000, 0)
			m, x := New(1, DefaultBounds()), &target{}
			x.updateClock(5000, reported)
			clockAt := func(at time.Time) int64 { return 5000 + int64(rate*float64(at.Sub(reported).Milliseconds())) }
			now := reported.Add(idle)
			deadline, _ := m.grantLease(x, now)
			is.True(clockAt(x.leaseEnd) >= deadline) // the start is refused from then on
		}
	}
}

// A target whose clock is slow has been idle, and a start is sent there by an estimate of the clock
// that is too far ahead. It must not be executed when its lease is taken to have lapsed.
func TestDeadlineOnASlowIdleClock(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	for _, x := range d.p.Roster() {
		d.p.Add(x, 0.98, d.now.Add(time.Millisecond))
	}
	d.runWithListing(120)
	var on string
	d.dropCommand = func(c Command) bool {
		if s, ok := c.(Start); ok && s.Order.Run.Number == 1 {
			if on == "" {
				d.executeLate(s, 7500*time.Millisecond)
			}
			on = s.Target.ID
		}
		return on != "" && targetOf(c) == on
	}
	d.submit(1, 8*time.Second, wholeTarget())
	d.runWithListing(12)
	d.dropCommand = nil
	d.runWithListing(15)
	d.check()
}

// A target that has been idle for hours refuses its first start as late, since the deadline allows
// for a clock that has been slow all that time.
func TestIdleTargetReportsItsClockBeforeStart(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.now = d.now.Add(time.Hour)
	d.p.Advance(d.now)
	d.listTargets()
	id := d.submit(1, time.Second, small(1))
	d.run(100 * time.Millisecond)
	is.Equal(d.p.StartsOf(id), 1)
	d.run(2 * time.Second)
	d.check()
}

// A start that got no answer is executed seconds later, when its job has been cancelled or its task
// is done elsewhere.
func TestStartIsRefusedLongAfterItWasSent(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.dropCommand = func(c Command) bool {
		start, ok := c.(Start)
		if ok {
			d.executeLate(start, 3*time.Second)
		}
		return ok || targetOf(c) != ""
	}
	id := d.submit(1, time.Second, small(1))
	d.run(2 * time.Second)
	d.m.Cancel(id, d.now)
	d.run(3 * time.Second)
	is.Equal(d.p.Starts(), 0)
}

// The first poll after a start is lost, and the lease that the start carried lapses before the next
// poll.
func TestLeaseOutlivesLostPoll(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	polls := 0
	d.dropCommand = func(c Command) bool {
		p, poll := c.(Poll)
		if poll {
			polls++
		}
		// The one that is sent when the first has failed would come just in time.
		return poll && (polls == 1 || polls < 4 && !p.Extra)
	}
	id := d.submit(1, 8*time.Second, small(1))
	d.run(12 * time.Second)
	is.True(polls > 1)
	is.Equal(d.state(id), progress.Completed)
	is.Equal(d.p.StartsOf(id), 1)
	d.check()
}
