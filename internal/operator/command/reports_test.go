package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/report/view"
)

// Operators see speeds where targets differ; where all are alike the table is as before.
func TestTargetsWithSpeeds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	printTargets(&out, []view.Target{{ID: "t1", State: "ready"}, {ID: "t2", State: "ready"}})
	is.True(!strings.Contains(out.String(), "SLOWNESS"))
	out.Reset()
	printTargets(&out, []view.Target{{ID: "t1", State: "ready", Slowness: 0.52}, {ID: "t2", State: "ready"}})
	lines := strings.Split(out.String(), "\n")
	is.True(strings.HasSuffix(lines[0], "SLOWNESS"))
	is.True(strings.HasSuffix(lines[1], "\t0.52"))
	is.True(strings.HasSuffix(lines[2], "\t-"))
}
