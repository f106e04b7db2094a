package evacuation

import (
	"slices"
	"sync"
	"time"
)

// Status is the set of evacuated zones as a host knows it.
type Status struct {
	Zones []string  // evacuated; sorted, without duplicates
	AsOf  time.Time // includes all changes before it; zero: nothing was read yet
}

// Has reports whether a zone is evacuated.
func (s Status) Has(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// With returns the status with the zones evacuated as well. Its time stays the same.
func (s Status) With(zones ...string) Status {
	if len(zones) == 0 {
		return s
	}
	all := append(slices.Clone(s.Zones), zones...)
	slices.Sort(all)
	return Status{Zones: slices.Compact(all), AsOf: s.AsOf}
}

// Equal reports whether both have the same zones evacuated, whatever their times.
func (s Status) Equal(o Status) bool { return slices.Equal(s.Zones, o.Zones) }

// Register holds the current status. It is safe for use by one writer and any number of
// concurrent readers.
type Register struct {
	mu      sync.RWMutex
	current Status // its zones are replaced, never modified
}

// NewRegister returns a register without evacuated zones, in which nothing was read yet.
func NewRegister() *Register { return &Register{} }

// Current returns the current status. The caller must not modify its zones.
func (r *Register) Current() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// Replace sets all evacuated zones, as read at asOf, and reports whether they changed. The
// zones may be unsorted and have duplicates.
func (r *Register) Replace(zones []string, asOf time.Time) (changed bool) {
	next := Status{AsOf: asOf}.With(zones...)
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = !r.current.Equal(next)
	r.current = next
	return changed
}

// Change is the evacuation or restoration of a zone.
type Change struct {
	Zone      string
	Evacuated bool
}

// Apply applies all changes in order, so that the last one of a zone counts, and reports
// whether the evacuated zones changed. The status then includes all changes before asOf.
// Apply must not run concurrently with another Apply or Replace, whose changes could be
// lost.
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
