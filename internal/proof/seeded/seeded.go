package seeded

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Seed is the seed of property tests without -rapid.seed.
const Seed = "20261202"

// Check runs rapid.Check with Seed, or with the seed given with -rapid.seed.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", Seed); err != nil {
			t.Fatalf("set -rapid.seed: %v", err)
		}
	}
	rapid.Check(t, prop)
}
