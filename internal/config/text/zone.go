package text

import (
	"fmt"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// maxWorkers is the maximum number of workers of one described zone.
const maxWorkers = 1024

// zone is an availability zone as the text describes it: identical workers, spread
// evenly over its racks. It is used to validate the text only; the actual workers are
// read from the platform.
type zone struct {
	name    string
	workers []shape.Worker
}

// zone reads a section [zone NAME] and adds the zone unless its name is invalid. A zone
// without a valid number of workers has none.
func (r *reader) zone(name string, section *document.Section) {
	section.Require("workers")
	workers := section.Int("workers", 0, 1, maxWorkers)
	racks := section.Int("racks", 1, 1, maxWorkers)
	accelerators := section.Int("acceleratorsPerWorker", 0, 0, shape.MaxAccelerators)
	cores := section.Int("cores", 1, 1, 1<<16)
	memory := section.Int("memory", 1024, 1, 1<<30)
	slots := section.Int("slots", 8, 1, 1<<16)
	if !checkName(section, name) {
		return
	}
	if workers > 0 && racks > workers {
		section.Faultf("racks", "%d racks for %d workers; each rack needs at least one worker", racks, workers)
	}
	z := &zone{name: name}
	for i := range workers {
		z.workers = append(z.workers, shape.Worker{
			Rack: fmt.Sprintf("%s-r%05d", name, i*racks/workers), Accelerators: accelerators, Cores: cores, Memory: memory, Slots: slots,
		})
	}
	r.zones[name] = z
}

// checkCapacity checks that each job fits in some zone and that the guarantees of each
// zone fit together. If one zone is described, all zones with guarantees must be. It does
// nothing if no zone is described or a zone has no valid workers.
func (r *reader) checkCapacity() {
	capacities := map[string]*shape.Zone{}
	for name, z := range r.zones {
		if len(z.workers) == 0 {
			return // already reported as a fault
		}
		capacities[name] = shape.NewZone(z.workers)
	}
	if len(capacities) == 0 {
		return
	}
	results := map[shape.Shape]error{}
	for _, section := range r.jobs {
		requested := r.jobShape(section)
		err, ok := results[requested]
		if !ok {
			err = checkFitAny(requested, capacities)
			results[requested] = err
		}
		if err != nil {
			section.Faultf("", "fits in none of the described zones: %v", err)
		}
	}
	r.checkGuarantees(capacities)
}

// jobShape returns the shape of the job that a section describes.
func (r *reader) jobShape(section *document.Section) shape.Shape {
	owner, name, _ := strings.Cut(strings.TrimPrefix(section.Name(), "job "), ".")
	return r.config.services[owner].kinds[name].shape
}

// checkFitAny returns nil if a shape fits in one of the zones, otherwise why it does
// not fit in the last one.
func checkFitAny(s shape.Shape, capacities map[string]*shape.Zone) error {
	var last error
	for _, zone := range sortedKeys(capacities) {
		if last = capacities[zone].CheckFit(s); last == nil {
			return nil
		}
	}
	return last
}

// checkGuarantees checks that the guarantees of each zone fit in it together.
func (r *reader) checkGuarantees(capacities map[string]*shape.Zone) {
	byZone := map[string][]guaranteeSection{}
	for _, g := range r.guarantees {
		for _, name := range g.zones {
			if _, ok := capacities[name]; !ok {
				g.section.Faultf("zones", "zone %q is not described; add [zone %s]", name, name)
				continue
			}
			byZone[name] = append(byZone[name], g)
		}
	}
	for _, name := range sortedKeys(byZone) {
		// Packing one by one takes seconds for a text of the largest supported size,
		// and every host checks every version. It is needed only to find the faults.
		if capacities[name].Pack(guaranteesOf(byZone[name])) != nil {
			packOneByOne(name, capacities[name], byZone[name])
		}
	}
}

func guaranteesOf(sections []guaranteeSection) []shape.Guarantee {
	gs := make([]shape.Guarantee, 0, len(sections))
	for _, section := range sections {
		gs = append(gs, section.value)
	}
	return gs
}

// packOneByOne adds a fault for each guarantee that does not fit together with the
// accepted guarantees before it.
func packOneByOne(zoneName string, capacity *shape.Zone, guarantees []guaranteeSection) {
	var kept []guaranteeSection
	for _, g := range guarantees {
		if err := capacity.CheckFit(g.value.Shape); err != nil {
			g.section.Faultf("", "zone %s: %v", zoneName, err)
			continue
		}
		extended := append(kept[:len(kept):len(kept)], g)
		if err := capacity.Pack(guaranteesOf(extended)); err != nil {
			g.section.Faultf("", "zone %s: does not fit beside the guarantees before it: %v", zoneName, err)
			continue
		}
		kept = extended
	}
}
