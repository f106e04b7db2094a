package deployment

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// setStoreFaults sets the faults of the links of all running hosts to the store.
func (d *deployment) setStoreFaults(f rows.Faults) {
	for _, h := range d.hosts {
		if !h.down {
			h.storeLink.SetFaults(f)
		}
	}
}

// The store is unavailable to all hosts. No host can take over, so the leader continues:
// running tasks keep their leases, ends are acknowledged once the store is available
// again, and no run is lost.
func TestStoreDown(t *testing.T) {
	for name, faults := range map[string]rows.Faults{"silent": {Unresponsive: true}, "refused": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 11, 4, 2, func(d *deployment) {
				is := is.New(d.t)
				time.Sleep(2 * time.Second)
				s := d.submit(d.singleStepJob(2, graph.Step{Count: 30, Needs: needs(2), Estimate: 8 * time.Second}), succeedsAfter(8*time.Second))
				time.Sleep(time.Second)
				old, before := d.leader(), startCount(d)
				d.setStoreFaults(faults)
				time.Sleep(8 * time.Second)
				is.Equal(d.leader(), old) // no host could take over
				d.setStoreFaults(rows.Faults{})
				d.awaitEnds(30 * time.Second)
				is.True(before <= 30)
				is.Equal(startCount(d), 30) // nothing was started twice
				_, _, state := s.get()
				is.Equal(state, progress.Completed)
			})
		})
	}
}

// The store commits writes and loses their answers, or commits them seconds later, or
// answers slowly. Hosts read back each unknown outcome: every accepted job ends, and no task
// is run twice or lost.
func TestStoreLosesAnswers(t *testing.T) {
	for name, faults := range map[string]rows.Faults{
		"lost": {LostAnswers: 0.4}, "late": {LateWrites: 0.3, LateBy: 3 * time.Second}, "slow": {Latency: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 12, 4, 2, func(d *deployment) {
				time.Sleep(2 * time.Second)
				d.setStoreFaults(faults)
				for range 4 {
					submitMix(d)
					time.Sleep(time.Second)
				}
				d.setStoreFaults(rows.Faults{})
				d.awaitEnds(60 * time.Second)
			})
		})
	}
}

// Guards against a job that runs after its cancellation was answered, by a write that is performed when
// the host that made it is gone and all others have been restarted: jobs that last and recur, too.
func TestLateJobOfAnsweredCancellation(t *testing.T) {
	for name, change := range map[string]func(*graph.Job){
		"plain":   func(*graph.Job) {},
		"lasting": func(j *graph.Job) { j.Steps[0].LongRunning = true },
		"recurs":  func(j *graph.Job) { j.Repeat, j.Every, j.FirstAt = 20, 2*time.Second, j.AcceptedAt },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 15, 4, 2, func(d *deployment) {
				is := is.New(d.t)
				time.Sleep(2 * time.Second)
				j := d.singleStepJob(1, graph.Step{Count: 3, Needs: needs(1), Estimate: time.Second})
				change(j)
				d.pool.Do(func(p *pool.Pool, _ time.Time) { p.Submit(j, succeedsAfter(time.Second)) })
				first := d.hosts[0]
				d.setStoreFaults(rows.Faults{LateWrites: 1, LateBy: 20 * time.Second})
				ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
				is.True(first.entry.Submit(ctx, j) != nil)
				cancel()
				time.Sleep(2 * time.Second) // until no peer is storing it
				d.setStoreFaults(rows.Faults{})
				ctx, cancel = context.WithTimeout(d.ctx, 3*time.Second)
				err := d.hosts[1].entry.Cancel(ctx, j.ID, entry.Caller{Account: j.Account})
				cancel()
				is.True(err == nil || errors.Is(err, entry.ErrNoJob))
				d.pool.Do(func(p *pool.Pool, now time.Time) { p.RecordCancelled(j.ID, now) })
				d.kill(first)
				for _, h := range d.hosts[1:] {
					d.kill(h)
				}
				for _, h := range slices.Clone(d.hosts) {
					d.restart(h)
				}
				time.Sleep(40 * time.Second)
				d.pool.Do(func(p *pool.Pool, _ time.Time) {
					is.Equal(p.RunningOf(j.ID), 0)
					is.Equal(p.Starts(), 0)
				})
				d.awaitEnds(time.Second)
			})
		})
	}
}

// Jobs are submitted while no peer can reach the leader, and the store compacts its feed of
// changes soon after: the leader reads all jobs again, and all accepted jobs end.
func TestHistoryCompacted(t *testing.T) {
	simulate(t, 13, 3, 2, func(d *deployment) {
		time.Sleep(2 * time.Second)
		lead := d.leader()
		for _, h := range d.hosts {
			if h != lead {
				d.network.setDisconnected(h.address, lead.address, true)
			}
		}
		submitMix(d)
		time.Sleep(50 * time.Millisecond)
		d.table.Compact()
		time.Sleep(3 * time.Second)
		for _, h := range d.hosts {
			d.network.setDisconnected(h.address, lead.address, false)
		}
		d.awaitEnds(40 * time.Second)
	})
}

// Another writer puts malformed rows into the system's tables. The leader ignores them,
// as does the next one after the leader is killed, and all accepted jobs end.
func TestMalformedRows(t *testing.T) {
	simulate(t, 14, 3, 1, func(d *deployment) {
		time.Sleep(2 * time.Second)
		submitMix(d)
		for i, v := range []string{"", "{", `{"id":7}`, `{"id":"zz","steps":[]}`, `[]`} {
			name := string(rune('a' + i))
			d.table.Put(storeKey("jobs", name), []byte(v))
			d.table.Put(storeKey("progress", name), []byte(v))
			d.table.Put(storeKey("jobs", name+".cancel"), []byte(v))
		}
		time.Sleep(2 * time.Second)
		d.kill(d.leader())
		d.awaitEnds(60 * time.Second)
	})
}
