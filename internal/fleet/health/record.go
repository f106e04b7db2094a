package health

import (
	"math"
	"time"
)

// Parameters of the evidence for and against a target.
const (
	// priorOdds are the odds that a target without evidence is unhealthy: one in fifty.
	priorOdds = 0.02
	// taskFailureRate is the share of runs that fail through their own fault, rounded up.
	taskFailureRate = 0.05
	// unhealthyFailureRate is the share of runs that fail on an unhealthy target.
	unhealthyFailureRate = 0.9
	// A run may fail through its own fault at any point of its work; an unhealthy target
	// fails what it starts within tens of milliseconds. A failure is early within
	// earlyFraction of the expected run time plus earlyMargin, which covers the delay of
	// the order and of the report. Few failures through a run's own fault are early, so
	// an early failure is much stronger evidence against the target.
	earlyFraction = 0.03
	earlyMargin   = 50 * time.Millisecond
	// healthyFraction is the share of its expected time after which a run that still
	// works is evidence that its target is healthy.
	healthyFraction = 0.1
	// evidenceHalfLife is the time in which evidence loses half its weight. It is short
	// because faults of targets last some seconds.
	evidenceHalfLife = 5 * time.Second
	// From suspectOdds on a target gets work only if no other has capacity, from
	// quarantineOdds on none. One early failure quarantines it for 3.5 s.
	suspectOdds    = 0.2
	quarantineOdds = 1.0
	// stallFailures is the number of failures that a stall counts for: a task does not
	// stall through its own fault.
	stallFailures = 1.5
)

// Record holds the evidence about one target. The zero Record holds none.
type Record struct {
	evidence    float64   // log of the ratio of the odds to priorOdds, as of updatedAt
	updatedAt   time.Time // time of the last evidence
	lastFaultAt time.Time // time of the last evidence against the target
	provenAt    time.Time // start of the latest run that was healthy evidence
	onProbation bool      // was quarantined, and no run begun since was healthy evidence
	speed       float64   // moving average, relative to healthy targets; 0: unknown
	speedAt     time.Time
	slowSince   time.Time // zero: not slow
}

var (
	failureWeight = math.Log(unhealthyFailureRate / taskFailureRate)
	earlyWeight   = math.Log(unhealthyFailureRate / (taskFailureRate * earlyFraction))
	successWeight = math.Log((1 - unhealthyFailureRate) / (1 - taskFailureRate))
)

// add adds weight to the evidence and clamps the sum. Healthy evidence offsets at most
// one failure, so that a target that turns unhealthy is detected at once; evidence
// against a target is capped at an early and another failure, so that one that has
// recovered soon gets work again.
func (r *Record) add(weight float64, now time.Time) {
	r.evidence = min(max(r.decayed(now)+weight, successWeight), earlyWeight+failureWeight)
	r.updatedAt = now
}

// addFault adds evidence against the target, and puts it on probation if that quarantines
// it.
func (r *Record) addFault(weight float64, now time.Time) {
	r.add(weight, now)
	r.lastFaultAt = now
	r.onProbation = r.onProbation || r.Quarantined(now)
}

// decayed returns the evidence after its decay until now.
func (r *Record) decayed(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.evidence * math.Exp2(-float64(now.Sub(r.updatedAt))/float64(evidenceHalfLife))
}

// ObserveFailure records that a run failed on the target after it had worked for part
// of its expected time. Callers leave out a failure that is likely the task's own fault,
// such as a late one of a task that has failed before.
func (r *Record) ObserveFailure(worked, expected time.Duration, now time.Time) {
	weight := failureWeight
	if EarlyFailure(worked, expected) {
		weight = earlyWeight
	}
	r.addFault(weight, now)
}

// EarlyFailure reports whether a run that failed after worked did so early enough to
// blame its target rather than the run.
func EarlyFailure(worked, expected time.Duration) bool {
	return worked < earlyMargin+time.Duration(earlyFraction*float64(expected))
}

// ObserveStall records that a run made no progress on the target.
func (r *Record) ObserveStall(now time.Time) { r.addFault(stallFailures*failureWeight, now) }

// ObserveSharedStall records that a gang made no progress, and that it is not known which of its
// targets is at fault. It counts as one failure, which makes the target suspect. Runs that began
// before may still be healthy evidence.
func (r *Record) ObserveSharedStall(now time.Time) {
	r.add(failureWeight, now)
	r.onProbation = r.onProbation || r.Quarantined(now)
}

// ObserveSuccess records that a run succeeded on the target. It ignores a run that began
// before the last fault: a target that fails everything it starts keeps running what it
// started before. Otherwise it also ends the target's probation.
func (r *Record) ObserveSuccess(began, now time.Time) {
	if began.Before(r.lastFaultAt) {
		return
	}
	r.add(successWeight, now)
	r.onProbation = false
	if began.After(r.provenAt) {
		r.provenAt = began
	}
}

// ObserveProgress records that a run still works after part of its expected time. It
// reports whether that is long enough to be healthy evidence; if so, it counts as a
// success.
func (r *Record) ObserveProgress(began time.Time, worked, expected time.Duration, now time.Time) bool {
	if float64(worked) < healthyFraction*float64(expected) || EarlyFailure(worked, expected) {
		return false
	}
	r.ObserveSuccess(began, now)
	return true
}

// ProvenSince reports whether a run that began after the given time was healthy evidence.
func (r *Record) ProvenSince(at time.Time) bool { return r.provenAt.After(at) }

// OnProbation reports whether the target was quarantined, no run begun after its last fault
// was healthy evidence, and it is still suspect. Such a target should get one run at a time.
func (r *Record) OnProbation(now time.Time) bool { return r.onProbation && r.Suspect(now) }

// odds returns the odds that the target is unhealthy.
func (r *Record) odds(now time.Time) float64 { return priorOdds * math.Exp(r.decayed(now)) }

// Suspect reports whether the target should get work only if no other can take it.
func (r *Record) Suspect(now time.Time) bool { return r.oddsAtLeast(suspectOdds, now) }

// Quarantined reports whether the target should get no work.
func (r *Record) Quarantined(now time.Time) bool { return r.oddsAtLeast(quarantineOdds, now) }

// oddsAtLeast reports whether the odds reach the given ones, which must exceed priorOdds.
// Every decision calls it for every target, and most have no evidence against them, so
// it computes no exponential for those.
func (r *Record) oddsAtLeast(odds float64, now time.Time) bool {
	return r.evidence > 0 && r.odds(now) >= odds
}

// Parameters of the speed estimate.
const (
	// speedSmoothing is the weight of a new measurement in the moving average.
	speedSmoothing = 0.5
	// slowSpeed is the speed below which a target counts as slow. Estimates of run time
	// are off by up to half either way, so a healthy target seldom appears slower; slow
	// targets run at a quarter of the usual speed or less.
	slowSpeed = 0.45
	// speedMaxAge is how long a measured speed remains valid.
	speedMaxAge = 4 * time.Second
)

// ObserveSpeed records the speed of a run on the target: the work done, by its estimate,
// divided by the time taken. It ignores speeds that are not positive and finite. A speed
// measured more than speedMaxAge after the previous one replaces the average.
func (r *Record) ObserveSpeed(speed float64, now time.Time) {
	if speed <= 0 || math.IsInf(speed, 0) || math.IsNaN(speed) {
		return
	}
	if r.speed == 0 || now.Sub(r.speedAt) > speedMaxAge {
		r.speed = speed
	} else {
		r.speed += speedSmoothing * (speed - r.speed)
	}
	r.speedAt = now
	switch {
	case r.speed >= slowSpeed:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = now
	}
}

// SlowFor returns how long the target has been slow, or 0 if it is not. The time counts
// from the first slow average after the last that was not, also if there was a time without
// measurements between.
func (r *Record) SlowFor(now time.Time) time.Duration {
	if !r.Slow(now) {
		return 0
	}
	return now.Sub(r.slowSince)
}

// Slow reports whether tasks run slowly on the target. It is false if no speed was measured
// within speedMaxAge.
func (r *Record) Slow(now time.Time) bool {
	return r.speed > 0 && r.speed < slowSpeed && now.Sub(r.speedAt) <= speedMaxAge
}
