package dispatcher

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// A start was decided and waits for its turn in the host while its zone is evacuated, or
// while the host ceases to hear of evacuations. It is not sent; one to another zone is,
// and so is every stop.
func TestStartIsWithheldFromAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	known := evacuation.Status{AsOf: now}.With("leon")
	line := &orderCounter{}
	o := newLeadership(rows.New(0), line, now, now)
	o.Dispatcher = New(rows.New(0), line, nil, dispatch.DefaultBounds(), logr.Discard(), WithClock(func() time.Time { return now }),
		WithEvacuations(func() evacuation.Status { return known }))
	o.term = leader.NewTerm(7, now)
	o.start(dispatch.Start{Zone: "leon"})
	is.Equal(line.starts, 0)
	o.start(dispatch.Start{Zone: "celaya"})
	is.Equal(line.starts, 1)
	known.AsOf = now.Add(-o.bounds.EvacuateTime)
	o.start(dispatch.Start{Zone: "celaya"})
	is.Equal(line.starts, 1)
	o.stop(dispatch.Stop{})
	is.Equal(line.stops, 1)
}
