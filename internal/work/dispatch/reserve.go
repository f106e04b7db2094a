package dispatch

import (
	"math"
	"time"
)

// Urgent work comes in bursts, is short, and must begin at once. Room for it that other
// work has taken is cleared, and what that work had not saved is thrown away. Most other
// work could have begun later and still meet its objective. So accelerators for as much
// urgent work as is usual are kept from work that can wait.

// Figures of the reserve.
const (
	// reserveMemory is the time in which what was seen of urgent work loses half of its
	// weight: some bursts long.
	reserveMemory = 15 * time.Second
	// reserveSpread is how many standard deviations above the mean urgent work is
	// expected to use.
	reserveSpread = 1.0
	// reserveMost is the share of all accelerators that is kept at most.
	reserveMost = 0.3
	// reserveWait is the share of a step's slack for which it waits for room beyond the
	// reserve: estimates are rough, and it must not be late for it.
	reserveWait = 0.5
)

// reserve is what is kept for urgent work, by how much of it ran lately.
type reserve struct {
	at   time.Time // of the last sample
	mean float64   // accelerators that urgent work used
	sq   float64   // mean of their square
	free int       // accelerators that other work may still take in this pass
}

// sample takes in how many accelerators urgent work uses.
func (r *reserve) sample(use int, now time.Time) {
	x := float64(use)
	if r.at.IsZero() {
		r.at = now
		return
	}
	keep := math.Exp2(-float64(now.Sub(r.at)) / float64(reserveMemory))
	r.mean = keep*r.mean + (1-keep)*x
	r.sq = keep*r.sq + (1-keep)*x*x
	r.at = now
}

// level returns how many accelerators urgent work is expected to need.
func (r *reserve) level(total int) int {
	spread := math.Sqrt(max(r.sq-r.mean*r.mean, 0))
	return int(min(r.mean+reserveSpread*spread, reserveMost*float64(total)))
}

// measureReserve works out how many accelerators work that can wait may still take.
func (m *Machine) measureReserve(now time.Time, sample bool) {
	total, urgent, other := 0, 0, 0
	for _, t := range m.byID {
		if !t.listed {
			continue
		}
		total += t.Capacity.Accelerators
		for _, r := range t.runs {
			if r.task.step.job.spec.Priority == 0 {
				urgent += r.charge.Accelerators
			} else {
				other += r.charge.Accelerators
			}
		}
	}
	if sample {
		m.reserve.sample(urgent, now)
	}
	m.reserve.free = total - other - max(m.reserve.level(total), 0)
}

// mustWait reports whether a step has to leave the room for some of its tasks to urgent
// work for now.
func (m *Machine) mustWait(s *step, tasks int, now time.Time) bool {
	need := tasks * s.spec.Needs.Accelerators
	if s.job.spec.Priority == 0 || s.spec.Lasting || need == 0 || need <= m.reserve.free {
		return false
	}
	slack := float64(s.latestStart() - s.anchor())
	return m.wallMS(now) < s.anchor()+int64(reserveWait*slack)
}

// take notes that a task of a step was placed.
func (r *reserve) take(s *step) {
	if s.job.spec.Priority > 0 {
		r.free -= s.spec.Needs.Accelerators
	}
}
