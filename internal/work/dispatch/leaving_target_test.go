package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// A draining target leaves, as it announced, at the moment when the last task of a step is done
// there: nobody reads that end. The next step must not wait for longer than until the leases of
// the target have lapsed and the task was done again.
func TestNextStepWaitsForLeaseOfTargetThatLeft(t *testing.T) {
	is := is.New(t)
	const work = 2 * time.Second
	d := newSimulation(t, 1, 4, DefaultBounds())
	second := small(17)
	second.After = []int{0}
	id := d.submit(2, work, small(1), second)
	d.run(500 * time.Millisecond)
	leaving := d.targetOfJob(string(id))
	d.p.Drain(leaving)
	d.listTargets()
	leftAt := time.Time{}
	d.slowReport = func(Poll) time.Duration { return 2 * simulationStep } // time for the target to leave
	d.advanced = func() {
		if leftAt.IsZero() && d.p.HasEndsAfter(order.Address{ID: leaving, Host: "r0-0"}, 0) {
			d.p.Kill(leaving, d.now)
			leftAt, d.disconnected["r0-0"] = d.now, true
			d.after(100*time.Millisecond, func() { delete(d.disconnected, "r0-0") }) // refuses connections from then on
		}
	}
	for range 40 {
		if d.run(500 * time.Millisecond); d.p.StartsOf(id) > 2 {
			break
		}
		d.listTargets()
	}
	is.True(!leftAt.IsZero())
	is.Equal(d.p.StartsOf(id), 2+17)
	is.True(d.now.Sub(leftAt) <= maxRunHold+work)
	d.runWithListing(3)
	d.check()
}
