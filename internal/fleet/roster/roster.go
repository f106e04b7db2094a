package roster

import (
	"slices"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Target is the registration of one incarnation of a target.
type Target struct {
	ID              string // of the target; a new incarnation may keep it
	StartedAt       int64  // when the incarnation started, in milliseconds since 1970 on its own clock; 0: unknown
	Address         string // IP:port
	Zone            string
	Service         string // whose tasks it runs
	Capacity        graph.Resources
	Labels          []string // such as its kind and its rack
	Rack            string   // the label that names its rack; empty: none
	Draining        bool
	RemainingMS     int64 // while it drains: minimum time until it stops, as last reported
	ClockMS         int64 // its own clock when it wrote this, in milliseconds; 0: unknown
	ColdRemainingMS int64 // time for which it is still slow after its start, as last reported
}

// HasLabel reports whether the target has the label. Every target has the empty label.
func (t *Target) HasLabel(label string) bool {
	return label == "" || slices.Contains(t.Labels, label)
}

// Same reports whether the targets are equal but for ClockMS, RemainingMS and ColdRemainingMS.
// The order of labels matters.
func (t *Target) Same(o *Target) bool {
	return t.ID == o.ID && t.StartedAt == o.StartedAt && t.Address == o.Address && t.Zone == o.Zone && t.Service == o.Service &&
		t.Capacity == o.Capacity && t.Rack == o.Rack && t.Draining == o.Draining && slices.Equal(t.Labels, o.Labels)
}
