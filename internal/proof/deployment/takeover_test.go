package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// load hands in a mix that fills two racks: gangs, long checkpointing tasks and
// many small ones.
func load(r *rig) {
	r.submit(r.job(1, graph.Step{Count: 3, Needs: needs(8), Estimate: 4 * time.Second, Gang: true, SameRack: true}), works(4*time.Second))
	r.submit(r.job(2, graph.Step{Count: 30, Needs: needs(1), Estimate: 3 * time.Second}), works(3*time.Second))
	r.submit(r.graph(2,
		graph.Step{Count: 6, Needs: needs(2), Estimate: 2 * time.Second, Checkpointing: true},
		graph.Step{Count: 3, Needs: needs(1), Estimate: time.Second, After: []int{0}},
	), works(2*time.Second))
	r.submit(r.job(0, graph.Step{Count: 2, Needs: needs(4), Estimate: time.Second, Gang: true}), works(time.Second))
}

func starts(r *rig) (n int) {
	r.shared.Do(func(p *pool.Pool, _ time.Time) { n = p.Starts() })
	return n
}

// awaitLeader waits until a host leads, at most so long, and returns how long it
// took.
func awaitLeader(r *rig, most time.Duration) time.Duration {
	began := time.Now()
	for r.leader() == nil {
		if time.Since(began) > most {
			r.fault("nobody leads after %s", most)
			return most
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// The leader's process is killed while work runs. Its connections break, so a
// standby looks at the leader row, finds it standing still and takes it over
// before any lease on a target has lapsed: no run is lost, none is run twice.
func TestLeaderKilled(t *testing.T) {
	play(t, 3, 4, 2, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		load(r)
		time.Sleep(time.Second)
		before := starts(r)
		r.kill(r.leader())
		took := awaitLeader(r, 3*time.Second)
		is.True(took < 2*time.Second)
		time.Sleep(time.Second)
		is.True(starts(r) >= before)
		r.settle(30 * time.Second)
	})
}

// The leader's host is stopped as planned. It gives its row back, so another
// host leads within a fraction of a second.
func TestLeaderStopped(t *testing.T) {
	play(t, 4, 4, 2, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		load(r)
		time.Sleep(time.Second)
		r.stop(r.leader())
		took := awaitLeader(r, 3*time.Second)
		is.True(took < 700*time.Millisecond)
		r.settle(30 * time.Second)
	})
}

// The leader alone is cut off from the store, and still reaches its peers and
// all targets. The row stands still, so a standby takes it over and fences the
// targets; the old leader is refused there and gives up.
func TestLeaderCutFromStore(t *testing.T) {
	for name, trouble := range map[string]rows.Faults{"silent": {Unresponsive: true}, "refused": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			play(t, 5, 4, 2, func(r *rig) {
				is := is.New(r.t)
				time.Sleep(2 * time.Second)
				load(r)
				time.Sleep(time.Second)
				old := r.leader()
				old.link.SetFaults(trouble)
				time.Sleep(4 * time.Second)
				is.True(old.election.OwnTerm() == nil) // it was refused by a fence
				is.True(r.leader() != nil)
				time.Sleep(2 * time.Second)
				old.link.SetFaults(rows.Faults{})
				r.settle(30 * time.Second)
			})
		})
	}
}

// A zone is cut off with the leader and one rack of targets in it. Its standby
// outside takes over and cannot reach that rack, the old leader cannot reach the
// others. The old leader believes the leases on the others lapsed, the new one
// found them running. Without a note in the store before each start the old one
// started those tasks again on its own side.
func TestLeaderCutWithItsTargets(t *testing.T) {
	play(t, 6, 4, 2, func(r *rig) {
		time.Sleep(2 * time.Second)
		r.submit(r.job(2, graph.Step{Count: 40, Needs: needs(1), Estimate: 9 * time.Second}), works(9*time.Second))
		r.submit(r.job(2, graph.Step{Count: 60, Needs: needs(1), Estimate: 2 * time.Second}), works(2*time.Second))
		time.Sleep(time.Second)
		old := r.leader()
		inside, outside := map[string]bool{}, map[string]bool{}
		r.shared.Do(func(p *pool.Pool, _ time.Time) {
			for _, t := range p.Roster() {
				inside[t.ID], outside[t.ID] = t.Zone == "zone0", t.Zone != "zone0"
			}
		})
		old.link.SetFaults(rows.Faults{Unresponsive: true})
		old.line.SetFaults(pool.Faults{Unreachable: outside})
		for _, h := range r.hosts {
			if h != old {
				r.wires.set(h.address, old.address, true)
				h.line.SetFaults(pool.Faults{Unreachable: inside})
			}
		}
		time.Sleep(9 * time.Second)
		old.link.SetFaults(rows.Faults{})
		for _, h := range r.hosts {
			r.wires.set(h.address, old.address, false)
			h.line.SetFaults(pool.Faults{})
		}
		r.settle(60 * time.Second)
	})
}

// The leader is killed, and its successor does not reach some targets on which
// work runs. It must not start that work elsewhere before every lease that the
// old leader can have granted has lapsed.
func TestSuccessorDoesNotReachTargets(t *testing.T) {
	play(t, 7, 3, 2, func(r *rig) {
		time.Sleep(2 * time.Second)
		r.submit(r.job(2, graph.Step{Count: 50, Needs: needs(1), Estimate: 5 * time.Second}), works(5*time.Second))
		time.Sleep(time.Second)
		some := map[string]bool{}
		r.shared.Do(func(p *pool.Pool, _ time.Time) {
			for _, t := range p.Roster()[:3] {
				some[t.ID] = true
			}
		})
		old := r.leader()
		for _, h := range r.hosts {
			if h != old {
				h.line.SetFaults(pool.Faults{Unreachable: some})
			}
		}
		r.kill(old)
		time.Sleep(12 * time.Second)
		for _, h := range r.hosts {
			if !h.dead {
				h.line.SetFaults(pool.Faults{})
			}
		}
		r.settle(40 * time.Second)
	})
}

// All hosts lose power right after jobs were accepted, and start again. The rows
// have every accepted job, the targets what runs; the jobs end as if nothing had
// happened.
func TestAllHostsLost(t *testing.T) {
	play(t, 8, 4, 2, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		load(r)
		time.Sleep(60 * time.Millisecond)
		for _, h := range r.hosts {
			r.kill(h)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, h := range append([]*host(nil), r.hosts...) {
			r.restart(h)
		}
		took := awaitLeader(r, 5*time.Second)
		is.True(took < 3*time.Second)
		r.settle(40 * time.Second)
	})
}

// The leader goes again and again, killed or stopped, every two seconds.
func TestLeadersInTurn(t *testing.T) {
	play(t, 9, 5, 2, func(r *rig) {
		time.Sleep(2 * time.Second)
		load(r)
		for i := range 6 {
			time.Sleep(2 * time.Second)
			h := r.leader()
			if h == nil {
				continue
			}
			if i%2 == 0 {
				r.kill(h)
			} else {
				r.stop(h)
			}
			r.restart(h)
			load(r)
		}
		r.settle(90 * time.Second)
	})
}
