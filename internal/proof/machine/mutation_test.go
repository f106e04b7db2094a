package machine

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// mutation takes guards out. The zero mutation takes none.
type mutation struct {
	skipClaims        bool // every claim counts as won
	guessClaims       bool // a claim that is not known counts as won
	skipTickets       bool // every ticket gives leave to every placer
	ignoreRefusals    bool // a refused or unanswered hold counts as held
	ignoreStartErrors bool // a start that failed counts as acknowledged
	ignoreDeadline    bool // a start is sent after its stored deadline
	ignoreDigest      bool // a cut answer counts as whole
	ignoreSender      bool // a report crossed with another worker's counts
	ignoreLeaving     bool // a worker's leaving is not heard
	trustAnyRefusal   bool // a refusal counts whichever placer it is from
	forgetVersion     bool // a host forgets the newest version that it had
	ignoreBase        bool // a change is written whatever it was based on
	giveOnce          bool // an entry does not give a job again
}

// mutants lists each mutation with the invariant that it breaks and the seed of
// the first case that shows it, counted from 0. Later changes may move the case
// by some; within reach cases from the seed it must be caught.
var mutants = []struct {
	name      string
	mutation  mutation
	invariant string
	seed      int
}{
	{"skipClaims", mutation{skipClaims: true}, "atMostOnce", 0},
	{"guessClaims", mutation{guessClaims: true}, "atMostOnce", 0},
	{"skipTickets", mutation{skipTickets: true}, "atMostOnce", 0},
	{"ignoreRefusals", mutation{ignoreRefusals: true}, "partlyHeld", 0},
	{"ignoreStartErrors", mutation{ignoreStartErrors: true}, "partlyStarted", 0},
	{"ignoreDeadline", mutation{ignoreDeadline: true}, "lateStart", 0},
	{"ignoreDigest", mutation{ignoreDigest: true}, "wholeAnswer", 0},
	{"ignoreSender", mutation{ignoreSender: true}, "wholeAnswer", 0},
	{"ignoreLeaving", mutation{ignoreLeaving: true}, "leaving", 0},
	{"trustAnyRefusal", mutation{trustAnyRefusal: true}, "notRun", 0},
	{"forgetVersion", mutation{forgetVersion: true}, "versionFalls", 0},
	{"ignoreBase", mutation{ignoreBase: true}, "changeBase", 0},
	{"giveOnce", mutation{giveOnce: true}, "liveness", 0},
}

const reach = 400

// Each guard of the list is taken out alone. The machine must then find the
// broken promise; if it does not, the machine and not the guard is at fault.
func TestEachMutationIsCaught(t *testing.T) {
	scripts := rapid.Custom(drawScript)
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := m.seed; seed < m.seed+reach; seed++ {
				s := scripts.Example(seed)
				broken := play(s, m.mutation, nil)
				if broken == nil || !strings.HasPrefix(broken[0], m.invariant) {
					continue
				}
				t.Logf("seed %d: %s", seed, broken[0])
				if whole := play(s, mutation{}, nil); whole != nil {
					t.Fatalf("seed %d breaks without the mutation too: %s", seed, whole[0])
				}
				return
			}
			t.Fatalf("not caught in %d cases from seed %d", reach, m.seed)
		})
	}
}
