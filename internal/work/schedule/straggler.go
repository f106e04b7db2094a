package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/job"
)

// Limits of what counts as a straggler.
const (
	slowShare   = 0.25             // of the cores that the gang's other workers use
	slowReports = 3                // in a row, since reports lag and work comes in waves
	lateFactor  = 1.5              // of the time that those parts took which are done
	lateLeast   = 30 * time.Second // that the rest is behind at least
)

// Straggler is a part of a gang that holds up the whole of it.
type Straggler struct {
	Job    job.ID
	Worker string
	Since  time.Time // when it was first seen to be behind
	Reason string
}

// progress is what is known of a gang's parts, by worker. The zero progress
// knows nothing.
type progress struct {
	cores map[string]float64   // used by each member, as last reported
	slow  map[string]int       // reports in a row that were far below the others
	since map[string]time.Time // when the worker's slow reports began
	ended map[string]time.Time // parts that are done
}

// used notes a report and counts it if it is far below the gang's median. With
// less than three workers there is no telling which of them is slow.
func (p *progress) used(worker string, cores float64, now time.Time) {
	if p.cores == nil {
		p.cores, p.slow, p.since = map[string]float64{}, map[string]int{}, map[string]time.Time{}
	}
	p.cores[worker] = cores
	if len(p.cores) < 3 || cores >= slowShare*p.median() {
		delete(p.slow, worker)
		return
	}
	if p.slow[worker] == 0 {
		p.since[worker] = now
	}
	p.slow[worker]++
}

func (p *progress) median() float64 {
	var all []float64
	for _, c := range p.cores {
		all = append(all, c)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// PartEnded says that a gang's members on a worker are done while others may
// still run. A job that does not run there changes nothing.
func (s *Scheduler) PartEnded(id job.ID, worker string, now time.Time) {
	r, ok := s.running[id]
	if !ok || len(r.place.On(worker)) == 0 {
		return
	}
	if r.progress.ended == nil {
		r.progress.ended = map[string]time.Time{}
	}
	if _, known := r.progress.ended[worker]; !known {
		r.progress.ended[worker] = now
	}
}

// Stragglers returns the parts of running gangs that hold up the rest: those
// that use far less than the others, report after report, and those that still
// run long after half of their gang or more was done. They are only reported: a gang
// runs as one, so that its part cannot be started elsewhere.
func (s *Scheduler) Stragglers(now time.Time) []Straggler {
	var all []Straggler
	for id, r := range s.running {
		all = append(all, r.slowParts(id)...)
		all = append(all, r.lateParts(id, now)...)
	}
	slices.SortFunc(all, func(a, b Straggler) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Worker, b.Worker))
	})
	return all
}

func (r *runner) slowParts(id job.ID) []Straggler {
	var parts []Straggler
	for w, n := range r.progress.slow {
		if n < slowReports {
			continue
		}
		reason := fmt.Sprintf("its members use %.1f cores each, where the gang's median is %.1f", r.progress.cores[w], r.progress.median())
		parts = append(parts, Straggler{Job: id, Worker: w, Since: r.progress.since[w], Reason: reason})
	}
	return parts
}

func (r *runner) lateParts(id job.ID, now time.Time) []Straggler {
	workers := r.place.Workers()
	if 2*len(r.progress.ended) < len(workers) || len(r.progress.ended) == 0 {
		return nil
	}
	newest := r.since
	for _, at := range r.progress.ended {
		if at.After(newest) {
			newest = at
		}
	}
	took := newest.Sub(r.since)
	late := r.since.Add(max(time.Duration(lateFactor*float64(took)), took+lateLeast))
	var parts []Straggler
	for _, w := range workers {
		if _, done := r.progress.ended[w]; !done && now.After(late) {
			reason := fmt.Sprintf("it still runs, %d of %d workers of the gang were done after %s", len(r.progress.ended), len(workers), took)
			parts = append(parts, Straggler{Job: id, Worker: w, Since: late, Reason: reason})
		}
	}
	return parts
}
