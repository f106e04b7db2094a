package intake_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/work/job"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func newJob(t *testing.T) job.Job {
	t.Helper()
	s, err := cell.NewShape(1, 1, 1, 1, cell.Any)
	if err != nil {
		t.Fatal(err)
	}
	j, err := job.New("a-1", "a", "refill", s, job.Repeatable(true))
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// given returns a machine that has given the job to placer p1 of its zone.
func given(t *testing.T, adopted bool) *intake.Machine {
	t.Helper()
	m := intake.New("leon")
	m.Step(intake.PlacersSeen{Placers: map[string]string{"leon": "p1"}}, noon)
	cs := m.Step(intake.Accepted{Job: newJob(t), Adopted: adopted}, noon)
	if len(cs) != 1 {
		t.Fatalf("accepted: got %v, want one Give", cs)
	}
	return m
}

func outcome(s job.State) job.Outcome { return job.Outcome{Job: "a-1", State: s, At: noon} }

func TestNotRunIsTold(t *testing.T) {
	cases := []struct {
		name    string
		adopted bool
		events  []intake.Event
		want    job.State
	}{
		{"by the only placer that had it", false, nil, job.NotRun},
		{
			// The caller's first host hands its jobs over at a planned stop. One
			// of them runs. The heir's own placer does not know it, finds no room
			// until the deadline, and says that it was not run.
			"of an adopted job", true, nil, job.Lost,
		},
		{
			// The placer dies after it was given the job and may have started
			// it. The next one is given it and refuses.
			"after another placer had it", false,
			[]intake.Event{intake.PlacersSeen{Placers: map[string]string{"leon": "p2"}}},
			job.Lost,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := given(t, c.adopted)
			placer := "p1"
			for _, e := range c.events {
				for _, done := range m.Step(e, noon) {
					_, told := done.(intake.Finish)
					is.True(!told) // not before the current placer has spoken
				}
				placer = "p2"
			}
			cs := m.Step(intake.OutcomeArrived{Placer: placer, Outcome: outcome(job.NotRun)}, noon)
			is.Equal(len(cs), 1)
			is.Equal(cs[0].(intake.Finish).Outcome.State, c.want) // what the caller is told
		})
	}
}

func TestGivesAgain(t *testing.T) {
	is := is.New(t)
	m := given(t, false)
	is.Equal(len(m.Step(intake.Ticked{}, noon.Add(intake.GiveAgainAfter-1))), 0) // not before its time
	is.Equal(len(m.Step(intake.Ticked{}, noon.Add(intake.GiveAgainAfter))), 1)   // the placer was silent
	m.Step(intake.Taken{Job: "a-1", Placer: "p1"}, noon.Add(intake.GiveAgainAfter))
	is.Equal(len(m.Step(intake.Ticked{}, noon.Add(2*intake.GiveAgainAfter))), 0) // the placer has it
	cs := m.Step(intake.Ticked{}, noon.Add(intake.GiveAgainAfter+intake.ConfirmEvery))
	is.Equal(cs, []intake.Command{intake.Give{Placer: "p1", Job: newJob(t), Known: true}}) // its id may do
	cs = m.Step(intake.PlacersSeen{Placers: map[string]string{"leon": "p2"}}, noon.Add(2*intake.GiveAgainAfter))
	is.Equal(cs, []intake.Command{intake.Give{Placer: "p2", Job: newJob(t)}})
}

func TestAnswerThatIsNotWholeIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	m := given(t, false)
	var cut job.Answer
	is.NoErr(cut.UnmarshalJSON([]byte(`{"length": 9, "digest": "00", "body": "AAAA"}`)))
	o := outcome(job.Succeeded)
	o.Answer = cut
	is.Equal(len(m.Step(intake.OutcomeArrived{Placer: "p1", Outcome: o}, noon)), 0)
	o.Answer = job.NewAnswer([]byte("whole"))
	is.Equal(len(m.Step(intake.OutcomeArrived{Placer: "p1", Outcome: o}, noon)), 1)
	is.Equal(len(m.Step(intake.OutcomeArrived{Placer: "p1", Outcome: o}, noon)), 0) // doubled
}

func TestPassedOnOnce(t *testing.T) {
	is := is.New(t)
	m := intake.New("leon")
	m.Step(intake.PlacersSeen{Placers: map[string]string{"leon": "p1", "celaya": "p2"}}, noon)
	m.Step(intake.Accepted{Job: newJob(t)}, noon)
	cs := m.Step(intake.OutcomeArrived{Placer: "p1", Outcome: outcome(job.NotRun)}, noon)
	is.Equal(cs[0].(intake.Give).Placer, "p2") // the home zone can never run it
	late := intake.OutcomeArrived{Placer: "p1", Outcome: outcome(job.NotRun)}
	is.Equal(len(m.Step(late, noon)), 0) // a late copy of the first refusal says nothing of p2
	cs = m.Step(intake.OutcomeArrived{Placer: "p2", Outcome: outcome(job.NotRun)}, noon)
	is.Equal(cs[0].(intake.Finish).Outcome.State, job.NotRun) // one hop only
}

func TestCancelGoesWithEachGiving(t *testing.T) {
	is := is.New(t)
	m := given(t, false)
	is.Equal(m.Step(intake.CancelAsked{Job: "a-1"}, noon), []intake.Command{intake.CancelAt{Placer: "p1", Job: "a-1"}})
	is.Equal(len(m.Step(intake.CancelAsked{Job: "a-1"}, noon)), 0) // asked twice
	cs := m.Step(intake.PlacersSeen{Placers: map[string]string{"leon": "p2"}}, noon)
	is.Equal(len(cs), 2) // the next placer gets the job and its cancellation
}

// A burst of large answers comes within the time that outcomes are kept for
// callers that ask again. The host must not run out of memory; the newest
// outcome stays, however large.
func TestEndedJobsAreBounded(t *testing.T) {
	is := is.New(t)
	m := intake.New("leon")
	m.Step(intake.PlacersSeen{Placers: map[string]string{"leon": "p1"}}, noon)
	body := make([]byte, intake.MaxAnswers/4+1)
	for i := range 6 {
		id := job.ID(fmt.Sprint("a-", i))
		j, err := job.New(id, "a", "refill", newJob(t).Shape())
		is.NoErr(err)
		m.Step(intake.Accepted{Job: j}, noon)
		m.Step(intake.OutcomeArrived{Placer: "p1", Outcome: job.Outcome{Job: id, State: job.Succeeded, Answer: job.NewAnswer(body)}}, noon)
	}
	is.Equal(len(m.Records()), 3)
	_, ok := m.Record("a-5")
	is.True(ok)
}

func TestOutcomeIsForgotten(t *testing.T) {
	is := is.New(t)
	m := given(t, false)
	m.Step(intake.OutcomeArrived{Placer: "p1", Outcome: outcome(job.Succeeded)}, noon)
	is.Equal(m.Open(), 0)
	m.Step(intake.Ticked{}, noon.Add(intake.KeepFor))
	_, ok := m.Record("a-1")
	is.True(!ok)
}

// TestGivenAgain tells of a host that ceases to place and begins again, or is
// named by an entry before it knows that itself. Its memory is gone or it
// refuses: the job must be given again soon, not after the long confirmation.
func TestGivenAgain(t *testing.T) {
	t.Run("to a placer that begins anew", func(t *testing.T) {
		is := is.New(t)
		m := given(t, false)
		m.Step(intake.Taken{Job: "a-1", Placer: "p1"}, noon)
		is.Equal(len(m.Step(intake.PlacerBegun{Placer: "p2"}, noon)), 0) // another's memory
		is.Equal(len(m.Step(intake.PlacerBegun{Placer: "p1"}, noon)), 1)
	})
	t.Run("to one that refused", func(t *testing.T) {
		is := is.New(t)
		m := given(t, false)
		m.Step(intake.NotTaken{Job: "a-1", Placer: "p1"}, noon)
		is.Equal(len(m.Step(intake.Ticked{}, noon.Add(intake.RefusedAgainAfter-1))), 0)
		is.Equal(len(m.Step(intake.Ticked{}, noon.Add(intake.RefusedAgainAfter))), 1)
	})
}
