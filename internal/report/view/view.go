package view

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// JobStatus is what a client is told of a job, with whose job it is.
type JobStatus struct {
	State   progress.State `json:"state"`
	Queue   string         `json:"queue"`
	Account string         `json:"account,omitempty"` // empty on a public queue
}

// Job is a job as it is listed.
type Job struct {
	ID       graph.JobID    `json:"id"`
	Queue    string         `json:"queue"`
	Account  string         `json:"account,omitempty"`
	Priority int            `json:"priority"`
	State    progress.State `json:"state"`
	Accepted time.Time      `json:"accepted"`
	Ended    time.Time      `json:"ended,omitzero"`
	Tasks    int            `json:"tasks"` // of the occurrences that have begun
	Done     int            `json:"done"`  // of these
	Runs     int            `json:"runs"`  // that are on targets now
}

// Decision is one decision about a job.
type Decision struct {
	At   time.Time `json:"at"`
	What string    `json:"what"`
	With string    `json:"with,omitempty"` // the inputs that decided it, as key=value
}

// History is a job with what was decided about it, oldest first. A leader knows what
// was decided in its own term.
type History struct {
	Job       Job        `json:"job"`
	Term      int64      `json:"term"`
	Decisions []Decision `json:"lines"`
}

// Target is a target as the leader sees it.
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
	State        string `json:"state"` // ready, unheld, silent, draining, evacuated, doubted, unlisted
}

// Zone is an availability zone as the leader sees it.
type Zone struct {
	Name         string `json:"name"`
	Evacuated    bool   `json:"evacuated"`
	Targets      int    `json:"targets"`
	Accelerators int    `json:"accelerators"`
	Free         int    `json:"free"` // accelerators
	Runs         int    `json:"runs"`
}

// Account is a client account with its guarantee.
type Account struct {
	Name       string `json:"name"`
	Guaranteed int    `json:"guaranteed"` // accelerators for urgent work
	Wanted     int    `json:"wanted"`     // by its open urgent jobs
}

// Fleet is what the leader holds.
type Fleet struct {
	Leader   string    `json:"leader"` // address for peers
	Term     int64     `json:"term"`
	Waiting  int       `json:"waiting"` // steps with tasks to start
	Zones    []Zone    `json:"zones"`   // by name
	Targets  []Target  `json:"targets"`
	Accounts []Account `json:"accounts"`
	// Guaranteed and Usable are accelerators: guaranteed to all accounts together, and
	// on targets that may get work. Guarantees can be met if the first is not larger.
	Guaranteed int `json:"guaranteed"`
	Usable     int `json:"usable"`
}

// InForce is what a host has in force.
type InForce struct {
	Host    string  `json:"host"` // address for peers
	Version int64   `json:"version"`
	Leads   bool    `json:"leads"`
	StoreUp bool    `json:"storeUp"` // the store serves the host
	Cores   float64 `json:"power,omitempty"`
}

// SortInForce sorts by host.
func SortInForce(list []InForce) {
	slices.SortFunc(list, func(a, b InForce) int { return cmp.Compare(a.Host, b.Host) })
}
