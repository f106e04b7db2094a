package job_test

import (
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
)

// A billed forecast was configured as stoppable. It was moved to make room for a
// larger gang, which stopped it and started it a second time.
func TestOnlyRepeatableJobsAreStoppable(t *testing.T) {
	is := is.New(t)
	s, err := cell.NewShape(1, 1, 1, 1, cell.Any)
	is.NoErr(err)
	for _, repeatable := range []bool{false, true} {
		j, err := job.New("salon-1", "salon", "refill", s, job.Stoppable(true), job.Repeatable(repeatable))
		is.NoErr(err)
		is.Equal(j.Stoppable(), repeatable)
	}
}
