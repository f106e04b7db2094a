package text_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

const twoZones = "# ours\n[zone leon]\nworkers = 2\n\n[zone celaya]\nworkers = 2\n"

// A zone is evacuated unless its section says otherwise. A zone that is not described is
// a fault, unless no zone is described.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	c, err := text.Parse([]byte(twoZones + "[evacuation leon]\n[evacuation celaya]\nactive = false\n"))
	is.NoErr(err)
	is.Equal(c.Evacuated(), []string{"leon"})
	faults := text.Check([]byte(twoZones + "[evacuation lyon]\n"))
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Line, 7)
	is.Equal(len(text.Check([]byte("[service refill]\n[evacuation leon]\nactive = true\n"))), 0) // no zone is described
	is.Equal(len(text.Check([]byte("[evacuation leon]\nactive = perhaps\nother = 1\n"))), 2)
	is.Equal((*text.Config)(nil).Evacuated(), []string(nil))
}

// Evacuates and restores zones in an order that is random by seed. The resulting text
// must evacuate the expected zones and keep its other lines.
func TestSetEvacuated(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		body, want := []byte(twoZones), map[string]bool{}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			zone, on := rapid.SampledFrom([]string{"leon", "celaya"}).Draw(t, "zone"), rapid.Bool().Draw(t, "on")
			before := string(body)
			var changed bool
			body, changed = text.SetEvacuated(body, zone, on)
			if changed != (want[zone] != on) || changed != (before != string(body)) {
				t.Fatalf("%s %v: changed %v\n%s", zone, on, changed, body)
			}
			want[zone] = on
		}
		c, err := text.Parse(body)
		if err != nil {
			t.Fatal(err)
		}
		got := fmt.Sprint(c.Evacuated())
		if expected := fmt.Sprint(selectedZones(want)); got != expected || !strings.HasPrefix(string(body), strings.TrimRight(twoZones, "\n")) {
			t.Fatalf("evacuated %s, want %s\n%s", got, expected, body)
		}
	})
}

func selectedZones(selected map[string]bool) (zones []string) {
	for _, z := range []string{"celaya", "leon"} {
		if selected[z] {
			zones = append(zones, z)
		}
	}
	return zones
}

// A header with other spacing is found. The key is added below it, since a section
// without the key evacuates the zone.
func ExampleSetEvacuated() {
	body, _ := text.SetEvacuated([]byte("[service refill]\n\n[evacuation  leon]\n# the roof leaks\n"), "leon", false)
	fmt.Print(string(body))
	// Output:
	// [service refill]
	//
	// [evacuation  leon]
	// active = false
	// # the roof leaks
}
