package placer_test

import (
	"fmt"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// full returns a machine of so many workers that adopted eleven jobs on each,
// and the time it took.
func full(b *testing.B, workers int) (*placer.Machine, time.Duration) {
	b.Helper()
	m := placer.New("a", nil, placer.WithIdentity("host#1/1"))
	var listed placer.TargetsListed
	for i := range workers {
		listed.Targets = append(listed.Targets, table.Target{
			ID: fmt.Sprintf("w%04d", i), Zone: "a", Rack: fmt.Sprintf("r%03d", i/8), Accelerators: 16, Cores: 64, Memory: 1 << 18, Slots: 16,
		})
	}
	shape, err := cell.NewShape(1, 1, 1, 1, cell.Any)
	if err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	m.Step(listed, start)
	m.Step(placer.Ticked{}, start)
	for i, t := range listed.Targets {
		rep := target.Report{Worker: t.ID, Change: 11}
		for k := range 11 {
			id := job.ID(fmt.Sprintf("salon-%d-%d", i, k))
			j, err := job.New(id, "salon", "refill", shape, job.Repeatable(true), job.Long(true), job.SubmittedAt(start, "entry#1", "a"))
			if err != nil {
				b.Fatal(err)
			}
			rep.Tasks = append(rep.Tasks, target.Task{
				Lease: target.Lease{Job: id, Attempt: 1000001}, Job: j, State: target.Confirmed, Since: start, Workers: 1,
				Grants: []cell.Grant{{Member: 0, Worker: t.ID, Accelerators: 1 << k}},
			})
		}
		m.Step(placer.Reported{Worker: t.ID, Report: rep}, start)
	}
	return m, time.Since(began)
}

// BenchmarkTakeover measures how a new placer rebuilds its state from the lists
// of all workers.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", n, 11*n), func(b *testing.B) {
			for range b.N {
				full(b, n)
			}
		})
	}
}

// BenchmarkSecond measures what a second costs while all runs on: four ticks,
// and a report of each worker every RenewEvery.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", n, 11*n), func(b *testing.B) {
			m, _ := full(b, n)
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for range 4 {
					now = now.Add(250 * time.Millisecond)
					m.Step(placer.Ticked{}, now)
					for i := range n / 12 {
						w := fmt.Sprintf("w%04d", (now.UnixMilli()/250*int64(n/12)+int64(i))%int64(n))
						m.Step(placer.Reported{Worker: w, Report: target.Report{Worker: w, Change: 11}, Expires: now.Add(placer.LeaseTime)}, now)
					}
				}
			}
		})
	}
}
