package placement_test

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/fleet/placement"
)

// An account lends its idle room, and gets it back when it asks.
func ExampleZone_Reclaim() {
	zone := placement.NewZone(placement.Cells{})
	worker, _ := cell.NewWorker("w0", "bajio1", "r0", 8, 64, 262144, 8)
	zone.AddWorker(worker)
	shape, _ := cell.NewShape(1, 8, 16, 65536, cell.SameWorker)
	promised, _ := guarantee.New("salones", shape, 1)
	fmt.Println(zone.SetGuarantees([]guarantee.Guarantee{promised}))

	lent := placement.Request{Owner: "batch", Account: "formulas", Shape: shape, Stoppable: true}
	place, _ := zone.Place(lent)
	fmt.Println(zone.Take(lent, place, time.Unix(0, 0)))

	own := placement.Request{Owner: "plan", Account: "salones", Shape: shape, Guaranteed: true}
	_, ok := zone.Place(own)
	fmt.Println("free:", ok)
	place, victims, _ := zone.Reclaim(own, time.Unix(60, 0))
	fmt.Println("stop:", victims)
	zone.Free("batch")
	fmt.Println(zone.Take(own, place, time.Unix(62, 0)))
	// Output:
	// <nil>
	// <nil>
	// free: false
	// stop: [batch]
	// <nil>
}
