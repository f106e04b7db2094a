package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/quarantine"
)

var start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

var rack = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}

// fail lets distinct jobs fail on a worker, and returns how many it took until
// the worker was out.
func fail(w *quarantine.Watch, worker string, jobs int, now time.Time) int {
	for i := range jobs {
		id := fmt.Sprintf("%s-%d", worker, i)
		w.Started(worker, id, now)
		w.Failed(worker, id, rack, now)
		if w.Out(worker) {
			return i + 1
		}
	}
	return 0
}

func run(w *quarantine.Watch, jobs int, now time.Time) {
	for i := range jobs {
		id := fmt.Sprintf("good%d", i)
		w.Started(rack[i%len(rack)], id, now)
		w.Succeeded(rack[i%len(rack)], id)
	}
}

func TestWorkerIsOutAndBackByAProbe(t *testing.T) {
	is := is.New(t)
	w := quarantine.New()
	run(w, 40, start)
	is.Equal(fail(w, "w0", 9, start), quarantine.MinJobs)
	is.True(!w.MayProbe("w0", start.Add(quarantine.FirstOut-1)))
	probeAt := start.Add(quarantine.FirstOut)
	is.True(w.MayProbe("w0", probeAt))
	w.Started("w0", "probe1", probeAt)
	is.True(!w.MayProbe("w0", probeAt)) // one at a time
	w.Failed("w0", "probe1", rack, probeAt)
	is.True(!w.MayProbe("w0", probeAt.Add(2*quarantine.FirstOut-1))) // out twice as long
	again := probeAt.Add(2 * quarantine.FirstOut)
	w.Started("w0", "probe2", again)
	w.Left("w0", "probe2") // reclaimed: no verdict
	is.True(w.MayProbe("w0", again))
	w.Started("w0", "probe3", again)
	w.Succeeded("w0", "probe3")
	is.True(!w.Out("w0"))
}

// A switch fails and with it all of a rack. Barring all its workers would leave
// the zone without them when the switch is back, and hide the common cause.
func TestNoMoreThanAShareOfARackIsOut(t *testing.T) {
	is := is.New(t)
	w := quarantine.New()
	for i := range 40 {
		w.Started("elsewhere", fmt.Sprintf("good%d", i), start)
	}
	for _, id := range rack {
		fail(w, id, 5, start)
	}
	is.Equal(len(w.All()), 2) // a quarter of eight
}

// All workers fail some of what they start: the jobs or the store are at fault,
// and no worker is worse than its peers.
func TestPeersRateCounts(t *testing.T) {
	is := is.New(t)
	w := quarantine.New()
	for i := range 400 {
		id, worker := fmt.Sprintf("j%d", i), rack[i%len(rack)]
		w.Started(worker, id, start)
		if i/len(rack)%2 == 0 {
			w.Failed(worker, id, rack, start)
		} else {
			w.Succeeded(worker, id)
		}
	}
	is.Equal(len(w.All()), 0)
}

func TestOldFailuresDoNotCount(t *testing.T) {
	is := is.New(t)
	w := quarantine.New()
	for i := range 20 {
		now := start.Add(time.Duration(i) * quarantine.Window)
		run(w, 16, now)
		id := fmt.Sprintf("rare%d", i)
		w.Started("w0", id, now)
		w.Failed("w0", id, rack, now)
	}
	is.True(!w.Out("w0"))
}

func TestJobThatFailsEverywhereIsAtFault(t *testing.T) {
	is := is.New(t)
	w := quarantine.New()
	run(w, 40, start)
	is.True(!w.Failed("w0", "bad", rack, start))
	is.True(!w.Failed("w1", "bad", rack, start))
	is.Equal(w.FailedOn("bad"), []string{"w0", "w1"})
	is.True(w.Failed("w2", "bad", rack, start))
	w.Forget("bad")
	is.Equal(len(w.FailedOn("bad")), 0)
	for i := range quarantine.JobFailures {
		is.Equal(w.Failed("w3", "stuck", rack, start), i == quarantine.JobFailures-1) // nowhere else to go
	}
}
