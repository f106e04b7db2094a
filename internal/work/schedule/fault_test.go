package schedule_test

import (
	"slices"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// faults are what BenchmarkFault lets happen, each with the guard against it.
var faults = []struct {
	name    string
	guard   schedule.Guard
	prepare func(tb testing.TB, s *stream)
	crash   func(cell.Assignment) string
}{
	{"failingWorkers", schedule.Quarantine, nil, failing("w03", "w17")},
	{"wrongDeclarations", schedule.Estimates, nil, never},
	{"burstOfOneAccount", schedule.Order, burst, never},
	{"smallJobsBeforeGangs", schedule.Reservation, nil, never},
	{"scatteredSmallJobs", schedule.Compaction, nil, never},
	{"fullOfBorrowers", schedule.Reclaim, nil, never},
}

// failing lets every start fail that has a member on one of the workers.
func failing(workers ...string) func(cell.Assignment) string {
	return func(a cell.Assignment) string {
		for _, w := range a.Workers() {
			if slices.Contains(workers, w) {
				return w
			}
		}
		return ""
	}
}

// burst adds 3,000 jobs of one account at once to a stream.
func burst(tb testing.TB, s *stream) {
	at := sortedAt(s, 15*time.Minute)
	var jobs []request
	for i := range 3000 {
		j, err := job.New(job.ID("burst"+time.Duration(i).String()), "formulas", "s", shapeOf(tb, "1 2 any"), job.WithKind("checkBatch"),
			job.Repeatable(true), job.Stoppable(true), job.Declared(90*time.Second), job.SubmittedAt(epoch.Add(15*time.Minute), "", "z"))
		if err != nil {
			tb.Fatal(err)
		}
		jobs = append(jobs, request{job: j, at: 15 * time.Minute, run: 90 * time.Second})
	}
	s.requests = slices.Insert(s.requests, at, jobs...)
}

func sortedAt(s *stream, at time.Duration) int {
	i, _ := slices.BinarySearchFunc(s.requests, at, func(r request, t time.Duration) int { return int(r.at - t) })
	return i
}

// BenchmarkFault replays Recarga Bella's streams of seeds 1 to 5 at a load of 0.8
// with a fault, with the guard against it and without.
func BenchmarkFault(b *testing.B) {
	for _, f := range faults {
		for _, guard := range []string{"without", "with"} {
			b.Run("fault="+f.name+"/guard="+guard, func(b *testing.B) {
				for range b.N {
					var opts []schedule.Option
					if guard == "without" {
						opts = append(opts, schedule.Without(f.guard))
					}
					var sums [7]float64
					for seed := range uint64(5) {
						s := newStream(b, "recargaBella", 0.8, seed+1)
						if f.prepare != nil {
							f.prepare(b, s)
						}
						r, err := replay(s, schedule.New(placement.NewZone(nil), opts...), f.crash)
						if err != nil {
							b.Fatal(err)
						}
						for i, v := range []float64{mean(r.others()), r.fragmented / arrivals.Seconds(), mean(r.waits), float64(r.breaches), float64(r.crashes), r.lost, float64(r.unfinished())} {
							sums[i] += v / 5
						}
					}
					for i, unit := range []string{"completion-mean-s", "fragmentation", "gangWait-mean-s", "breaches", "failedStarts", "lostWork-s", "unfinished"} {
						b.ReportMetric(sums[i], unit)
					}
				}
			})
		}
	}
}

// others returns the completion times of all jobs but those of a burst.
func (b *bench) others() []float64 {
	var times []float64
	for _, l := range b.lives {
		if l.done && l.completed > 0 && l.run != 90*time.Second {
			times = append(times, l.completed.Seconds())
		}
	}
	slices.Sort(times)
	return times
}

// unfinished counts the jobs that have no final answer when the replay ends.
func (b *bench) unfinished() int {
	n := 0
	for _, l := range b.lives {
		if !l.done {
			n++
		}
	}
	return n
}
