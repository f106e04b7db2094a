package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The starts of six tasks on a target that is cut off are not answered. Later the target refuses
// connections, as it has ended. Guards against starts that are repeated then, cannot be executed,
// and put off the time at which the leases of the target are taken to have lapsed.
func TestRefusedStartsDoNotProlongLeases(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	cut := d.p.Roster()[0]
	d.disconnected[cut.Address] = true
	id := d.submit(2, time.Second, small(6))
	d.run(2 * time.Second) // three starts of each of the first tasks
	is.Equal(d.targetOfJob(string(id)), cut.ID)
	lapsed := d.m.targets[cut.ID].leaseEnd
	d.p.Kill(cut.ID, d.now)
	d.listTargets()
	d.run(2 * time.Second)
	delete(d.disconnected, cut.Address)
	d.run(lapsed.Sub(d.now) + 200*time.Millisecond)
	is.Equal(d.p.StartsOf(id), 6)
}
