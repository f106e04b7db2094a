package cancellation

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Limits of a Set.
const (
	MaxEntries  = 128      // of all scopes
	MaxPerScope = 16       // of one scope, so that one account cannot use up the set
	MaxBytes    = 32 << 10 // encoded: half of the platform's largest row
)

// ErrFull is returned if a set has no place for another cancellation of a scope now.
var ErrFull = errors.New("too many cancellations of jobs that are not stored")

// Set holds cancellations. The zero value is empty. It is immutable.
type Set struct {
	entries []entry // at most MaxEntries, with at most one for each id and scope
}

// entry is one cancellation.
type entry struct {
	job      graph.JobID
	scope    Scope
	deadline int64 // until which it holds, in milliseconds on the store's clock
}

// Covers returns the latest deadline of the cancellations that cover a job, which may be over, and
// whether there is one.
func (s Set) Covers(j *graph.Job) (deadline int64, ok bool) {
	return s.latest(func(e entry) bool { return e.job == j.ID && e.scope.Covers(j) })
}

// Deadline returns the deadline of the cancellation of an id for a scope, which may be over, and
// whether there is one.
func (s Set) Deadline(id graph.JobID, scope Scope) (deadline int64, ok bool) {
	return s.latest(func(e entry) bool { return e.job == id && e.scope == scope })
}

// latest returns the latest deadline of the entries that match, and whether one does.
func (s Set) latest(matches func(entry) bool) (deadline int64, ok bool) {
	for _, e := range s.entries {
		if matches(e) {
			deadline, ok = max(deadline, e.deadline), true
		}
	}
	return deadline, ok
}

// Len returns the number of cancellations.
func (s Set) Len() int { return len(s.entries) }

// Unexpired returns the set without the cancellations whose deadline is over at now, in
// milliseconds on the store's clock. No deadline is later than latest afterwards: the store's clock
// may have begun anew.
func (s Set) Unexpired(now, latest int64) Set {
	list := make([]entry, 0, len(s.entries))
	for _, e := range s.entries {
		if e.deadline > now {
			e.deadline = min(e.deadline, latest)
			list = append(list, e)
		}
	}
	return Set{entries: list}
}

// With returns the unexpired cancellations of the set and one more, with a deadline. One of the
// same job and scope is replaced. The error wraps ErrFull.
func (s Set) With(id graph.JobID, scope Scope, now, deadline int64) (Set, error) {
	next := s.Unexpired(now, deadline)
	next.entries = slices.DeleteFunc(next.entries, func(e entry) bool { return e.job == id && e.scope == scope })
	ofScope := 0
	for _, e := range next.entries {
		if e.scope == scope {
			ofScope++
		}
	}
	if ofScope >= MaxPerScope || len(next.entries) >= MaxEntries {
		return Set{}, fmt.Errorf("%w: %d held, %d of this caller", ErrFull, len(next.entries), ofScope)
	}
	next.entries = append(next.entries, entry{job: id, scope: scope, deadline: deadline})
	if size := len(next.Encode()); size > MaxBytes {
		return Set{}, fmt.Errorf("%w: %d bytes", ErrFull, size)
	}
	return next, nil
}

// wireEntry is an entry in its encoded form.
type wireEntry struct {
	Job      graph.JobID `json:"job"`
	Account  string      `json:"account,omitempty"`
	Queue    string      `json:"queue,omitempty"`
	All      bool        `json:"all,omitempty"`
	Deadline int64       `json:"deadline"`
}

// Encode returns the value of the set's row.
func (s Set) Encode() []byte {
	list := make([]wireEntry, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, wireEntry{Job: e.job, Account: e.scope.account, Queue: e.scope.queue, All: e.scope.all, Deadline: e.deadline})
	}
	b, _ := json.Marshal(list) // strings, numbers and flags always marshal
	return b
}

// Decode returns the set in the value of a row.
func Decode(value []byte) (Set, error) {
	var list []wireEntry
	if err := json.Unmarshal(value, &list); err != nil {
		return Set{}, fmt.Errorf("decode cancellations: %w", err)
	}
	s := Set{}
	for _, w := range list {
		s.entries = append(s.entries, entry{job: w.Job, scope: Scope{account: w.Account, queue: w.Queue, all: w.All}, deadline: w.Deadline})
	}
	return s, nil
}
