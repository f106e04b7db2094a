package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1000, 0)

// A run that fails at lateFailure has worked for half of its expected time, which does
// not point at the target.
const (
	expected    = 2 * time.Second
	lateFailure = time.Second
)

// One failure makes a target suspect and two quarantine it; a success between them
// offsets the first.
func TestFailures(t *testing.T) {
	is := is.New(t)
	var r Record
	is.True(!r.Suspect(begin))
	r.ObserveFailure(lateFailure, expected, begin)
	is.True(r.Suspect(begin))
	is.True(!r.Quarantined(begin))
	r.ObserveFailure(lateFailure, expected, begin.Add(time.Second))
	is.True(r.Quarantined(begin.Add(time.Second)))

	var healthy Record
	healthy.ObserveFailure(lateFailure, expected, begin)
	healthy.ObserveSuccess(begin, begin)
	is.True(!healthy.Suspect(begin))
	healthy.ObserveFailure(lateFailure, expected, begin.Add(time.Second))
	is.True(!healthy.Quarantined(begin.Add(time.Second)))
}

// A target with many successes is quarantined as fast as any other once it turns
// unhealthy.
func TestHealthyEvidenceIsCapped(t *testing.T) {
	is := is.New(t)
	var r Record
	for range 100 {
		r.ObserveSuccess(begin, begin)
	}
	r.ObserveFailure(lateFailure, expected, begin)
	r.ObserveFailure(lateFailure, expected, begin)
	r.ObserveFailure(lateFailure, expected, begin)
	is.True(r.Quarantined(begin))
}

// Faults are transient: a quarantined target is no longer so after a while without faults.
func TestEvidenceDecays(t *testing.T) {
	is := is.New(t)
	var r Record
	for range 3 {
		r.ObserveFailure(lateFailure, expected, begin)
	}
	is.True(r.Quarantined(begin.Add(2 * time.Second)))
	is.True(!r.Quarantined(begin.Add(12 * time.Second)))
}

// A stall weighs more than a failure: a single one quarantines the target.
func TestStall(t *testing.T) {
	is := is.New(t)
	var r Record
	r.ObserveStall(begin)
	is.True(r.Quarantined(begin))
}

// A stall that may be another target's fault makes a target suspect, and two of them soon after each
// other quarantine it. A run that began before is healthy evidence nevertheless.
func TestSharedStall(t *testing.T) {
	is := is.New(t)
	var r Record
	r.ObserveSharedStall(begin)
	is.True(r.Suspect(begin))
	is.True(!r.Quarantined(begin))
	cleared := r
	cleared.ObserveSuccess(begin.Add(-time.Second), begin)
	is.True(!cleared.Suspect(begin))
	r.ObserveSharedStall(begin.Add(time.Second))
	is.True(r.Quarantined(begin.Add(time.Second)))
	is.True(r.OnProbation(begin.Add(time.Second)))
}

// A target is slow after a slow run, until a fast one or until the measurement is too old.
// A speed of 0 is ignored.
func TestSpeed(t *testing.T) {
	is := is.New(t)
	var r Record
	is.True(!r.Slow(begin))
	r.ObserveSpeed(0.2, begin)
	is.True(r.Slow(begin))
	is.Equal(r.SlowFor(begin.Add(time.Second)), time.Second)
	is.True(!r.Slow(begin.Add(10 * time.Second))) // expired
	r.ObserveSpeed(1, begin.Add(time.Second))
	is.True(!r.Slow(begin.Add(time.Second)))
	r.ObserveSpeed(0, begin.Add(time.Second)) // ignored
	is.True(!r.Slow(begin.Add(time.Second)))
}
