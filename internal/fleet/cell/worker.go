package cell

import "fmt"

// Worker is one target of the fleet. The zero Worker is not valid: make
// workers with NewWorker.
type Worker struct {
	id           string // unique in the fleet, never empty
	zone         string
	rack         string // unique in the zone
	accelerators int    // 0 to MaxAccelerators
	cores        int
	memory       int // MB
	slots        int // tasks that may run at once, at least 1
}

// NewWorker returns a worker. It refuses an empty id, negative sizes, more
// than MaxAccelerators accelerators and less than one slot.
func NewWorker(id, zone, rack string, accelerators, cores, memory, slots int) (Worker, error) {
	if id == "" {
		return Worker{}, fmt.Errorf("worker: empty id")
	}
	if accelerators < 0 || accelerators > MaxAccelerators || cores < 0 || memory < 0 || slots < 1 {
		return Worker{}, fmt.Errorf("worker %s: accelerators %d, cores %d, memory %d, slots %d: out of range", id, accelerators, cores, memory, slots)
	}
	return Worker{id: id, zone: zone, rack: rack, accelerators: accelerators, cores: cores, memory: memory, slots: slots}, nil
}

// ID returns the worker's name, unique in the fleet.
func (w Worker) ID() string { return w.id }

// Zone returns the availability zone the worker stands in.
func (w Worker) Zone() string { return w.zone }

// Rack returns the rack the worker stands in.
func (w Worker) Rack() string { return w.rack }

// Accelerators returns how many accelerators the worker has.
func (w Worker) Accelerators() int { return w.accelerators }

// Cores returns how many cores the worker has.
func (w Worker) Cores() int { return w.cores }

// Memory returns the worker's memory in MB.
func (w Worker) Memory() int { return w.memory }

// Slots returns how many tasks the worker runs at once.
func (w Worker) Slots() int { return w.slots }
