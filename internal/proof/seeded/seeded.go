package seeded

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Seed is the seed of every property test that is given none.
const Seed = "20261202"

// Check runs rapid.Check from Seed, or from the seed given with -rapid.seed.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", Seed); err != nil {
			t.Fatalf("fix the seed of rapid: %v", err)
		}
	}
	rapid.Check(t, prop)
}
