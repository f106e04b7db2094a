package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// orderOverhead is the size of an order on a link without its spec, in bytes.
const orderOverhead = 400

// narrowLink is a transport over a host's link of limited bandwidth. What is sent queues
// there, and is transmitted even after its sender has given up, like bytes in a socket
// buffer.
type narrowLink struct {
	order.Transport
	perSecond float64
	mu        sync.Mutex
	freeAt    time.Time
}

// answer is the answer of a target.
type answer struct {
	clock  int64
	report order.Report
	err    error
}

// transmit sends a number of bytes and runs f once they have arrived. It returns earlier
// if the context ends, but f still runs.
func (l *narrowLink) transmit(ctx context.Context, bytes int, f func(ctx context.Context) answer) answer {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.perSecond * float64(time.Second)))
	at := l.freeAt
	l.mu.Unlock()
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(time.Until(at))
		answers <- f(context.WithoutCancel(ctx))
	}()
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return answer{err: fmt.Errorf("narrow link: %w: %w", order.ErrUnanswered, ctx.Err())}
	}
}

// Start implements order.Transport.
func (l *narrowLink) Start(ctx context.Context, to order.Address, s order.Start) (int64, error) {
	a := l.transmit(ctx, orderOverhead+len(s.Spec), func(ctx context.Context) answer {
		clock, err := l.Transport.Start(ctx, to, s)
		return answer{clock: clock, err: err}
	})
	return a.clock, a.err
}

// Stop implements order.Transport.
func (l *narrowLink) Stop(ctx context.Context, to order.Address, r order.Run, term int64) (int64, error) {
	a := l.transmit(ctx, orderOverhead, func(ctx context.Context) answer {
		clock, err := l.Transport.Stop(ctx, to, r, term)
		return answer{clock: clock, err: err}
	})
	return a.clock, a.err
}

// Poll implements order.Transport.
func (l *narrowLink) Poll(ctx context.Context, to order.Address, h order.Poll) (order.Report, error) {
	a := l.transmit(ctx, orderOverhead, func(ctx context.Context) answer {
		rep, err := l.Transport.Poll(ctx, to, h)
		return answer{report: rep, err: err}
	})
	return a.report, a.err
}

// narrowLinkDeployment is a leader on a host with a narrow link, with racks of eight
// targets.
type narrowLinkDeployment struct {
	d     *Dispatcher
	pool  *pool.Shared
	rows  *rows.Table
	ended chan error
	tasks int
}

// startLeader starts a leader with a term that does not end, and waits a second. perSecond
// is the bandwidth of its link in bytes.
func startLeader(ctx context.Context, racks int, perSecond float64) *narrowLinkDeployment {
	r := &narrowLinkDeployment{pool: pool.Share(ctx, pool.New(pool.DefaultBounds())), rows: rows.New(8 * time.Millisecond), ended: make(chan error, 1)}
	r.pool.Do(func(p *pool.Pool, now time.Time) {
		for i := range racks * 8 {
			name := fmt.Sprintf("t%d", i)
			p.Add(roster.Target{
				ID: name + "#1", Address: name, Zone: fmt.Sprintf("z%d", i/8%3), Service: "s", Rack: fmt.Sprintf("r1-%d", i/8),
				Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
			}, 1, now)
		}
	})
	link := &narrowLink{Transport: pool.NewTransport(r.pool, time.Millisecond, rand.New(rand.NewPCG(1, 1))), perSecond: perSecond}
	r.d = New(r.rows, link, r.pool, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now))
	term := leader.NewTerm(1, time.Now().Add(time.Hour)) // as if the row were renewed all the time
	go func() { r.ended <- r.d.Lead(ctx, term, leader.Predecessors{}) }()
	time.Sleep(time.Second)
	return r
}

// submit submits job n, a gang with a spec of the given number of bytes, as an entry does: it
// stores the job and notifies the leader.
func (r *narrowLinkDeployment) submit(t *testing.T, n, members, spec int) {
	j := &graph.Job{
		ID: graph.JobID(fmt.Sprintf("%016x", n+1)), Queue: "q", Service: "s", Account: "a", Priority: n % 2, MaxAttempts: 2, SlackFactor: 3,
		Allowance: time.Second, Spec: strings.Repeat("x", spec), AcceptedAt: time.Now().UnixMilli(),
		Steps: []graph.Step{{Count: members, Gang: true, Estimate: 2500 * time.Millisecond, Needs: graph.Resources{CPU: 7500, MemoryMB: 31000, Accelerators: 1}}},
	}
	r.pool.Do(func(p *pool.Pool, _ time.Time) {
		p.Submit(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return j.Steps[0].Estimate }})
	})
	value, err := EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	_, err = r.rows.Commit(t.Context(), store.Tx{Put: []store.Put{{Key: JobKey(dispatch.PartitionOf(j.ID, Partitions), j.ID), Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.d.Submitted(t.Context(), j); err != nil {
		t.Fatal(err)
	}
	r.tasks += members
}

// Twelve gangs of 26 arrive at once at a leader whose link carries 2 Mbit/s, so that
// their starts take five seconds to transmit. If the leader sent all of them at once, those
// that queue longer than the timeout of an order would be repeated, then stopped: gangs
// would start in part and be restarted, reports would be late and healthy targets
// unreachable, long after the burst. Each start has to wait in the leader instead, and each
// task must start once.
func TestBurstOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := startLeader(ctx, 12, 250_000)
		defer func() {
			cancel()
			<-r.ended
		}()
		const gangs, members = 12, 26
		for n := range gangs {
			r.submit(t, n, members, 4000)
		}
		time.Sleep(20 * time.Second)
		r.pool.Do(func(p *pool.Pool, _ time.Time) {
			is.Equal(p.Breaches(), nil)
			is.Equal(p.Starts(), r.tasks) // nothing was started twice
			for n := range gangs {
				is.Equal(p.TasksDone(graph.JobID(fmt.Sprintf("%016x", n+1))), members)
			}
		})
	})
}
