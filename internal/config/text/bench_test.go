package text_test

import (
	"fmt"
	"strings"
	"testing"

	"guavaglade.example/guavaglade/internal/config/text"
)

// makeText returns a text with the given zones, workers per zone and teams. Each team
// has two jobs and, in each zone, two guarantees.
func makeText(zones, workers, teams int) []byte {
	var b strings.Builder
	var names []string
	for z := range zones {
		names = append(names, fmt.Sprintf("zone%d", z))
		fmt.Fprintf(&b, "[zone zone%d]\nworkers = %d\nracks = %d\nacceleratorsPerWorker = 8\ncores = 64\nmemory = 262144\n", z, workers, (workers+7)/8)
	}
	for t := range teams {
		fmt.Fprintf(&b, "[service s%d]\n[job s%d.small]\naccelerators = 1\n[job s%d.large]\nmembers = 2\naccelerators = 4\nadjacency = rack\n", t, t, t)
		fmt.Fprintf(&b, "[account a%d]\nkeyHash = %064x\noperator = true\n", t, t+1)
		fmt.Fprintf(&b, "[guarantee a%d.small]\nzones = %s\ncount = 2\naccelerators = 1\n", t, strings.Join(names, ","))
		fmt.Fprintf(&b, "[guarantee a%d.large]\nzones = %s\nmembers = 2\naccelerators = 4\nadjacency = rack\n", t, strings.Join(names, ","))
	}
	return []byte(b.String())
}

// BenchmarkParse covers sizes from a present installation to the design limit.
func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ zones, workers, teams int }{{3, 16, 4}, {3, 132, 18}, {7, 132, 35}, {7, 132, 70}} {
		body := makeText(size.zones, size.workers, size.teams)
		b.Run(fmt.Sprintf("zones=%d/workers=%d/teams=%d", size.zones, size.zones*size.workers, size.teams), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := text.Parse(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
