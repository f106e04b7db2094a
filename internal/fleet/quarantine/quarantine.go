package quarantine

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Limits of the watch.
const (
	Window       = 10 * time.Minute // failures older than this count no more
	MinJobs      = 3                // distinct jobs that failed before a worker is suspect
	PeerFactor   = 3.0              // a suspect's failure rate is above this many times its peers'
	FirstOut     = 30 * time.Second // time out before the first probe; doubles with each failed one
	LongestOut   = 30 * time.Minute
	RackShare    = 0.25 // most of a rack's workers that may be out at once, but always one
	JobWorkers   = 3    // distinct workers that a job failed on before the job is at fault
	JobFailures  = 6    // failures of a job, wherever, before the job is at fault
	leastSweep   = 64   // starts on a worker that are remembered whatever their age
	maxRemembers = 4096 // jobs with failures that are remembered at once
)

// Watch follows the starts and failures on the workers of a zone. Make it with
// New.
type Watch struct {
	workers map[string]*record
	jobs    map[string]map[string]int // failures by worker, by job
}

type record struct {
	starts   map[string]time.Time // newest start of each job in the window
	failures map[string]time.Time // newest failure of each job in the window
	out      bool
	probeAt  time.Time     // when out: when a probe may start
	probe    string        // job that runs as the probe, empty for none
	timeOut  time.Duration // of the last time out
	sweepAt  int           // starts at which old ones are dropped next, so that they do not pile up
}

// New returns a watch that has seen nothing.
func New() *Watch {
	return &Watch{workers: map[string]*record{}, jobs: map[string]map[string]int{}}
}

func (w *Watch) of(worker string) *record {
	r, ok := w.workers[worker]
	if !ok {
		r = &record{starts: map[string]time.Time{}, failures: map[string]time.Time{}}
		w.workers[worker] = r
	}
	return r
}

// Started notes that a job starts on a worker. On a worker that is out it is
// the probe.
func (w *Watch) Started(worker, job string, now time.Time) {
	r := w.of(worker)
	r.starts[job] = now
	if len(r.starts) > r.sweepAt {
		expire(r.starts, now)
		r.sweepAt = 2*len(r.starts) + leastSweep
	}
	if r.out && r.probe == "" {
		r.probe = job
	}
}

// Succeeded notes that a job came through on a worker. If it was the worker's
// probe, the worker is back.
func (w *Watch) Succeeded(worker, job string) {
	r := w.of(worker)
	delete(r.failures, job)
	if r.out && r.probe == job {
		*r = record{starts: map[string]time.Time{}, failures: map[string]time.Time{}}
	}
}

// Left notes that a job left a worker without a verdict, as by a reclaim.
func (w *Watch) Left(worker, job string) {
	if r := w.of(worker); r.probe == job {
		r.probe = ""
	}
}

// Failed notes that a job failed on a worker; rack is the ids of all workers of
// its rack, itself included. It reports whether the job is now known to be at
// fault itself.
func (w *Watch) Failed(worker, job string, rack []string, now time.Time) (jobAtFault bool) {
	w.of(worker)
	if w.blame(worker, job) {
		return true
	}
	w.Refused(worker, job, rack, now)
	return false
}

// Refused notes that a worker did not start a job that it was given. It counts
// against the worker as a failure does, and never against the job.
func (w *Watch) Refused(worker, job string, rack []string, now time.Time) {
	r := w.of(worker)
	r.failures[job] = now
	if r.out {
		if r.probe == job {
			r.fail(now)
		}
		return
	}
	if w.suspect(worker, r, now) && w.mayBar(rack) {
		r.fail(now)
	}
}

// fail puts the worker out, longer each time.
func (r *record) fail(now time.Time) {
	r.timeOut = min(max(2*r.timeOut, FirstOut), LongestOut)
	r.out, r.probe, r.probeAt = true, "", now.Add(r.timeOut)
}

// blame counts a failure against the job, and reports whether it is at fault.
// Failures on workers that are out say nothing about the job.
func (w *Watch) blame(worker, job string) bool {
	if w.workers[worker].out {
		return false
	}
	if w.jobs[job] == nil {
		if len(w.jobs) >= maxRemembers {
			return false
		}
		w.jobs[job] = map[string]int{}
	}
	w.jobs[job][worker]++
	healthy, failures := 0, 0
	for other, n := range w.jobs[job] {
		if r, ok := w.workers[other]; ok && !r.out {
			healthy++
			failures += n
		}
	}
	if healthy < JobWorkers && failures < JobFailures {
		return false
	}
	for other := range w.jobs[job] {
		if r, ok := w.workers[other]; ok {
			delete(r.failures, job)
		}
	}
	return true
}

// FailedOn returns the workers that a job failed on, sorted. It had better be
// tried elsewhere: that tells whose fault it is.
func (w *Watch) FailedOn(job string) []string {
	return slices.Sorted(maps.Keys(w.jobs[job]))
}

// Forget drops what is known of a job that is over.
func (w *Watch) Forget(job string) { delete(w.jobs, job) }

// suspect reports whether enough distinct jobs failed on the worker, and far
// more of its starts than of its peers'.
func (w *Watch) suspect(id string, r *record, now time.Time) bool {
	failures, starts := r.recent(now)
	if failures < MinJobs {
		return false
	}
	peerFailures, peerStarts := 0, 0
	for other, p := range w.workers {
		if other == id || p.out {
			continue
		}
		f, s := p.recent(now)
		peerFailures += f
		peerStarts += s
	}
	rate := float64(failures) / float64(max(starts, failures))
	// One failure is added to the peers', so that a quiet fleet has a rate too.
	peers := float64(peerFailures+1) / float64(peerStarts+MinJobs*MinJobs)
	return rate > PeerFactor*peers
}

// recent counts the distinct jobs that failed and started in the window, and
// forgets older ones.
func (r *record) recent(now time.Time) (failures, starts int) {
	expire(r.failures, now)
	expire(r.starts, now)
	return len(r.failures), len(r.starts)
}

func expire(at map[string]time.Time, now time.Time) {
	for job, t := range at {
		if now.Sub(t) > Window {
			delete(at, job)
		}
	}
}

// mayBar reports whether one more worker of the rack may be out.
func (w *Watch) mayBar(rack []string) bool {
	out := 0
	for _, id := range rack {
		if r, ok := w.workers[id]; ok && r.out {
			out++
		}
	}
	return out == 0 || float64(out+1) <= RackShare*float64(len(rack))
}

// Out reports whether the worker is out.
func (w *Watch) Out(worker string) bool {
	r, ok := w.workers[worker]
	return ok && r.out
}

// MayProbe reports whether a worker that is out may be given one job now.
func (w *Watch) MayProbe(worker string, now time.Time) bool {
	r, ok := w.workers[worker]
	return ok && r.out && r.probe == "" && !now.Before(r.probeAt)
}

// All returns the workers that are out, sorted.
func (w *Watch) All() []string {
	var ids []string
	for id, r := range w.workers {
		if r.out {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Remove forgets a worker that has left the zone for good.
func (w *Watch) Remove(worker string) { delete(w.workers, worker) }
