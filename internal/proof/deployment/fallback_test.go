package deployment

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// setFollowerStoreFaults sets the faults of the store link of the first host that is not the
// leader, and returns the host.
func (d *deployment) setFollowerStoreFaults(f rows.Faults) *host {
	lead := d.leader()
	for _, h := range d.hosts {
		if h != lead {
			h.storeLink.SetFaults(f)
			return h
		}
	}
	return nil
}

// The store refuses one host that is not the leader, or does not answer it. A peer stores
// what clients submit and cancel there. The clients are answered before their deadlines, a
// submission within 500 ms, and 2 s after the cancellation nothing of the job runs.
func TestStoreUnavailableToOneHost(t *testing.T) {
	for name, faults := range map[string]rows.Faults{"refused": {Refuse: true}, "silent": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 31, 4, 2, func(d *deployment) {
				is := is.New(d.t)
				time.Sleep(2 * time.Second)
				h := d.setFollowerStoreFaults(faults)
				time.Sleep(3 * time.Second) // the host detects it
				ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
				defer cancel()
				j := d.singleStepJob(2, graph.Step{Count: 4, Needs: needs(1), Estimate: time.Minute})
				d.pool.Do(func(p *pool.Pool, _ time.Time) { p.Submit(j, succeedsAfter(time.Minute)) })
				began := time.Now()
				is.NoErr(h.entry.Submit(ctx, j))
				is.True(time.Since(began) < 500*time.Millisecond)
				time.Sleep(time.Second)
				caller := entry.Caller{Account: j.Account}
				status, err := h.entry.Status(ctx, j.ID, caller)
				is.NoErr(err)
				is.Equal(status.State, progress.Running)
				is.NoErr(h.entry.Cancel(ctx, j.ID, caller))
				d.pool.Do(func(p *pool.Pool, now time.Time) { p.RecordCancelled(j.ID, now) })
				time.Sleep(2 * time.Second)
				d.pool.Do(func(p *pool.Pool, _ time.Time) { is.Equal(p.RunningOf(j.ID), 0) })
			})
		})
	}
}

// The store answers no host. Each host refuses a request within 100 ms, without asking its
// peers, which cannot store it either.
func TestStoreUnavailableToAllHosts(t *testing.T) {
	simulate(t, 32, 4, 1, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		d.setStoreFaults(rows.Faults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		for _, h := range d.hosts {
			began := time.Now()
			err := h.entry.Submit(d.ctx, d.singleStepJob(2, graph.Step{Count: 1, Needs: needs(1)}))
			is.True(err != nil)
			is.True(time.Since(began) < 100*time.Millisecond)
		}
		d.setStoreFaults(rows.Faults{})
		time.Sleep(2 * time.Second)
	})
}
