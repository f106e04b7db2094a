package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Series is what was counted of one client account's requests to one service.
type Series struct {
	Service string   `json:"service"`
	Account string   `json:"account"`
	Minutes []Minute `json:"minutes"`           // sorted, each minute once
	Latency []Bucket `json:"latency,omitempty"` // buckets that are not empty
}

// Snapshot is what one or several hosts have counted. It travels as JSON.
type Snapshot struct {
	Hosts   []string  `json:"hosts"` // sorted, each once
	At      time.Time `json:"at"`
	Series  []Series  `json:"series,omitempty"`  // sorted by service and account
	Dropped int64     `json:"dropped,omitempty"` // requests that were not counted
}

func (s *Snapshot) sort() {
	slices.Sort(s.Hosts)
	slices.SortFunc(s.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
}

// Merge joins the snapshots of several hosts. One that would mislead is left
// out, and the error names it and why: one of a host that is in an earlier one,
// whose requests would count twice, and one with counts or latencies that cannot
// be right. The snapshot returned is that of the
// others, also if there is an error.
func Merge(snapshots ...Snapshot) (Snapshot, error) {
	var out Snapshot
	var faults []error
	sums := map[seriesName]*sum{}
	known := map[string]bool{}
	for _, s := range snapshots {
		if err := s.check(known); err != nil {
			faults = append(faults, fmt.Errorf("merge burn snapshots: hosts %v: %w", s.Hosts, err))
			continue
		}
		out.take(s, known)
		for _, one := range s.Series {
			name := seriesName{one.Service, one.Account}
			if sums[name] == nil {
				sums[name] = newSum()
			}
			sums[name].add(one)
		}
	}
	for name, total := range sums {
		out.Series = append(out.Series, total.series(name))
	}
	out.sort()
	return out, errors.Join(faults...)
}

// take adds all but the series of another snapshot.
func (s *Snapshot) take(other Snapshot, known map[string]bool) {
	for _, host := range other.Hosts {
		known[host] = true
	}
	s.Hosts = append(s.Hosts, other.Hosts...)
	s.Dropped += other.Dropped
	if other.At.After(s.At) {
		s.At = other.At
	}
}

// check returns why a snapshot cannot be used beside the known hosts.
func (s Snapshot) check(known map[string]bool) error {
	for _, host := range s.Hosts {
		if known[host] {
			return fmt.Errorf("host %s is counted already", host)
		}
	}
	for _, one := range s.Series {
		if err := one.check(); err != nil {
			return err
		}
	}
	return nil
}

// check refuses counts below 0 and latencies out of the histograms' range.
func (s Series) check() error {
	for _, m := range s.Minutes {
		if m.At < 0 || m.Good < 0 || m.Bad < 0 {
			return fmt.Errorf("minute %d of %s for %s: %d good, %d bad", m.At, s.Service, s.Account, m.Good, m.Bad)
		}
	}
	for _, l := range s.Latency {
		if l.Count < 0 || l.MS < 0 || l.MS > mostLatency {
			return fmt.Errorf("latency of %s for %s: %d of %d ms", s.Service, s.Account, l.Count, l.MS)
		}
	}
	return nil
}
