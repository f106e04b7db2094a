package schedule

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
)

// amounts are accelerators, cores and memory in MB.
type amounts [3]int

func needs(s cell.Shape) amounts {
	return amounts{s.Total(), s.Members() * s.Cores(), s.Members() * s.Memory()}
}

// shares knows what each account holds. The zero shares holds nothing.
type shares struct {
	held     map[string]amounts
	whole    amounts // of the zone
	workers  int     // that the whole was measured on
	measured time.Time
}

// add notes what a job holds, or with a sign of -1 no longer holds.
func (s *shares) add(j job.Job, sign int) {
	if s.held == nil {
		s.held = map[string]amounts{}
	}
	held := s.held[j.Account()]
	for i, n := range needs(j.Shape()) {
		held[i] += sign * n
	}
	s.held[j.Account()] = held
	if held == (amounts{}) {
		delete(s.held, j.Account())
	}
}

// measureEvery is how old the whole that shares are of may be.
const measureEvery = time.Second

// measure sets the whole that shares are of, unless that was done a moment ago.
func (s *shares) measure(inv *cell.Inventory, now time.Time) {
	if s.workers > 0 && now.Sub(s.measured) < measureEvery {
		return
	}
	s.measured = now
	workers := inv.Workers()
	s.whole, s.workers = amounts{}, len(workers)
	for _, w := range workers {
		s.whole[0] += w.Accelerators()
		s.whole[1] += w.Cores()
		s.whole[2] += w.Memory()
	}
}

// dominant returns the largest of the account's shares of accelerators, cores
// and memory, 0 to 1.
func (s *shares) dominant(account string) float64 {
	most := 0.0
	for i, n := range s.held[account] {
		if s.whole[i] > 0 {
			most = max(most, float64(n)/float64(s.whole[i]))
		}
	}
	return most
}
