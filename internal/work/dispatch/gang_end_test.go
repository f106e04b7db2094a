package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// targetOf returns the target of an order, or "".
func targetOf(c Command) string {
	switch c := c.(type) {
	case Start:
		return c.Target.ID
	case Stop:
		return c.Target.ID
	case Poll:
		return c.Target.ID
	}
	return ""
}

// A target loses power while a gang works on it and two others. The others list that
// their members ended since another had; nothing is heard of the third. Users would
// see the gang begin again only when the third's leases have lapsed, six seconds on.
func TestGangRestartsBeforeLeaseOfDeadTargetLapses(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 6, DefaultBounds())
	id := d.submit(0, 3*time.Second, urgentGang(3, 8))
	d.run(time.Second)
	dead := d.m.jobs[id].steps[0].tasks[1].runs[0].target.ID
	d.dropCommand = func(c Command) bool { return targetOf(c) == dead }
	d.p.Kill(dead, d.now)
	d.run(4 * time.Second)
	is.True(d.duration(id) > 0) // the lease alone is six seconds
	d.check()
}

// A target loses power on which two members of a gang work; the others list that they ended
// since another had. Users would see the gang begin again after ten seconds, and after twice
// as long if the leader changed meanwhile.
func TestGangWithTwoMembersOnDeadTargetRestartsEarly(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 6, DefaultBounds())
	id := d.submit(0, 3*time.Second, urgentGang(6, 4))
	d.run(time.Second)
	dead := d.m.jobs[id].steps[0].tasks[1].runs[0].target
	is.Equal(len(dead.runs), 2)
	d.dropCommand = func(c Command) bool { return targetOf(c) == dead.ID }
	d.p.Kill(dead.ID, d.now)
	d.run(4 * time.Second)
	is.True(d.duration(id) > 0) // the lease alone is six seconds
	d.check()
}

// The same target is cut off and has not lost power, and the gang's first end, a failure, is
// listed elsewhere: nothing is known of the two members there, which may still work.
func TestGangWaitsForMembersOnUnreachableTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 6, DefaultBounds())
	id := d.submit(0, 3*time.Second, urgentGang(6, 4))
	d.run(time.Second)
	s := d.m.jobs[id].steps[0]
	cut := s.tasks[1].runs[0].target
	d.dropCommand = func(c Command) bool { return targetOf(c) == cut.ID }
	s.gangEnd = gangEnd{number: 1, brokenMembers: map[int]bool{}}
	for _, x := range s.tasks {
		s.gangEnd.brokenMembers[x.index] = x.runs[0].target != cut
	}
	for _, x := range s.tasks { // listed as failed, and released
		if x.runs[0].target != cut {
			delete(s.gangEnd.brokenMembers, x.index)
			d.m.release(x.runs[0], d.now)
			break
		}
	}
	cut.reach = unreachable
	is.True(!s.firstEndedOn(cut, 1))
	d.m.releaseFirstEnded(s.tasks[1].runs[0], d.now)
	is.Equal(len(s.tasks[1].runs), 1)
}

// Two of three targets lose power. One member ended since another had; which of the two
// is not known, so neither is believed over before its leases have lapsed.
func TestGangWaitsForTwoDeadTargets(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 6, DefaultBounds())
	id := d.submit(0, 3*time.Second, urgentGang(3, 8))
	d.run(time.Second)
	dead := map[string]bool{}
	for _, x := range d.m.jobs[id].steps[0].tasks[1:] {
		dead[x.runs[0].target.ID] = true
	}
	d.dropCommand = func(c Command) bool { return dead[targetOf(c)] }
	for name := range dead {
		d.p.Kill(name, d.now)
	}
	d.run(4 * time.Second)
	is.Equal(d.m.jobs[id].steps[0].gangRun, 1)
	d.run(15 * time.Second)
	d.check()
}

// A gang has one attempt left. A member fails on a target that has just been cut off, and
// the others list that they ended since another had. A start now would be one too many:
// the target lists the failure when it is back. Operators would see a job start again
// after its last attempt failed.
func TestGangWaitsForOutcomeOfLastAttempt(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 6, DefaultBounds())
	id := d.submit(0, 8*time.Second, urgentGang(3, 8))
	spec := d.m.jobs[id].spec
	spec.MaxAttempts = 2
	d.p.Submit(spec, pool.Behaviour{
		Work:  func(graph.TaskID) time.Duration { return 8 * time.Second },
		Fails: func(x graph.TaskID, _ int) bool { return x.Index == 1 },
	})
	d.run(5 * time.Second) // the first attempt has failed half way, after 4 s
	s := d.m.jobs[id].steps[0]
	is.Equal(s.gangRun, 2)
	cut := s.tasks[1].runs[0].target
	d.dropCommand = func(c Command) bool { return targetOf(c) == cut.ID }
	d.run(4500 * time.Millisecond) // the second fails, and the target is known to be silent
	is.Equal(cut.reach, unreachable)
	is.Equal(len(s.gangEnd.brokenMembers), 2)
	is.Equal(s.gangRun, 2)
	is.Equal(len(s.tasks[1].runs), 1) // still recorded, for a successor
	d.dropCommand = nil
	d.run(10 * time.Second)
	is.Equal(d.state(id), progress.Failed)
	is.Equal(s.gangRun, 2)
	d.check()
}

// The same with an attempt left. The next run fails, too, while nothing is known of the
// one before it: no other may follow until it is.
func TestUnknownOutcomeCountsAsFailedAttempt(t *testing.T) {
	is := is.New(t)
	var a attempts
	now := time.Unix(1000, 0)
	a.recordUncertain(1, now.Add(5*time.Second))
	is.Equal(a.maxFailed(now), 1)
	is.True(a.recordFailure(2, &target{}, now))
	is.Equal(a.maxFailed(now), 2)
	is.True(a.recordFailure(1, &target{}, now)) // it is told
	is.Equal(a.maxFailed(now), 2)
	a.recordUncertain(3, now.Add(5*time.Second))
	is.Equal(a.maxFailed(now.Add(6*time.Second)), 2) // its leases have lapsed
}
