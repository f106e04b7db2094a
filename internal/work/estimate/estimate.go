package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what a history keeps.
const (
	MinEnds    = 8                  // ends seen before a history is believed
	Longest    = 7 * 24 * time.Hour // longer runs count as this
	Unknown    = time.Hour          // run time of a kind without a history or a declaration
	mostUsed   = 1 << 22            // cores or MB; larger figures count as this
	figures    = 1                  // significant decimal figures: 10 % is finer than the truth
	overshoots = 2                  // a run past its estimate is believed to end at this many times its age
)

// Kind names what jobs have in common: their service and their name in it.
type Kind struct {
	Service string
	Name    string
}

// Histories holds what was seen of each kind. The zero Histories is empty and
// ready to use.
type Histories struct {
	kinds map[Kind]*history
}

type history struct {
	fit    fit
	runs   *hdrhistogram.Histogram // ms
	cores  *hdrhistogram.Histogram
	memory *hdrhistogram.Histogram // MB
}

func (h *Histories) of(k Kind) *history {
	if h.kinds == nil {
		h.kinds = map[Kind]*history{}
	}
	seen, ok := h.kinds[k]
	if !ok {
		seen = &history{
			runs:   hdrhistogram.New(1, Longest.Milliseconds(), figures),
			cores:  hdrhistogram.New(1, mostUsed, figures),
			memory: hdrhistogram.New(1, mostUsed, figures),
		}
		h.kinds[k] = seen
	}
	return seen
}

// Ended notes how long a job of the kind ran from its start to its success, and
// what was declared, 0 for nothing. A run that was stopped or failed says
// nothing and is not to be noted.
func (h *Histories) Ended(k Kind, ran, declared time.Duration) {
	seen := h.of(k)
	record(seen.runs, ran.Milliseconds())
	seen.fit.add(declared, ran)
}

// Used notes what a member of the kind was reported to use, in cores and MB.
func (h *Histories) Used(k Kind, cores, memory int) {
	seen := h.of(k)
	record(seen.cores, int64(cores))
	record(seen.memory, int64(memory))
}

// Run returns the run time that a share q, 0 to 1, of the kind's jobs stay
// within. Without enough history it is the declared one, and Unknown if that is 0.
func (h *Histories) Run(k Kind, q float64, declared time.Duration) time.Duration {
	seen, ok := h.kinds[k]
	if ok && seen.runs.TotalCount() >= MinEnds {
		return time.Duration(seen.runs.ValueAtQuantile(q*100)) * time.Millisecond
	}
	if declared <= 0 {
		return Unknown
	}
	return declared
}

// RunDeclared returns the run time that a share q, 0 to 1, of the kind's jobs
// with the same declared one stay within. Declared figures are far off but not
// without worth: how much they say of a kind's runs is learnt from its ends.
func (h *Histories) RunDeclared(k Kind, q float64, declared time.Duration) time.Duration {
	seen, ok := h.kinds[k]
	if !ok || seen.fit.n < MinEnds || declared <= 0 {
		return h.Run(k, q, declared)
	}
	return min(seen.fit.run(q, declared), Longest)
}

// Use returns the cores and MB that a share q, 0 to 1, of the kind's members
// stay within; ok is false without enough reports.
func (h *Histories) Use(k Kind, q float64) (cores, memory int, ok bool) {
	seen, ok := h.kinds[k]
	if !ok || seen.memory.TotalCount() < MinEnds {
		return 0, 0, false
	}
	return int(seen.cores.ValueAtQuantile(q * 100)), int(seen.memory.ValueAtQuantile(q * 100)), true
}

// End returns when a job that runs since a time is believed to end, given its
// estimated run. A job past its estimate is believed to run as long again, so
// that an overdue end never counts as room that is already free.
func End(since time.Time, run time.Duration, now time.Time) time.Time {
	end := since.Add(run)
	if end.After(now) {
		return end
	}
	return since.Add(overshoots*now.Sub(since) + time.Second)
}

func record(h *hdrhistogram.Histogram, v int64) {
	v = min(max(v, h.LowestTrackableValue()), h.HighestTrackableValue())
	// RecordValue refuses only what is out of the range that v was cut to.
	_ = h.RecordValue(v)
}
