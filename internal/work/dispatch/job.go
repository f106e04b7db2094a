package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// job is an accepted job of which not everything has ended, or whose end is
// still told.
type job struct {
	spec      *graph.Job
	part      int
	steps     []*step        // of the occurrences that are open, in order
	opened    int            // occurrences opened so far
	stepsLeft int            // open steps that are not done
	cancelled bool           //
	state     progress.State // as decided
	published progress.State // as clients may be told
	endedAt   int64          // of a final state: milliseconds since 1970
	started   bool           // a task has started
	liveRuns  map[*run]bool  // runs that may exist
	version   int64          // of the progress row
	rev       int64          // rises with each change that must be saved
	savedRev  int64          // the newest that was saved
	sentRev   int64          // of the save that is outstanding
	sentState progress.State // of the save that is outstanding
	dirty     bool           // waits for a save
	learnedAt time.Time      // when the leader heard of it
	objective time.Duration  // within which it earns its whole worth
}

// step is one step of one occurrence.
type step struct {
	job        *job
	id         graph.StepID
	spec       *graph.Step
	blockedBy  int     // earlier steps that are not done
	dependents []*step // steps that wait for this one
	tasks      []*task
	tasksLeft  int
	done       bool
	dueAt      int64 // milliseconds since 1970 from which it may start; 0: at once
	// Of a gang.
	gangRun          int
	doneRun          int       // run that ended done, of a gang's members or the last task; 0: none or not known
	doneAt           time.Time // when that was taken in
	savedCheckpoint  string
	permits          permits
	gangAttempts     attempts        // of a gang
	gangEnd          gangEnd         // of a gang
	failedTargets    map[string]bool // targets on which a task failed
	speeds           stepSpeeds      // its tasks together, as last looked at
	pausedUntil      time.Time
	nextPreemptionAt time.Time     // no room is cleared for it before
	reservation      []*target     // that are held back for it until then
	rank             int64         // order among the open steps in this pass
	criticalPath     time.Duration // estimated work from this step on, along the longest chain
	queued           bool          // it is among the machine's open steps
}

// task is one task of a step.
type task struct {
	step            *step
	index           int
	done            bool
	highestRun      int    // highest run number that may have been used
	savedCheckpoint string // checkpoint to resume from
	runs            []*run // that may exist; at most one unless the step allows copies
	pausedUntil     time.Time
	ownAttempts     attempts // of one that is in no gang
}

func (t *task) id() graph.TaskID { return t.step.id.Task(t.index) }

// checkpoint returns from where a new run of the task goes on.
func (t *task) checkpoint() string {
	if t.step.spec.Gang {
		return t.step.savedCheckpoint
	}
	return t.savedCheckpoint
}

// newJob returns a job with no open occurrence.
func newJob(spec *graph.Job, part int, now time.Time) *job {
	return &job{
		spec: spec, part: part, state: progress.Queued, published: progress.Queued,
		liveRuns: map[*run]bool{}, learnedAt: now, objective: spec.Objective(),
	}
}

// createOccurrence opens the next occurrence: its steps exist from now on.
func (j *job) createOccurrence() []*step {
	first := len(j.steps)
	for i := range j.spec.Steps {
		s := &step{
			job: j, id: graph.StepID{Job: j.spec.ID, Occurrence: j.opened, Step: i}, spec: &j.spec.Steps[i],
			dueAt: j.spec.Due(j.opened), tasksLeft: j.spec.Steps[i].Count,
		}
		for k := range s.spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: k})
		}
		for _, a := range s.spec.After {
			before := j.steps[first+a]
			before.dependents = append(before.dependents, s)
			s.blockedBy++
		}
		j.steps = append(j.steps, s)
	}
	j.opened++
	j.stepsLeft += len(j.spec.Steps)
	opened := j.steps[first:]
	for i := len(opened) - 1; i >= 0; i-- {
		s := opened[i]
		for _, n := range s.dependents {
			s.criticalPath = max(s.criticalPath, n.criticalPath)
		}
		s.criticalPath += s.spec.Estimate
	}
	return opened
}

// findTask returns the task, or nil if the job has no such task or the occurrence
// is not open.
func (j *job) findTask(id graph.TaskID) *task {
	stepsPerOccurrence := len(j.spec.Steps)
	if id.Occurrence >= j.opened || id.Step >= stepsPerOccurrence {
		return nil
	}
	s := j.steps[id.Occurrence*stepsPerOccurrence+id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// finished reports whether nothing of the job is to be started any more.
func (j *job) finished() bool { return j.cancelled || j.state.Final() }

// releaseTime returns the moment from which the step's job earns, in milliseconds
// since 1970.
func (s *step) releaseTime() int64 {
	if s.dueAt > 0 {
		return s.dueAt
	}
	return s.job.spec.AcceptedAt
}
