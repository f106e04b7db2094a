package cell_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

func TestNewShapeRefuses(t *testing.T) {
	cases := []struct {
		name                                 string
		members, accelerators, cores, memory int
		adjacency                            cell.Adjacency
	}{
		{"no members", 0, 1, 1, 1, cell.Any},
		{"too many members", 65, 1, 1, 1, cell.Any},
		{"negative accelerators", 1, -1, 1, 1, cell.Any},
		{"negative cores", 1, 1, -1, 1, cell.Any},
		{"negative memory", 1, 1, 1, -1, cell.Any},
		{"unknown adjacency", 1, 1, 1, 1, "row"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := cell.NewShape(c.members, c.accelerators, c.cores, c.memory, c.adjacency)
			is.True(err != nil)
		})
	}
}

func TestShapeSurvivesJSON(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		s, err := cell.NewShape(rapid.IntRange(1, 64).Draw(t, "members"), rapid.IntRange(0, 64).Draw(t, "accelerators"),
			rapid.IntRange(0, 999).Draw(t, "cores"), rapid.IntRange(0, 1<<20).Draw(t, "memory"),
			rapid.SampledFrom([]cell.Adjacency{cell.Any, cell.SameRack, cell.SameWorker}).Draw(t, "adjacency"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var got cell.Shape
		if err := json.Unmarshal(body, &got); err != nil || got != s {
			t.Fatalf("got %v, %v, want %v", got, err, s)
		}
	})
}
