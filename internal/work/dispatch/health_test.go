package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// setFailingTargets makes every sixth target fail each run that it starts from now on, or
// stops that.
func (d *simulation) setFailingTargets(on bool) {
	for i, t := range d.m.sortedTargets {
		if i%6 == 0 {
			d.p.SetFailing(t.ID, on)
		}
	}
}

// countCompleted returns how many of the jobs have completed.
func (d *simulation) countCompleted(ids []graph.JobID) int {
	n := 0
	for _, id := range ids {
		if d.state(id) == progress.Completed {
			n++
		}
	}
	return n
}

// Some targets fail every run within some tens of milliseconds, so they are free again at
// once and attract pending work. Wide steps come whose tasks have two attempts. A task
// that lost one attempt there must not spend the other in the same way; otherwise jobs
// fail a tenth of a second after they are submitted.
func TestFailingTargetsDoNotFailWideJobs(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 3, 6, DefaultBounds())
	d.submit(2, 6*time.Second, small(60)) // the other targets are half full
	d.run(2 * time.Second)
	d.setFailingTargets(true)
	var ids []graph.JobID
	for range 8 {
		ids = append(ids, d.submit(2, 3*time.Second, small(20)))
		d.m.jobs[ids[len(ids)-1]].spec.MaxAttempts = 2
		d.run(800 * time.Millisecond)
	}
	d.setFailingTargets(false)
	d.run(40 * time.Second)
	is.Equal(d.countCompleted(ids), len(ids))
	d.check()
}

// Urgent gangs meet the same failing targets, and one member there ends the whole run.
// The next attempt must not go back to the target that failed the last.
func TestFailingTargetsDoNotFailGangs(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 3, 6, DefaultBounds())
	d.run(time.Second)
	d.setFailingTargets(true)
	var ids []graph.JobID
	for range 20 {
		ids = append(ids, d.submit(0, 2500*time.Millisecond, urgentGang(4, 4)))
		d.run(300 * time.Millisecond)
	}
	d.setFailingTargets(false)
	d.run(30 * time.Second)
	is.Equal(d.countCompleted(ids), len(ids))
	d.check()
}

// A target fails all that it starts, but continues the runs that it had started before.
// Those that succeed must not make it appear healthy.
func TestOldRunsAreNoEvidenceOfHealth(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	for i := range 4 {
		d.submit(2, time.Duration(2000+200*i)*time.Millisecond, small(1))
	}
	d.run(1500 * time.Millisecond)
	bad := d.m.sortedTargets[0]
	is.Equal(len(bad.runs), 4)
	d.p.SetFailing(bad.ID, true)
	d.submit(2, 5*time.Second, small(12)) // four fail there
	d.run(1200 * time.Millisecond)        // the old runs end
	is.Equal(d.p.StartsOn(bad.ID), 8)
	d.submit(2, time.Second, small(8))
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn(bad.ID), 8)
	d.p.SetFailing(bad.ID, false)
	d.run(20 * time.Second)
	d.check()
}

// A target that was quarantined is healthy again. It gets one run at a time until one has
// succeeded, and then as many as it has capacity for.
func TestProbationAllowsOneRun(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	only := d.m.sortedTargets[0]
	d.p.SetFailing(only.ID, true)
	d.submit(2, 2*time.Second, small(1))
	d.run(200 * time.Millisecond)
	is.True(only.health.Quarantined(d.now))
	d.p.SetFailing(only.ID, false)
	d.submit(2, 2*time.Second, small(6))
	d.run(4 * time.Second)
	is.True(!only.health.Quarantined(d.now))
	is.Equal(len(only.runs), 1)
	d.run(2 * time.Second)
	is.Equal(len(only.runs), 6)
	d.run(30 * time.Second)
	d.check()
}

// A job fails at once wherever it runs. It is itself at fault then, and must not get one
// target quarantined after the other.
func TestFailingJobDoesNotQuarantineAllTargets(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 6, DefaultBounds())
	id := d.submit(2, 10*time.Millisecond, small(40))
	d.m.jobs[id].spec.MaxAttempts = 9
	for _, x := range d.m.sortedTargets {
		d.p.SetFailing(x.ID, true)
	}
	d.run(2 * time.Second)
	quarantined := 0
	for _, x := range d.m.sortedTargets {
		if x.health.Quarantined(d.now) {
			quarantined++
		}
	}
	is.True(quarantined > 0)
	is.True(quarantined <= maxFailedTargets)
}

// The only other target stays full for long, and the one that failed a task is no longer
// quarantined. The task has one attempt left: it waits, and does not go back.
func TestTaskDoesNotReturnToFailingTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	bad := d.m.sortedTargets[0]
	d.submit(2, 8*time.Second, small(8))
	d.run(500 * time.Millisecond)
	for _, x := range d.m.sortedTargets {
		if len(x.runs) == 0 {
			bad = x
		}
	}
	d.p.SetFailing(bad.ID, true)
	id := d.submit(2, time.Second, small(1))
	d.m.jobs[id].spec.MaxAttempts = 2
	d.run(6 * time.Second)
	is.True(!bad.health.Quarantined(d.now))
	is.Equal(d.p.StartsOn(bad.ID), 1)
	d.run(10 * time.Second)
	is.Equal(d.state(id), progress.Completed)
	d.check()
}

// A task has failed once and has one attempt left. It waits a while for a target on which
// a run that began since then succeeds. Then it goes to a target on which a run succeeded
// recently, though a target without evidence fits it better.
func TestLastAttemptPrefersProvenTarget(t *testing.T) {
	is := is.New(t)
	d, x := newLastAttempt(t)
	proven := d.m.sortedTargets[2]
	proven.health.ObserveSuccess(d.now.Add(-time.Second), d.now)
	d.run(time.Second)
	is.Equal(len(x.runs), 0)
	d.run(1500 * time.Millisecond)
	is.Equal(len(x.runs), 1)
	is.Equal(x.runs[0].target, proven)
	d.run(15 * time.Second)
	d.check()
}

// As above, but a run that began after the failure succeeds on a target: the task does
// not wait any longer.
func TestLastAttemptUsesNewlyProvenTarget(t *testing.T) {
	is := is.New(t)
	d, x := newLastAttempt(t)
	d.run(500 * time.Millisecond)
	proven := d.m.sortedTargets[2]
	proven.health.ObserveSuccess(d.now.Add(-300*time.Millisecond), d.now)
	d.run(200 * time.Millisecond)
	is.Equal(len(x.runs), 1)
	is.Equal(x.runs[0].target, proven)
	d.run(15 * time.Second)
	d.check()
}

// newLastAttempt returns a simulation with three targets and a task with two attempts, of
// which the first has failed early on the first target.
func newLastAttempt(t *testing.T) (*simulation, *task) {
	is := is.New(t)
	d := newSimulation(t, 1, 3, DefaultBounds())
	d.submit(2, 9*time.Second, small(5)) // on the target that fits best from then on
	d.run(5 * time.Second)
	old := d.m.sortedTargets[0]
	is.Equal(len(old.runs), 5)
	d.p.SetFailing(old.ID, true)
	id := d.submit(2, time.Second, small(1))
	d.m.jobs[id].spec.MaxAttempts = 2
	d.run(100 * time.Millisecond)
	x := d.m.jobs[id].steps[0].tasks[0]
	is.Equal(len(x.ownAttempts.failed), 1)
	return d, x
}
