package intake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/work/job"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// accepted returns an entry that gave a job to the placer p1.
func accepted(t *testing.T) *intake.Machine {
	t.Helper()
	s, err := cell.NewShape(1, 1, 1, 1, cell.Any)
	if err != nil {
		t.Fatal(err)
	}
	j, err := job.New("salon-1", "salon", "refill", s)
	if err != nil {
		t.Fatal(err)
	}
	m := intake.New("a")
	m.Step(intake.PlacersSeen{Placers: map[string]string{"a": "p1"}}, start)
	m.Step(intake.Accepted{Job: j}, start)
	return m
}

func refusal(placer string) intake.OutcomeArrived {
	o := job.Outcome{Job: "salon-1", State: job.NotRun, RetryAfter: start.Add(time.Minute)}
	return intake.OutcomeArrived{Placer: placer, Outcome: o}
}

// The placer changes while a salon's order waits. The new one refuses it, but
// the old one may have started it: the salon must not hear that it did not run.
// If the old one says that it did not start it either, it did not run.
func TestRefusalAfterAChangeOfPlacers(t *testing.T) {
	for _, c := range []struct {
		name  string
		first []string // who refuses before the current placer does
		want  job.State
	}{
		{"the old placer is silent", nil, job.Lost},
		{"the old placer refused too", []string{"p1"}, job.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := accepted(t)
			m.Step(intake.PlacersSeen{Placers: map[string]string{"a": "p2"}}, start)
			for _, p := range c.first {
				is.Equal(len(m.Step(refusal(p), start)), 0)
			}
			cs := m.Step(refusal("p2"), start)
			is.Equal(len(cs), 1)
			f, ok := cs[0].(intake.Finish)
			is.True(ok)
			is.Equal(f.Outcome.State, c.want)
		})
	}
}

// The home zone can never run a job and it is passed on; a late copy of the
// first refusal arrives while the other zone starts it.
func TestLateCopyOfARefusal(t *testing.T) {
	is := is.New(t)
	m := accepted(t)
	m.Step(intake.PlacersSeen{Placers: map[string]string{"a": "p1", "b": "q1"}}, start)
	never := refusal("p1")
	never.Outcome.RetryAfter = time.Time{}
	cs := m.Step(never, start)
	is.Equal(len(cs), 1)
	is.Equal(cs[0].(intake.Give).Placer, "q1")
	is.Equal(len(m.Step(never, start)), 0)
}
