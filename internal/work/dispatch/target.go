package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/health"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// reachability is what the leader knows of its connection to a target.
type reachability int

const (
	notPolled   reachability = iota // not reported in this term: what runs there is not known
	reachable                       // reported, and answers
	unreachable                     // reported once, and does not answer now
)

// target is one incarnation of a target.
type target struct {
	roster.Target
	listed           bool          // the platform's list has it
	evacuated        bool          // its zone is
	warmUpEnd        time.Time     // it is slow until then
	warmUpTime       time.Duration // that it has declared to be slow; 0: it is not
	coldShare        float64       // of that, what is left: above 0 while it is slow
	drainingAt       time.Time
	reach            reachability
	unreachableSince time.Time          // when it ceased to answer
	runs             map[order.Run]*run // all runs that may exist there
	used             graph.Resources    // charge of the runs that may exist there
	waitingCharge    graph.Resources    // charge of the runs that wait for room there
	clockMS          int64              // its clock when last told
	clockAt          time.Time          // when that was received
	leaseEnd         time.Time          // everything that was ordered there has lapsed by then
	pollCandidate    bool               // among those for which a poll is to be considered
	pollPending      bool               // a poll is outstanding
	pollSentAt       time.Time          // when the outstanding poll was sent
	extraPollPending bool               // an extra poll is outstanding
	extraPollSentAt  time.Time          // when the last extra poll was sent
	reportedAt       time.Time          // when it last reported
	answeredAt       time.Time          // when it last answered anything
	unansweredSince  time.Time          // when the first order was sent that it has not answered, nor any since; zero: none
	zoneUnreachable  bool               // its zone seems to be, and it has not answered since
	nextPollAt       time.Time          // not before
	reported         bool               // a first report came in this term
	highestEnd       int64              // highest end number that was taken in
	unsavedEnds      []unsavedEnd       // ends taken in and not yet saved, by number
	unsavedPollAt    time.Time          // while ends are not saved: no poll before
	acked            int64              // ends up to it are saved
	confirmedAck     int64              // acknowledged in the poll that was answered last
	ackDue           time.Time          // when unacknowledged ends are to be acknowledged at the latest; zero: none
	health           health.Record
	pacedAt          time.Time // when its best-effort tasks were paced last
	remainsToldAt    time.Time // when it said how long it stays
	suspendedUntil   time.Time // gets no work until then
}

// unsavedEnd says which saved revision of a job contains an end.
type unsavedEnd struct {
	number int64
	job    *job // nil: nothing to save
	rev    int64
}

func (e unsavedEnd) saved() bool { return e.job == nil || e.job.savedRev >= e.rev }

func (t *target) address() order.Address { return order.Address{ID: t.ID, Host: t.Address} }

// acceptsWork reports whether new work may be given to the target.
func (t *target) acceptsWork(now time.Time) bool {
	return t.listed && t.reach == reachable && t.responsive() && t.clockMS != 0 && t.acceptsStarts() && !now.Before(t.suspendedUntil) && !t.health.Quarantined(now)
}

// removable reports whether nothing need be known of the target any more: it has
// left the list, nothing may run there and no end is left to acknowledge.
func (t *target) removable() bool {
	return !t.listed && len(t.runs) == 0 && len(t.unsavedEnds) == 0 && (t.reach != reachable || t.acked == t.confirmedAck)
}

// freeCapacity returns what is free, counting what waits for capacity as taken.
func (t *target) freeCapacity() graph.Resources {
	return t.usableCapacity().Minus(t.used).Minus(t.waitingCharge)
}

// estimatedClock estimates the target's clock.
func (t *target) estimatedClock(now time.Time) int64 {
	return t.clockMS + now.Sub(t.clockAt).Milliseconds()
}

// updateClock takes in the clock of an answer.
func (t *target) updateClock(clock int64, now time.Time) {
	if clock > 0 && (clock >= t.estimatedClock(now) || t.clockMS == 0 || now.Sub(t.clockAt) > time.Second) {
		t.clockMS, t.clockAt = clock, now
	}
}

// grantLease returns the deadline for an order that is sent now, and notes when all
// that it may grant has lapsed: the target's clock may be slow by clockDrift.
func (t *target) grantLease(now time.Time, lease time.Duration) int64 {
	end := now.Add(lease + time.Duration(float64(lease)*clockDrift*2) + leaseSlack)
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
	return t.estimatedClock(now) + lease.Milliseconds()
}
