package dispatch

import (
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// State returns what clients may be told of a job, and whether it is known.
func (m *Machine) State(id graph.JobID) (progress.State, bool) {
	j := m.jobs[id]
	if j == nil {
		return "", false
	}
	if !j.shown.Final() && j.started {
		return progress.Running, true
	}
	return j.shown, true
}

// Pending returns how many accepted jobs of a queue have not started.
func (m *Machine) Pending(queue string) int {
	n := 0
	for _, j := range m.jobs {
		if j.spec.Queue == queue && !j.started && !j.over() {
			n++
		}
	}
	return n
}

// Counts is what a machine holds.
type Counts struct {
	Jobs, Targets, Held, Runs, Open int
}

// Counts returns what the machine holds now.
func (m *Machine) Counts() Counts {
	c := Counts{Jobs: len(m.jobs), Targets: len(m.targets), Open: len(m.open)}
	for _, t := range m.byID {
		if t.reach == held {
			c.Held++
		}
		c.Runs += len(t.runs)
	}
	return c
}
