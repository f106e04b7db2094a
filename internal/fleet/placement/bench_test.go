package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/fleet/placement"
)

// designAccelerators is the mix of the design size: 1,300 accelerators on 920
// workers, by the position of the worker in a group of 46.
func designAccelerators(i int) int {
	switch i %= 46; {
	case i < 4:
		return 8
	case i < 8:
		return 4
	case i < 12:
		return 2
	case i < 21:
		return 1
	default:
		return 0
	}
}

func designWorker(i int) cell.Worker {
	n := designAccelerators(i)
	w, err := cell.NewWorker(fmt.Sprintf("w%04d", i), "z", fmt.Sprintf("r%03d", i/8), n, 64, 262144, 16)
	if err != nil {
		panic(err)
	}
	return w
}

func mustShape(members, accelerators, cores, memory int, a cell.Adjacency) cell.Shape {
	s, err := cell.NewShape(members, accelerators, cores, memory, a)
	if err != nil {
		panic(err)
	}
	return s
}

// designShapes is what arrives: mostly small work, some gangs to 64.
var designShapes = []cell.Shape{
	mustShape(1, 0, 2, 4096, cell.Any), mustShape(1, 0, 4, 8192, cell.Any), mustShape(4, 0, 2, 2048, cell.Any),
	mustShape(1, 0, 1, 1024, cell.Any), mustShape(8, 0, 1, 1024, cell.Any), mustShape(64, 0, 1, 512, cell.Any),
	mustShape(1, 1, 4, 8192, cell.Any), mustShape(1, 2, 4, 8192, cell.SameWorker), mustShape(2, 4, 8, 16384, cell.SameRack),
	mustShape(4, 1, 2, 4096, cell.SameRack), mustShape(16, 1, 2, 4096, cell.Any), mustShape(2, 8, 16, 65536, cell.SameRack),
}

// designGuarantees returns two gangs for each of the zone's share of 70 teams.
func designGuarantees(tb testing.TB, workers int) []guarantee.Guarantee {
	var gs []guarantee.Guarantee
	for team := range 70 * workers / 920 {
		s := []cell.Shape{mustShape(4, 1, 2, 4096, cell.SameRack), mustShape(1, 4, 4, 8192, cell.SameWorker), mustShape(2, 2, 4, 8192, cell.Any)}[team%3]
		g, err := guarantee.New(fmt.Sprintf("team%d", team), s, 2)
		if err != nil {
			tb.Fatal(err)
		}
		gs = append(gs, g)
	}
	return gs
}

// designZone returns a zone of the size with its guarantees and about the tasks
// running, with the owners.
func designZone(tb testing.TB, workers, tasks int, p placement.Policy, opts ...placement.Option) (*placement.Zone, *rand.Rand, []string) {
	rng := rand.New(rand.NewPCG(uint64(workers), 7))
	z := placement.NewZone(p, opts...)
	for i := range workers {
		z.AddWorker(designWorker(i))
	}
	gs := designGuarantees(tb, workers)
	if err := z.SetGuarantees(gs); err != nil {
		tb.Fatal(err)
	}
	running := fill(z, rng, nil, -1, tasks)
	if z.Tasks() < tasks {
		tb.Fatalf("only %d of %d tasks run", z.Tasks(), tasks)
	}
	return z, rng, running
}

// fill starts gangs until about the number of tasks run, in a bounded number
// of tries.
func fill(z *placement.Zone, rng *rand.Rand, running []string, round, tasks int) []string {
	for i := 0; z.Tasks() < tasks && i < 4*tasks; i++ {
		r := designRequest(rng, fmt.Sprintf("fill%d.%d", round, i))
		if a, ok := z.Place(r); ok && z.Take(r, a, time.Unix(int64(i), 0)) == nil {
			running = append(running, r.Owner)
		}
	}
	return running
}

func designRequest(rng *rand.Rand, owner string) placement.Request {
	return placement.Request{
		Owner: owner, Account: fmt.Sprintf("team%d", rng.IntN(70)), Shape: designShapes[rng.IntN(len(designShapes))],
		Stoppable: rng.IntN(2) == 0, Guaranteed: rng.IntN(4) == 0,
		Weights: placement.Weights{Completion: 0.5, Fragmentation: rng.Float64()},
	}
}

// BenchmarkPlace measures one decision, Free, Place and if there is room Take, in a zone with its share of 11,000 running tasks, or with all of them.
func BenchmarkPlace(b *testing.B) {
	policies := map[string]placement.Policy{"firstFit": placement.FirstFit{}, "bestFit": placement.BestFit{}, "cells": placement.Cells{}}
	for _, name := range []string{"firstFit", "bestFit", "cells"} {
		for _, workers := range []int{131, 230, 460, 920} {
			b.Run(fmt.Sprintf("policy=%s/workers=%d", name, workers), func(b *testing.B) {
				z, rng, running := designZone(b, workers, 11000*workers/920, policies[name])
				b.ReportAllocs()
				b.ResetTimer()
				placed := 0
				took := make([]time.Duration, 0, b.N)
				for i := range b.N {
					r := designRequest(rng, fmt.Sprintf("bench%d", i))
					before := len(running)
					start := time.Now()
					running = decide(b, z, running, r, i)
					took = append(took, time.Since(start))
					placed += len(running) - before + 1
					b.StopTimer()
					running = fill(z, rng, running, i, 11000*workers/920)
					b.StartTimer()
				}
				slices.Sort(took)
				b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
				b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
				b.ReportMetric(float64(took[len(took)-1].Nanoseconds()), "max-ns")
			})
		}
	}
}

// decide ends the oldest gang, places the request and takes the place, so that
// the zone stays as full as it was. It returns who runs then.
func decide(b *testing.B, z *placement.Zone, running []string, r placement.Request, i int) []string {
	z.Free(running[0])
	running = running[1:]
	a, ok := z.Place(r)
	if !ok {
		return running
	}
	if err := z.Take(r, a, time.Unix(int64(i), 0)); err != nil {
		b.Fatal(err)
	}
	return append(running, r.Owner)
}

// BenchmarkReclaim measures the choice of victims in a zone full of lent room.
func BenchmarkReclaim(b *testing.B) {
	for _, workers := range []int{230, 460, 920} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			z, _, _ := designZone(b, workers, 11000*workers/920, placement.Cells{})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s := []cell.Shape{mustShape(4, 1, 2, 4096, cell.SameRack), mustShape(1, 4, 4, 8192, cell.SameWorker), mustShape(2, 2, 4, 8192, cell.Any)}[i%3]
				r := placement.Request{Owner: "bench", Account: fmt.Sprintf("team%d", i%3), Shape: s, Guaranteed: true}
				z.Reclaim(r, time.Unix(100000, 0))
			}
		})
	}
}

// BenchmarkRebuild measures how long a new placer takes to book what the
// workers' lists show, with the guarantees known before or after the lists.
func BenchmarkRebuild(b *testing.B) {
	for _, order := range []string{"before", "after"} {
		for _, workers := range []int{230, 460, 920} {
			b.Run(fmt.Sprintf("guarantees=%s/workers=%d", order, workers), func(b *testing.B) {
				old, _, running := designZone(b, workers, 11000*workers/920, placement.Cells{})
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					rebuild(b, old, running, order == "before", workers)
				}
			})
		}
	}
}

func rebuild(b *testing.B, old *placement.Zone, running []string, before bool, workers int) {
	z := placement.NewZone(placement.Cells{})
	for i := range workers {
		z.AddWorker(designWorker(i))
	}
	if before {
		z.ImposeGuarantees(designGuarantees(b, workers))
	}
	for _, owner := range running {
		h, _ := old.Holder(owner)
		if err := z.Adopt(h.Request, h.Assignment, h.Since); err != nil {
			b.Fatal(err)
		}
	}
	if !before {
		z.ImposeGuarantees(designGuarantees(b, workers))
	}
	if z.AtRisk() != nil {
		b.Fatalf("rebuilt with guarantees at risk: %v", z.AtRisk())
	}
}

// BenchmarkPlaceAtRisk measures decisions while a rack is lost in a zone that
// has promised as much as it can hold.
func BenchmarkPlaceAtRisk(b *testing.B) {
	for _, workers := range []int{131, 230, 460} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			z, rng, running := designZone(b, workers, 11000*workers/920, placement.Cells{})
			z.ImposeGuarantees(allThatFits(b, z, workers))
			for i := range 8 {
				z.RemoveWorker(fmt.Sprintf("w%04d", i))
			}
			if z.AtRisk() == nil {
				b.Fatal("nothing is at risk")
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				running = decide(b, z, running, designRequest(rng, fmt.Sprintf("bench%d", i)), i)
				b.StopTimer()
				running = fill(z, rng, running, i, 10000*workers/920)
				b.StartTimer()
			}
		})
	}
}

// allThatFits adds guarantees of the larger shapes until one does not fit.
func allThatFits(b *testing.B, z *placement.Zone, workers int) []guarantee.Guarantee {
	gs := designGuarantees(b, workers)
	for {
		g, err := guarantee.New(fmt.Sprintf("extra%d", len(gs)), designShapes[6+len(gs)%6], 1)
		if err != nil {
			b.Fatal(err)
		}
		if guarantee.Check(z.Inventory().Workers(), append(gs, g)) != nil {
			return gs
		}
		gs = append(gs, g)
	}
}
