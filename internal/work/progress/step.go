package progress

import (
	"cmp"
	"encoding/json"
	"errors"
	"math/big"
	"slices"
)

// Step is what is known of a step of one occurrence.
type Step struct {
	Done        *big.Int       // bit i: task i is done; nil: none
	FailedRuns  map[int][]int  // numbers of the runs that failed, by task; of a gang under 0
	Checkpoints map[int]string // checkpoint by task; of a gang under 0
	LastRuns    map[int]int    // highest number of a run, by task that is not done and of which no run may exist
	Placements  []Placement    // runs that may exist
}

// Placement is where a run of a task may exist.
type Placement struct {
	Task   int
	Target string // incarnation
	Run    int
}

// compare orders places by task and run.
func (p Placement) compare(o Placement) int {
	return cmp.Or(cmp.Compare(p.Task, o.Task), cmp.Compare(p.Run, o.Run), cmp.Compare(p.Target, o.Target))
}

// stepRow is a step in a row. Rows of wide steps are written again with each end, and
// are most of what a leader sends: so what is alike in many tasks stands there once.
type stepRow struct {
	Done     *big.Int         `json:"done,omitempty"`
	Failures map[int][]int    `json:"failures,omitempty"`
	Saved    map[int]string   `json:"saved,omitempty"`
	Runs     map[int]int      `json:"runs,omitempty"`
	Placed   map[string][]int `json:"on,omitempty"` // task and run in turn, by target
	Old      map[int]struct { // as earlier versions wrote it
		Target string `json:"target"`
		Run    int    `json:"run"`
	} `json:"placed,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (s *Step) MarshalJSON() ([]byte, error) {
	row := stepRow{Done: s.Done, Failures: s.FailedRuns, Saved: s.Checkpoints, Runs: s.LastRuns}
	if len(s.Placements) > 0 {
		row.Placed = make(map[string][]int, len(s.Placements))
	}
	for _, p := range s.Placements {
		row.Placed[p.Target] = append(row.Placed[p.Target], p.Task, p.Run)
	}
	return json.Marshal(row)
}

// errMalformedPlacements says that a list of tasks and runs is not one.
var errMalformedPlacements = errors.New("progress: places are not pairs of task and run")

// UnmarshalJSON implements json.Unmarshaler.
func (s *Step) UnmarshalJSON(b []byte) error {
	var row stepRow
	if err := json.Unmarshal(b, &row); err != nil {
		return err
	}
	*s = Step{Done: row.Done, FailedRuns: row.Failures, Checkpoints: row.Saved, LastRuns: row.Runs}
	for target, pairs := range row.Placed {
		if len(pairs)%2 != 0 {
			return errMalformedPlacements
		}
		for i := 0; i < len(pairs); i += 2 {
			s.Placements = append(s.Placements, Placement{Task: pairs[i], Target: target, Run: pairs[i+1]})
		}
	}
	for task, p := range row.Old {
		s.Placements = append(s.Placements, Placement{Task: task, Target: p.Target, Run: p.Run})
	}
	slices.SortFunc(s.Placements, Placement.compare)
	return nil
}
