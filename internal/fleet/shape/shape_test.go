package shape_test

import (
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// New refuses a shape with a property that is out of bounds or unknown.
func TestNewErrors(t *testing.T) {
	cases := []struct {
		name                                 string
		members, accelerators, cores, memory int
		adjacency                            shape.Adjacency
	}{
		{"no members", 0, 1, 1, 1, shape.Any},
		{"too many members", 65, 1, 1, 1, shape.Any},
		{"negative accelerators", 1, -1, 1, 1, shape.Any},
		{"negative cores", 1, 1, -1, 1, shape.Any},
		{"negative memory", 1, 1, 1, -1, shape.Any},
		{"unknown adjacency", 1, 1, 1, 1, "row"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := shape.New(c.members, c.accelerators, c.cores, c.memory, c.adjacency)
			is.True(err != nil)
		})
	}
}
