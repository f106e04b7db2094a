package roster

import (
	"slices"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Target is one incarnation of a target as it has registered.
type Target struct {
	ID              string // of the incarnation
	Address         string // IP:port
	Zone            string
	Service         string // whose tasks it runs
	Capacity        graph.Resources
	Labels          []string // kind and rack
	Rack            string   // the label that names its rack; empty if none does
	Draining        bool
	RemainingMS     int64 // while it drains: milliseconds that are left at least, as it last said
	ColdRemainingMS int64 // milliseconds for which it is still slow after its start, as it last said
}

// HasLabel reports whether the target carries the label; every target carries the
// empty one.
func (t *Target) HasLabel(label string) bool {
	return label == "" || slices.Contains(t.Labels, label)
}

// Same reports whether nothing but the remaining time differs.
func (t *Target) Same(o *Target) bool {
	return t.ID == o.ID && t.Address == o.Address && t.Zone == o.Zone && t.Service == o.Service &&
		t.Capacity == o.Capacity && t.Rack == o.Rack && t.Draining == o.Draining && slices.Equal(t.Labels, o.Labels)
}
