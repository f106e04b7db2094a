package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Times of the stand-in.
const (
	DefaultRun     = 200 * time.Millisecond
	CheckpointTime = 100 * time.Millisecond // what writing a checkpoint takes
	KeepEnded      = time.Minute            // ended leases are reported for so long
)

// Program is what a task does, read from the job's input.
type Program struct {
	RunMillis   int64  `json:"runMillis"`
	Answer      string `json:"answer"`
	AnswerBytes int    `json:"answerBytes"` // pads the answer
	Fail        bool   `json:"fail"`
}

// Worker is one stand-in worker. It is not safe for use by several goroutines.
type Worker struct {
	id        string
	inventory *cell.Inventory
	leases    map[target.Lease]*lease
	change    int64
	leaving   bool
	failing   bool // fails everything it starts
	starts    map[job.ID]int
	holds     int
	// truncating counts the reports of answers that are still to be cut short.
	truncating int
}

type lease struct {
	task    target.Task
	expires time.Time // lapses then unless renewed
	endAt   time.Time // the program ends then; zero while held
	stopAt  time.Time // stopped then; zero if not asked to
	forget  time.Time // ended leases only
	changed int64
}

// NewWorker returns a stand-in of the worker with nothing held.
func NewWorker(w cell.Worker) *Worker {
	return &Worker{
		id: w.ID(), inventory: cell.NewInventory(w), leases: map[target.Lease]*lease{}, starts: map[job.ID]int{},
	}
}

// SetLeaving makes the worker refuse new holds.
func (w *Worker) SetLeaving(on bool) { w.leaving = on }

// SetFailing makes every task that is started fail at once.
func (w *Worker) SetFailing(on bool) { w.failing = on }

// SetTruncating has the worker report so many answers without their last bytes.
func (w *Worker) SetTruncating(times int) { w.truncating = times }

// Truncating returns how many reports of answers are still to be cut short.
func (w *Worker) Truncating() int { return w.truncating }

// Holds returns how many holds were taken here.
func (w *Worker) Holds() int { return w.holds }

// Starts returns how often members of the job were started here.
func (w *Worker) Starts(id job.ID) int { return w.starts[id] }

// Hold takes room for members of a gang until the time to live is over.
func (w *Worker) Hold(h target.Hold, ttl time.Duration, now time.Time) error {
	w.Advance(now)
	if l, ok := w.leases[h.Lease]; ok {
		if l.task.State == target.Held && slices.Equal(l.task.Grants, h.Grants) {
			return nil
		}
		return fmt.Errorf("%s is %s: %w", h.Lease, l.task.State, target.ErrRefused)
	}
	if w.leaving {
		return fmt.Errorf("worker is leaving: %w", target.ErrRefused)
	}
	if len(h.Grants) == 0 || ttl <= 0 {
		return fmt.Errorf("hold without members or time: %w", target.ErrRefused)
	}
	if err := w.take(h); err != nil {
		return fmt.Errorf("%w: %w", target.ErrRefused, err)
	}
	l := &lease{expires: now.Add(ttl), task: target.Task{
		Lease: h.Lease, Job: h.Job, Grants: h.Grants, Workers: h.Workers, State: target.Held,
	}}
	w.leases[h.Lease] = l
	w.holds++
	w.touch(l)
	return nil
}

func (w *Worker) take(h target.Hold) error {
	s := h.Job.Shape()
	part, err := cell.NewShape(len(h.Grants), s.Accelerators(), s.Cores(), s.Memory(), cell.Any)
	if err != nil {
		return err
	}
	return w.inventory.Take(h.Lease.String(), part, h.Grants)
}

// Start runs what is held. Starting what runs already changes nothing.
func (w *Worker) Start(id target.Lease, now time.Time) error {
	w.Advance(now)
	l, ok := w.leases[id]
	if !ok || l.task.State == target.Stopped {
		return fmt.Errorf("%s: %w", id, target.ErrLapsed)
	}
	if l.task.State != target.Held {
		return nil
	}
	l.task.State, l.task.Since = target.Started, now
	p := programOf(l.task.Job)
	l.endAt = now.Add(time.Duration(p.RunMillis) * time.Millisecond)
	w.starts[id.Job]++
	w.touch(l)
	return nil
}

// Renew renews the leases that it knows, marks them confirmed and returns what
// changed after since.
func (w *Worker) Renew(leases []target.Lease, ttl time.Duration, since int64, now time.Time) target.Report {
	w.Advance(now)
	rep := target.Report{Worker: w.id, Leaving: w.leaving}
	for _, id := range leases {
		l, ok := w.leases[id]
		if !ok || l.task.State == target.Stopped || l.task.State == target.Held {
			rep.Lapsed = append(rep.Lapsed, id)
			continue
		}
		if l.task.State.Ended() {
			continue
		}
		l.expires = now.Add(ttl)
		if l.task.State == target.Started {
			l.task.State = target.Confirmed
			w.touch(l)
		}
	}
	rep.Change, rep.Tasks = w.change, w.since(since)
	return rep
}

func (w *Worker) since(change int64) []target.Task {
	var ls []*lease
	for _, l := range w.leases {
		if l.changed > change {
			ls = append(ls, l)
		}
	}
	sort.Slice(ls, func(i, j int) bool { return ls[i].changed < ls[j].changed })
	tasks := make([]target.Task, 0, len(ls))
	for _, l := range ls {
		tasks = append(tasks, w.spoiled(l.task))
	}
	return tasks
}

// spoiled cuts an answer short, if that is still to be done: its length and
// digest are those of the whole one.
func (w *Worker) spoiled(t target.Task) target.Task {
	whole := t.Answer
	if w.truncating == 0 || whole.Length() == 0 {
		return t
	}
	w.truncating--
	short, err := json.Marshal(struct {
		Length int    `json:"length"`
		Digest string `json:"digest"`
		Body   []byte `json:"body"`
	}{whole.Length(), whole.Digest(), whole.Body()[:whole.Length()/2]})
	if err == nil {
		_ = json.Unmarshal(short, &t.Answer)
	}
	return t
}

// Stop ends a lease: what is held at once, what runs after its checkpoint or
// the grace, whichever is first.
func (w *Worker) Stop(id target.Lease, checkpoint bool, grace time.Duration, now time.Time) error {
	w.Advance(now)
	l, ok := w.leases[id]
	if !ok {
		return fmt.Errorf("%s: %w", id, target.ErrLapsed)
	}
	if l.task.State.Ended() {
		return nil
	}
	at := now
	if checkpoint && l.task.State != target.Held {
		at = now.Add(min(grace, CheckpointTime))
		l.task.Checkpoint = at
	}
	if l.stopAt.IsZero() || at.Before(l.stopAt) {
		l.stopAt = at
	}
	w.Advance(now)
	return nil
}

// Change returns the number of the newest change.
func (w *Worker) Change() int64 { return w.change }

// Advance lets time pass: programs end, leases lapse.
func (w *Worker) Advance(now time.Time) {
	for id, l := range w.leases {
		switch {
		case l.task.State.Ended():
			if !now.Before(l.forget) {
				delete(w.leases, id)
			}
		case !l.stopAt.IsZero() && !now.Before(l.stopAt):
			w.end(l, target.Stopped, "stopped by command", now)
		case !l.endAt.IsZero() && !now.Before(l.endAt) && l.endAt.Before(l.expires):
			w.finish(l, now)
		case !now.Before(l.expires):
			w.end(l, target.Stopped, "lease lapsed", now)
		}
	}
}

// Next returns when something happens next by itself; the zero time for never.
func (w *Worker) Next() time.Time {
	var next time.Time
	for _, l := range w.leases {
		for _, t := range []time.Time{l.expires, l.endAt, l.stopAt} {
			if !l.task.State.Ended() && !t.IsZero() && (next.IsZero() || t.Before(next)) {
				next = t
			}
		}
	}
	return next
}

func (w *Worker) finish(l *lease, now time.Time) {
	p := programOf(l.task.Job)
	if p.Fail || w.failing {
		w.end(l, target.Failed, "the program failed", now)
		return
	}
	if l.task.Grants[0].Member == 0 {
		l.task.Answer = job.NewAnswer(answerOf(p, l.task.Job))
	}
	w.end(l, target.Succeeded, "", now)
}

func (w *Worker) end(l *lease, s target.TaskState, reason string, now time.Time) {
	l.task.State, l.task.Reason = s, reason
	l.forget = now.Add(KeepEnded)
	w.inventory.Release(l.task.Lease.String())
	w.touch(l)
}

func (w *Worker) touch(l *lease) {
	w.change++
	l.changed = w.change
}

func programOf(j job.Job) Program {
	var p Program
	if err := json.Unmarshal(j.Input(), &p); err != nil {
		p = Program{}
	}
	if p.RunMillis > 0 {
		return p
	}
	run := j.Declared()
	if run == 0 {
		run = DefaultRun
	}
	p.RunMillis = run.Milliseconds()
	return p
}

func answerOf(p Program, j job.Job) []byte {
	body := []byte(p.Answer)
	if p.Answer == "" {
		body = fmt.Appendf(nil, "done %s", j.ID())
	}
	if pad := p.AnswerBytes - len(body); pad > 0 {
		body = append(body, bytes.Repeat([]byte("."), pad)...)
	}
	return body
}
