package dispatch

import (
	"slices"
	"time"
)

// gangEnd records which members of a gang's run ended because another one had ended.
type gangEnd struct {
	number        int          // of the run
	brokenMembers map[int]bool // by index of the task
}

// recordBrokenMember records that a member of a gang ended because another one had.
func (m *Machine) recordBrokenMember(r *run, now time.Time) {
	s := r.task.step
	if !s.spec.Gang {
		return
	}
	if s.gangEnd.number != r.Number {
		s.gangEnd = gangEnd{number: r.Number, brokenMembers: map[int]bool{}}
	}
	s.gangEnd.brokenMembers[r.task.index] = true
	for _, x := range s.tasks {
		for _, o := range slices.Clone(x.runs) {
			m.releaseFirstEnded(o, now)
		}
	}
}

// releaseFirstEnded releases a gang's members on an unreachable target if the member that
// ended first must be among them, because all others ended as a consequence of another's
// end. The members beside it ended with it, as their target knows of both. Otherwise the
// gang would wait until the leases have lapsed on a target that lost power, or, under
// a new leader, until those of its predecessor have. A member that is alone there must be the
// one that ended first. Beside others it may not have begun, and may still begin if its start
// is outstanding; and if a start was not answered, the target's next incarnation may execute it,
// whether or not it has shown. The member may have failed, which the target reports when it
// answers again: the run counts as an attempt until its leases have lapsed. A run that may have
// been the last attempt is not released, and stays recorded for the next leader.
func (m *Machine) releaseFirstEnded(r *run, now time.Time) {
	s, t := r.task.step, r.target
	if !s.spec.Gang || t.reach == reachable || t.runs[r.Run] != r || !s.firstEndedOn(t, r.Number) || s.attemptsMayBeExhausted(1, now) {
		return
	}
	presumed := t.runsWhere(func(o *run) bool { return o.task.step == s && o.Number == r.Number })
	mayBegin := func(o *run) bool { return o.hasUnansweredStart() || len(presumed) > 1 && o.startOutstanding() }
	if slices.ContainsFunc(presumed, mayBegin) {
		return
	}
	m.log.Decided("run presumed ended", "target", t.ID, "task", r.Task, "run", r.Number, "members", len(s.tasks))
	s.gangAttempts.recordUncertain(r.Number, t.leaseEnd)
	m.recordLosses(t, presumed, t.lossSpan(now), t.leaseEnd, now)
	for _, o := range presumed {
		m.release(o, now)
		m.mayHaveRun(o, now)
	}
}

// firstEndedOn reports whether the member of a gang's run that ended first must have been
// on the target.
func (s *step) firstEndedOn(t *target, number int) bool {
	if s.gangEnd.number != number || len(s.gangEnd.brokenMembers) == 0 {
		return false
	}
	for _, x := range s.tasks {
		if !s.gangEnd.brokenMembers[x.index] && !x.runsOn(t, number) {
			return false
		}
	}
	return true
}

// runsOn reports whether a run of the task with this number may exist on the target.
func (x *task) runsOn(t *target, number int) bool {
	return slices.ContainsFunc(x.runs, func(r *run) bool { return r.target == t && r.Number == number })
}

// attemptsMayBeExhausted reports whether the gang may have no attempt left if this many
// more failed.
func (s *step) attemptsMayBeExhausted(more int, now time.Time) bool {
	return s.gangAttempts.maxFailed(now)+more >= max(s.job.spec.MaxAttempts, 1)
}
