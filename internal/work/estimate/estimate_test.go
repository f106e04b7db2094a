package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/estimate"
)

var kind = estimate.Kind{Service: "s", Name: "k"}

func TestWithoutHistoryTheDeclaredTimeIsBelieved(t *testing.T) {
	is := is.New(t)
	var h estimate.Histories
	is.Equal(h.Run(kind, 0.9, time.Minute), time.Minute)
	is.Equal(h.Run(kind, 0.9, 0), estimate.Unknown)
	for range estimate.MinEnds - 1 {
		h.Ended(kind, time.Second, time.Minute)
	}
	is.Equal(h.RunDeclared(kind, 0.5, time.Minute), time.Minute)
	h.Ended(kind, time.Second, time.Minute)
	is.True(h.RunDeclared(kind, 0.5, time.Minute) < 2*time.Second)
	is.Equal(h.Run(estimate.Kind{Service: "s", Name: "other"}, 0.5, time.Minute), time.Minute)
}

// What a declaration says is learnt: where it says nothing the estimate does
// not follow it, where it is always a tenth of the truth it is multiplied.
func TestDeclaredTimesAreWeighed(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var noise, tenth estimate.Histories
	for range 500 {
		run := math.Exp(4 + rng.NormFloat64())
		declared := math.Exp(4 + rng.NormFloat64())
		noise.Ended(kind, seconds(run), seconds(declared))
		tenth.Ended(kind, seconds(run), seconds(run/10))
	}
	low, high := noise.RunDeclared(kind, 0.5, 10*time.Second), noise.RunDeclared(kind, 0.5, 1000*time.Second)
	is.True(high < 2*low)
	guess := tenth.RunDeclared(kind, 0.5, 10*time.Second).Seconds()
	is.True(guess > 80 && guess < 120)
	is.True(noise.RunDeclared(kind, 0.9, time.Minute) > noise.RunDeclared(kind, 0.5, time.Minute))
}

// A job that runs past its estimate must not count as room that is free.
func TestOverdueEndLiesAhead(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)
	is.Equal(estimate.End(start, time.Minute, start.Add(time.Second)), start.Add(time.Minute))
	for _, age := range []time.Duration{time.Minute, time.Hour, 100 * time.Hour} {
		is.True(estimate.End(start, time.Minute, start.Add(age)).After(start.Add(age)))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
