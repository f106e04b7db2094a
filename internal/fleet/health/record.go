package health

import (
	"math"
	"time"
)

// Figures of the judgement.
const (
	// priorOdds are the odds that a target about which nothing is known is
	// unsound: one in fifty.
	priorOdds = 0.02
	// ownFailures is the share of runs that fail by their own fault, as the
	// users' request sheets give it, rounded up.
	ownFailures = 0.05
	// unsoundFailures is the share of runs that fail on an unsound target.
	unsoundFailures = 0.9
	// A run that fails by its own fault does so at any moment of its work; an unsound
	// target fails what it starts within some tens of milliseconds. So a failure is
	// early before earlyShare of the time that the run was expected to take, and
	// earlyTime for the way of the order and of the report. Of the failures by their
	// own fault few are early, which makes an early one weigh so much more.
	earlyShare = 0.03
	earlyTime  = 50 * time.Millisecond
	// soundShare is the share of its expected time after which a run that goes on
	// tells that its target is sound.
	soundShare = 0.1
	// fades is the time in which evidence loses half its weight: troubles of
	// targets last some seconds.
	fades = 5 * time.Second
	// doubted and condemned are the odds from which a target gets work only if
	// no other has room, and none at all. One early failure condemns for 3.5 s.
	doubted   = 0.2
	condemned = 1.0
	// standstill counts as so many failures: a task that makes no progress does
	// not do so by its own fault.
	standstill = 1.5
)

// Record is what is known of one target. The zero Record knows nothing.
type Record struct {
	evidence float64   // logarithm of the odds against the prior's, at
	at       time.Time // the time of the last sign
	badAt    time.Time // of the last sign against it
	provenAt time.Time // when the latest run began that was a sign for it
	onTrial  bool      // it was condemned, and nothing has gone well that began since
	speed    float64   // of its tasks against sound ones; 0: not known
	speedAt  time.Time
	slowAt   time.Time // since when it is slow; zero: it is not
}

var (
	failureWeight = math.Log(unsoundFailures / ownFailures)
	earlyWeight   = math.Log(unsoundFailures / (ownFailures * earlyShare))
	successWeight = math.Log((1 - unsoundFailures) / (1 - ownFailures))
)

// add takes a sign in. Evidence for a target does not pile up beyond what makes
// up for one failure, so that one that turns bad is noticed at once; evidence
// against it not beyond an early and another failure, so that one that is well
// again is soon back.
func (r *Record) add(weight float64, now time.Time) {
	r.evidence = min(max(r.faded(now)+weight, successWeight), earlyWeight+failureWeight)
	r.at = now
}

// against takes in a sign against the target.
func (r *Record) against(weight float64, now time.Time) {
	r.add(weight, now)
	r.badAt = now
	r.onTrial = r.onTrial || r.Quarantined(now)
}

func (r *Record) faded(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.evidence * math.Exp2(-float64(now.Sub(r.at))/float64(fades))
}

// ObserveFailure notes that a run failed there, that had not failed elsewhere, after it
// had worked for some time of what it was expected to take.
func (r *Record) ObserveFailure(worked, expected time.Duration, now time.Time) {
	weight := failureWeight
	if EarlyFailure(worked, expected) {
		weight = earlyWeight
	}
	r.against(weight, now)
}

// EarlyFailure reports whether a run that failed had worked for so little of the time that
// it was expected to take that this speaks against its target, not against itself.
func EarlyFailure(worked, expected time.Duration) bool {
	return worked < earlyTime+time.Duration(earlyShare*float64(expected))
}

// ObserveStall notes that a run made no progress there.
func (r *Record) ObserveStall(now time.Time) { r.against(standstill*failureWeight, now) }

// ObserveSuccess notes that a run went well there. One that began before the last sign
// against the target tells nothing: a target that fails all that it starts lets go
// on what it had started before.
func (r *Record) ObserveSuccess(began, now time.Time) {
	if began.Before(r.badAt) {
		return
	}
	r.add(successWeight, now)
	r.onTrial = false
	if began.After(r.provenAt) {
		r.provenAt = began
	}
}

// ObserveProgress notes that a run works there that has worked for some time of what it
// is expected to take. It reports whether that is long enough to tell that the
// target is sound: then it is a sign as good as a success.
func (r *Record) ObserveProgress(began time.Time, worked, expected time.Duration, now time.Time) bool {
	if float64(worked) < soundShare*float64(expected) || EarlyFailure(worked, expected) {
		return false
	}
	r.ObserveSuccess(began, now)
	return true
}

// ProvenSince reports whether a run has gone well there that began after a time.
func (r *Record) ProvenSince(at time.Time) bool { return r.provenAt.After(at) }

// OnProbation reports whether the target was condemned a short while ago and nothing
// has gone well there that began since: it should get one run at a time.
func (r *Record) OnProbation(now time.Time) bool { return r.onTrial && r.Suspect(now) }

// odds returns the odds that the target is unsound.
func (r *Record) odds(now time.Time) float64 { return priorOdds * math.Exp(r.faded(now)) }

// Suspect reports whether the target should get work only if no other can.
func (r *Record) Suspect(now time.Time) bool { return r.atLeast(doubted, now) }

// Quarantined reports whether the target should get no work.
func (r *Record) Quarantined(now time.Time) bool { return r.atLeast(condemned, now) }

// atLeast reports whether the odds reach some that are above the prior ones. Each
// decision asks it of every target, and of most nothing bad is known.
func (r *Record) atLeast(odds float64, now time.Time) bool {
	return r.evidence > 0 && r.odds(now) >= odds
}

// Figures of speeds.
const (
	// speedShare is the weight of a new measurement of speed.
	speedShare = 0.5
	// slow is the speed below which a target counts as slow. Estimates are wrong
	// by up to a half either way, so a sound target seldom seems to run below it;
	// slow ones run four times slower and more.
	slow = 0.45
	// speedFades is how long a measured speed is believed without a new one.
	speedFades = 4 * time.Second
)

// ObserveSpeed notes the speed of a run there: the work that it did, by its estimate,
// against the time that it took. Speeds that are not above 0 are ignored.
func (r *Record) ObserveSpeed(speed float64, now time.Time) {
	if speed <= 0 || math.IsInf(speed, 0) || math.IsNaN(speed) {
		return
	}
	if r.speed == 0 || now.Sub(r.speedAt) > speedFades {
		r.speed = speed
	} else {
		r.speed += speedShare * (speed - r.speed)
	}
	r.speedAt = now
	switch {
	case r.speed >= slow:
		r.slowAt = time.Time{}
	case r.slowAt.IsZero():
		r.slowAt = now
	}
}

// SlowFor returns how long tasks have run slowly there, 0 if they do not.
func (r *Record) SlowFor(now time.Time) time.Duration {
	if !r.Slow(now) {
		return 0
	}
	return now.Sub(r.slowAt)
}

// Slow reports whether tasks run slowly there.
func (r *Record) Slow(now time.Time) bool {
	return r.speed > 0 && r.speed < slow && now.Sub(r.speedAt) <= speedFades
}
