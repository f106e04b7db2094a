package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// Each policy finds a place whenever there is one, where the gang may stand,
// and the zone counts the gangs that fit as an exhaustive search does.
func TestPlacesAgainstExhaustiveSearch(t *testing.T) {
	policies := map[string]placement.Policy{"firstFit": placement.FirstFit{}, "bestFit": placement.BestFit{}, "cells": placement.Cells{}}
	seeded.Check(t, func(t *rapid.T) {
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range 8 {
			f.take()
		}
		f.bar()
		s := f.shape()
		bins, err := f.bins(func(placement.Holder) bool { return true })
		if err != nil {
			t.Fatal(err)
		}
		view := cell.NewView(f.zone.Inventory())
		n := view.Gangs(s)
		if !packable(bins, slices.Repeat([]cell.Shape{s}, n)) || packable(bins, slices.Repeat([]cell.Shape{s}, n+1)) {
			t.Fatalf("%d gangs of %v counted on %v", n, s, bins)
		}
		for name, p := range policies {
			for _, w := range []placement.Weights{{Completion: 1}, {Fragmentation: 1}} {
				a, ok := p.Choose(view, placement.Request{Owner: "x", Shape: s, Weights: w})
				if ok != (n > 0) {
					t.Fatalf("%s: place of %v found: %v, gangs that fit %d on %v", name, s, ok, n, bins)
				}
				if err := f.mayStand(s, a); ok && err != nil {
					t.Fatalf("%s: %v at %v: %v", name, s, a, err)
				}
			}
		}
	})
}

// mayStand returns why a gang may not stand at a place.
func (f *fleet) mayStand(s cell.Shape, a cell.Assignment) error {
	for i, g := range a {
		first, w := f.workers[a[0].Worker], f.workers[g.Worker]
		switch {
		case g.Member != i:
			return fmt.Errorf("grant %d is member %d", i, g.Member)
		case f.barred[w.ID()]:
			return fmt.Errorf("%s is barred", w.ID())
		case s.Adjacency() == cell.SameRack && w.Rack() != first.Rack(), s.Adjacency() == cell.SameWorker && w.ID() != first.ID():
			return fmt.Errorf("%s is too far from %s", w.ID(), first.ID())
		}
	}
	if err := f.zone.Inventory().Take("trial", s, a); err != nil {
		return err
	}
	f.zone.Inventory().Release("trial")
	return nil
}

// rackOf returns a zone of two racks with four workers of 8 accelerators each.
func rackOf(t *testing.T) *placement.Zone {
	z := placement.NewZone(nil)
	for i := range 8 {
		w, err := cell.NewWorker(fmt.Sprintf("w%d", i), "z", fmt.Sprintf("r%d", i/4), 8, 64, 1024, 8)
		if err != nil {
			t.Fatal(err)
		}
		z.AddWorker(w)
	}
	return z
}

func TestCellsKeepLargePiecesWhole(t *testing.T) {
	small, pair := mustShape(1, 1, 1, 1, cell.Any), mustShape(2, 8, 1, 1, cell.SameRack)
	cases := []struct {
		name  string
		taken cell.Assignment // of small gangs, one each
		ask   cell.Shape
		want  []string
	}{
		{"the worker in use", cell.Assignment{{Worker: "w5", Accelerators: 1}}, small, []string{"w5"}},
		{"the fullest worker", cell.Assignment{{Worker: "w2", Accelerators: 1}, {Worker: "w6", Accelerators: 1}, {Worker: "w6", Accelerators: 2}}, small, []string{"w6"}},
		{"the rack in use", cell.Assignment{{Worker: "w6", Accelerators: 1}}, pair, []string{"w4", "w5"}},
		{"an aligned pair of workers", cell.Assignment{{Worker: "w0", Accelerators: 1}}, pair, []string{"w2", "w3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			z := rackOf(t)
			for i, g := range c.taken {
				r := placement.Request{Owner: fmt.Sprint("taken", i), Shape: small}
				is.NoErr(z.Take(r, cell.Assignment{{Worker: g.Worker, Accelerators: g.Accelerators}}, time.Unix(0, 0)))
			}
			a, ok := z.Place(placement.Request{Owner: "x", Shape: c.ask})
			is.True(ok)
			is.Equal(a.Workers(), c.want)
		})
	}
}

// Fragmentation counts whole gangs: room for three of four members is no room.
func TestFragmentationCountsWholeGangs(t *testing.T) {
	is := is.New(t)
	z := rackOf(t)
	whole := mustShape(4, 8, 1, 1, cell.SameRack)
	is.Equal(z.Fragmentation(whole), 0.0)
	small := placement.Request{Owner: "small", Shape: mustShape(1, 1, 1, 1, cell.Any)}
	is.NoErr(z.Take(small, cell.Assignment{{Worker: "w0", Accelerators: 1}}, time.Unix(0, 0)))
	cases := []struct {
		shape  cell.Shape
		unused float64 // of the 63 free accelerators
	}{
		{whole, 31},
		{mustShape(4, 8, 1, 1, cell.Any), 31},
		{mustShape(1, 8, 1, 1, cell.SameWorker), 7},
		{mustShape(1, 0, 1, 1, cell.Any), 0},
	}
	for _, c := range cases {
		if got := z.Fragmentation(c.shape); math.Abs(got-c.unused/63) > 1e-9 {
			t.Errorf("%v: fragmentation %v, want %v", c.shape, got, c.unused/63)
		}
	}
}
