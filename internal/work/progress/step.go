package progress

import (
	"cmp"
	"encoding/json"
	"errors"
	"math/big"
	"slices"

	"guavaglade.example/guavaglade/internal/work/crashloop"
)

// Step is the progress of a step of one occurrence.
type Step struct {
	Done        *big.Int       // bit i: task i is done; nil: none
	FailedRuns  map[int][]int  // numbers of the failed runs, by task; a gang's under 0
	Checkpoints map[int]string // latest checkpoint, by task; a gang's under 0
	LastRuns    map[int]int    // highest run number, by task, of tasks that are not done and have no placement
	Placements  []Placement    // runs that may exist
	// Losses are the targets that were lost under runs of a task, by task, oldest first.
	Losses map[int][]crashloop.Loss
}

// Placement names a target on which a run of a task may exist.
type Placement struct {
	Task   int
	Target string // its incarnation, as the leader names it
	Run    int
}

// compare orders placements by task, run and target.
func (p Placement) compare(o Placement) int {
	return cmp.Or(cmp.Compare(p.Task, o.Task), cmp.Compare(p.Run, o.Run), cmp.Compare(p.Target, o.Target))
}

// stepRow is the encoded form of a step. The row of a step is rewritten each time one
// of its tasks ends, and the rows of wide steps are most of what a leader sends: they
// hold the name of a target once, not once for each of its tasks.
type stepRow struct {
	Done        *big.Int                 `json:"done,omitempty"`
	FailedRuns  map[int][]int            `json:"failures,omitempty"`
	Checkpoints map[int]string           `json:"saved,omitempty"`
	LastRuns    map[int]int              `json:"runs,omitempty"`
	Losses      map[int][]crashloop.Loss `json:"losses,omitempty"`
	Placements  map[string][]int         `json:"on,omitempty"` // alternating task indexes and run numbers, by target
	Legacy      map[int]struct {         // placements by task, as earlier versions wrote them
		Target string `json:"target"`
		Run    int    `json:"run"`
	} `json:"placed,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (s *Step) MarshalJSON() ([]byte, error) {
	row := stepRow{Done: s.Done, FailedRuns: s.FailedRuns, Checkpoints: s.Checkpoints, LastRuns: s.LastRuns, Losses: s.Losses}
	if len(s.Placements) > 0 {
		row.Placements = make(map[string][]int, len(s.Placements))
	}
	for _, p := range s.Placements {
		row.Placements[p.Target] = append(row.Placements[p.Target], p.Task, p.Run)
	}
	return json.Marshal(row)
}

// errMalformedPlacements means that a list of tasks and runs has an odd length.
var errMalformedPlacements = errors.New("progress: placements are not pairs of task and run")

// UnmarshalJSON implements json.Unmarshaler. It also reads the placements of rows that
// earlier versions wrote, and sorts all placements.
func (s *Step) UnmarshalJSON(b []byte) error {
	var row stepRow
	if err := json.Unmarshal(b, &row); err != nil {
		return err
	}
	*s = Step{Done: row.Done, FailedRuns: row.FailedRuns, Checkpoints: row.Checkpoints, LastRuns: row.LastRuns, Losses: row.Losses}
	for target, pairs := range row.Placements {
		if len(pairs)%2 != 0 {
			return errMalformedPlacements
		}
		for i := 0; i < len(pairs); i += 2 {
			s.Placements = append(s.Placements, Placement{Task: pairs[i], Target: target, Run: pairs[i+1]})
		}
	}
	for task, p := range row.Legacy {
		s.Placements = append(s.Placements, Placement{Task: task, Target: p.Target, Run: p.Run})
	}
	slices.SortFunc(s.Placements, Placement.compare)
	return nil
}
