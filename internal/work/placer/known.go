package placer

import "guavaglade.example/guavaglade/internal/work/job"

// Job returns a job that the machine has a record of, queued, running or ended;
// ok is false if it has none.
func (m *Machine) Job(id job.ID) (j job.Job, ok bool) {
	r, ok := m.records[id]
	if !ok {
		return job.Job{}, false
	}
	return r.job, true
}
