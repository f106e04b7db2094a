package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

func (r *rig) allLinks(t rows.Faults) {
	for _, h := range r.hosts {
		if !h.dead {
			h.link.SetFaults(t)
		}
	}
}

// The store is away for all hosts. Nobody can take over, so the leader goes on:
// what runs keeps its leases, ends are acknowledged once the store is back, and
// no run is lost.
func TestStoreDown(t *testing.T) {
	for name, trouble := range map[string]rows.Faults{"silent": {Unresponsive: true}, "refused": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			play(t, 11, 4, 2, func(r *rig) {
				is := is.New(r.t)
				time.Sleep(2 * time.Second)
				s := r.submit(r.job(2, graph.Step{Count: 30, Needs: needs(2), Estimate: 8 * time.Second}), works(8*time.Second))
				time.Sleep(time.Second)
				old, before := r.leader(), starts(r)
				r.allLinks(trouble)
				time.Sleep(8 * time.Second)
				is.Equal(r.leader(), old) // nobody could take over
				r.allLinks(rows.Faults{})
				r.settle(30 * time.Second)
				is.True(before <= 30)
				is.Equal(starts(r), 30) // nothing was started twice
				_, _, state := s.get()
				is.Equal(state, progress.Completed)
			})
		})
	}
}

// The store performs writes and loses their answers, or performs them seconds
// later. Each outcome is settled by reading back: no job is refused that was
// stored, no task is run twice, none is forgotten.
func TestStoreLosesAnswers(t *testing.T) {
	for name, trouble := range map[string]rows.Faults{
		"lost": {LostAnswers: 0.4}, "late": {LateWrites: 0.3, LateBy: 3 * time.Second}, "slow": {Latency: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 12, 4, 2, func(r *rig) {
				time.Sleep(2 * time.Second)
				r.allLinks(trouble)
				for range 4 {
					load(r)
					time.Sleep(time.Second)
				}
				r.allLinks(rows.Faults{})
				r.settle(60 * time.Second)
			})
		})
	}
}

// The store forgets its history while messages to the leader are lost: the
// leader reads all jobs anew.
func TestHistoryForgotten(t *testing.T) {
	play(t, 13, 3, 2, func(r *rig) {
		time.Sleep(2 * time.Second)
		lead := r.leader()
		for _, h := range r.hosts {
			if h != lead {
				r.wires.set(h.address, lead.address, true)
			}
		}
		load(r)
		time.Sleep(50 * time.Millisecond)
		r.table.Compact()
		time.Sleep(3 * time.Second)
		for _, h := range r.hosts {
			r.wires.set(h.address, lead.address, false)
		}
		r.settle(40 * time.Second)
	})
}

// Somebody else writes rows into the system's tables that cannot be read. They
// are passed over, also by a new leader, and all jobs end.
func TestOddRows(t *testing.T) {
	play(t, 14, 3, 1, func(r *rig) {
		time.Sleep(2 * time.Second)
		load(r)
		for i, v := range []string{"", "{", `{"id":7}`, `{"id":"zz","steps":[]}`, `[]`} {
			name := string(rune('a' + i))
			r.table.Put(storeKey("jobs", name), []byte(v))
			r.table.Put(storeKey("progress", name), []byte(v))
			r.table.Put(storeKey("jobs", name+".cancel"), []byte(v))
		}
		time.Sleep(2 * time.Second)
		r.kill(r.leader())
		r.settle(60 * time.Second)
	})
}
