package evacuation

import (
	"slices"
	"sync"
	"time"
)

// Status is what a host knows of evacuations at a moment.
type Status struct {
	Zones []string  // that are evacuated, sorted, each once
	AsOf  time.Time // no change before it is missing; zero: nothing was read yet
}

// Has reports whether a zone is evacuated.
func (s Status) Has(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// With returns the status with further zones evacuated.
func (s Status) With(zones ...string) Status {
	if len(zones) == 0 {
		return s
	}
	all := append(slices.Clone(s.Zones), zones...)
	slices.Sort(all)
	return Status{Zones: slices.Compact(all), AsOf: s.AsOf}
}

// Equal reports whether both have the same zones evacuated.
func (s Status) Equal(o Status) bool { return slices.Equal(s.Zones, o.Zones) }

// Register holds the zones that operators evacuate. It is safe for several goroutines.
type Register struct {
	mu  sync.RWMutex
	now Status // its zones are replaced, never changed
}

// NewRegister returns a register that has read nothing yet.
func NewRegister() *Register { return &Register{} }

// Current returns the status. The caller must not change its zones.
func (r *Register) Current() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.now
}

// Replace takes in all evacuated zones as they were at a time. It reports whether the
// zones changed.
func (r *Register) Replace(zones []string, asOf time.Time) (changed bool) {
	next := Status{AsOf: asOf}.With(zones...)
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = !r.now.Equal(next)
	r.now = next
	return changed
}

// Change is an evacuation that was set or taken back.
type Change struct {
	Zone      string
	Evacuated bool
}

// Apply takes in the changes up to a time, in their order. It reports whether the
// zones changed.
func (r *Register) Apply(changes []Change, asOf time.Time) (changed bool) {
	zones := slices.Clone(r.Current().Zones)
	for _, c := range changes {
		zones = slices.DeleteFunc(zones, func(z string) bool { return z == c.Zone })
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
	}
	return r.Replace(zones, asOf)
}
