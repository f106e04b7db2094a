package burn

import (
	"cmp"
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

// Merge joins the snapshots of several hosts. It refuses a host that is in two
// of them, whose requests would count twice, and counts or latencies that cannot
// be right, with the host that sent them.
func Merge(snapshots ...Snapshot) (Snapshot, error) {
	var out Snapshot
	sums := map[seriesName]*sum{}
	for _, s := range snapshots {
		for _, host := range s.Hosts {
			if slices.Contains(out.Hosts, host) {
				return Snapshot{}, fmt.Errorf("merge burn snapshots: host %s is in two of them", host)
			}
		}
		out.Hosts = append(out.Hosts, s.Hosts...)
		out.Dropped += s.Dropped
		if s.At.After(out.At) {
			out.At = s.At
		}
		if err := addAll(sums, s.Series); err != nil {
			return Snapshot{}, fmt.Errorf("merge burn snapshots: hosts %v: %w", s.Hosts, err)
		}
	}
	for name, total := range sums {
		out.Series = append(out.Series, total.series(name))
	}
	out.sort()
	return out, nil
}

func addAll(sums map[seriesName]*sum, series []Series) error {
	for _, one := range series {
		name := seriesName{one.Service, one.Account}
		if sums[name] == nil {
			sums[name] = newSum()
		}
		if err := sums[name].add(one); err != nil {
			return err
		}
	}
	return nil
}
