package machine

import (
	"strings"
	"testing"
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

// Faults that last for the whole case, for mutations that show seldom.
var (
	noisy = fault{kind: noisyNet, at: 500, lasts: 40000}
	loses = fault{kind: platformLoses, at: 500, lasts: 40000}
)

// mutants lists each mutation with the invariant that it breaks, the seed of the
// first case that shows it, counted from 0, and what is added to the case.
// Later changes may move the case by some; it must be caught within reach cases
// from the seed.
var mutants = []struct {
	name      string
	mutation  mutation
	invariant string
	seed      int
	with      []fault
}{
	{"skipClaims", mutation{skipClaims: true}, "atMostOnce", 27, nil},
	{"guessClaims", mutation{guessClaims: true}, "atMostOnce", 3338, []fault{loses}},
	{"skipTickets", mutation{skipTickets: true}, "atMostOnce", 1077, nil},
	{"ignoreRefusals", mutation{ignoreRefusals: true}, "partlyHeld", 23, nil},
	{"ignoreStartErrors", mutation{ignoreStartErrors: true}, "partlyStarted", 0, []fault{noisy}},
	{"ignoreDeadline", mutation{ignoreDeadline: true}, "lateStart", 121, []fault{noisy, noisy, noisy}},
	{"ignoreDigest", mutation{ignoreDigest: true}, "wholeAnswer", 183, nil},
	{"ignoreSender", mutation{ignoreSender: true}, "wholeAnswer", 134, []fault{noisy, noisy}},
	{"ignoreLeaving", mutation{ignoreLeaving: true}, "leaving", 9, nil},
	{"trustAnyRefusal", mutation{trustAnyRefusal: true}, "notRun", 6, nil},
	{"forgetVersion", mutation{forgetVersion: true}, "versionFalls", 5, nil},
	{"ignoreBase", mutation{ignoreBase: true}, "changeBase", 5, nil},
	{"giveOnce", mutation{giveOnce: true}, "liveness", 10, nil},
}

const reach = 100

// Each guard of the list is taken out alone. The machine must then find the
// broken promise; if it does not, the machine and not the guard is at fault.
func TestEachMutationIsCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run("guard="+m.name, func(t *testing.T) {
			t.Parallel()
			for seed := m.seed; seed < m.seed+reach; seed++ {
				s := scripts.Example(seed)
				s.faults = append(s.faults, m.with...)
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
