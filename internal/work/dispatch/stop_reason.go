package dispatch

import (
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// stopKind is what a run is stopped or given up for.
type stopKind int

// The kinds. Those that begin with member end a run with another member of its gang.
const (
	stopNone stopKind = iota
	stopPreempted
	stopSlow
	stopStalled
	stopDraining    // it would outlast its draining target
	stopTargetDrain // of a long-running task
	stopTaskDone
	stopGangDone
	stopJobEnded
	stopGangEnded
	stopUnknown
	stopDoneBefore
	stopElsewhere
	stopNotDue
	stopEvacuated
	stopRestarted
	stopOtherFound
	stopSilent
	stopNoStarts
	stopRefusedLater
	stopRowRefused
	stopUnanswered
	stopRestartedUnanswered
	stopMemberMoved   // the kind of the other member stands in origin
	stopMemberGivenUp // the same
	stopMemberNoStarts
	stopMemberRefused
	stopMemberUnanswered
	stopMemberUnreached
	stopMemberMissing
	stopMemberLost
	stopMemberRestarted
)

// stopTexts are the kinds as they stand in log lines.
var stopTexts = [...]string{
	stopNone:                "",
	stopPreempted:           "preempted",
	stopSlow:                "it runs slowly",
	stopStalled:             "it stalled",
	stopDraining:            "it would outlast its draining target",
	stopTargetDrain:         "its target drains",
	stopTaskDone:            "another run of its task is done",
	stopGangDone:            "another run of its gang is done",
	stopJobEnded:            "its job has ended",
	stopGangEnded:           "its gang has ended",
	stopUnknown:             "its job or task is not known",
	stopDoneBefore:          "its task is done",
	stopElsewhere:           "its task runs elsewhere",
	stopNotDue:              "its step is not due",
	stopEvacuated:           "its zone is evacuated",
	stopRestarted:           "its target has started again",
	stopOtherFound:          "another run of its task was found",
	stopSilent:              "its target does not answer",
	stopNoStarts:            "its target accepts no starts, does not answer, has less capacity now or an unknown clock",
	stopRefusedLater:        "refused after an unanswered start",
	stopRowRefused:          "the store refuses its job's progress row",
	stopUnanswered:          "start not answered",
	stopRestartedUnanswered: "its target started again before a start was answered",
	stopMemberMoved:         "another member",
	stopMemberGivenUp:       "a member was given up",
	stopMemberNoStarts:      "a member's target accepts no starts, does not answer, has less capacity now or an unknown clock",
	stopMemberRefused:       "a member was refused",
	stopMemberUnanswered:    "a member's start was not answered",
	stopMemberUnreached:     "a member's target was not reached",
	stopMemberMissing:       "a member is missing on its target",
	stopMemberLost:          "a member's target was lost before it began",
	stopMemberRestarted:     "a member's target started again",
}

// stopReason is why a run is stopped or given up.
type stopReason struct {
	kind   stopKind
	origin stopKind     // of the other member, with stopMemberMoved and stopMemberGivenUp
	step   graph.StepID // for which it is preempted, with stopPreempted
}

// stopFor returns a reason of a kind that needs no more.
func stopFor(k stopKind) stopReason { return stopReason{kind: k} }

// preemptedFor returns the reason of a run that is preempted for a step.
func preemptedFor(s graph.StepID) stopReason { return stopReason{kind: stopPreempted, step: s} }

// withMember returns the reason for the other members of a gang of which one ends for r.
func (r stopReason) withMember(k stopKind) stopReason { return stopReason{kind: k, origin: r.kind} }

// String returns the reason as it stands in log lines; empty: there is none.
func (r stopReason) String() string {
	switch r.kind {
	case stopPreempted:
		return stopTexts[r.kind] + " for " + r.step.String()
	case stopMemberMoved, stopMemberGivenUp:
		return stopTexts[r.kind] + ": " + stopTexts[r.origin]
	}
	return stopTexts[r.kind]
}

// cause returns the cause that the stop of a run is counted under.
func (r stopReason) cause() stages.Cause {
	switch r.kind {
	case stopPreempted:
		return stages.Preempted
	case stopSlow:
		return stages.Slow
	case stopStalled:
		return stages.Stalled
	case stopDraining, stopTargetDrain:
		return stages.Draining
	case stopRefusedLater:
		return stages.Refused
	case stopUnanswered, stopRestartedUnanswered:
		return stages.Lost
	case stopTaskDone, stopGangDone, stopJobEnded, stopGangEnded, stopDoneBefore:
		return stages.JobEnded
	}
	if r.kind >= stopMemberMoved {
		return stages.Gang
	}
	return stages.Other
}
