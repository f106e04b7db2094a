package schedule

// Guard is a mechanism that can be left out, to measure what it is worth.
type Guard int

// The guards.
const (
	Order       Guard = iota // lanes, shares and aging; without it: order of arrival
	Reservation              // the planned start of the head; without it: whatever fits starts
	Reclaim                  // stopping borrowers for guaranteed and urgent work
	Estimates                // observed run times; without it: declared ones
	Compaction               // moving small gangs out of the way of a large one
	Quarantine               // barring workers that fail what they start
	guards
)

// Option changes how a new scheduler works.
type Option func(*Scheduler)

// Without leaves guards out. It is for baselines and measurements.
func Without(gs ...Guard) Option {
	return func(s *Scheduler) {
		for _, g := range gs {
			s.without[g] = true
		}
	}
}

// Plain leaves all guards out: jobs start in the order of arrival, wherever
// there is room. It is the queue of the baselines.
func Plain() Option { return Without(Order, Reservation, Reclaim, Estimates, Compaction, Quarantine) }

// PerAccount bounds how many jobs of one account may wait; 0 means the queue's
// default.
func PerAccount(n int) Option { return func(s *Scheduler) { s.perAccount = n } }
