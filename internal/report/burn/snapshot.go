package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Series holds the counts of one client account's requests to one service.
type Series struct {
	Service string   `json:"service"`
	Account string   `json:"account"`
	Minutes []Minute `json:"minutes"`           // sorted, without duplicates
	Latency []Bucket `json:"latency,omitempty"` // non-empty buckets
}

// Snapshot holds the counts of one or several hosts. It is encoded as JSON.
type Snapshot struct {
	Hosts   []string  `json:"hosts"` // sorted, without duplicates
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

// Merge combines the snapshots of several hosts. It skips a snapshot that includes a
// host of an earlier one, whose requests would count twice, and one with counts or
// latencies that are out of range. The error names the skipped snapshots and the
// reasons. The returned snapshot combines the others even if there is an error.
func Merge(snapshots ...Snapshot) (Snapshot, error) {
	var out Snapshot
	var faults []error
	sums := map[seriesKey]*sum{}
	knownHosts := map[string]bool{}
	for _, s := range snapshots {
		if err := s.check(knownHosts); err != nil {
			faults = append(faults, fmt.Errorf("merge burn snapshots: hosts %v: %w", s.Hosts, err))
			continue
		}
		out.addMetadata(s, knownHosts)
		for _, entry := range s.Series {
			key := seriesKey{entry.Service, entry.Account}
			if sums[key] == nil {
				sums[key] = newSum()
			}
			sums[key].add(entry)
		}
	}
	for key, total := range sums {
		out.Series = append(out.Series, total.series(key))
	}
	out.sort()
	return out, errors.Join(faults...)
}

// addMetadata adds the other snapshot's fields except its series.
func (s *Snapshot) addMetadata(other Snapshot, knownHosts map[string]bool) {
	for _, host := range other.Hosts {
		knownHosts[host] = true
	}
	s.Hosts = append(s.Hosts, other.Hosts...)
	s.Dropped += other.Dropped
	if other.At.After(s.At) {
		s.At = other.At
	}
}

// check returns an error if the snapshot includes a known host or invalid series.
func (s Snapshot) check(knownHosts map[string]bool) error {
	for _, host := range s.Hosts {
		if knownHosts[host] {
			return fmt.Errorf("host %s is already counted", host)
		}
	}
	for _, entry := range s.Series {
		if err := entry.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for negative counts and for latencies outside the range of the
// histograms.
func (s Series) check() error {
	for _, m := range s.Minutes {
		if m.At < 0 || m.Good < 0 || m.Bad < 0 {
			return fmt.Errorf("minute %d of %s for %s: %d good, %d bad", m.At, s.Service, s.Account, m.Good, m.Bad)
		}
	}
	for _, l := range s.Latency {
		if l.Count < 0 || l.MS < 0 || l.MS > maxLatencyMS {
			return fmt.Errorf("latency of %s for %s: %d of %d ms", s.Service, s.Account, l.Count, l.MS)
		}
	}
	return nil
}
