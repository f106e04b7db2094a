package dispatch

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/health"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/fleet/speed"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// reachability is what the machine knows about reaching a target in this term.
type reachability int

const (
	notPolled   reachability = iota // has not reported in this term, so its runs are not known
	reachable                       // has reported and answers
	unreachable                     // has reported, but does not answer now
)

// target is one incarnation of a target.
type target struct {
	roster.Target
	incarnation         int64         // latest start of an incarnation that its entry or a report has shown, as roster.Target.StartedAt
	endedIn             lossSpan      // when the incarnation before ended
	lastOutage          lossSpan      // when it last ceased to answer before it did again
	entry               entryReads    // of its entry in the list
	listed              bool          // it is in the platform's list
	evacuated           bool          // its zone is evacuated
	warmUpEnd           time.Time     // end of its warm-up, during which it is slow
	warmUpTime          time.Duration // length of its warm-up as declared; 0: it is warm
	coldShare           float64       // share of warmUpTime that is left; above 0 during the warm-up
	drainingAt          time.Time     // when it was first listed as draining
	reach               reachability
	unreachableSince    time.Time          // when it became unreachable
	runs                map[order.Run]*run // all runs that may exist there
	used                graph.Resources    // charge of the runs that hold capacity there
	waitingCharge       graph.Resources    // charge of the runs that await capacity there
	lasting             graph.Resources    // charge of the runs of long-running tasks
	clockMS             int64              // its clock as last reported; 0: not known
	clockAt             time.Time          // when that was received
	leaseEnd            time.Time          // when all leases granted there have lapsed
	earlierLeasesEnd    time.Time          // when all leases of earlier leaders have lapsed, also on a later incarnation; zero: none
	earlierLeasesLapsed bool               // the leader before has seen that; meaningless once it has reported
	pollCandidate       bool               // it is in Machine.pollCandidates
	pollPending         bool               // a poll is outstanding
	pollSentAt          time.Time          // when the outstanding poll was sent
	extraPollPending    bool               // an extra poll is outstanding
	extraPollSentAt     time.Time          // when the last extra poll was sent
	reportedAt          time.Time          // when it last reported
	latestReport        int64              // its clock in the newest report
	answeredAt          time.Time          // when it last answered any order or poll
	unansweredSince     time.Time          // when the first order or poll without an answer was sent since it last answered; zero: none
	zoneUnreachable     bool               // its zone is considered unreachable, and it has not answered since
	nextPollAt          time.Time          // earliest time of the next poll
	reported            bool               // it has reported in this term
	highestEnd          int64              // highest end number processed, of the present incarnation
	unsavedEnds         []unsavedEnd       // ends processed that may not be acknowledged yet, by number
	unsavedPollAt       time.Time          // earliest time of the next poll while ends may not be acknowledged
	acked               int64              // all ends up to this number may be acknowledged
	confirmedAck        int64              // highest acknowledgement that a poll has delivered
	ackDue              time.Time          // latest time to acknowledge saved ends; zero: none yet
	unverifiedRuns      bool               // runs that are recorded there may wait for its answer
	health              health.Record
	speed               speed.Estimate // of the present incarnation, as of the last fit
	speedLevel          int            // speed.Level
	pacedAt             time.Time      // when the pace of its best-effort tasks last changed
	remainingReportedAt time.Time      // when it last announced its remaining time
	suspendedUntil      time.Time      // it gets no work until then
	addedAt             time.Time      // when it was first listed; zero: before this term
	connectionBroke     bool           // the first poll that it missed broke before its wait was over
	lossRecorded        bool           // it is in Machine.recentLosses, and has not answered since
	isolatedRuns        []*run         // runs of isolated tasks that were placed there; some may not be new or there any more
}

// unsavedEnd is an end that may be acknowledged once a revision of its job is saved and, if
// its task must not be started again, no other run of the task may begin any more.
type unsavedEnd struct {
	number int64
	job    *job // nil: nothing to save
	rev    int64
	task   *task // nil: it may be started again
	run    int
	listed order.Ended // the end itself, for the next leader; not set without a job
}

// acknowledgeable reports whether the end may be acknowledged.
func (e unsavedEnd) acknowledgeable() bool {
	saved := e.job == nil || e.job.savedRev >= e.rev
	return saved && (e.task == nil || e.task.outstandingStart(e.run) == nil)
}

// addRun adds a run that may exist on the target.
func (t *target) addRun(r *run) {
	t.runs[r.Run] = r
	if r.task.step.spec.LongRunning {
		t.lasting = t.lasting.Plus(r.charge)
	}
}

// removeRun removes a run that addRun has added.
func (t *target) removeRun(r *run) {
	delete(t.runs, r.Run)
	if r.task.step.spec.LongRunning {
		t.lasting = t.lasting.Minus(r.charge)
	}
}

func (t *target) address() order.Address { return order.Address{ID: t.ID, Host: t.Address} }

// acceptsWork reports whether new work may be given to the target.
func (t *target) acceptsWork(now time.Time) bool {
	return t.reach == reachable && t.responsive() && t.clockMS != 0 && t.acceptsStarts(now) && !now.Before(t.suspendedUntil) && !t.health.Quarantined(now)
}

// removable reports whether the target can be removed: it has left the list, nothing
// may run there and no end is left to acknowledge.
func (t *target) removable() bool {
	return !t.listed && len(t.runs) == 0 && len(t.unsavedEnds) == 0 && (t.reach != reachable || t.acked == t.confirmedAck)
}

// freeCapacity returns the usable capacity minus the charges of all placed runs, those
// that await capacity included.
func (t *target) freeCapacity() graph.Resources {
	return t.usableCapacity().Minus(t.used).Minus(t.waitingCharge)
}

// overCapacity reports whether the runs that hold capacity need more than the target has. Its
// capacity may have shrunk since they were placed.
func (t *target) overCapacity() bool { return !t.used.FitsIn(t.Capacity) }

// formatResources returns resources for a log line, as CPU/memory/accelerators.
func formatResources(r graph.Resources) string {
	return fmt.Sprintf("%d/%d/%d", r.CPU, r.MemoryMB, r.Accelerators)
}

// canHoldWaiting reports whether there will be capacity for the runs that await it, once the
// stopping runs have ended whose end is not overdue.
func (t *target) canHoldWaiting(now time.Time) bool {
	need := t.used.Plus(t.waitingCharge)
	for _, r := range t.runs {
		if r.endsSoon(now) {
			need = need.Minus(r.charge)
		}
	}
	return need.FitsIn(t.Capacity)
}

// estimatedClock returns what the target's clock shows at least, in milliseconds. With an estimate
// that is ahead of a slow clock, orders could be executed, and leases last, beyond leaseEnd.
func (t *target) estimatedClock(now time.Time) int64 {
	passed := now.Sub(t.clockAt)
	return t.clockMS + (passed - time.Duration(float64(passed)*clockDrift)).Milliseconds()
}

// updateClock updates the estimate from the clock in an answer.
func (t *target) updateClock(clock int64, now time.Time) {
	if clock > 0 && (clock >= t.estimatedClock(now) || t.clockMS == 0 || now.Sub(t.clockAt) > time.Second) {
		t.clockMS, t.clockAt = clock, now
	}
}

// longestLease returns how long a lease may last on a target whose clock is slow.
func longestLease(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockDrift*2) + leaseSlack
}

// grantLease returns the deadline of an order that is sent to a target now, on the target's clock,
// and the lease that it grants. It extends leaseEnd for a target clock that is slow by clockDrift.
func (m *Machine) grantLease(t *target, now time.Time) (deadline int64, lease time.Duration) {
	lease = m.bounds.GrantedLease()
	if !m.leaseLimit.IsZero() {
		lease = max(min(lease, m.leaseLimit.Sub(now)), 0)
	}
	if end := now.Add(longestLease(lease)); end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
	return t.estimatedClock(now) + lease.Milliseconds(), lease
}
