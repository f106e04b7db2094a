package dispatcher

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// The configuration switches headroom of a service on and off while the term lasts, and the gauge
// shows how much is kept. Guards against a switch that takes effect at the next takeover only.
func TestConfigurationSwitchesHeadroom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := newLeadership(rows.New(0), &orderCounter{}, now, now)
	scope := tally.NewTestScope("", nil)
	l.metrics = scope
	bounds := dispatch.DefaultBounds()
	bounds.MaxStopTime = 900 * time.Millisecond
	l.machine = dispatch.New(7, bounds)
	l.machine.UpdateTargets([]roster.Target{{ID: "t", Service: "s", Capacity: graph.Resources{CPU: 640000, MemoryMB: 2000000, Accelerators: 800}}}, now, now)
	for n := range 8 {
		l.machine.Accept(&graph.Job{
			ID: graph.JobID("000000000000000" + string(rune('0'+n))), Service: "s", MaxAttempts: 1, SlackFactor: 1, AcceptedAt: now.UnixMilli(),
			Steps: []graph.Step{{Count: 2, Gang: true, Needs: graph.Resources{CPU: 4000, MemoryMB: 1000, Accelerators: 8}, Estimate: time.Second}},
		}, now)
	}
	version := int64(0)
	l.keeper = catalog.NewKeeper(func(stored []byte) (*catalog.Catalog, error) {
		version++
		return catalog.New(version, nil, nil, []catalog.Service{{Name: "s", Headroom: string(stored) == "on"}}, catalog.Limits{}), nil
	})
	for _, c := range []struct {
		stored string
		kept   float64
	}{{"off", 0}, {"on", 71}, {"off", 0}} { // 8 gangs of 16 in 4 s: 1.8 in 900 ms, and two deviations
		_, err := l.keeper.Offer([]byte(c.stored))
		is.NoErr(err)
		l.applyConfig()
		l.updateMetrics()
		is.Equal(scope.Snapshot().Gauges()["headroom_accelerators+"].Value(), c.kept)
	}
}

// A withheld step is counted by its reason.
func TestWithheldStepsAreCounted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := newLeadership(rows.New(0), &orderCounter{}, now, now)
	scope := tally.NewTestScope("", nil)
	l.metrics = scope
	l.execute(dispatch.PlacementWithheld{Reason: dispatch.WithheldCores}, now)
	is.Equal(scope.Snapshot().Counters()["placements_withheld_total+reason=cores"].Value(), int64(1))
}

// A decision that concerns one job only is in the job's history and not in the log, which would have
// a line for each step that is withheld.
func TestRecordedDecisionIsNotLogged(t *testing.T) {
	is := is.New(t)
	lines := 0
	h := newHistories(funcr.New(func(string, string) { lines++ }, funcr.Options{}))
	id := graph.JobID("0000000000000001")
	h.Recorded("withheld for headroom", "step", graph.StepID{Job: id}, "reason", dispatch.WithheldMemory)
	is.Equal(lines, 0)
	is.Equal(len(h.ofJob(id)), 1)
	is.Equal(h.ofJob(id)[0].Inputs, "step=0000000000000001.0.0 reason=memory")
	h.Decided("job", "job", id)
	is.Equal(lines, 1)
	is.Equal(len(h.ofJob(id)), 2)
}
