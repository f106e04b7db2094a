package burn

import (
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
)

// MaxSeries is the maximum number of pairs of service and client account that a
// Recorder keeps.
const MaxSeries = 2048

// Objectives maps service names to objectives. A service that is absent or has a target
// of 0 has none.
type Objectives map[string]catalog.Objective

type seriesKey struct{ service, account string }

// Recorder counts the requests of one host. It is safe for concurrent use.
type Recorder struct {
	host string

	mu         sync.Mutex
	objectives Objectives
	series     map[seriesKey]*series // at most MaxSeries
	dropped    int64                 // requests not counted because MaxSeries was reached
}

// New returns a recorder for a host. The name must differ from those of all other hosts
// and of earlier processes at the same address.
func New(host string) *Recorder {
	return &Recorder{host: host, objectives: Objectives{}, series: map[seriesKey]*series{}}
}

// SetObjectives replaces the objectives. Requests already counted remain good or bad as
// before.
func (r *Recorder) SetObjectives(o Objectives) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = o
}

// Record counts one request that ended at the given time. It is good if ok is true and
// its latency is within the time of the service's objective, if that has one. A request
// cancelled by its caller is neither good nor bad and should not be recorded.
func (r *Recorder) Record(service, account string, latency time.Duration, ok bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesOf(seriesKey{service, account}, at)
	if s == nil {
		r.dropped++
		return
	}
	o := r.objectives[service]
	s.record(latency, ok && (o.Target == 0 || o.Within == 0 || latency <= o.Within), at)
}

// seriesOf returns the series of a key, a new one if there is none yet, or nil if
// MaxSeries is reached.
//
// The limit keeps memory from growing without bound when many configurations each add
// accounts. Series without a request in the longest window are evicted for new ones.
func (r *Recorder) seriesOf(key seriesKey, at time.Time) *series {
	if s, ok := r.series[key]; ok {
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
	r.series[key] = s
	return s
}

// Snapshot returns the counts of the longest window that ends at now, without the series
// that have no requests in it.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Snapshot{Hosts: []string{r.host}, At: now, Dropped: r.dropped}
	for key, s := range r.series {
		entry := s.snapshot(key, now)
		if len(entry.Minutes) > 0 {
			out.Series = append(out.Series, entry)
		}
	}
	out.sort()
	return out
}

// Report returns the report of this host only.
func (r *Recorder) Report(now time.Time) (Report, error) {
	s := r.Snapshot(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.Report(now, r.objectives)
}
