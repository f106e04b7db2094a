package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// targetOf returns the target of an order, or "".
func targetOf(c Command) string {
	switch c := c.(type) {
	case Start:
		return c.Target.ID
	case Stop:
		return c.Target.ID
	case Hold:
		return c.Target.ID
	}
	return ""
}

// A target loses power while a gang works on it and two others. The others list that
// their members ended since another had; nothing is heard of the third. Users would
// see the gang begin again only when the third's leases have lapsed, six seconds on.
func TestGangNeedNotWaitForADeadTarget(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 1, 6, DefaultBounds())
	id := d.submit(0, 3*time.Second, urgent(3, 8))
	d.run(time.Second)
	dead := d.m.jobs[id].steps[0].tasks[1].runs[0].target.ID
	d.lose = func(c Command) bool { return targetOf(c) == dead }
	d.p.Kill(dead, d.now)
	d.run(4 * time.Second)
	is.True(d.took(id) > 0) // the lease alone is six seconds
	d.check()
}

// Two of three targets lose power. One member ended since another had; which of the two
// is not known, so neither is believed over before its leases have lapsed.
func TestGangWaitsForTwoDeadTargets(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 1, 6, DefaultBounds())
	id := d.submit(0, 3*time.Second, urgent(3, 8))
	d.run(time.Second)
	dead := map[string]bool{}
	for _, x := range d.m.jobs[id].steps[0].tasks[1:] {
		dead[x.runs[0].target.ID] = true
	}
	d.lose = func(c Command) bool { return dead[targetOf(c)] }
	for name := range dead {
		d.p.Kill(name, d.now)
	}
	d.run(4 * time.Second)
	is.Equal(d.m.jobs[id].steps[0].gangRun, 1)
	d.run(15 * time.Second)
	d.check()
}
