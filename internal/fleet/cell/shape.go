package cell

import (
	"encoding/json"
	"fmt"
)

// Adjacency says how close together the members of a gang must stand.
type Adjacency string

// The adjacencies that a shape may ask for.
const (
	Any        Adjacency = "any"    // anywhere in one availability zone
	SameRack   Adjacency = "rack"   // all members in one rack
	SameWorker Adjacency = "worker" // all members on one worker
)

// MaxMembers is the largest gang that a shape may ask for.
const MaxMembers = 64

// MaxAccelerators is the largest number of accelerators of one worker.
const MaxAccelerators = 64

// Shape is what a gang asks for. The zero Shape asks for nothing and is not
// valid: make shapes with NewShape.
type Shape struct {
	members      int // at least 1, at most MaxMembers
	accelerators int // of each member, 0 or more
	cores        int // of each member, 0 or more
	memory       int // of each member in MB, 0 or more
	adjacency    Adjacency
}

// NewShape returns the shape of members members that each need the given
// accelerators, cores and memory in MB. It refuses a number of members outside
// 1 to MaxMembers, negative needs and an unknown adjacency. An empty adjacency
// means Any.
func NewShape(members, accelerators, cores, memory int, a Adjacency) (Shape, error) {
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

// Adjacency returns how close together the members must stand.
func (s Shape) Adjacency() Adjacency { return s.adjacency }

// Total returns the accelerators that all members need together.
func (s Shape) Total() int { return s.members * s.accelerators }

// String returns the shape as members x accelerators with its adjacency.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.members, s.accelerators, s.adjacency)
}

type shapeBody struct {
	Members      int       `json:"members"`
	Accelerators int       `json:"accelerators"`
	Cores        int       `json:"cores"`
	Memory       int       `json:"memory"`
	Adjacency    Adjacency `json:"adjacency"`
}

// MarshalJSON writes the shape for peers and the platform.
func (s Shape) MarshalJSON() ([]byte, error) {
	return json.Marshal(shapeBody{s.members, s.accelerators, s.cores, s.memory, s.adjacency})
}

// UnmarshalJSON reads a shape and refuses what NewShape refuses.
func (s *Shape) UnmarshalJSON(b []byte) error {
	var w shapeBody
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("shape: %w", err)
	}
	v, err := NewShape(w.Members, w.Accelerators, w.Cores, w.Memory, w.Adjacency)
	if err != nil {
		return err
	}
	*s = v
	return nil
}

// Of returns the shape with another number of members, at least 1.
func (s Shape) Of(members int) Shape {
	s.members = max(members, 1)
	return s
}

// Contains reports whether a gang of shape o stands within the cell of any
// gang of shape s: enough room on its workers, and close enough together.
func (s Shape) Contains(o Shape) bool {
	each := s.perMember(o)
	if each*s.members < o.members {
		return false
	}
	switch {
	case o.members == 1 || o.adjacency == Any || s.adjacency == SameWorker:
		return true
	case o.adjacency == SameRack:
		return s.adjacency == SameRack || each >= o.members
	default:
		return each >= o.members
	}
}

// perMember returns how many members of o stand in the room of one member of s.
func (s Shape) perMember(o Shape) int {
	n := MaxMembers
	if o.accelerators > 0 {
		n = min(n, s.accelerators/o.accelerators)
	}
	if o.cores > 0 {
		n = min(n, s.cores/o.cores)
	}
	if o.memory > 0 {
		n = min(n, s.memory/o.memory)
	}
	return n
}

// MembersFor returns how many members of s are needed to hold n members of o
// on one worker. Contains must be true.
func (s Shape) MembersFor(o Shape, n int) int {
	each := max(s.perMember(o), 1)
	return (n + each - 1) / each
}
