package shape

import "fmt"

// Adjacency says how close together the members of a gang must be placed.
type Adjacency string

// The adjacencies.
const (
	Any        Adjacency = "any"    // anywhere in one availability zone
	SameRack   Adjacency = "rack"   // all members in one rack
	SameWorker Adjacency = "worker" // all members on one worker
)

// MaxMembers is the largest number of members of a shape.
const MaxMembers = 64

// Guarantee is a client account's right to run Count gangs of a shape at once in an
// availability zone.
type Guarantee struct {
	Account string
	Shape   Shape
	Count   int // at least 1
}

// String returns the guarantee as ACCOUNT COUNTx(SHAPE).
func (g Guarantee) String() string { return fmt.Sprintf("%s %dx(%s)", g.Account, g.Count, g.Shape) }

// MaxAccelerators is the largest number of accelerators of one worker.
const MaxAccelerators = 64

// Shape is what a gang requests. The zero Shape is not valid; use New.
type Shape struct {
	members      int // at least 1, at most MaxMembers
	accelerators int // of each member, 0 or more
	cores        int // of each member, 0 or more
	memory       int // of each member in MB, 0 or more
	adjacency    Adjacency
}

// New returns the shape of a gang of the given number of members, each of which needs
// the accelerators, cores and memory in MB. It fails if there are not 1 to MaxMembers
// members, if a need is negative, if a member needs more than MaxAccelerators, or if the
// adjacency is unknown. An empty adjacency means Any.
func New(members, accelerators, cores, memory int, a Adjacency) (Shape, error) {
	if a == "" {
		a = Any
	}
	if members < 1 || members > MaxMembers {
		return Shape{}, fmt.Errorf("shape: members is %d, want 1 to %d", members, MaxMembers)
	}
	if accelerators < 0 || cores < 0 || memory < 0 {
		return Shape{}, fmt.Errorf("shape: negative need: accelerators %d, cores %d, memory %d", accelerators, cores, memory)
	}
	if accelerators > MaxAccelerators {
		return Shape{}, fmt.Errorf("shape: accelerators is %d for a member, want at most %d", accelerators, MaxAccelerators)
	}
	switch a {
	case Any, SameRack, SameWorker:
	default:
		return Shape{}, fmt.Errorf("shape: adjacency %q, want any, rack or worker", string(a))
	}
	return Shape{members: members, accelerators: accelerators, cores: cores, memory: memory, adjacency: a}, nil
}

// Members returns the number of members of the gang.
func (s Shape) Members() int { return s.members }

// Accelerators returns the accelerators that each member needs.
func (s Shape) Accelerators() int { return s.accelerators }

// Cores returns the cores that each member needs.
func (s Shape) Cores() int { return s.cores }

// Memory returns the memory in MB that each member needs.
func (s Shape) Memory() int { return s.memory }

// Adjacency returns how close together the members must be placed.
func (s Shape) Adjacency() Adjacency { return s.adjacency }

// Total returns the accelerators of all members together.
func (s Shape) Total() int { return s.members * s.accelerators }

// String returns the shape as MEMBERSxACCELERATORS/ADJACENCY, the accelerators those of
// each member.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.members, s.accelerators, s.adjacency)
}
