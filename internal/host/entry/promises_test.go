package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// action is a step of a script of clients, hosts and the store.
type action struct {
	kind    string
	host    int
	account string
	id      graph.JobID
	after   time.Duration // since the action before
	faults  rows.Faults   // of the host's link from now on
}

func drawAction(t *rapid.T) action {
	faults := rows.Faults{
		LateWrites: rapid.SampledFrom([]float64{0, 0.4, 1}).Draw(t, "late"), LateBy: time.Duration(rapid.SampledFrom([]int{1, 6, 400}).Draw(t, "lateBy")) * time.Second,
		LostAnswers: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lost"), Latency: time.Duration(rapid.SampledFrom([]int{0, 0, 300}).Draw(t, "latency")) * time.Millisecond,
	}
	return action{
		kind: rapid.SampledFrom([]string{"submit", "submit", "submit", "cancel", "cancel", "operator", "faults", "faults", "restart"}).Draw(t, "kind"),
		host: rapid.IntRange(0, 2).Draw(t, "host"), account: rapid.SampledFrom([]string{"kiosks", "salons"}).Draw(t, "account"),
		id:    rapid.SampledFrom([]graph.JobID{"00000000000000aa", "00000000000000ab"}).Draw(t, "id"),
		after: time.Duration(rapid.SampledFrom([]int{0, 3, 20, 150, 500, 4000, 160000}).Draw(t, "after")) * time.Millisecond, faults: faults,
	}
}

// promises is what clients of a script were answered, and which answers were broken.
type promises struct {
	mu        sync.Mutex
	hosts     []*fixture
	cancelled map[string]time.Time // by account and id, when the last cancellation was answered
	attempted map[string]time.Time // the same, of any cancellation
	refused   map[string]bool      // submissions that were answered as not accepted, by spec
	broken    []string
}

// check records a job that is stored, and not cancelled, though a client was told otherwise.
func (p *promises) check(id graph.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.hosts[0]
	if !r.runs(id) {
		return
	}
	j, err := dispatcher.DecodeJob(r.table.Get(dispatcher.JobKey(partitionOf(id), id)).Value)
	if err != nil {
		p.broken = append(p.broken, err.Error())
		return
	}
	if p.refused[j.Spec] {
		p.broken = append(p.broken, fmt.Sprintf("submission %s of %s was refused, and is stored", j.Spec, id))
	}
	submitted := time.UnixMilli(j.AcceptedAt)
	if at, ok := p.cancelled[j.Account+string(id)]; ok && submitted.Before(at.Add(2*time.Minute)) {
		p.broken = append(p.broken, fmt.Sprintf("job %s of %s, submitted at %v, is stored; its cancellation was answered at %v", id, j.Account, submitted, at))
	}
}

// run performs an action of a script.
func (p *promises) run(a action, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.hosts[a.host]
	switch a.kind {
	case "submit":
		j := job(a.id, a.account)
		j.AcceptedAt, j.Spec = time.Now().UnixMilli(), fmt.Sprint(n)
		p.mu.Unlock()
		err := r.submit(j)
		p.mu.Lock()
		p.refused[j.Spec] = errors.Is(err, ErrNotAccepted) || errors.Is(err, ErrCancelled)
		// An attempt without an answer may be performed 400 s later, and holds for 150 s.
		if at, ok := p.attempted[a.account+string(a.id)]; errors.Is(err, ErrCancelled) && (!ok || time.Since(at) > 10*time.Minute) {
			p.broken = append(p.broken, fmt.Sprintf("submission %d of %s by %s was refused as cancelled, which nobody has", n, a.id, a.account))
		}
	case "cancel", "operator":
		p.cancel(r, a.id, Caller{Account: a.account, Operator: a.kind == "operator"})
	case "faults":
		r.link.SetFaults(a.faults)
	case "restart":
		p.hosts[a.host] = r.addHost(uint64(n))
	}
}

// cancel cancels a job and records for which accounts that was attempted and answered. The caller holds
// p.mu, which is released meanwhile.
func (p *promises) cancel(r *fixture, id graph.JobID, by Caller) {
	record := func(at map[string]time.Time) {
		for _, account := range []string{"kiosks", "salons"} {
			if account == by.Account || by.Operator {
				at[account+string(id)] = time.Now()
			}
		}
	}
	record(p.attempted)
	p.mu.Unlock()
	cancelCtx, stop := context.WithTimeout(ctx, clientTime)
	defer stop()
	err := r.entry.Cancel(cancelCtx, id, by)
	p.mu.Lock()
	if err == nil || errors.Is(err, ErrNoJob) {
		record(p.cancelled)
	}
}

// Guards against jobs that run, or are refused, against what clients of any host were answered, with
// writes that are lost or performed late, hosts that are restarted, and accounts that use one id.
func TestCancellationsHold(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawAction), 3, 25).Draw(rt, "script")
		var p *promises
		synctest.Test(t, func(*testing.T) {
			first := newFixture(ErrOutcomeUnknown)
			p = &promises{hosts: []*fixture{first.addHost(1), first.addHost(2), first.addHost(3)}, cancelled: map[string]time.Time{}, attempted: map[string]time.Time{}, refused: map[string]bool{}}
			for n, a := range script {
				time.Sleep(a.after)
				p.check(a.id)
				go p.run(a, n)
			}
			for range 50 { // until the latest write is performed
				time.Sleep(10 * time.Second)
				p.check("00000000000000aa")
				p.check("00000000000000ab")
			}
		})
		if len(p.broken) > 0 {
			rt.Fatal(p.broken)
		}
	})
}
