package cell

import "math/bits"

// Grant gives one member of a gang its place on a worker.
type Grant struct {
	Member       int    `json:"member"`       // 0 to Members-1
	Worker       string `json:"worker"`       // the worker's id
	Accelerators uint64 `json:"accelerators"` // bit i set: accelerator i
}

// Count returns how many accelerators the grant holds.
func (g Grant) Count() int { return bits.OnesCount64(g.Accelerators) }

// Assignment is the place of a whole gang, a grant for each member in the
// order of the members. A nil Assignment is no place at all.
type Assignment []Grant

// Workers returns the ids of the workers that hold a member, each once, in
// the order of the members.
func (a Assignment) Workers() []string {
	seen := make(map[string]bool, len(a))
	var ids []string
	for _, g := range a {
		if seen[g.Worker] {
			continue
		}
		seen[g.Worker] = true
		ids = append(ids, g.Worker)
	}
	return ids
}

// On returns the grants on one worker, nil if there are none.
func (a Assignment) On(worker string) []Grant {
	var grants []Grant
	for _, g := range a {
		if g.Worker == worker {
			grants = append(grants, g)
		}
	}
	return grants
}
