package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Operators and the pages search logs for the texts of the reasons. Guards against a kind without
// a text, two with the same, and a text that has changed.
func TestStopReasonTexts(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for k := stopNone; k <= stopMemberRestarted; k++ {
		text := stopFor(k).String()
		is.True(text != "" || k == stopNone)
		is.True(!seen[text])
		seen[text] = true
	}
	id := graph.StepID{Job: "00000000000000aa", Step: 2}
	is.Equal(preemptedFor(id).String(), "preempted for 00000000000000aa.0.2")
	is.Equal(stopFor(stopSlow).withMember(stopMemberMoved).String(), "another member: it runs slowly")
	is.Equal(stopFor(stopEvacuated).withMember(stopMemberGivenUp).String(), "a member was given up: its zone is evacuated")
	is.Equal(stopFor(stopDraining).String(), "it would outlast its draining target")
}
