package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
)

const clientTime = 3 * time.Second // for which clients wait

// addHost returns another host over the store of r, with its own link, or the same host after a
// restart.
func (r *fixture) addHost(seed uint64) *fixture {
	l := rows.NewLink(r.table, rand.New(rand.NewPCG(seed, 2)))
	other := &fixture{table: r.table, link: l, leader: r.leader}
	other.entry = New(store.NewMonitor(l, dispatcher.JobKey(0, someJob), func(bool, error) {}), r.leader, fakeRelay{ErrOutcomeUnknown}, logr.Discard())
	return other
}

// submit submits a job for as long as its client waits.
func (r *fixture) submit(j *graph.Job) error {
	submitCtx, cancel := context.WithTimeout(ctx, clientTime)
	defer cancel()
	return r.entry.Submit(submitCtx, j)
}

// runs reports whether a job is stored that the leader would run.
func (r *fixture) runs(id graph.JobID) bool {
	return r.table.Get(dispatcher.JobKey(partitionOf(id), id)).Version > 0 && r.table.Get(dispatcher.CancelKey(partitionOf(id), id)).Version == 0
}

// Guards against a job that runs after its cancellation was answered: its write was performed late.
func TestLateWriteOfCancelledJobHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrOutcomeUnknown)
		r.link.SetFaults(rows.Faults{LateWrites: 1, LateBy: 6 * time.Second})
		is.True(errors.Is(r.submit(job(someJob, "kiosks")), ErrOutcomeUnknown))
		is.True(errors.Is(r.addHost(5).entry.Cancel(ctx, someJob, kiosks), ErrNoJob))
		r = r.addHost(6) // every host is restarted
		time.Sleep(10 * time.Second)
		is.True(!r.runs(someJob))
		is.True(r.submit(job(someJob, "kiosks")) != nil) // the client repeats its request
		is.True(!r.runs(someJob))
	})
}

// Guards against a job that runs after its cancellation was answered: another host was still storing it.
func TestSubmissionInFlightMeetsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrOutcomeUnknown)
		r.link.SetFaults(rows.Faults{LateWrites: 1, LateBy: time.Minute})
		submitted := make(chan error)
		go func() { submitted <- r.submit(job(someJob, "kiosks")) }()
		time.Sleep(300 * time.Millisecond)
		is.True(errors.Is(r.addHost(5).entry.Cancel(ctx, someJob, kiosks), ErrNoJob))
		r.link.SetFaults(rows.Faults{}) // the next call of the submission is answered
		is.True(<-submitted != nil)
		time.Sleep(2 * time.Minute)
		is.True(!r.runs(someJob))
	})
}

// Guards against a cancellation that is answered as that of no job while a host stores the job.
func TestCancellationBesideSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrOutcomeUnknown)
		slow := r.addHost(5)
		slow.link.SetFaults(rows.Faults{Latency: 100 * time.Millisecond})
		cancelled := make(chan error)
		go func() { cancelled <- slow.entry.Cancel(ctx, someJob, kiosks) }()
		time.Sleep(150 * time.Millisecond) // the host has read that there is no job
		is.NoErr(r.submit(job(someJob, "kiosks")))
		is.NoErr(<-cancelled)
		is.True(!r.runs(someJob))
	})
}

// Guards against a job of another account that a cancellation of the same id would touch.
func TestCancellationLeavesOtherAccountsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, kiosks), ErrNoJob)) // before it is submitted
		is.NoErr(r.submit(job(someJob, "salons")))
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, kiosks), ErrNoJob)) // after it
		is.True(r.runs(someJob))
		is.NoErr(r.entry.Cancel(ctx, someJob, Caller{Account: "salons"}))
		is.True(!r.runs(someJob))
	})
}
