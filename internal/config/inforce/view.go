package inforce

import (
	"sort"
	"time"
)

// Entry is what one host is heard to have in force.
type Entry struct {
	Zone    string    `json:"zone"`
	Host    string    `json:"host"` // address
	Version int64     `json:"version"`
	Since   time.Time `json:"since,omitzero"` // by that host's clock
	Heard   time.Time `json:"heard"`          // when it was last heard, by this host's clock
}

// Zone is what the hosts of a zone are heard to have in force.
type Zone struct {
	Name   string    `json:"name"`
	Oldest int64     `json:"oldest"`         // in force on every host heard of, at least
	Newest int64     `json:"newest"`         // in force on one host, at least
	Since  time.Time `json:"since,omitzero"` // Oldest is in force on all since then, by their clocks
	Hosts  []Entry   `json:"hosts"`          // sorted by address
}

// View is what hosts are heard to have in force, by zone and host. It is not
// safe for use by several goroutines.
type View struct {
	entries map[string]Entry // by host
}

// NewView returns an empty view.
func NewView() *View { return &View{entries: map[string]Entry{}} }

// Note takes in what a host says of itself or a digest says of it. What was
// heard earlier than what is known is dropped.
func (v *View) Note(e Entry) {
	if known, ok := v.entries[e.Host]; ok && e.Heard.Before(known.Heard) {
		return
	}
	v.entries[e.Host] = e
}

// Forget drops the hosts that were last heard of before a time, and so those
// that were replaced.
func (v *View) Forget(before time.Time) {
	for host, e := range v.entries {
		if e.Heard.Before(before) {
			delete(v.entries, host)
		}
	}
}

// Everywhere returns the version that all hosts heard of have reached, 0 if
// there are none or one has none.
func (v *View) Everywhere() int64 {
	oldest := int64(0)
	for i, z := range v.Zones() {
		if i == 0 || z.Oldest < oldest {
			oldest = z.Oldest
		}
	}
	return oldest
}

// Zones returns what is heard of each zone, sorted by name.
func (v *View) Zones() []Zone {
	byName := map[string]*Zone{}
	for _, e := range v.entries {
		z, ok := byName[e.Zone]
		if !ok {
			z = &Zone{Name: e.Zone}
			byName[e.Zone] = z
		}
		z.Hosts = append(z.Hosts, e)
	}
	zones := make([]Zone, 0, len(byName))
	for _, z := range byName {
		z.sum()
		zones = append(zones, *z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].Name < zones[j].Name })
	return zones
}

func (z *Zone) sum() {
	sort.Slice(z.Hosts, func(i, j int) bool { return z.Hosts[i].Host < z.Hosts[j].Host })
	for i, e := range z.Hosts {
		if i == 0 || e.Version < z.Oldest {
			z.Oldest = e.Version
		}
		z.Newest = max(z.Newest, e.Version)
	}
	for _, e := range z.Hosts {
		// A host that is further on passed the oldest version at an unknown
		// time before this one.
		if e.Since.After(z.Since) {
			z.Since = e.Since
		}
	}
}
