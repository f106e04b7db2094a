package speed

import (
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Bounds of the observations that are kept.
const (
	// maxPerTarget is how many observations of a target are fitted; older ones are summarized.
	maxPerTarget = 12
	// maxAge is how long after its first observation a step is fitted; then its observations
	// are summarized.
	maxAge = 15 * time.Minute
	// minObservations is the number of observations that are kept in any case. Beyond it, at most
	// maxPerTarget for each target are, by removing the oldest steps.
	minObservations = 1024
	// closedAge is how long a step that is not fitted any more is remembered, so that late
	// observations of it do not count as those of a new step.
	closedAge = time.Hour
)

// Target names one incarnation of a target. Another incarnation may be another machine.
type Target struct {
	ID        string
	StartedAt int64 // as roster.Target.StartedAt; 0: not known
}

// Observation is the measured speed of one run.
type Observation struct {
	Run    order.Run
	Target Target
	// Ratio is the time that the whole run takes at this speed, divided by its estimate.
	Ratio float64
	// Error is the standard deviation of the logarithm of Ratio due to the measurement alone,
	// such as the rounding of progress to percents.
	Error float64
}

// observation is what the runs of one step on one target show together. They are no independent
// comparisons of the target with others.
type observation struct {
	step     *step
	target   *target
	runs     []measuredRun
	ratio    float64 // median of the natural logarithms of the ratios of the runs
	variance float64 // due to the measurement alone
	at       time.Time
	weight   float64 // by the t distribution, about 1; less for outliers
	baseline float64 // ratio minus the factor of the step as if all targets were alike
	// predicted is the baseline by the fitted slownesses: that of the target, minus the average over the
	// targets of the step.
	predicted float64
	// shown and precision are the factor of the step that it showed in the last fit, and the weight
	// that it had there; 0: it was not fitted yet.
	shown, precision float64
}

// measuredRun is an Observation in the model.
type measuredRun struct {
	run      order.Run
	ratio    float64 // natural logarithm
	variance float64
}

// sharedNoise is the part of the variance of the noise that the runs of one step on one target have in
// common, as from other work there.
const sharedNoise = 0.25

// noiseShare returns the variance of the noise of an observation relative to that of one run.
func (o *observation) noiseShare() float64 {
	return sharedNoise + (1-sharedNoise)/float64(len(o.runs))
}

// set adds a run, or replaces it.
func (o *observation) set(r measuredRun, now time.Time) {
	o.at = now
	if i := slices.IndexFunc(o.runs, func(k measuredRun) bool { return k.run == r.run }); i >= 0 {
		o.runs[i] = r
	} else {
		o.runs = append(o.runs, r)
	}
	ratios := make([]float64, len(o.runs))
	o.variance = 0
	for i, k := range o.runs {
		ratios[i] = k.ratio
		o.variance += k.variance
	}
	n := float64(len(o.runs))
	o.ratio, o.variance = median(ratios), o.variance/(n*n)
}

// step holds the observations of one step.
type step struct {
	id           graph.StepID
	firstAt      time.Time
	observations []*observation
	byTarget     map[*target]*observation
	factor       float64 // log of the actual run time on a target with slowness 1, divided by the estimate
	factorWeight float64 // sum of the precisions of its observations
}

// target holds what is known of one target.
type target struct {
	name         Target
	observations []*observation // by time, at most maxPerTarget
	summary      belief         // of earlier observations and earlier leaders
	slowness     float64        // natural logarithm
	variance     float64        // of slowness
	forgotten    bool           // it is kept for the steps of its observations only
}

// known reports whether anything is known of the target.
func (t *target) known() bool { return len(t.observations) > 0 || t.summary.precision > 0 }

// belief is a normal distribution of the log of a slowness.
type belief struct {
	mean      float64
	precision float64 // inverse of the variance; 0: nothing is known
	at        time.Time
}

// Model estimates the slowness of targets. It is not safe for concurrent use.
type Model struct {
	steps        []*step // by the time of their first observation
	byStep       map[graph.StepID]*step
	closed       map[graph.StepID]time.Time // steps that are not fitted any more, and since when
	targets      []*target                  // in the order of their first observation
	byTarget     map[Target]*target
	observations int // in steps
	changed      bool
	noise        float64 // standard deviation of the log of the run time of like runs on like targets
	spread       spread
}

// New returns a model without observations.
func New() *Model {
	return &Model{
		byStep: map[graph.StepID]*step{}, closed: map[graph.StepID]time.Time{}, byTarget: map[Target]*target{},
		noise: defaultNoise,
	}
}

// Observe adds an observation, or replaces the earlier one of the same run on the target. Estimates change with
// the next Fit. It ignores ratios that are not positive and finite.
func (m *Model) Observe(o Observation, now time.Time) {
	ratio := math.Log(o.Ratio)
	if math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		return
	}
	s := m.stepOf(o.Run.Task.StepID, now)
	if s == nil {
		return
	}
	m.changed = true
	t := m.targetOf(o.Target)
	run := measuredRun{o.Run, ratio, o.Error * o.Error}
	if known := s.byTarget[t]; known != nil {
		known.set(run, now)
		return
	}
	added := &observation{step: s, target: t, weight: 1}
	added.set(run, now)
	s.byTarget[t] = added
	s.observations = append(s.observations, added)
	t.observations = append(t.observations, added)
	m.observations++
	if len(t.observations) > maxPerTarget {
		m.summarize(t.observations[0], now)
	}
}

// stepOf returns a step, which it adds if it is new; nil if it is not fitted any more.
func (m *Model) stepOf(id graph.StepID, now time.Time) *step {
	if _, ok := m.closed[id]; ok {
		return nil
	}
	s := m.byStep[id]
	if s == nil {
		s = &step{id: id, firstAt: now, byTarget: map[*target]*observation{}}
		m.byStep[id] = s
		m.steps = append(m.steps, s)
	}
	return s
}

// targetOf returns a target, which it adds if it is new.
func (m *Model) targetOf(name Target) *target {
	t := m.byTarget[name]
	if t == nil {
		t = &target{name: name, variance: m.spread.variance}
		m.byTarget[name] = t
		m.targets = append(m.targets, t)
	}
	return t
}

// Forget removes a target that has left, or whose incarnation has ended. Its observations still
// count for the steps that they belong to.
func (m *Model) Forget(name Target) {
	if t := m.byTarget[name]; t != nil {
		t.forgotten = true
		delete(m.byTarget, name)
	}
}

// Retain removes the targets that are not known any more and of which no observation is fitted. Those
// that are missing for a short time keep their estimates.
func (m *Model) Retain(known func(Target) bool) {
	m.targets = slices.DeleteFunc(m.targets, func(t *target) bool {
		if len(t.observations) > 0 || !t.forgotten && known(t.name) {
			return false
		}
		if !t.forgotten {
			delete(m.byTarget, t.name)
		}
		return true
	})
}

// Targets returns the number of targets that the model holds.
func (m *Model) Targets() int { return len(m.targets) }

// summarize adds an observation to the summary of its target and removes it from the list of
// those that are fitted. It still counts for the factor of its step.
func (m *Model) summarize(o *observation, now time.Time) {
	t := o.target
	at := slices.Index(t.observations, o)
	if at < 0 {
		return
	}
	if value, precision := m.evidence(o, now); precision > 0 {
		t.summary.add(value, precision, now)
	}
	t.observations = slices.Delete(t.observations, at, at+1)
}

// targetRetention is how long a target is kept without observations. It may be away for a while, and
// return as the same incarnation.
const targetRetention = 24 * time.Hour

// removeTargets removes the targets that are forgotten or were not observed for long.
func (m *Model) removeTargets(now time.Time) {
	m.targets = slices.DeleteFunc(m.targets, func(t *target) bool {
		if len(t.observations) > 0 || !t.forgotten && now.Sub(t.summary.at) <= targetRetention {
			return false
		}
		if m.byTarget[t.name] == t {
			delete(m.byTarget, t.name)
		}
		return true
	})
}

// removeOldSteps removes the steps that are too old or too many.
func (m *Model) removeOldSteps(now time.Time) {
	limit := max(minObservations, maxPerTarget*len(m.targets))
	n := 0
	for n < len(m.steps) && (now.Sub(m.steps[n].firstAt) > maxAge || m.observations > limit) {
		s := m.steps[n]
		for _, o := range s.observations {
			m.summarize(o, now)
		}
		m.observations -= len(s.observations)
		delete(m.byStep, s.id)
		m.closed[s.id] = now
		n++
	}
	m.steps = slices.Delete(m.steps, 0, n)
	if n == 0 {
		return
	}
	m.removeTargets(now)
	for id, at := range m.closed {
		if now.Sub(at) > closedAge {
			delete(m.closed, id)
		}
	}
}

// driftRate is the variance by which the log of a slowness is taken to change in a second: a
// tenth in half an hour.
const driftRate = 0.01 / 1800

// maxPrecision bounds the precision of a summary, so that a target whose speed changes is not
// held to its past: it amounts to about five observations with defaultNoise.
const maxPrecision = 5 / (defaultNoise * defaultNoise)

// asOf returns the belief at a later time.
func (b belief) asOf(now time.Time) belief {
	if age := now.Sub(b.at).Seconds(); b.precision > 0 && age > 0 {
		b.precision = 1 / (1/b.precision + driftRate*age)
	}
	b.at = now
	return b
}

// add adds evidence to the belief.
func (b *belief) add(value, precision float64, now time.Time) {
	*b = b.asOf(now)
	sum := b.precision + precision
	b.mean = (b.mean*b.precision + value*precision) / sum
	b.precision = min(sum, maxPrecision)
}
