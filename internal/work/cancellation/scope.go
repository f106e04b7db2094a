package cancellation

import "guavaglade.example/guavaglade/internal/work/graph"

// Scope says which jobs of an id a cancellation covers. It does not reach beyond what its caller
// may cancel, so a job of another account under the same id is not touched. Scopes are comparable.
type Scope struct {
	account string // jobs of this account, and those of no account; not used with a queue or all
	queue   string // jobs of this queue, whatever their account; empty: no queue
	all     bool   // every job
}

// Account returns the scope of a client account: its jobs, and jobs without an account, which are
// open to everybody.
func Account(name string) Scope { return Scope{account: name} }

// Queue returns the scope of a queue whose requests need no key: its jobs.
func Queue(name string) Scope { return Scope{queue: name} }

// All returns the scope of an operator: the jobs of every account.
func All() Scope { return Scope{all: true} }

// Covers reports whether a job is in the scope.
func (s Scope) Covers(j *graph.Job) bool {
	switch {
	case s.all:
		return true
	case s.queue != "":
		return j.Queue == s.queue
	}
	return j.Account == s.account || j.Account == ""
}
