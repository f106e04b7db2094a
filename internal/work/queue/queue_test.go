package queue_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

var start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

func item(tb interface{ Fatal(...any) }, n, since int, opts ...job.Option) queue.Item {
	s, err := cell.NewShape(1, 1, 1, 1, cell.Any)
	if err != nil {
		tb.Fatal(err)
	}
	j, err := job.New(job.ID(fmt.Sprintf("j%d", n)), fmt.Sprintf("a%d", n%3), "s", s, opts...)
	if err != nil {
		tb.Fatal(err)
	}
	return queue.Item{Job: j, Since: start.Add(time.Duration(since) * time.Second)}
}

func TestBoundPerAccount(t *testing.T) {
	is := is.New(t)
	q := queue.New(2)
	is.NoErr(q.Push(item(t, 0, 0)))
	is.NoErr(q.Push(item(t, 3, 0)))
	is.True(errors.Is(q.Push(item(t, 6, 0)), queue.ErrFull))
	is.NoErr(q.Push(item(t, 3, 0))) // known already
	is.NoErr(q.Push(item(t, 1, 0))) // another account
	q.Restore(item(t, 9, 0))        // accepted once: not bound
	is.Equal(q.Len(), 4)
}

// After any pushes, removals and passing deadlines the queue holds the same jobs
// as a plain slice does, and each bucket's head is its earliest.
func TestQueueAgainstASlice(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		q := queue.New(0)
		slow := map[job.ID]queue.Item{}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, it := range q.Expired(now) {
					if it.Job.Deadline().After(now) {
						t.Fatalf("%s expired early", it.Job.ID())
					}
					delete(slow, it.Job.ID())
				}
				checkHeads(t, q, slow, now)
			},
			"push": func(t *rapid.T) {
				var opts []job.Option
				if rapid.Bool().Draw(t, "hasDeadline") {
					opts = append(opts, job.StartBy(start.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline"))*time.Second)))
				}
				it := item(t, rapid.IntRange(0, 40).Draw(t, "job"), rapid.IntRange(0, 60).Draw(t, "since"), opts...)
				if _, known := slow[it.Job.ID()]; !known {
					slow[it.Job.ID()] = it
				}
				q.Restore(it)
			},
			"remove": func(t *rapid.T) {
				id := job.ID(fmt.Sprintf("j%d", rapid.IntRange(0, 40).Draw(t, "job")))
				if _, ok := q.Remove(id); ok != (slow[id].Job.ID() == id) {
					t.Fatalf("remove %s: %v", id, ok)
				}
				delete(slow, id)
			},
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s")) * time.Second) },
		})
	})
}

func checkHeads(t *rapid.T, q *queue.Queue, slow map[job.ID]queue.Item, now time.Time) {
	if q.Len() != len(slow) {
		t.Fatalf("%d wait, want %d", q.Len(), len(slow))
	}
	earliest := map[queue.Class]time.Time{}
	for _, it := range slow {
		if d := it.Job.Deadline(); !d.IsZero() && !d.After(now) {
			t.Fatalf("%s waits past its deadline", it.Job.ID())
		}
		c := queue.ClassOf(it.Job)
		if at, ok := earliest[c]; !ok || it.Since.Before(at) {
			earliest[c] = it.Since
		}
	}
	for _, b := range q.Buckets() {
		if it, ok := b.Head(now); !ok || !it.Since.Equal(earliest[b.Class()]) {
			t.Fatalf("head of %v is %v, want one of %v", b.Class(), it, earliest[b.Class()])
		}
	}
	if len(q.Buckets()) != len(earliest) {
		t.Fatalf("%d buckets, want %d", len(q.Buckets()), len(earliest))
	}
}

// BenchmarkCancelWave cancels all jobs of a queue, the earliest first, in a
// wave, and reports the time of one cancellation.
func BenchmarkCancelWave(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			items := make([]queue.Item, n)
			for i := range items {
				items[i] = item(b, i, i)
			}
			for range b.N {
				b.StopTimer()
				q := queue.New(n)
				for _, it := range items {
					q.Restore(it)
				}
				b.StartTimer()
				for _, it := range items {
					q.Remove(it.Job.ID())
				}
				q.Buckets()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/cancellation")
		})
	}
}
