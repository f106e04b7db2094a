package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/health"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// reach is what the leader knows of its connection to a target.
type reach int

const (
	unheld reach = iota // not reported in this term: what runs there is not known
	held                // reported, and answers
	silent              // reported once, and does not answer now
)

// target is one incarnation of a target.
type target struct {
	roster.Target
	listed     bool          // the platform's list has it
	evacuated  bool          // its zone is
	warmAt     time.Time     // it is slow until then
	coldSpan   time.Duration // that it has declared to be slow; 0: it is not
	coldShare  float64       // of that, what is left: above 0 while it is slow
	drainingAt time.Time
	reach      reach
	silentAt   time.Time          // when it ceased to answer
	runs       map[order.Run]*run // all runs that may exist there
	used       graph.Resources    // charge of the runs that may exist there
	promised   graph.Resources    // charge of the runs that wait for room there
	clockMS    int64              // its clock when last told
	clockAt    time.Time          // when that was received
	leaseEnd   time.Time          // everything that was ordered there has lapsed by then
	touched    bool               // among those for which a hold is to be considered
	holding    bool               // a hold is outstanding
	heldAt     time.Time          // when the outstanding hold was sent
	looking    bool               // a look is outstanding
	lookedAt   time.Time          // when the last look was sent
	heardAt    time.Time          // when it last reported
	answeredAt time.Time          // when it last answered anything
	missedAt   time.Time          // when the first order was sent that it has not answered, nor any since; zero: none
	cutOff     bool               // its zone seems to be, and it has not answered since
	holdAgain  time.Time          // not before
	reported   bool               // a first report came in this term
	seen       int64              // highest end number that was taken in
	ends       []mark             // ends taken in and not yet saved, by number
	endsDue    time.Time          // while ends are not saved: no hold before
	acked      int64              // ends up to it are saved
	sentAck    int64              // acknowledged in the hold that was answered last
	ackDue     time.Time          // when unacknowledged ends are to be acknowledged at the latest; zero: none
	health     health.Record
	pacedAt    time.Time // when its filling tasks were paced last
	remainsAt  time.Time // when it said how long it stays
	shunned    time.Time // gets no work until then
}

// mark says which saved revision of a job contains an end.
type mark struct {
	number int64
	job    *job // nil: nothing to save
	rev    int64
}

func (k mark) saved() bool { return k.job == nil || k.job.savedRev >= k.rev }

func (t *target) address() order.Address { return order.Address{ID: t.ID, Host: t.Address} }

// open reports whether new work may be given to the target.
func (t *target) open(now time.Time) bool {
	return t.listed && t.reach == held && t.inTouch() && t.clockMS != 0 && t.takesStarts() && !now.Before(t.shunned) && !t.health.Quarantined(now)
}

// forgotten reports whether nothing need be known of the target any more: it has
// left the list, nothing may run there and no end is left to acknowledge.
func (t *target) forgotten() bool {
	return !t.listed && len(t.runs) == 0 && len(t.ends) == 0 && (t.reach != held || t.acked == t.sentAck)
}

// room returns what is free, counting what waits for room as taken.
func (t *target) room() graph.Resources { return t.capacity().Minus(t.used).Minus(t.promised) }

// clock estimates the target's clock.
func (t *target) clock(now time.Time) int64 {
	return t.clockMS + now.Sub(t.clockAt).Milliseconds()
}

// heardClock takes in the clock of an answer.
func (t *target) heardClock(clock int64, now time.Time) {
	if clock > 0 && (clock >= t.clock(now) || t.clockMS == 0 || now.Sub(t.clockAt) > time.Second) {
		t.clockMS, t.clockAt = clock, now
	}
}

// grant returns the deadline for an order that is sent now, and notes when all
// that it may grant has lapsed: the target's clock may be slow by clockDrift.
func (t *target) grant(now time.Time, lease time.Duration) int64 {
	end := now.Add(lease + time.Duration(float64(lease)*clockDrift*2) + leaseSlack)
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
	return t.clock(now) + lease.Milliseconds()
}
