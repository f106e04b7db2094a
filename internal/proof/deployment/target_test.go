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

func storeKey(table, name string) store.Key {
	return store.Key{Table: table, Partition: "1", Name: name}
}

func (r *rig) allLines(f pool.Faults) {
	for _, h := range r.hosts {
		if !h.dead {
			h.line.SetFaults(f)
		}
	}
}

// Orders are carried out and their answers lost, or they are carried out seconds
// later, after newer ones. A run whose start was not answered keeps its room
// until a stop was answered, so no target gets more than it can hold, and its
// task is started nowhere else meanwhile.
func TestOrdersLostOrLate(t *testing.T) {
	for name, fault := range map[string]pool.Faults{
		"lost": {LostAnswers: 0.1}, "late": {LateOrders: 0.1, LateBy: 4 * time.Second}, "both": {LostAnswers: 0.1, LateOrders: 0.1, LateBy: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 21, 3, 2, func(r *rig) {
				time.Sleep(2 * time.Second)
				r.allLines(fault)
				for range 5 {
					load(r)
					time.Sleep(time.Second)
				}
				r.allLines(pool.Faults{})
				r.settle(60 * time.Second)
			})
		})
	}
}

// Targets are cut off from the leader while their tasks run on. The tasks are
// started elsewhere only when their leases have lapsed there.
func TestTargetsCutOff(t *testing.T) {
	play(t, 22, 3, 2, func(r *rig) {
		time.Sleep(2 * time.Second)
		r.submit(r.job(2, graph.Step{Count: 40, Needs: needs(1), Estimate: 7 * time.Second}), works(7*time.Second))
		r.submit(r.job(1, graph.Step{Count: 4, Needs: needs(4), Estimate: 7 * time.Second, Gang: true}), works(7*time.Second))
		time.Sleep(time.Second)
		cut := map[string]bool{}
		r.shared.Do(func(p *pool.Pool, _ time.Time) {
			for i, t := range p.Roster() {
				cut[t.ID] = i%3 == 0
			}
		})
		r.allLines(pool.Faults{Unreachable: cut})
		time.Sleep(9 * time.Second)
		r.allLines(pool.Faults{})
		r.settle(60 * time.Second)
	})
}

// Targets crash, and new incarnations start at their addresses. An order for the
// old one is refused by the new, which proves that the old one's runs are over.
func TestTargetsReborn(t *testing.T) {
	play(t, 23, 3, 2, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		load(r)
		time.Sleep(1500 * time.Millisecond)
		r.shared.Do(func(p *pool.Pool, now time.Time) {
			for i := range 3 {
				p.Add(r.target(0, i, 2), 1, now)
			}
		})
		r.settle(40 * time.Second)
		for _, s := range r.jobs {
			_, _, state := s.get()
			is.Equal(state, progress.Completed)
		}
	})
}

// A target says that it leaves: it gets no new work, and what runs there ends.
func TestTargetDrains(t *testing.T) {
	play(t, 24, 3, 1, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		load(r)
		var id string
		r.shared.Do(func(p *pool.Pool, _ time.Time) {
			id = p.Roster()[0].ID
			p.Drain(id)
		})
		time.Sleep(2500 * time.Millisecond) // it may get work for as long
		before := 0
		r.shared.Do(func(p *pool.Pool, _ time.Time) { before = p.StartsOn(id) })
		load(r)
		r.settle(60 * time.Second)
		r.shared.Do(func(p *pool.Pool, _ time.Time) { is.Equal(p.StartsOn(id), before) })
	})
}

// Jobs are cancelled while they wait, start and run, and while the leader is
// killed. Nothing of them runs on for long after that was acknowledged.
func TestCancel(t *testing.T) {
	play(t, 25, 4, 1, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		for i := range 8 {
			load(r)
			time.Sleep(time.Duration(i*20) * time.Millisecond)
			for _, s := range r.jobs[len(r.jobs)-4:] {
				if accepted, _, _ := s.get(); accepted {
					r.cancel(s)
				}
			}
			if i == 4 {
				r.kill(r.leader())
			}
		}
		time.Sleep(6 * time.Second)
		r.shared.Do(func(p *pool.Pool, _ time.Time) {
			for _, s := range r.jobs {
				if _, cancelled, _ := s.get(); cancelled {
					is.Equal(p.RunningOf(s.job.ID), 0)
				}
			}
		})
		r.settle(60 * time.Second)
	})
}
