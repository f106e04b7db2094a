package burn

import (
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
)

// MaxSeries is how many pairs of service and client account a Recorder keeps.
const MaxSeries = 2048

// Objectives are the objectives of services by name. A service that is absent,
// or has a target of 0, has none.
type Objectives map[string]catalog.Objective

type seriesName struct{ service, account string }

// Recorder counts the requests of one host. It is safe for use by several
// goroutines.
type Recorder struct {
	host string

	mu         sync.Mutex
	objectives Objectives
	series     map[seriesName]*series // at most MaxSeries
	dropped    int64                  // requests that found no place
}

// New returns a recorder of the host, whose name tells it from all others and
// from earlier processes at its address.
func New(host string) *Recorder {
	return &Recorder{host: host, objectives: Objectives{}, series: map[seriesName]*series{}}
}

// SetObjectives replaces the objectives. Requests counted before stay as they
// were judged.
func (r *Recorder) SetObjectives(o Objectives) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = o
}

// Record counts one request that ended at a time. It is good if it is ok and,
// where the service's objective says a time, its latency is within it. A
// request that its caller took back is neither and should not be recorded.
func (r *Recorder) Record(service, account string, latency time.Duration, ok bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesOf(seriesName{service, account}, at)
	if s == nil {
		r.dropped++
		return
	}
	o := r.objectives[service]
	s.record(latency, ok && (o.Target == 0 || o.Within == 0 || latency <= o.Within), at)
}

// seriesOf returns the series of a name, nil if there is no place for it.
//
// It guards against names without end, as after many configurations that each
// bring new accounts: it shows as memory that only grows. Series that have had
// no request within the longest window are given up for new ones.
func (r *Recorder) seriesOf(name seriesName, at time.Time) *series {
	if s, ok := r.series[name]; ok {
		return s
	}
	if len(r.series) >= MaxSeries {
		for n, s := range r.series {
			if s.newest < minuteOf(at)-ringMinutes {
				delete(r.series, n)
			}
		}
	}
	if len(r.series) >= MaxSeries {
		return nil
	}
	s := newSeries()
	r.series[name] = s
	return s
}

// Snapshot returns what was counted within the longest window before now.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Snapshot{Hosts: []string{r.host}, At: now, Dropped: r.dropped}
	for name, s := range r.series {
		one := s.snapshot(name, now)
		if len(one.Minutes) > 0 {
			out.Series = append(out.Series, one)
		}
	}
	out.sort()
	return out
}

// Report returns the report of this host alone.
func (r *Recorder) Report(now time.Time) (Report, error) {
	s := r.Snapshot(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.Report(now, r.objectives)
}
