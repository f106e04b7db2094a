package dispatch

import (
	"math/big"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/crashloop"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// job is an accepted job that has not ended, or whose final state clients may still
// query.
type job struct {
	spec      *graph.Job
	partition int
	steps     []*step        // of the open occurrences, in order, all steps of each
	opened    int            // number of the next occurrence to open; those before it are open or closed
	closed    *big.Int       // with a bit for each occurrence that is done and closed; nil: none
	stepsLeft int            // open steps that are not done
	cancelled bool           // by its client
	state     progress.State // as decided; may not be saved yet
	published progress.State // as clients may see it
	cause     progress.Cause // why it failed
	reason    string         // the same for its client, with the task and targets
	endedAt   int64          // when it reached a final state, in milliseconds since 1970; 0: it has not
	started   bool           // a task is known to have started
	// mayHaveStarted is set once a run has ended that may have begun, whether or not it is known to have.
	mayHaveStarted bool
	liveRuns       map[*run]bool // runs that may exist
	// withheldEnds are the targets with ends of the job that are not acknowledged since another
	// run may still begin.
	withheldEnds []*target
	version      int64          // version of the progress row
	rev          int64          // revision, incremented by each change that must be saved
	savedRev     int64          // newest revision that is saved
	sentRev      int64          // revision in the outstanding save
	sentState    progress.State // state in the outstanding save
	dirty        bool           // changed since its last save was sent
	learnedAt    time.Time      // when the machine learned of it
	objective    time.Duration  // duration from its release within which it earns its full value
	timing       jobTiming
	rowFailures  rowFailures
}

// step is one step of one occurrence.
type step struct {
	job              *job
	id               graph.StepID
	spec             *graph.Step
	blockedBy        int     // number of steps it depends on that are not done
	dependents       []*step // steps that depend on this one
	tasks            []*task
	tasksLeft        int // tasks that are not done
	liveRuns         int // runs of its tasks that may exist
	done             bool
	dueAt            int64     // when its occurrence is due, in milliseconds since 1970; 0: no due time
	highestGangRun   int       // highest run number of its tasks; used for gangs only
	doneRun          int       // number of the run that was done last; 0: none or not known
	doneAt           time.Time // when the machine learned that it was done
	savedCheckpoint  string    // checkpoint that a gang resumes from
	permits          permits
	gangAttempts     attempts                 // used for gangs only
	gangEnd          gangEnd                  // used for gangs only
	gangSuspicion    int                      // highest number of suspicious losses under a task of it
	gangIsolated     bool                     // a task of it is isolated
	lostAt           time.Time                // when the last loss under a task was recorded in this term
	failedTargets    map[string]bool          // targets on which a task failed
	speeds           stepSpeeds               // speeds of its tasks, as last measured
	waitingSince     time.Time                // when its turn came, or a run of it was last released
	pausedUntil      time.Time                // a gang is not placed before
	nextPreemptionAt time.Time                // earliest time of the next search for work to preempt
	reservation      []*target                // targets reserved for it until nextPreemptionAt
	rank             int64                    // order among the pending steps in this pass, lowest first
	criticalPath     time.Duration            // estimated duration of the critical path from this step on
	queued           bool                     // it is in Machine.pendingSteps
	withheld         bool                     // it was withheld for headroom
	timeline         *stages.Timeline         // of the job up to its turn; nil: its turn has not come, it is done, or not measured
	interrupted      map[int]*stages.Timeline // up to the first start, by task.timelineKey, of tasks that were interrupted
}

// task is one task of a step.
type task struct {
	step            *step
	index           int
	done            bool
	highestRun      int       // highest run number that may have been used
	savedCheckpoint string    // checkpoint to resume from, unless it is in a gang
	runs            []*run    // runs that may exist; at most one unless the step allows speculative runs
	pausedUntil     time.Time // it is not placed before
	ownAttempts     attempts  // used unless it is in a gang
	losses          crashloop.Record
	lostBefore      bool   // a run of it was lost with its target in this term
	lostInZone      string // zone of that target
}

func (t *task) id() graph.TaskID { return t.step.id.Task(t.index) }

// addRun adds a run that may exist.
func (t *task) addRun(r *run) {
	t.runs = append(t.runs, r)
	t.step.liveRuns++
	t.step.job.liveRuns[r] = true
}

// removeRun removes a run that can no longer exist.
func (t *task) removeRun(r *run) {
	t.runs = removeFrom(t.runs, r)
	t.step.liveRuns--
	delete(t.step.job.liveRuns, r)
}

// checkpoint returns the checkpoint from which a new run of the task resumes.
func (t *task) checkpoint() string {
	if t.step.spec.Gang {
		return t.step.savedCheckpoint
	}
	return t.savedCheckpoint
}

// newJob returns a job with no open occurrence.
func newJob(spec *graph.Job, partition int, now time.Time) *job {
	return &job{
		spec: spec, partition: partition, state: progress.Queued, published: progress.Queued,
		liveRuns: map[*run]bool{}, learnedAt: now, objective: spec.Objective(),
	}
}

// createOccurrence creates the steps of an occurrence that is not open and returns them.
func (j *job) createOccurrence(number int) []*step {
	opened := make([]*step, 0, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &step{
			job: j, id: graph.StepID{Job: j.spec.ID, Occurrence: number, Step: i}, spec: &j.spec.Steps[i],
			dueAt: j.spec.Due(number), tasksLeft: j.spec.Steps[i].Count,
		}
		for k := range s.spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: k})
		}
		for _, a := range s.spec.After {
			before := opened[a]
			before.dependents = append(before.dependents, s)
			s.blockedBy++
		}
		opened = append(opened, s)
	}
	at, _ := j.occurrenceAt(number)
	j.steps = slices.Insert(j.steps, at, opened...)
	j.stepsLeft += len(opened)
	for i := len(opened) - 1; i >= 0; i-- {
		s := opened[i]
		for _, n := range s.dependents {
			s.criticalPath = max(s.criticalPath, n.criticalPath)
		}
		s.criticalPath += s.spec.Estimate
	}
	return opened
}

// findTask returns the task, or nil if the job has no such task or the occurrence is
// not open.
func (j *job) findTask(id graph.TaskID) *task {
	steps := j.openSteps(id.Occurrence)
	if id.Step >= len(steps) || id.Index >= len(steps[id.Step].tasks) {
		return nil
	}
	return steps[id.Step].tasks[id.Index]
}

// finished reports whether the job is cancelled or in a final state, so that nothing
// of it is started any more.
func (j *job) finished() bool { return j.cancelled || j.state.Final() }

// releaseTime returns when the step's occurrence became due or, without a due time, when
// its job was accepted, in milliseconds since 1970. Objectives count from then.
func (s *step) releaseTime() int64 {
	if s.dueAt > 0 {
		return s.dueAt
	}
	return s.job.spec.AcceptedAt
}
