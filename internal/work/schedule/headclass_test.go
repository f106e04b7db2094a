package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// A gang holds the reservation of a full zone. Another one of its kind, which
// was submitted before it, arrives later by a slow message. When the room is
// free the earlier one was kept out of the reserved room, and the head stood
// behind it: the zone was idle and both waited for the planned time, an hour.
func TestEarlierJobOfTheHeadsClassStarts(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	w, err := cell.NewWorker("w1", "a", "r", 4, 16, 16000, 4)
	is.NoErr(err)
	zone := placement.NewZone(nil)
	zone.AddWorker(w)
	s := schedule.New(zone)
	shape, err := cell.NewShape(2, 2, 1, 1, cell.Any)
	is.NoErr(err)
	submit := func(id job.ID, at time.Time) {
		j, err := job.New(id, "salon", "refill", shape, job.Repeatable(true), job.SubmittedAt(at, "e", "a"))
		is.NoErr(err)
		s.Submit(j, now)
	}
	submit("running", now)
	is.Equal(len(s.Decide(now)), 1)
	submit("head", now.Add(-time.Second))
	is.Equal(len(s.Decide(now)), 0)
	submit("earlier", now.Add(-2*time.Second))
	is.Equal(len(s.Decide(now)), 0)
	s.Ended("running", schedule.Done, "", now.Add(time.Minute))
	ds := s.Decide(now.Add(time.Minute))
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Job.ID(), job.ID("earlier"))
}
