package view

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// JobStatus is the state of a job and the queue and account that it belongs to.
type JobStatus struct {
	State   progress.State `json:"state"`
	Queue   string         `json:"queue"`
	Account string         `json:"account,omitempty"` // empty on a public queue
	Reason  string         `json:"reason,omitempty"`  // why it failed
}

// Job is a job in a listing.
type Job struct {
	ID       graph.JobID    `json:"id"`
	Queue    string         `json:"queue"`
	Account  string         `json:"account,omitempty"`
	Priority int            `json:"priority"`
	State    progress.State `json:"state"`
	Reason   string         `json:"reason,omitempty"` // why it failed
	Accepted time.Time      `json:"accepted"`
	Ended    time.Time      `json:"ended,omitzero"`
	Tasks    int            `json:"tasks"` // of the occurrences that have started
	Done     int            `json:"done"`  // of Tasks
	Runs     int            `json:"runs"`  // on targets now
}

// Decision is one decision about a job.
type Decision struct {
	At      time.Time `json:"at"`
	Message string    `json:"what"`
	Inputs  string    `json:"with,omitempty"` // as key=value
}

// Stage is a part of the time from a job's acceptance until its end was visible.
type Stage struct {
	Name string `json:"stage"`
	MS   int64  `json:"ms"`
}

// History is a job with the decisions about it, oldest first. A leader has only the
// decisions of its own term.
type History struct {
	Job       Job        `json:"job"`
	Term      int64      `json:"term"`
	Stages    []Stage    `json:"stages,omitempty"` // of a completed job, all of them, in their order
	Decisions []Decision `json:"lines"`
}

// Target is the leader's view of a target.
type Target struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Service      string `json:"service"`
	Accelerators int    `json:"accelerators"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Free         int    `json:"free"` // accelerators
	Runs         int    `json:"runs"`
	// Slowness is how many times longer runs are expected to take there than on the median target of
	// the service; 0 if it counts as alike.
	Slowness float64 `json:"slowness,omitempty"`
	State    string  `json:"state"` // ready, unheld, silent, draining, evacuated, stale, doubted, unlisted
}

// Zone is the leader's view of an availability zone.
type Zone struct {
	Name         string `json:"name"`
	Evacuated    bool   `json:"evacuated"`
	Targets      int    `json:"targets"`
	Accelerators int    `json:"accelerators"`
	Free         int    `json:"free"` // accelerators
	Runs         int    `json:"runs"`
}

// Account is a client account with its guarantee and its demand.
type Account struct {
	Name       string `json:"name"`
	Guaranteed int    `json:"guaranteed"` // accelerators for urgent work
	Wanted     int    `json:"wanted"`     // by its open urgent jobs
}

// LostWork is work that was lost since runs ended otherwise than as done.
type LostWork struct {
	Cause       string `json:"cause"`
	Priority    int    `json:"priority"`    // 3 stands for all from 3 on
	CoreSeconds int64  `json:"coreSeconds"` // an accelerator counts as eight cores
}

// Fleet is the leader's view of targets, zones and accounts.
type Fleet struct {
	Leader       string    `json:"leader"` // address for peers
	Term         int64     `json:"term"`
	PendingSteps int       `json:"waiting"` // steps with tasks to start
	Zones        []Zone    `json:"zones"`   // by name
	Targets      []Target  `json:"targets"`
	Accounts     []Account `json:"accounts"`
	// Guaranteed is the total of accelerators guaranteed to accounts, Usable the total on
	// targets that may get work. Guarantees can be met if Guaranteed is at most Usable.
	Guaranteed int `json:"guaranteed"`
	Usable     int `json:"usable"`
	// LostWork is what was lost in this term.
	LostWork []LostWork `json:"lostWork,omitempty"`
}

// InForce is the configuration version that a host has in force, with the host's state.
type InForce struct {
	Host    string  `json:"host"` // address for peers
	Version int64   `json:"version"`
	Leads   bool    `json:"leads"`
	StoreUp bool    `json:"storeUp"`         // the store is available to the host
	Cores   float64 `json:"power,omitempty"` // of the host
}

// SortInForce sorts the hosts' versions in force by host address, in place.
func SortInForce(list []InForce) {
	slices.SortFunc(list, func(a, b InForce) int { return cmp.Compare(a.Host, b.Host) })
}
