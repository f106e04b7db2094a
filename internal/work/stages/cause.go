package stages

import "strconv"

// Cause is why a run ended otherwise than as done.
type Cause int8

// The causes.
const (
	None      Cause = iota // it has not, or that is not known yet
	Preempted              // more urgent work got its capacity
	Slow                   // it was slow, and moved
	Stalled                // it made no progress
	Draining               // its target drains
	Failed                 // it failed
	Gang                   // another member of its gang ended
	Lapsed                 // its lease lapsed on the target
	Lost                   // its target was lost, has no such run or did not answer
	Refused                // its target refused the start
	JobEnded               // its job or task had ended
	Other                  // none of these
)

// CauseCount is the number of causes, None included.
const CauseCount = int(Other) + 1

var causeNames = [CauseCount]string{"none", "preempted", "slow", "stalled", "draining", "failed", "gang", "lapsed", "lost", "refused", "jobEnded", "other"}

// String returns the name of the cause as it stands in metrics, log lines and views.
func (c Cause) String() string {
	if c < 0 || int(c) >= CauseCount {
		return strconv.Itoa(int(c))
	}
	return causeNames[c]
}

// Causes returns all causes but None.
func Causes() []Cause {
	var list []Cause
	for c := None + 1; int(c) < CauseCount; c++ {
		list = append(list, c)
	}
	return list
}
