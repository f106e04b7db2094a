package guarantee_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
)

func shape(t *testing.T, members, accelerators int, a cell.Adjacency) cell.Shape {
	s, err := cell.NewShape(members, accelerators, 1, 1, a)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestNewRefuses(t *testing.T) {
	is := is.New(t)
	s := shape(t, 1, 1, cell.Any)
	_, err := guarantee.New("", s, 1)
	is.True(err != nil)
	_, err = guarantee.New("a", s, 0)
	is.True(err != nil)
}

// Two racks of two workers with 4 accelerators each.
func TestCheckNamesWhatDoesNotFit(t *testing.T) {
	var workers []cell.Worker
	for i := range 4 {
		w, err := cell.NewWorker(fmt.Sprint("w", i), "z", fmt.Sprint("r", i/2), 4, 8, 8, 8)
		if err != nil {
			t.Fatal(err)
		}
		workers = append(workers, w)
	}
	rack, wide, part := shape(t, 2, 4, cell.SameRack), shape(t, 3, 4, cell.SameRack), shape(t, 3, 1, cell.SameWorker)
	cases := []struct {
		name   string
		shapes map[string]cell.Shape // by account, two gangs each
		failed string                // account; empty if all fits
		fitted int
	}{
		{"both racks", map[string]cell.Shape{"a": rack}, "", 0},
		{"wider than a rack", map[string]cell.Shape{"a": wide}, "a", 0},
		{"one rack left for two gangs", map[string]cell.Shape{"a": rack, "b": part}, "b", 0},
		{"parts of workers beside each other", map[string]cell.Shape{"a": part, "b": part}, "", 0},
		{"a worker short", map[string]cell.Shape{"a": part, "b": part, "c": part}, "c", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var gs []guarantee.Guarantee
			for _, account := range []string{"a", "b", "c"} {
				if s, ok := c.shapes[account]; ok {
					g, err := guarantee.New(account, s, 2)
					is.NoErr(err)
					gs = append(gs, g)
				}
			}
			err := guarantee.Check(workers, gs)
			var u *guarantee.Unpackable
			is.Equal(errors.As(err, &u), c.failed != "")
			if u != nil {
				is.Equal(u.Guarantee.Account(), c.failed)
				is.Equal(u.Guarantee.Count(), 2)
				is.Equal(u.Fitted, c.fitted)
			}
		})
	}
}
