package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/speed"
)

// Targets of one service may be of several kinds that their labels do not show. Their speeds are
// learned from runs of the same step on different targets, in package speed. A target that turns
// slower than its own long-term speed is the matter of package health.

// speeds holds what a machine learns of the long-term speeds of its targets.
type speeds struct {
	all       bool            // of all services
	learned   map[string]bool // names of the services of which they are learned
	byService map[string]*serviceSpeeds
	restored  bool // the rows of earlier leaders were read
}

// serviceSpeeds holds the speeds of one service. Targets of different services are never compared.
type serviceSpeeds struct {
	model     *speed.Model
	nextFitAt time.Time // earliest time of the next fit
	row       speedsRow
}

// WithSpeeds has the machine learn the long-term speeds of the targets of all services and decide by
// them. Without it, SetLearnedSpeeds says of which.
func WithSpeeds() Option { return func(m *Machine) { m.speeds.all = true } }

// SetLearnedSpeeds sets of which services the long-term speeds of targets are learned. The targets of all
// others count as alike, unless WithSpeeds was used. It keeps the map. It is called for each new version
// of the configuration.
func (m *Machine) SetLearnedSpeeds(services map[string]bool) {
	m.speeds.learned = services
	for name := range m.speeds.byService {
		if !m.learnsSpeeds(name) {
			delete(m.speeds.byService, name)
		}
	}
	for _, t := range m.sortedTargets {
		if !m.learnsSpeeds(t.Service) {
			t.setSpeed(speed.Estimate{})
		}
	}
}

func (m *Machine) learnsSpeeds(service string) bool {
	return m.speeds.all || m.speeds.learned[service]
}

// speedsOfService returns the speeds of a service; nil if they are not learned.
func (m *Machine) speedsOfService(name string) *serviceSpeeds {
	if !m.learnsSpeeds(name) {
		return nil
	}
	s := m.speeds.byService[name]
	if s == nil {
		s = &serviceSpeeds{model: speed.New()}
		m.speeds.byService = put(m.speeds.byService, name, s)
	}
	return s
}

// speedServices returns the services with speeds, by name.
func (m *Machine) speedServices() []string {
	return slices.Sorted(maps.Keys(m.speeds.byService))
}

// Intervals between two fits. A fit takes less than 10 us for each target, so fits take at most a
// hundredth of the processor.
const (
	minFitInterval       = time.Second
	fitIntervalPerTarget = time.Millisecond
)

// fitSpeeds updates the targets' speeds where that is due, and logs when the targets of a service begin
// or cease to differ.
func (m *Machine) fitSpeeds(now time.Time) {
	for _, name := range m.speedServices() {
		s := m.speeds.byService[name]
		if !s.model.Changed() || now.Before(s.nextFitAt) {
			continue
		}
		s.nextFitAt = now.Add(max(minFitInterval, time.Duration(len(m.sortedTargets))*fitIntervalPerTarget))
		changed := s.model.Fit(now)
		s.model.Retain(func(of speed.Target) bool {
			t := m.targets[of.ID]
			return t != nil && t.speedName() == of
		})
		m.updateSpeeds(name)
		if changed {
			m.logSpeeds(name)
		}
	}
}

// updateSpeeds passes the estimates of a service to its targets.
func (m *Machine) updateSpeeds(service string) {
	model := m.speeds.byService[service].model
	for _, t := range m.sortedTargets {
		if t.Service == service {
			t.setSpeed(model.Of(t.speedName()))
		}
	}
}

func (m *Machine) logSpeeds(service string) {
	c := m.Speeds()[service]
	if c.Spread == 0 {
		m.log.Decided("target speeds alike", "service", service)
		return
	}
	m.log.Decided("target speeds differ", "service", service, "spread", round(c.Spread), "fast", c.Fast, "slow", c.Slow, "noise", round(m.speeds.byService[service].model.Noise()))
}

// round rounds a figure for a log line.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// SpeedCounts says how much the speeds of a service's targets differ.
type SpeedCounts struct {
	Spread     float64 // standard deviation of the log of the slowness; 0: all targets count as alike
	Fast, Slow int     // listed targets known to be faster or slower than the median
}

// Speeds returns how much the speeds of targets differ, by service. It leaves out services of which no
// speeds are learned.
func (m *Machine) Speeds() map[string]SpeedCounts {
	counts := map[string]SpeedCounts{}
	for name, s := range m.speeds.byService {
		counts[name] = SpeedCounts{Spread: s.model.Spread()}
	}
	for _, t := range m.sortedTargets {
		c, known := counts[t.Service]
		switch {
		case !known || !t.listed:
			continue
		case t.speed.Fast():
			c.Fast++
		case t.speed.Slow():
			c.Slow++
		}
		counts[t.Service] = c
	}
	return counts
}

// viewSlowness returns the expected slowness of the target, rounded; 0 if it counts as alike.
func (t *target) viewSlowness() float64 {
	if t.speed.Log() == 0 {
		return 0
	}
	return round(t.speed.Expected())
}

// speedName names the incarnation of the target in the model.
func (t *target) speedName() speed.Target { return speed.Target{ID: t.ID, StartedAt: t.incarnation} }

func (t *target) setSpeed(e speed.Estimate) { t.speed, t.speedLevel = e, e.Level() }

// forgetSpeed drops what is known of the speed of an incarnation that has ended.
func (m *Machine) forgetSpeed(t *target) {
	t.setSpeed(speed.Estimate{})
	if s := m.speeds.byService[t.Service]; s != nil {
		s.model.Forget(t.speedName())
	}
}

// expectedTime returns how long work of an estimated duration takes on the target.
func (t *target) expectedTime(estimate time.Duration) time.Duration {
	if t.speed.Log() == 0 {
		return estimate
	}
	return time.Duration(float64(estimate) * t.speed.Expected())
}

// normalizedSpeed returns the speed of a run relative to the long-term speed of its target; 0 if it
// cannot be measured yet. The estimate is scaled by slowdown.
func (r *run) normalizedSpeed(slowdown float64) float64 {
	return r.speed(slowdown) * r.target.speed.Expected()
}

// Errors of measured speeds.
const (
	// percentError is the standard deviation of the difference of two percentages that are rounded
	// down.
	percentError = 0.41
	// minMeasuredPercent is the least progress from which a speed is learned.
	minMeasuredPercent = 2
	// reportError is the standard deviation of the time between two reports, which may be delayed.
	reportError = 30 * time.Millisecond
	// minMeasuredRun is the shortest run whose whole duration is learned from.
	minMeasuredRun = 10 * reportError
)

// learnFromProgress learns from the progress of a run between its first report above 0 and the last
// below 100. A gang ends with its slowest member, but each member's progress grows at the speed of
// its own target.
func (m *Machine) learnFromProgress(r *run, now time.Time) {
	if !m.learnsSpeeds(r.target.Service) || r.percent >= 100 || r.progressedAt != now || !m.showsSpeed(r) {
		return
	}
	span, done := now.Sub(r.firstProgressAt), r.percent-r.firstPercent
	if r.firstProgressAt.IsZero() || span < minMeasureTime || done < minMeasuredPercent {
		return
	}
	took := time.Duration(float64(span) * 100 / float64(done))
	m.learn(r, took, math.Hypot(percentError/float64(done), reportError.Seconds()/span.Seconds()), now)
}

// learnFromEnd learns from a run of a single task that is done, if it is known when it began. A run
// that has resumed did only a part of its work.
func (m *Machine) learnFromEnd(r *run, now time.Time) {
	if !m.learnsSpeeds(r.target.Service) || r.task.step.spec.Gang || r.resumedFrom != "" || r.phase != running || !m.showsSpeed(r) {
		return
	}
	took := now.Sub(r.beganAt)
	if r.startsSent != 1 || r.unanswered > 0 || took < minMeasuredRun {
		return // it may have begun long before its start was answered or it was reported
	}
	m.learn(r, took, reportError.Seconds()/took.Seconds(), now)
}

// learn passes the time that a whole run takes to the model.
func (m *Machine) learn(r *run, took time.Duration, deviation float64, now time.Time) {
	s := r.task.step
	slowdown := m.remoteSlowdown(r, s.spec.SameRack && s.onSeveralRacks())
	ratio := took.Seconds() / s.spec.Estimate.Seconds() / slowdown
	m.speedsOfService(r.target.Service).model.Observe(speed.Observation{Run: r.Run, Target: r.target.speedName(), Ratio: ratio, Error: deviation}, now)
}

// showsSpeed reports whether the time that a run takes shows the long-term speed of its target:
//
//   - Best-effort tasks are paced, and depend on what runs beside them.
//   - A run away from its data takes longer by a factor that is known roughly only, and would make the
//     targets of other racks appear slower. Members of a gang on one rack have the same factor.
//   - A target that warms up is slow for that time only.
//   - A run that has stalled shows a fault.
func (m *Machine) showsSpeed(r *run) bool {
	s := r.task.step.spec
	switch {
	case s.Estimate <= 0, s.LongRunning, s.BestEffortCPU, r.hasStalled:
		return false
	case s.DataRack == "":
	case s.Gang && r.task.step.onSeveralRacks(), !s.Gang && r.target.Rack != s.DataRack:
		return false
	}
	return !r.target.warmUpEnd.After(r.beganAt)
}
