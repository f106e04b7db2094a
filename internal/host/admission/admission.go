package admission

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/work/job"
)

// Class orders jobs by how late they are shed.
type Class int

// The classes, the first one shed first.
const (
	Ordinary Class = iota
	Guaranteed
	Urgent
)

// share is the part of the limit up to which a class is taken.
var share = map[Class]float64{Ordinary: 0.8, Guaranteed: 0.95, Urgent: 1}

// ComeBack is how long a shed caller is asked to wait.
const ComeBack = 2 * time.Second

// ClassOf returns the class of a job.
func ClassOf(j job.Job) Class {
	switch {
	case j.Urgent():
		return Urgent
	case j.Guaranteed():
		return Guaranteed
	default:
		return Ordinary
	}
}

// Gate takes jobs up to a limit of open ones. Make it with New.
type Gate struct {
	limit int // open jobs, at least 1
}

// New returns a gate. It refuses a limit below 1.
func New(limit int) (Gate, error) {
	if limit < 1 {
		return Gate{}, fmt.Errorf("admission: limit is %d open jobs, want at least 1", limit)
	}
	return Gate{limit: limit}, nil
}

// Takes reports whether a job of the class is taken while open jobs are held.
func (g Gate) Takes(c Class, open int) bool {
	return float64(open) < float64(g.limit)*share[c]
}
