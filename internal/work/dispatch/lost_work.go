package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// Work is lost when a run ends otherwise than as done: what it did since its newest checkpoint, or
// since it began, and restartLoss if its task has to start again. The terms are those of lossOf, by
// which preemption weighs victims. A run that is not known to have begun has done no work.

// Priorities is the number of priorities that metrics tell apart; lower ones count as the lowest of
// them. The product's own configuration has three, the rows of a platform may have any.
const Priorities = 4

// MetricPriority returns the priority as which a job counts in metrics.
func MetricPriority(priority int) int { return max(min(priority, Priorities-1), 0) }

// LostWork is the work that was lost in a term, in core-seconds, by cause and priority. An accelerator
// counts as acceleratorCores cores.
type LostWork [stages.CauseCount][Priorities]float64

// LostWork returns the work that was lost in the machine's term so far.
func (m *Machine) LostWork() LostWork { return m.lostWork }

// view returns the sums that are not 0.
func (w LostWork) view() []view.LostWork {
	var list []view.LostWork
	for _, c := range stages.Causes() {
		for priority, sum := range w[c] {
			if sum >= 0.5 { // less rounds to 0
				list = append(list, view.LostWork{Cause: c.String(), Priority: priority, CoreSeconds: int64(sum + 0.5)})
			}
		}
	}
	return list
}

// recordEndLoss accounts for a run of which a target has listed an end.
func (m *Machine) recordEndLoss(r *run, e order.Ended, now time.Time) {
	if e.Reason == order.Done {
		return
	}
	if e.Checkpoint != r.checkpoint {
		r.noteCheckpoint(e.Checkpoint, now)
	}
	m.recordLoss(r, now)
}

// recordReleaseLoss accounts for a run that is released without a listed end. It is known to have
// worked until its target last reported it.
func (m *Machine) recordReleaseLoss(r *run) { m.recordLoss(r, r.reportedAt) }

// recordLoss accounts for what a run did until a time and had not saved.
func (m *Machine) recordLoss(r *run, until time.Time) {
	s := r.task.step
	if r.beganAt.IsZero() || s.spec.LongRunning || r.doneWithGang() {
		return
	}
	saved := r.beganAt
	if s.spec.Checkpointing && r.checkpointAt.After(saved) {
		saved = r.checkpointAt
	}
	seconds := max(until.Sub(saved).Seconds(), 0)
	if !r.task.done && !s.job.finished() {
		seconds += restartLoss
	}
	m.lostWork[r.endCause][MetricPriority(s.job.spec.Priority)] += coreEquivalents(s.spec.Needs) * seconds
}

// doneWithGang reports whether another member of the run's gang has ended as done, so that it has, too,
// although its end is not listed.
func (r *run) doneWithGang() bool {
	s := r.task.step
	return s.spec.Gang && s.done && s.doneRun == r.Number
}

// noteCheckpoint records a checkpoint that was reported of the run.
func (r *run) noteCheckpoint(checkpoint string, now time.Time) {
	if checkpoint != "" && checkpoint != r.checkpoint {
		r.checkpoint, r.checkpointAt = checkpoint, now
	}
}
