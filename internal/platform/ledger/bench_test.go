package ledger

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"guavaglade.example/guavaglade/internal/work/job"
)

// BenchmarkJob takes durable jobs through admission, claim and outcome. It
// reports the writes and reads of a job, and the bytes of its rows while it is
// unfinished and after it ended, by the length of input and answer.
func BenchmarkJob(b *testing.B) {
	for _, size := range []int{0, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			f := newFake()
			reads := 0
			f.before = func(_ context.Context, writes int) {
				if writes == 0 {
					reads++
				}
			}
			l := New(f, "10.0.0.1:7000#1764662400000000000")
			body := bytes.Repeat([]byte("x"), size)
			open, ended, n := 0, 0, 0
			b.ReportAllocs()
			for b.Loop() {
				j := testJob(fmt.Sprintf("order-%08d", n), job.Long(true), job.Repeatable(true), job.WithInput(body))
				n++
				if err := l.Admit(b.Context(), j); err != nil {
					b.Fatal(err)
				}
				if c, err := l.ClaimJob(b.Context(), j, 1); err != nil || !c.Won {
					b.Fatal(c, err)
				}
				open += rowBytes(f, j)
				if err := l.Record(b.Context(), j, succeeded(j, 1, string(body))); err != nil {
					b.Fatal(err)
				}
				ended += rowBytes(f, j)
				clear(f.rows)
				clear(f.history)
			}
			jobs := float64(n)
			b.ReportMetric(float64(f.written)/jobs, "writes/job")
			b.ReportMetric(float64(reads)/jobs, "reads/job")
			b.ReportMetric(float64(open)/jobs, "B/openJob")
			b.ReportMetric(float64(ended)/jobs, "B/endedJob")
		})
	}
}

func rowBytes(f *fakeTable, j job.Job) int {
	n := 0
	for key, r := range f.rows {
		if strings.HasSuffix(key, string(j.ID())) {
			n += len(key) + len(r.Value)
		}
	}
	return n
}

// BenchmarkChange accepts configurations of several lengths. It reports the
// writes and reads of a change and the bytes of the row that every host polls.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			f := newFake()
			reads, n := 0, int64(0)
			f.before = func(_ context.Context, writes int) {
				if writes == 0 {
					reads++
				}
			}
			l := New(f, "10.0.0.1:7000#1764662400000000000")
			body := bytes.Repeat([]byte("x"), size)
			for b.Loop() {
				if _, err := l.Change(b.Context(), n, fmt.Sprintf("%036d", n), body); err != nil {
					b.Fatal(err)
				}
				n++
				clear(f.history)
			}
			b.ReportMetric(float64(f.written)/float64(n), "writes/change")
			b.ReportMetric(float64(reads)/float64(n), "reads/change")
			b.ReportMetric(float64(len(f.rows[currentKey].Value)), "B/current")
		})
	}
}
