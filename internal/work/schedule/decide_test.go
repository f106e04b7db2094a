package schedule_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// bigZone returns workers and running tasks of the design size or a part of it:
// 920 workers with 1,300 accelerators, most of them in every sixth rack, and
// 11,000 tasks, twelve on each worker.
func bigZone(tb testing.TB, workers int) (ws []cell.Worker, jobs []job.Job, places []cell.Assignment) {
	for i := range workers {
		accelerators := 0
		switch {
		case i/8%6 == 0:
			accelerators = 8
		case i%40 == 9:
			accelerators = 1
		}
		w, err := cell.NewWorker(fmt.Sprintf("w%04d", i), "z", fmt.Sprintf("r%03d", i/8), accelerators, 64, 256<<10, 16)
		if err != nil {
			tb.Fatal(err)
		}
		ws = append(ws, w)
	}
	shape, err := cell.NewShape(1, 0, 4, 8<<10, cell.Any)
	if err != nil {
		tb.Fatal(err)
	}
	for i := range workers * 12 * 11000 / (920 * 12) {
		jobs = append(jobs, bigJob(tb, fmt.Sprintf("running%d", i), shape))
		places = append(places, cell.Assignment{{Worker: ws[i%workers].ID()}})
	}
	return ws, jobs, places
}

func bigJob(tb testing.TB, id string, s cell.Shape) job.Job {
	j, err := job.New(job.ID(id), "kioscos", "s", s, job.WithKind("confirmWindow"), job.Repeatable(true), job.Stoppable(true),
		job.Declared(time.Hour), job.SubmittedAt(epoch, "", "z"))
	if err != nil {
		tb.Fatal(err)
	}
	return j
}

func adopted(tb testing.TB, ws []cell.Worker, jobs []job.Job, places []cell.Assignment) *schedule.Scheduler {
	s := schedule.New(placement.NewZone(nil))
	for _, w := range ws {
		s.Zone().AddWorker(w)
	}
	if err := s.Configure(parse(tb, configText("recargaBella")), "z"); err != nil {
		tb.Fatal(err)
	}
	for i, j := range jobs {
		if err := s.Adopt(j, places[i], epoch); err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

// BenchmarkDecide measures a placement at three sizes up to the design size: a
// job arrives, is decided about and ends. It reports the memory of the whole
// state, too.
func BenchmarkDecide(b *testing.B) {
	shapes := []cell.Shape{shapeOf(b, "1 1 any"), shapeOf(b, "4 2 rack"), shapeOf(b, "1 8 worker"), shapeOf(b, "16 1 any")}
	for _, workers := range []int{230, 460, 920} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			ws, jobs, places := bigZone(b, workers)
			before := heapInUse()
			s := adopted(b, ws, jobs, places)
			state := heapInUse() - before
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				j := bigJob(b, fmt.Sprintf("job%d", i), shapes[i%len(shapes)])
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				s.Submit(j, now)
				if ds := s.Decide(now); len(ds) != 1 || ds[0].Action != schedule.Start {
					b.Fatalf("got %v, want one start", ds)
				}
				s.Ended(j.ID(), schedule.Done, "", now)
			}
			b.ReportMetric(float64(state)/(1<<20), "state-MB")
		})
	}
}

// BenchmarkRebuild measures the rebuilding of a zone's state from the workers'
// lists, as a host does that takes over.
func BenchmarkRebuild(b *testing.B) {
	for _, workers := range []int{230, 460, 920} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			ws, jobs, places := bigZone(b, workers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				adopted(b, ws, jobs, places)
			}
		})
	}
}

// BenchmarkBlocked measures a Decide when a thousand jobs and a gang wait for
// room that is not there and one running job ends; every half second it tries
// to make room for the gang, which the worst Decide shows.
func BenchmarkBlocked(b *testing.B) {
	for _, workers := range []int{230, 460, 920} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			ws, jobs, places := bigZone(b, workers)
			s := adopted(b, ws, jobs, places)
			for i := range 1000 {
				shape, err := cell.NewShape(1, 0, 60+i%40/10, 1, cell.Any)
				if err != nil {
					b.Fatal(err)
				}
				s.Submit(bigJob(b, fmt.Sprintf("waits%d", i), shape), epoch)
			}
			for i := range workers {
				s.Submit(bigJob(b, fmt.Sprintf("eight%d", i), shapeOf(b, "1 8 worker")), epoch)
			}
			s.Submit(bigJob(b, "gang", shapeOf(b, "8 8 rack")), epoch)
			s.Decide(epoch)
			worst := time.Duration(0)
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
				j := jobs[i%len(jobs)]
				s.Ended(j.ID(), schedule.Dropped, "", now)
				began := time.Now()
				s.Decide(now)
				worst = max(worst, time.Since(began))
				_ = s.Adopt(j, places[i%len(jobs)], epoch)
			}
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
