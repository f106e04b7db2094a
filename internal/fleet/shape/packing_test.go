package shape

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// workers returns workers of 64 cores, 256 GB and 8 slots each.
func workers(racks, perRack, accelerators int) []Worker {
	var list []Worker
	for r := range racks {
		for range perRack {
			list = append(list, Worker{Rack: fmt.Sprintf("r%d", r), Accelerators: accelerators, Cores: 64, Memory: 262144, Slots: 8})
		}
	}
	return list
}

// newShape returns a shape whose members need one core and 1024 MB each.
func newShape(t interface{ Fatal(args ...any) }, members, accelerators int, a Adjacency) Shape {
	s, err := New(members, accelerators, 1, 1024, a)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A gang fits if its members fit into a worker, a rack or the zone, by its adjacency.
func TestCheckFit(t *testing.T) {
	is := is.New(t)
	z := NewZone(workers(2, 2, 8))
	is.NoErr(z.CheckFit(newShape(t, 4, 8, Any)))
	is.NoErr(z.CheckFit(newShape(t, 2, 8, SameRack)))
	is.True(z.CheckFit(newShape(t, 3, 8, SameRack)) != nil)
	is.NoErr(z.CheckFit(newShape(t, 4, 2, SameWorker)))
	is.True(z.CheckFit(newShape(t, 9, 1, SameWorker)) != nil) // slots
	is.True(z.CheckFit(newShape(t, 5, 8, Any)) != nil)
}

// Guarantees must fit together, not only each alone, and small shapes must not be packed
// into the racks that large ones need.
func TestPack(t *testing.T) {
	is := is.New(t)
	z := NewZone(workers(2, 2, 8))
	big := Guarantee{Account: "a", Shape: newShape(t, 2, 8, SameRack), Count: 1}
	small := Guarantee{Account: "b", Shape: newShape(t, 1, 1, Any), Count: 16}
	is.NoErr(z.Pack([]Guarantee{small, big}))
	is.NoErr(z.Pack([]Guarantee{{Account: "a", Shape: big.Shape, Count: 2}}))
	is.True(z.Pack([]Guarantee{small, {Account: "a", Shape: big.Shape, Count: 2}}) != nil)
	is.NoErr(z.CheckFit(newShape(t, 4, 8, Any))) // Pack has reserved nothing
}

// A random set of guarantees that packs into a zone of random size never needs more
// accelerators than the zone has.
func TestPackNeverOvercommits(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		list := workers(rapid.IntRange(1, 3).Draw(rt, "racks"), rapid.IntRange(1, 4).Draw(rt, "workers"), 8)
		var gs []Guarantee
		total := 0
		for range rapid.IntRange(1, 6).Draw(rt, "guarantees") {
			s := newShape(rt, rapid.IntRange(1, 8).Draw(rt, "members"), rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(rt, "accelerators"),
				rapid.SampledFrom([]Adjacency{Any, SameRack, SameWorker}).Draw(rt, "adjacency"))
			g := Guarantee{Account: "a", Shape: s, Count: rapid.IntRange(1, 4).Draw(rt, "count")}
			gs = append(gs, g)
			total += g.Count * s.Total()
		}
		if NewZone(list).Pack(gs) == nil && total > 8*len(list) {
			rt.Fatalf("%v packed into %d workers", gs, len(list))
		}
	})
}
