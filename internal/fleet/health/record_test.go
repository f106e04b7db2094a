package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1000, 0)

// A run that fails after half of its expected time, as by its own fault.
const (
	expected = 2 * time.Second
	late     = time.Second
)

// One failure is a doubt, two are a verdict; a run that is done between them
// takes the first one back.
func TestFailures(t *testing.T) {
	is := is.New(t)
	var r Record
	is.True(!r.Suspect(begin))
	r.ObserveFailure(late, expected, begin)
	is.True(r.Suspect(begin))
	is.True(!r.Quarantined(begin))
	r.ObserveFailure(late, expected, begin.Add(time.Second))
	is.True(r.Quarantined(begin.Add(time.Second)))

	var sound Record
	sound.ObserveFailure(late, expected, begin)
	sound.ObserveSuccess(begin, begin)
	is.True(!sound.Suspect(begin))
	sound.ObserveFailure(late, expected, begin.Add(time.Second))
	is.True(!sound.Quarantined(begin.Add(time.Second)))
}

// A target that did well for long is noticed as fast as any other when it turns
// bad.
func TestSuccessesDoNotPileUp(t *testing.T) {
	is := is.New(t)
	var r Record
	for range 100 {
		r.ObserveSuccess(begin, begin)
	}
	r.ObserveFailure(late, expected, begin)
	r.ObserveFailure(late, expected, begin)
	r.ObserveFailure(late, expected, begin)
	is.True(r.Quarantined(begin))
}

// Troubles pass: a condemned target is tried again after a while.
func TestDoubtFades(t *testing.T) {
	is := is.New(t)
	var r Record
	for range 3 {
		r.ObserveFailure(late, expected, begin)
	}
	is.True(r.Quarantined(begin.Add(2 * time.Second)))
	is.True(!r.Quarantined(begin.Add(12 * time.Second)))
}

// A standstill weighs more than a failure.
func TestStandstill(t *testing.T) {
	is := is.New(t)
	var r Record
	r.ObserveStall(begin)
	is.True(r.Quarantined(begin))
}

func TestSpeed(t *testing.T) {
	is := is.New(t)
	var r Record
	is.True(!r.Slow(begin))
	r.ObserveSpeed(0.2, begin)
	is.True(r.Slow(begin))
	is.Equal(r.SlowFor(begin.Add(time.Second)), time.Second)
	is.True(!r.Slow(begin.Add(10 * time.Second))) // not believed for ever
	r.ObserveSpeed(1, begin.Add(time.Second))
	is.True(!r.Slow(begin.Add(time.Second)))
	r.ObserveSpeed(0, begin.Add(time.Second)) // ignored
	is.True(!r.Slow(begin.Add(time.Second)))
}
