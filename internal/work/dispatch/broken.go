package dispatch

import (
	"slices"
	"time"
)

// brokenRun is what is known of the end of a gang's run.
type brokenRun struct {
	number  int          // of the run
	members map[int]bool // tasks that ended since another member had ended
}

// memberBroken notes that a gang's member ended since another one had.
func (m *Machine) memberBroken(r *run, now time.Time) {
	s := r.task.step
	if !s.spec.Gang {
		return
	}
	if s.broken.number != r.Number {
		s.broken = brokenRun{number: r.Number, members: map[int]bool{}}
	}
	s.broken.members[r.task.index] = true
	for _, x := range s.tasks {
		for _, o := range slices.Clone(x.runs) {
			m.releaseCause(o, now)
		}
	}
}

// releaseCause gives up a gang's member on a silent target if it must be the one that
// ended first: all others ended since another had. Without this the gang would wait
// until the leases have lapsed on a target that lost power, ten seconds and more: the
// worth of days on which a tenth of the targets crash is 0.77 with it, 0.74 without. It
// may have failed, which the target tells when it answers again: that counts as an
// attempt until its leases have lapsed. One that may have been the last attempt is not
// given up, and stays noted for the next leader.
func (m *Machine) releaseCause(r *run, now time.Time) {
	s := r.task.step
	ended := s.broken.number == r.Number && len(s.broken.members) == len(s.tasks)-1 && !s.broken.members[r.task.index]
	if !s.spec.Gang || !ended || r.target.reach == held || s.mayBeSpent(1, now) {
		return
	}
	m.log.Decided("run must have ended", "target", r.target.ID, "task", r.Task, "run", r.Number, "members", len(s.tasks))
	s.tried.doubt(r.Number, r.target.leaseEnd)
	m.release(r, now)
	m.endOnce(r, now)
}

// mayBeSpent reports whether a gang may have no attempt left if so many more failed.
func (s *step) mayBeSpent(more int, now time.Time) bool {
	return s.tried.mostFailed(now)+more >= max(s.job.spec.MaxAttempts, 1)
}
