package stages_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// at returns a time that lies so many milliseconds after the begin of the tests' jobs.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// Answers are late, lost and overtake each other, so boundaries come in any order and some never
// do. Guards against time that is counted twice or not at all, and against negative stages.
func TestStagesAddUp(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		line, last := stages.Begin(at(0)), 0
		for range rapid.IntRange(0, 30).Draw(rt, "boundaries") {
			s := rapid.SampledFrom(stages.All()).Draw(rt, "stage")
			if rapid.IntRange(0, 5).Draw(rt, "known") == 0 {
				line.Until(s, time.Time{})
				continue
			}
			ms := rapid.IntRange(-500, 5000).Draw(rt, "at")
			line.Until(s, at(ms))
			last = max(last, ms)
		}
		sum := time.Duration(0)
		for _, s := range stages.All() {
			if line.Of(s) < 0 {
				rt.Fatalf("stage %s takes %s", s, line.Of(s))
			}
			sum += line.Of(s)
		}
		if want := at(last).Sub(at(0)); sum != want || line.Whole() != want {
			rt.Fatalf("stages add up to %s, whole %s, want %s", sum, line.Whole(), want)
		}
	})
}

// Two steps wait for the same one. Guards against the time of one that is counted for the other.
func TestCloneIsIndependent(t *testing.T) {
	is := is.New(t)
	first := stages.Begin(at(0))
	first.Until(stages.Learn, at(10))
	second := first.Clone()
	second.Until(stages.Run, at(500))
	is.Equal(first.Whole(), 10*time.Millisecond)
	is.Equal(second.Whole(), 500*time.Millisecond)
	is.Equal(second.Of(stages.Learn), 10*time.Millisecond)
}

// A job whose run took longer than estimated also waited a moment for its capacity. Guards against
// blaming the wait, and against blaming the run where the wait alone makes the job late.
func TestLongest(t *testing.T) {
	is := is.New(t)
	line := stages.Begin(at(0))
	line.Until(stages.Capacity, at(300))
	line.Until(stages.Save, at(310))
	line.Until(stages.Run, at(5000))
	is.Equal(line.Longest(time.Second), stages.Run)
	is.Equal(line.Longest(200*time.Millisecond), stages.Capacity)
	is.Equal(line.Longest(-time.Second), stages.Capacity)
	line.Until(stages.Publish, at(5400))
	is.Equal(line.Longest(200*time.Millisecond), stages.Publish)
}

// Labels of metrics are the names. Guards against a stage or cause without one, and two with the same.
func TestNames(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{"": true, stages.None.String(): true}
	for _, s := range stages.All() {
		is.True(!seen[s.String()])
		seen[s.String()] = true
	}
	seen = map[string]bool{"": true, stages.None.String(): true}
	for _, c := range stages.Causes() {
		is.True(!seen[c.String()])
		seen[c.String()] = true
	}
}
