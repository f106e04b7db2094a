package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// storeKey returns the key of a row in partition 1 of a table.
func storeKey(table, name string) store.Key {
	return store.Key{Table: table, Partition: "1", Name: name}
}

// setTransportFaults sets the faults of the links of all running hosts to the targets.
func (d *deployment) setTransportFaults(f pool.Faults) {
	for _, h := range d.hosts {
		if !h.down {
			h.transport.SetFaults(f)
		}
	}
}

// Orders are executed and their answers lost, or they are executed seconds later, after
// newer ones. A run whose start was not answered keeps its capacity until a stop is
// answered, so no target is overcommitted, and until then its task is started nowhere else.
func TestOrdersLostOrLate(t *testing.T) {
	for name, faults := range map[string]pool.Faults{
		"lost": {LostAnswers: 0.1}, "late": {LateOrders: 0.1, LateBy: 4 * time.Second}, "both": {LostAnswers: 0.1, LateOrders: 0.1, LateBy: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 21, 3, 2, func(d *deployment) {
				time.Sleep(2 * time.Second)
				d.setTransportFaults(faults)
				for range 5 {
					submitMix(d)
					time.Sleep(time.Second)
				}
				d.setTransportFaults(pool.Faults{})
				d.awaitEnds(60 * time.Second)
			})
		})
	}
}

// The leader cannot reach some targets, whose tasks continue. The tasks are started
// elsewhere only after their leases have lapsed.
func TestTargetsUnreachable(t *testing.T) {
	simulate(t, 22, 3, 2, func(d *deployment) {
		time.Sleep(2 * time.Second)
		d.submit(d.singleStepJob(2, graph.Step{Count: 40, Needs: needs(1), Estimate: 7 * time.Second}), succeedsAfter(7*time.Second))
		d.submit(d.singleStepJob(1, graph.Step{Count: 4, Needs: needs(4), Estimate: 7 * time.Second, Gang: true}), succeedsAfter(7*time.Second))
		time.Sleep(time.Second)
		unreachable := map[string]bool{}
		d.pool.Do(func(p *pool.Pool, _ time.Time) {
			for i, t := range p.Roster() {
				unreachable[t.ID] = i%3 == 0
			}
		})
		d.setTransportFaults(pool.Faults{Unreachable: unreachable})
		time.Sleep(9 * time.Second)
		d.setTransportFaults(pool.Faults{})
		d.awaitEnds(60 * time.Second)
	})
}

// Targets crash, and new incarnations start at their addresses. The new one refuses an
// order for the old one, which proves that the old one's runs have ended. All jobs complete.
func TestTargetsRestarted(t *testing.T) {
	simulate(t, 23, 3, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		submitMix(d)
		time.Sleep(1500 * time.Millisecond)
		d.pool.Do(func(p *pool.Pool, now time.Time) {
			for i := range 3 {
				p.Add(d.target(0, i, 2), 1, now)
			}
		})
		d.awaitEnds(40 * time.Second)
		for _, s := range d.submissions {
			_, _, state := s.get()
			is.Equal(state, progress.Completed)
		}
	})
}

// A target reports that it drains: it gets no new work, and its running tasks end.
func TestTargetDrains(t *testing.T) {
	simulate(t, 24, 3, 1, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		submitMix(d)
		var id string
		d.pool.Do(func(p *pool.Pool, _ time.Time) {
			id = p.Roster()[0].ID
			p.Drain(id)
		})
		time.Sleep(2500 * time.Millisecond) // until then it may still get work
		before := 0
		d.pool.Do(func(p *pool.Pool, _ time.Time) { before = p.StartsOn(id) })
		submitMix(d)
		d.awaitEnds(60 * time.Second)
		d.pool.Do(func(p *pool.Pool, _ time.Time) { is.Equal(p.StartsOn(id), before) })
	})
}

// Jobs are cancelled while they are submitted, pending, starting and running, and while the leader
// is killed. Six seconds later no task of a job whose cancellation was acknowledged runs.
func TestCancel(t *testing.T) {
	simulate(t, 25, 4, 1, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		for i := range 8 {
			submitMix(d)
			time.Sleep(time.Duration(i*20) * time.Millisecond)
			for _, s := range d.submissions[len(d.submissions)-4:] {
				d.cancel(s)
			}
			if i == 4 {
				d.kill(d.leader())
			}
		}
		time.Sleep(6 * time.Second)
		d.pool.Do(func(p *pool.Pool, _ time.Time) {
			for _, s := range d.submissions {
				if _, cancelled, _ := s.get(); cancelled {
					is.Equal(p.RunningOf(s.job.ID), 0)
				}
			}
		})
		d.awaitEnds(60 * time.Second)
	})
}
