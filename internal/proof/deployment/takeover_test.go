package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// submitMix submits four jobs that fill two racks: gangs, checkpointing tasks and many small
// tasks.
func submitMix(d *deployment) {
	d.submit(d.singleStepJob(1, graph.Step{Count: 3, Needs: needs(8), Estimate: 4 * time.Second, Gang: true, SameRack: true}), succeedsAfter(4*time.Second))
	d.submit(d.singleStepJob(2, graph.Step{Count: 30, Needs: needs(1), Estimate: 3 * time.Second}), succeedsAfter(3*time.Second))
	d.submit(d.newJob(2,
		graph.Step{Count: 6, Needs: needs(2), Estimate: 2 * time.Second, Checkpointing: true},
		graph.Step{Count: 3, Needs: needs(1), Estimate: time.Second, After: []int{0}},
	), succeedsAfter(2*time.Second))
	d.submit(d.singleStepJob(0, graph.Step{Count: 2, Needs: needs(4), Estimate: time.Second, Gang: true}), succeedsAfter(time.Second))
}

// startCount returns how many runs the targets have started.
func startCount(d *deployment) (n int) {
	d.pool.Do(func(p *pool.Pool, _ time.Time) { n = p.Starts() })
	return n
}

// awaitLeader waits until a host leads and returns how long that took. If none does within
// the limit, it records a violation and returns the limit.
func awaitLeader(d *deployment, limit time.Duration) time.Duration {
	began := time.Now()
	for d.leader() == nil {
		if time.Since(began) > limit {
			d.recordViolation("no host leads after %s", limit)
			return limit
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// The leader's process is killed while tasks run. Its connections break, so a standby
// reads the leader row, sees that it is not renewed and takes it over within 2 s, before any
// lease on a target has lapsed. No task runs twice, and all accepted jobs end.
func TestLeaderKilled(t *testing.T) {
	simulate(t, 3, 4, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		submitMix(d)
		time.Sleep(time.Second)
		before := startCount(d)
		d.kill(d.leader())
		took := awaitLeader(d, 3*time.Second)
		is.True(took < 2*time.Second)
		time.Sleep(time.Second)
		is.True(startCount(d) >= before)
		d.awaitEnds(30 * time.Second)
	})
}

// The leader makes a planned stop. It releases the leader row, so another host leads
// within 700 ms, and all accepted jobs end.
func TestLeaderStopped(t *testing.T) {
	simulate(t, 4, 4, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		submitMix(d)
		time.Sleep(time.Second)
		d.stop(d.leader())
		took := awaitLeader(d, 3*time.Second)
		is.True(took < 700*time.Millisecond)
		d.awaitEnds(30 * time.Second)
	})
}

// Only the leader is disconnected from the store; it still reaches its peers and all
// targets. The leader row is not renewed, so a standby takes it over and fences the
// targets, which then refuse the old leader's orders, and it resigns.
func TestLeaderDisconnectedFromStore(t *testing.T) {
	for name, faults := range map[string]rows.Faults{"silent": {Unresponsive: true}, "refused": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 5, 4, 2, func(d *deployment) {
				is := is.New(d.t)
				time.Sleep(2 * time.Second)
				submitMix(d)
				time.Sleep(time.Second)
				old := d.leader()
				old.storeLink.SetFaults(faults)
				time.Sleep(4 * time.Second)
				is.True(old.election.OwnTerm() == nil) // fenced off by the targets
				is.True(d.leader() != nil)
				time.Sleep(2 * time.Second)
				old.storeLink.SetFaults(rows.Faults{})
				d.awaitEnds(30 * time.Second)
			})
		})
	}
}

// disconnectLeaderZone disconnects the leader, together with the targets of the first zone, from the
// store, the other hosts and the other targets. It returns the ids of these targets, and a function that
// ends that.
func (d *deployment) disconnectLeaderZone() (inside map[string]bool, heal func()) {
	old := d.leader()
	inside, outside := map[string]bool{}, map[string]bool{}
	d.pool.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			if t.Zone == "zone0" {
				inside[t.ID] = true
			} else {
				outside[t.ID] = true
			}
		}
	})
	old.storeLink.SetFaults(rows.Faults{Unresponsive: true})
	old.transport.SetFaults(pool.Faults{Unreachable: outside})
	for _, h := range d.hosts {
		if h != old {
			d.network.setDisconnected(h.address, old.address, true)
			h.transport.SetFaults(pool.Faults{Unreachable: inside})
		}
	}
	return inside, func() {
		old.storeLink.SetFaults(rows.Faults{})
		for _, h := range d.hosts {
			d.network.setDisconnected(h.address, old.address, false)
			h.transport.SetFaults(pool.Faults{})
		}
	}
}

// A zone with the leader and one rack of targets is disconnected. A standby outside
// takes over and cannot reach that rack; the old leader cannot reach the other targets.
// The old leader assumes that the leases on those have lapsed, while the new one finds
// their tasks running. Unless each start is recorded in the store before it is sent, the
// old leader starts those tasks a second time inside the zone.
func TestLeaderDisconnectedWithItsTargets(t *testing.T) {
	simulate(t, 6, 4, 2, func(d *deployment) {
		time.Sleep(2 * time.Second)
		d.submit(d.singleStepJob(2, graph.Step{Count: 40, Needs: needs(1), Estimate: 9 * time.Second}), succeedsAfter(9*time.Second))
		d.submit(d.singleStepJob(2, graph.Step{Count: 60, Needs: needs(1), Estimate: 2 * time.Second}), succeedsAfter(2*time.Second))
		time.Sleep(time.Second)
		_, heal := d.disconnectLeaderZone()
		time.Sleep(9 * time.Second)
		heal()
		d.awaitEnds(60 * time.Second)
	})
}

// The leader is killed, and the next one does not reach some targets on which tasks run.
// It must not start those tasks elsewhere before every lease that the old leader may have
// granted has lapsed.
func TestNewLeaderDoesNotReachTargets(t *testing.T) {
	simulate(t, 7, 3, 2, func(d *deployment) {
		time.Sleep(2 * time.Second)
		d.submit(d.singleStepJob(2, graph.Step{Count: 50, Needs: needs(1), Estimate: 5 * time.Second}), succeedsAfter(5*time.Second))
		time.Sleep(time.Second)
		unreachable := map[string]bool{}
		d.pool.Do(func(p *pool.Pool, _ time.Time) {
			for _, t := range p.Roster()[:3] {
				unreachable[t.ID] = true
			}
		})
		old := d.leader()
		for _, h := range d.hosts {
			if h != old {
				h.transport.SetFaults(pool.Faults{Unreachable: unreachable})
			}
		}
		d.kill(old)
		time.Sleep(12 * time.Second)
		for _, h := range d.hosts {
			if !h.down {
				h.transport.SetFaults(pool.Faults{})
			}
		}
		d.awaitEnds(40 * time.Second)
	})
}

// The leader is lost for good together with some targets. Its work there is withheld no longer than
// the longest lease lasts: the store is available, so by then no lease of it is left.
func TestWorkOfLostTargetsIsWithheldForALeaseOnly(t *testing.T) {
	simulate(t, 9, 3, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		d.submit(d.singleStepJob(2, graph.Step{Count: 50, Needs: needs(1), Estimate: 2 * time.Second}), succeedsAfter(2*time.Second))
		time.Sleep(time.Second)
		d.pool.Do(func(p *pool.Pool, now time.Time) {
			for _, t := range p.Roster()[:3] {
				p.Kill(t.ID, now)
			}
		})
		lostAt := time.Now()
		d.kill(d.leader())
		d.awaitEnds(40 * time.Second)
		const (
			lease   = 6 * time.Second
			work    = 2 * time.Second
			noticed = time.Second // until a host has seen the last renewal, on a slow clock
			restart = time.Second // to find that leases have lapsed, and to place the work again
		)
		is.True(time.Since(lostAt) < lease+work+noticed+restart)
	})
}

// A zone with the leader and one rack of targets is disconnected for longer than the leader may
// act. It must not renew the leases of runs there beyond that: the new leader starts them elsewhere.
func TestDisconnectedLeaderRenewsNoLeaseBeyondGrace(t *testing.T) {
	for seed := range uint64(4) {
		simulate(t, 20+seed, 4, 2, func(d *deployment) {
			time.Sleep(2 * time.Second)
			d.submit(d.singleStepJob(2, graph.Step{Count: 40, Needs: needs(1), Estimate: 30 * time.Second}), succeedsAfter(30*time.Second))
			time.Sleep(time.Second)
			_, heal := d.disconnectLeaderZone()
			time.Sleep(22 * time.Second)
			heal()
			d.awaitEnds(90 * time.Second)
		})
	}
}

// Targets end their tasks while they are disconnected together with the leader, and leave. It has
// read the ends and cannot save them. The next leader must learn of them when the connection is
// back, and not have the tasks done again.
func TestEndsReadByDisconnectedLeaderAreHandedOver(t *testing.T) {
	simulate(t, 30, 4, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		d.submit(d.newJob(2,
			graph.Step{Count: 64, Needs: needs(1), Estimate: 3 * time.Second},
			graph.Step{Count: 2, Needs: needs(1), Estimate: 3 * time.Second, After: []int{0}},
		), succeedsAfter(3*time.Second))
		time.Sleep(2 * time.Second)
		before := startCount(d)
		inside, heal := d.disconnectLeaderZone()
		time.Sleep(2500 * time.Millisecond)
		d.pool.Do(func(p *pool.Pool, now time.Time) {
			for id := range inside {
				p.Kill(id, now)
			}
		})
		time.Sleep(1500 * time.Millisecond)
		heal()
		is.Equal(before, 64)
		healedAt := time.Now()
		d.awaitEnds(40 * time.Second)
		is.Equal(startCount(d), 66)
		const notice, secondStep = 1500 * time.Millisecond, 3 * time.Second
		is.True(time.Since(healedAt) < notice+secondStep)
	})
}

// All hosts lose power right after jobs were submitted, and restart. One leads within 3 s.
// They restore the accepted jobs from the store and the running tasks from the targets, and
// all accepted jobs end.
func TestAllHostsLosePower(t *testing.T) {
	simulate(t, 8, 4, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		submitMix(d)
		time.Sleep(60 * time.Millisecond)
		for _, h := range d.hosts {
			d.kill(h)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, h := range append([]*host(nil), d.hosts...) {
			d.restart(h)
		}
		took := awaitLeader(d, 5*time.Second)
		is.True(took < 3*time.Second)
		d.awaitEnds(40 * time.Second)
	})
}

// The leader is killed or stopped in turn every two seconds, and restarted at once, while jobs
// are submitted. No task runs twice, and all accepted jobs end.
func TestRepeatedLeaderLoss(t *testing.T) {
	simulate(t, 9, 5, 2, func(d *deployment) {
		time.Sleep(2 * time.Second)
		submitMix(d)
		for i := range 6 {
			time.Sleep(2 * time.Second)
			h := d.leader()
			if h == nil {
				continue
			}
			if i%2 == 0 {
				d.kill(h)
			} else {
				d.stop(h)
			}
			d.restart(h)
			submitMix(d)
		}
		d.awaitEnds(90 * time.Second)
	})
}
