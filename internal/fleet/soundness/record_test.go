package soundness

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
	is.True(!r.Doubted(begin))
	r.Failed(late, expected, begin)
	is.True(r.Doubted(begin))
	is.True(!r.Condemned(begin))
	r.Failed(late, expected, begin.Add(time.Second))
	is.True(r.Condemned(begin.Add(time.Second)))

	var sound Record
	sound.Failed(late, expected, begin)
	sound.Succeeded(begin, begin)
	is.True(!sound.Doubted(begin))
	sound.Failed(late, expected, begin.Add(time.Second))
	is.True(!sound.Condemned(begin.Add(time.Second)))
}

// A target that did well for long is noticed as fast as any other when it turns
// bad.
func TestSuccessesDoNotPileUp(t *testing.T) {
	is := is.New(t)
	var r Record
	for range 100 {
		r.Succeeded(begin, begin)
	}
	r.Failed(late, expected, begin)
	r.Failed(late, expected, begin)
	r.Failed(late, expected, begin)
	is.True(r.Condemned(begin))
}

// Troubles pass: a condemned target is tried again after a while.
func TestDoubtFades(t *testing.T) {
	is := is.New(t)
	var r Record
	for range 3 {
		r.Failed(late, expected, begin)
	}
	is.True(r.Condemned(begin.Add(2 * time.Second)))
	is.True(!r.Condemned(begin.Add(12 * time.Second)))
}

// A standstill weighs more than a failure.
func TestStandstill(t *testing.T) {
	is := is.New(t)
	var r Record
	r.StoodStill(begin)
	is.True(r.Condemned(begin))
}

func TestSpeed(t *testing.T) {
	is := is.New(t)
	var r Record
	is.True(!r.Slow(begin))
	r.Ran(0.2, begin)
	is.True(r.Slow(begin))
	is.Equal(r.SlowFor(begin.Add(time.Second)), time.Second)
	is.True(!r.Slow(begin.Add(10 * time.Second))) // not believed for ever
	r.Ran(1, begin.Add(time.Second))
	is.True(!r.Slow(begin.Add(time.Second)))
	r.Ran(0, begin.Add(time.Second)) // ignored
	is.True(!r.Slow(begin.Add(time.Second)))
}
