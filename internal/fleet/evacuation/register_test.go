package evacuation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// A status keeps its zones sorted and without duplicates; Equal ignores the time.
func TestStatus(t *testing.T) {
	is := is.New(t)
	s := evacuation.Status{}.With("leon", "celaya").With("leon")
	is.Equal(s.Zones, []string{"celaya", "leon"})
	is.True(s.Has("leon"))
	is.True(!s.Has("irapuato"))
	is.True(s.Equal(evacuation.Status{Zones: []string{"celaya", "leon"}, AsOf: time.Unix(1, 0)}))
}

// The register holds the same zones as a plain set, and the time of the last step, after
// each step of a random mix of lists of changes and replacements.
func TestRegisterMatchesSet(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		r, want := evacuation.NewRegister(), map[string]bool{}
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			asOf := time.Unix(int64(i), 0)
			if rapid.Bool().Draw(t, "whole") {
				zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3).Draw(t, "zones")
				clear(want)
				for _, z := range zones {
					want[z] = true
				}
				r.Replace(zones, asOf)
			} else {
				var changes []evacuation.Change
				for range rapid.IntRange(0, 4).Draw(t, "changes") {
					c := evacuation.Change{Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Evacuated: rapid.Bool().Draw(t, "evacuated")}
					changes = append(changes, c)
					want[c.Zone] = c.Evacuated
				}
				r.Apply(changes, asOf)
			}
			var zones []string
			for z, evacuated := range want {
				if evacuated {
					zones = append(zones, z)
				}
			}
			slices.Sort(zones)
			if got := r.Current(); !slices.Equal(got.Zones, zones) || !got.AsOf.Equal(asOf) {
				t.Fatalf("step %d: %v as of %v, want %v", i, got.Zones, got.AsOf, zones)
			}
		}
	})
}

func ExampleRegister() {
	r := evacuation.NewRegister()
	r.Replace([]string{"leon"}, time.Unix(10, 0))
	r.Apply([]evacuation.Change{{Zone: "celaya", Evacuated: true}, {Zone: "leon"}}, time.Unix(11, 0))
	fmt.Println(r.Current().Zones)
	// Output: [celaya]
}
