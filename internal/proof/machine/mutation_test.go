package machine

import (
	"testing"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// mutation takes guards out. The zero mutation takes none.
type mutation struct {
	skipClaims        bool // every claim counts as won
	guessClaims       bool // a claim that is not known counts as won
	skipTickets       bool // every ticket gives leave to every placer
	ignoreRefusals    bool // a refused hold counts as held
	ignoreStartErrors bool // a start that failed counts as acknowledged
	ignoreDeadline    bool // a start is sent after its stored deadline
	ignoreDigest      bool // a cut answer counts as whole
	ignoreLeaving     bool // a worker's leaving is not heard
	forgetVersion     bool // a host forgets the newest version that it had
}

func check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	seeded.Check(t, prop)
}
