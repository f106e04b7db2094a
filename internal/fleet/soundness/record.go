package soundness

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
	// fades is the time in which evidence loses half its weight: troubles of
	// targets last some seconds.
	fades = 5 * time.Second
	// doubted and condemned are the odds from which a target gets work only if
	// no other has room, and none at all.
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
	speed    float64   // of its tasks against sound ones; 0: not known
	speedAt  time.Time
	slowAt   time.Time // since when it is slow; zero: it is not
}

var (
	failureWeight = math.Log(unsoundFailures / ownFailures)
	successWeight = math.Log((1 - unsoundFailures) / (1 - ownFailures))
)

// add takes a sign in. Evidence for a target does not pile up beyond what makes
// up for one failure, so that one that turns bad is noticed at once; evidence
// against it not beyond two, so that one that is well again is soon back.
func (r *Record) add(weight float64, now time.Time) {
	r.evidence = min(max(r.faded(now)+weight, successWeight), 2*failureWeight)
	r.at = now
}

func (r *Record) faded(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.evidence * math.Exp2(-float64(now.Sub(r.at))/float64(fades))
}

// Failed notes that a run failed there that had not failed elsewhere.
func (r *Record) Failed(now time.Time) { r.add(failureWeight, now) }

// StoodStill notes that a run made no progress there.
func (r *Record) StoodStill(now time.Time) { r.add(standstill*failureWeight, now) }

// Succeeded notes that a run was done there.
func (r *Record) Succeeded(now time.Time) { r.add(successWeight, now) }

// odds returns the odds that the target is unsound.
func (r *Record) odds(now time.Time) float64 { return priorOdds * math.Exp(r.faded(now)) }

// Doubted reports whether the target should get work only if no other can.
func (r *Record) Doubted(now time.Time) bool { return r.odds(now) >= doubted }

// Condemned reports whether the target should get no work.
func (r *Record) Condemned(now time.Time) bool { return r.odds(now) >= condemned }

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

// Ran notes the speed of a run there: the work that it did, by its estimate,
// against the time that it took. Speeds that are not above 0 are ignored.
func (r *Record) Ran(speed float64, now time.Time) {
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
