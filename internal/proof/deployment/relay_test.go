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

// turnedAway returns a host that does not lead, and to which the store says no.
func (r *rig) turnedAway(t rows.Faults) *host {
	lead := r.leader()
	for _, h := range r.hosts {
		if h != lead {
			h.link.SetFaults(t)
			return h
		}
	}
	return nil
}

// The store refuses one host, or does not answer it. What clients hand in and cancel
// there is stored by a peer, and they are told so within their time: a client that is
// sent to that host is served like all others.
func TestHostTurnedAway(t *testing.T) {
	for name, trouble := range map[string]rows.Faults{"refused": {Refuse: true}, "silent": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			play(t, 31, 4, 2, func(r *rig) {
				is := is.New(r.t)
				time.Sleep(2 * time.Second)
				h := r.turnedAway(trouble)
				time.Sleep(3 * time.Second) // the host finds out
				ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
				defer cancel()
				j := r.job(2, graph.Step{Count: 4, Needs: needs(1), Estimate: time.Minute})
				r.shared.Do(func(p *pool.Pool, _ time.Time) { p.Submit(j, works(time.Minute)) })
				began := time.Now()
				is.NoErr(h.entry.Submit(ctx, j))
				is.True(time.Since(began) < 500*time.Millisecond)
				time.Sleep(time.Second)
				mine := entry.Caller{Account: j.Account}
				told, err := h.entry.Status(ctx, j.ID, mine)
				is.NoErr(err)
				is.Equal(told.State, progress.Running)
				is.NoErr(h.entry.Cancel(ctx, j.ID, mine))
				r.shared.Do(func(p *pool.Pool, now time.Time) { p.RecordCancelled(j.ID, now) })
				time.Sleep(2 * time.Second)
				r.shared.Do(func(p *pool.Pool, _ time.Time) { is.Equal(p.RunningOf(j.ID), 0) })
			})
		})
	}
}

// The store is away for all hosts. A request is refused at once by the host that it
// reaches, although each host has peers that it could ask: they know no better.
func TestAllTurnedAway(t *testing.T) {
	play(t, 32, 4, 1, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		r.allLinks(rows.Faults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		for _, h := range r.hosts {
			began := time.Now()
			err := h.entry.Submit(r.ctx, r.job(2, graph.Step{Count: 1, Needs: needs(1)}))
			is.True(err != nil)
			is.True(time.Since(began) < 100*time.Millisecond)
		}
		r.allLinks(rows.Faults{})
		time.Sleep(2 * time.Second)
	})
}
