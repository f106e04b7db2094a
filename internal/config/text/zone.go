package text

import (
	"fmt"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// mostWorkers bounds the workers of one zone that a text may describe.
const mostWorkers = 1024

// zone is an availability zone as the text describes it: equal workers, spread
// evenly over its racks. It is used to check the text only; what is really
// there is known from the platform.
type zone struct {
	name    string
	workers []shape.Worker
}

func (r *reader) zone(name string, at *document.Section) {
	at.Require("workers")
	workers := at.Int("workers", 0, 1, mostWorkers)
	racks := at.Int("racks", 1, 1, mostWorkers)
	accelerators := at.Int("acceleratorsPerWorker", 0, 0, shape.MaxAccelerators)
	cores := at.Int("cores", 1, 1, 1<<16)
	memory := at.Int("memory", 1024, 1, 1<<30)
	slots := at.Int("slots", 8, 1, 1<<16)
	if !named(at, name) {
		return
	}
	if workers > 0 && racks > workers {
		at.Faultf("racks", "%d racks for %d workers; each rack needs one", racks, workers)
	}
	z := &zone{name: name}
	for i := range workers {
		z.workers = append(z.workers, shape.Worker{
			Rack: fmt.Sprintf("%s-r%05d", name, i*racks/workers), Accelerators: accelerators, Cores: cores, Memory: memory, Slots: slots,
		})
	}
	r.zones[name] = z
}

// fits checks that each job fits in some zone and that the guarantees of each
// zone can be packed at once. It needs every zone to be described.
func (r *reader) fits() {
	rooms := map[string]*shape.Zone{}
	for name, z := range r.zones {
		if len(z.workers) == 0 {
			return // its section is at fault already
		}
		rooms[name] = shape.NewZone(z.workers)
	}
	if len(rooms) == 0 {
		return
	}
	known := map[shape.Shape]error{}
	for _, at := range r.jobs {
		asked := r.shapeOf(at)
		err, ok := known[asked]
		if !ok {
			err = fitsAny(asked, rooms)
			known[asked] = err
		}
		if err != nil {
			at.Faultf("", "can run in none of the described zones: %v", err)
		}
	}
	r.packs(rooms)
}

// shapeOf returns the shape of the job that a section described.
func (r *reader) shapeOf(at *document.Section) shape.Shape {
	owner, name, _ := strings.Cut(strings.TrimPrefix(at.Name(), "job "), ".")
	return r.config.services[owner].kinds[name].shape
}

// fitsAny returns why a shape fits in none of the zones, nil if it fits in one.
func fitsAny(s shape.Shape, rooms map[string]*shape.Zone) error {
	var last error
	for _, zone := range sortedKeys(rooms) {
		if last = rooms[zone].CheckFit(s); last == nil {
			return nil
		}
	}
	return last
}

// packs checks the guarantees of each zone.
func (r *reader) packs(rooms map[string]*shape.Zone) {
	byZone := map[string][]promise{}
	for _, p := range r.guarantees {
		for _, name := range p.zones {
			if _, ok := rooms[name]; !ok {
				p.at.Faultf("zones", "zone %q is not described; add [zone %s]", name, name)
				continue
			}
			byZone[name] = append(byZone[name], p)
		}
	}
	for _, name := range sortedKeys(byZone) {
		// All at once first: a sound text of the size to design for is checked
		// by each host with each version, and one by one takes seconds.
		if rooms[name].Pack(valuesOf(byZone[name])) != nil {
			packOneByOne(name, rooms[name], byZone[name])
		}
	}
}

func valuesOf(ps []promise) []shape.Guarantee {
	gs := make([]shape.Guarantee, 0, len(ps))
	for _, p := range ps {
		gs = append(gs, p.value)
	}
	return gs
}

// packOneByOne notes a fault for each guarantee that cannot be kept beside those
// before it that can.
func packOneByOne(zone string, room *shape.Zone, ps []promise) {
	var kept []promise
	for _, p := range ps {
		if err := room.CheckFit(p.value.Shape); err != nil {
			p.at.Faultf("", "zone %s: %v", zone, err)
			continue
		}
		with := append(kept[:len(kept):len(kept)], p)
		if err := room.Pack(valuesOf(with)); err != nil {
			p.at.Faultf("", "zone %s: cannot be kept beside the guarantees before it: %v", zone, err)
			continue
		}
		kept = with
	}
}
