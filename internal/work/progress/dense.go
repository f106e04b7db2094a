package progress

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/big"
	"slices"
	"strings"

	"guavaglade.example/guavaglade/internal/work/crashloop"
)

// The progress of a job of thousands of tasks takes up to 400 KB in the plain form, and the store takes
// rows of 64 KB. Above maxPlainBytes a row has the dense form: denseMark, then compressed JSON that
// holds each field of all tasks of a step as one list, which compresses far better than the fields of
// one task beside each other.
//
// Earlier versions do not know the dense form. They cannot decode it, log the row as malformed, and a
// leader among them takes the job for one without progress and starts it again. Rows of up to
// maxPlainBytes keep the plain form, and earlier versions could not store rows that are much larger.

const (
	// maxPlainBytes is the size of the largest plain row. In base64, as on the wire, it takes 64 KB.
	maxPlainBytes = 48 << 10
	// denseMark is the first byte of a dense row. No JSON text begins with it.
	denseMark = 1
	// maxDenseBytes bounds the JSON of a dense row when it is decoded. It is far more than the largest
	// job needs, and keeps a malformed row from using up the memory.
	maxDenseBytes = 16 << 20
)

// errMalformedDense means that the lists of a dense row do not fit together.
var errMalformedDense = errors.New("progress: malformed lists in a dense row")

// denseJob is the JSON of a dense row.
type denseJob struct {
	plainJob
	Targets []string              `json:"targets,omitempty"` // names, to which placements and losses refer by position
	Steps   map[string]*denseStep `json:"steps,omitempty"`
}

// plainJob is Job without its methods and steps.
type plainJob struct {
	State          State    `json:"state"`
	Ended          int64    `json:"ended,omitempty"`
	Started        bool     `json:"started,omitempty"`
	MayHaveStarted bool     `json:"mayHaveStarted,omitempty"`
	Closed         *big.Int `json:"closed,omitempty"`
	Cause          Cause    `json:"cause,omitempty"`
	Reason         string   `json:"reason,omitempty"`
}

// denseStep is a step in a dense row.
type denseStep struct {
	Done        *big.Int `json:"done,omitempty"`
	FailedRuns  *byTask  `json:"failures,omitempty"`
	Checkpoints *byTask  `json:"saved,omitempty"`
	LastRuns    *byTask  `json:"runs,omitempty"`
	Placements  *byTask  `json:"on,omitempty"`
	Losses      *byTask  `json:"losses,omitempty"`
}

// byTask holds lists of tasks, one after the other. Of the last lists it has those that its elements
// consist of, each as long as all lists of the tasks together.
type byTask struct {
	Tasks   []int  `json:"t"`           // each as the difference from the one before
	Sizes   []int  `json:"n"`           // of the tasks' lists
	Numbers []int  `json:"i,omitempty"` // run numbers, kinds of loss, or lengths of texts in bytes
	Targets []int  `json:"on,omitempty"`
	Open    []bool `json:"open,omitempty"`
	Text    string `json:"text,omitempty"` // all texts
}

// flatten returns the lists of a map one after the other, in the order of the tasks, and a byTask with
// the tasks and sizes; nil for an empty map.
func flatten[T any](lists map[int][]T) (*byTask, []T) {
	if len(lists) == 0 {
		return nil, nil
	}
	b, flat, before := &byTask{}, []T(nil), 0
	for _, task := range slices.Sorted(maps.Keys(lists)) {
		b.Tasks = append(b.Tasks, task-before)
		b.Sizes = append(b.Sizes, len(lists[task]))
		flat = append(flat, lists[task]...)
		before = task
	}
	return b, flat
}

// unflatten returns the map of which flatten has returned the lists. It fails if the sizes do not fit.
func unflatten[T any](b *byTask, flat []T) (map[int][]T, error) {
	if len(b.Tasks) != len(b.Sizes) {
		return nil, errMalformedDense
	}
	lists, task := make(map[int][]T, len(b.Tasks)), 0
	for i, n := range b.Sizes {
		if n < 0 || n > len(flat) {
			return nil, errMalformedDense
		}
		task += b.Tasks[i]
		lists[task] = append(lists[task], flat[:n]...)
		flat = flat[n:]
	}
	if len(flat) > 0 {
		return nil, errMalformedDense
	}
	return lists, nil
}

// singles returns a map with one element for each task as one with lists.
func singles[T any](m map[int]T) map[int][]T {
	lists := make(map[int][]T, len(m))
	for task, x := range m {
		lists[task] = []T{x}
	}
	return lists
}

// fromSingles returns the map that singles has made lists of. It fails if a list has not one element.
func fromSingles[T any](lists map[int][]T, err error) (map[int]T, error) {
	if err != nil {
		return nil, err
	}
	m := make(map[int]T, len(lists))
	for task, list := range lists {
		if len(list) != 1 {
			return nil, errMalformedDense
		}
		m[task] = list[0]
	}
	return m, nil
}

// encodeDense encodes the progress in the dense form.
func (j *Job) encodeDense() ([]byte, error) {
	d := denseJob{plainJob: plainJob{State: j.State, Ended: j.Ended, Started: j.Started, MayHaveStarted: j.MayHaveStarted, Closed: j.ClosedOccurrences, Cause: j.Cause, Reason: j.Reason}, Targets: j.targets()}
	position := make(map[string]int, len(d.Targets))
	for i, name := range d.Targets {
		position[name] = i
	}
	d.Steps = make(map[string]*denseStep, len(j.Steps))
	for key, s := range j.Steps {
		d.Steps[key] = s.dense(position)
	}
	text, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer([]byte{denseMark})
	w, err := flate.NewWriter(out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

// targets returns the names of the targets in the job's placements and losses, sorted.
func (j *Job) targets() []string {
	known := map[string]bool{}
	for _, s := range j.Steps {
		for _, p := range s.Placements {
			known[p.Target] = true
		}
		for _, losses := range s.Losses {
			for _, l := range losses {
				known[l.Target] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// dense returns the dense form of a step, for targets at positions.
func (s *Step) dense(position map[string]int) *denseStep {
	d := &denseStep{Done: s.Done}
	var failures, runs []int
	if d.FailedRuns, failures = flatten(s.FailedRuns); d.FailedRuns != nil {
		d.FailedRuns.Numbers = failures
	}
	if d.LastRuns, runs = flatten(singles(s.LastRuns)); d.LastRuns != nil {
		d.LastRuns.Numbers = runs
	}
	d.Checkpoints = denseTexts(s.Checkpoints)
	placed := map[int][]Placement{}
	for _, p := range s.Placements {
		placed[p.Task] = append(placed[p.Task], p)
	}
	var placements []Placement
	d.Placements, placements = flatten(placed)
	for _, p := range placements {
		d.Placements.Targets = append(d.Placements.Targets, position[p.Target])
		d.Placements.Numbers = append(d.Placements.Numbers, p.Run)
	}
	var losses []crashloop.Loss
	d.Losses, losses = flatten(s.Losses)
	for _, l := range losses {
		d.Losses.Targets = append(d.Losses.Targets, position[l.Target])
		d.Losses.Numbers = append(d.Losses.Numbers, int(l.Kind))
		d.Losses.Open = append(d.Losses.Open, l.Open)
	}
	return d
}

// denseTexts returns the dense form of texts by task.
func denseTexts(m map[int]string) *byTask {
	b, texts := flatten(singles(m))
	if b == nil {
		return nil
	}
	var all strings.Builder
	for _, text := range texts {
		text = strings.ToValidUTF8(text, "\uFFFD") // JSON replaces other bytes, and the lengths would not fit
		b.Numbers = append(b.Numbers, len(text))
		all.WriteString(text)
	}
	b.Text = all.String()
	return b
}

// decodeDense decodes what encodeDense returns, without the mark. It fails if a list has another length
// than the others that it belongs to, or refers to a target that is not named.
func decodeDense(value []byte) (*Job, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxDenseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxDenseBytes {
		return nil, fmt.Errorf("dense row of more than %d bytes", maxDenseBytes)
	}
	var d denseJob
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	j := &Job{State: d.State, Ended: d.Ended, Started: d.Started, MayHaveStarted: d.MayHaveStarted, ClosedOccurrences: d.Closed, Cause: d.Cause, Reason: d.Reason}
	for key, s := range d.Steps {
		if s == nil {
			return nil, fmt.Errorf("step %s: %w", key, errMalformedDense)
		}
		step, err := s.step(d.Targets)
		if err != nil {
			return nil, fmt.Errorf("step %s: %w", key, err)
		}
		if j.Steps == nil {
			j.Steps = make(map[string]*Step, len(d.Steps))
		}
		j.Steps[key] = step
	}
	return j, nil
}

// step returns the step of which this is the dense form, with sorted placements.
func (d *denseStep) step(targets []string) (*Step, error) {
	s := &Step{Done: d.Done}
	var errs [5]error
	if d.FailedRuns != nil {
		s.FailedRuns, errs[0] = unflatten(d.FailedRuns, d.FailedRuns.Numbers)
	}
	if d.LastRuns != nil {
		s.LastRuns, errs[1] = fromSingles(unflatten(d.LastRuns, d.LastRuns.Numbers))
	}
	if d.Checkpoints != nil {
		s.Checkpoints, errs[2] = d.Checkpoints.checkpoints()
	}
	if d.Placements != nil {
		s.Placements, errs[3] = d.Placements.placements(targets)
	}
	if d.Losses != nil {
		s.Losses, errs[4] = d.Losses.losses(targets)
	}
	return s, cmp.Or(errs[:]...)
}

// checkpoints returns the texts by task.
func (b *byTask) checkpoints() (map[int]string, error) {
	texts, rest := make([]string, 0, len(b.Numbers)), b.Text
	for _, n := range b.Numbers {
		if n < 0 || n > len(rest) {
			return nil, errMalformedDense
		}
		texts, rest = append(texts, rest[:n]), rest[n:]
	}
	if rest != "" {
		return nil, errMalformedDense
	}
	return fromSingles(unflatten(b, texts))
}

// named returns the names of the targets that the elements refer to.
func (b *byTask) named(targets []string) ([]string, error) {
	names := make([]string, 0, len(b.Targets))
	for _, i := range b.Targets {
		if i < 0 || i >= len(targets) {
			return nil, errMalformedDense
		}
		names = append(names, targets[i])
	}
	if len(names) != len(b.Numbers) {
		return nil, errMalformedDense
	}
	return names, nil
}

// placements returns the placements, sorted.
func (b *byTask) placements(targets []string) ([]Placement, error) {
	names, err := b.named(targets)
	if err != nil {
		return nil, err
	}
	flat := make([]Placement, 0, len(names))
	for i, name := range names {
		flat = append(flat, Placement{Target: name, Run: b.Numbers[i]})
	}
	lists, err := unflatten(b, flat)
	if err != nil {
		return nil, err
	}
	sorted := make([]Placement, 0, len(flat))
	for task, list := range lists {
		for _, p := range list {
			p.Task = task
			sorted = append(sorted, p)
		}
	}
	slices.SortFunc(sorted, Placement.compare)
	return sorted, nil
}

// losses returns the losses by task.
func (b *byTask) losses(targets []string) (map[int][]crashloop.Loss, error) {
	names, err := b.named(targets)
	if err != nil || len(b.Open) != len(names) {
		return nil, cmp.Or(err, errMalformedDense)
	}
	flat := make([]crashloop.Loss, 0, len(names))
	for i, name := range names {
		flat = append(flat, crashloop.Loss{Target: name, Kind: crashloop.Kind(b.Numbers[i]), Open: b.Open[i]})
	}
	return unflatten(b, flat)
}
