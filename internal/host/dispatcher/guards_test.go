package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

const someJob = graph.JobID("00000000000000aa")

// orderCounter counts the orders that reach a line.
type orderCounter struct {
	starts, stops, paces, holds int
}

func (s *orderCounter) Start(context.Context, order.Address, order.Start) (int64, error) {
	s.starts++
	return 1, nil
}

func (s *orderCounter) Stop(context.Context, order.Address, order.Run, int64) (int64, error) {
	s.stops++
	return 1, nil
}

func (s *orderCounter) Poll(context.Context, order.Address, order.Poll) (order.Report, error) {
	s.holds++
	return order.Report{}, nil
}

func (s *orderCounter) Pace(context.Context, order.Address, order.Run, int, int64) (int64, error) {
	s.paces++
	return 1, nil
}

// newLeadership returns an office whose term was taken at the time given, at a time now.
func newLeadership(table store.Store, line order.Transport, taken, now time.Time) *leadership {
	d := New(table, line, nil, dispatch.DefaultBounds(), logr.Discard(), WithClock(func() time.Time { return now }))
	return &leadership{Dispatcher: d, limiter: limiter.NewLimiter(time.Now), ctx: context.Background(), term: leader.NewTerm(7, taken), events: make(chan func(time.Time), 100)}
}

// A leader decides, and its process stands still before the order is sent. Another
// host leads by the time it wakes. No order of the old one leaves: the fence of a
// target that the new leader has not reached yet would let it through.
func TestNoOrderAfterTheTerm(t *testing.T) {
	is := is.New(t)
	taken := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		sent  int
	}{{leader.Grace / 2, 1}, {leader.Grace, 0}} {
		line := &orderCounter{}
		o := newLeadership(rows.New(0), line, taken, taken.Add(c.after))
		o.start(dispatch.Start{})
		o.stop(dispatch.Stop{})
		o.poll(dispatch.Hold{})
		o.pace(dispatch.Pace{})
		is.Equal(*line, orderCounter{c.sent, c.sent, c.sent, c.sent})
	}
}

// newFenced returns a table with a fence row, and an office that knows its version.
func newFenced() (*rows.Table, *leadership, dispatch.Save) {
	table := rows.New(0)
	o := newLeadership(table, &orderCounter{}, time.Unix(1000, 0), time.Unix(1000, 0))
	c := dispatch.Save{Part: partOf(), Rows: []dispatch.SaveRow{{Job: someJob, Value: []byte("{}"), Completes: true}}}
	o.fences[c.Part] = table.Put(fenceKey(c.Part), []byte("7"))
	return table, o, c
}

func partOf() int { return dispatch.PartOf(someJob, Partitions) }

// A leader was succeeded and does not know it. What it records after the successor
// wrote its fence rows must not take effect: the successor has read the rows.
func TestProgressIsWrittenUnderTheFence(t *testing.T) {
	is := is.New(t)
	table, o, c := newFenced()
	_, err := table.Commit(context.Background(), o.transaction(c))
	is.NoErr(err)
	table, o, c = newFenced()
	table.Put(fenceKey(c.Part), []byte("8"))
	_, err = table.Commit(context.Background(), o.transaction(c))
	is.True(err != nil)
	is.Equal(table.Get(ProgressKey(c.Part, someJob)).Version, int64(0))
}

// A client cancels a job and is told so, while its last task ends. The job must not
// be recorded as completed: the client would be told both.
func TestCancelledJobIsNotCompleted(t *testing.T) {
	is := is.New(t)
	table, o, c := newFenced()
	table.Put(CancelKey(c.Part, someJob), []byte("{}"))
	_, err := table.Commit(context.Background(), o.transaction(c))
	is.True(err != nil)
	is.Equal(table.Get(ProgressKey(c.Part, someJob)).Version, int64(0))
}

// slowReports is a line whose targets take half a second for a report.
type slowReports struct{ orderCounter }

func (s *slowReports) Poll(ctx context.Context, _ order.Address, _ order.Poll) (order.Report, error) {
	select {
	case <-time.After(500 * time.Millisecond):
		return order.Report{Clock: 1}, nil
	case <-ctx.Done():
		return order.Report{}, order.ErrUnanswered
	}
}

// A target takes half a second for a report that waits for nothing, longer than a start
// may take: a lost packet is sent again after a fifth of a second, and once more after
// two. It is not taken for silent.
func TestSlowReportIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newLeadership(rows.New(0), &slowReports{}, time.Now(), time.Now())
		_, err := o.requestReport(dispatch.Hold{})
		is.NoErr(err)
	})
}
