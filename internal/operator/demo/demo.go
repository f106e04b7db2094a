package demo

import (
	"context"
	"crypto/sha256"
	_ "embed" // the demo's configuration text
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/work/job"
)

//go:embed demo.ini
var configuration string

// Keys of the demo. They open nothing but the demo.
const (
	operatorKey = "demo-operator"
	accountKey  = "demo-norte"
	otherKey    = "demo-sur"
)

// errUnexpected says that a request of the demo came out otherwise than it must.
var errUnexpected = errors.New("a request came out otherwise than it must")

// row is a request of the demo and what became of it.
type row struct {
	part  string
	view  api.JobView
	err   error
	want  job.State
	taken time.Duration
}

// Run runs the demo and prints what became of each request.
func Run(ctx context.Context, out io.Writer, log logr.Logger) error {
	b, err := startBench(ctx, 2, hashOf(operatorKey), log)
	if err != nil {
		return err
	}
	rows, err := play(ctx, b, out)
	stopped := b.stop()
	if err != nil {
		return err
	}
	if err := printRows(out, rows); err != nil {
		return err
	}
	return stopped
}

func play(ctx context.Context, b *bench, out io.Writer) ([]row, error) {
	if err := apply(ctx, b, out); err != nil {
		return nil, err
	}
	var rows []row
	rows = append(rows, b.many(ctx, 12, "small jobs", accountKey, "refill.label", job.Succeeded)...)
	rows = append(rows, b.one(ctx, 0, "gang of 16", accountKey, "refill.plan", "gang", job.Succeeded))
	rows = append(rows, b.one(ctx, 1, "may run once only", accountKey, "refill.bill", "bill", job.Succeeded))
	rows = append(rows, b.one(ctx, 2, "same request again", accountKey, "refill.bill", "bill", job.Succeeded))
	rows = append(rows, b.one(ctx, 2, "can never run", accountKey, "refill.huge", "huge", job.NotRun))
	return rows, nil
}

// apply makes the text current and waits until all hosts have it in force.
func apply(ctx context.Context, b *bench, out io.Writer) error {
	c := client.New(b.callers(0), operatorKey, nil)
	if _, err := c.Apply(ctx, 0, "demo-1", configuration); err != nil {
		return fmt.Errorf("apply the demo's text: %w", err)
	}
	begun := time.Now()
	for {
		rows, err := c.InForce(ctx)
		if err != nil {
			return err
		}
		if len(rows) == len(b.hosts) && everywhere(rows, 1) {
			_, err = fmt.Fprintf(out, "version 1 in force on %d hosts of %d zones after %s\n", len(rows), len(zones), time.Since(begun).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("wait for version 1 in force: %w", ctx.Err())
		}
	}
}

func everywhere(rows []server.InForce, version int64) bool {
	for _, r := range rows {
		if r.Version != version {
			return false
		}
	}
	return true
}

func (b *bench) one(ctx context.Context, first int, part, key, kind, request string, want job.State) row {
	begun := time.Now()
	service, name, _ := strings.Cut(kind, ".")
	v, err := client.New(b.callers(first), key, nil).Submit(ctx, server.Request{RequestID: request, Service: service, Job: name}, 20*time.Second)
	return row{part: part, view: v, err: err, want: want, taken: time.Since(begun)}
}

func (b *bench) many(ctx context.Context, n int, part, key, kind string, want job.State) []row {
	rows := make([]row, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { rows[i] = b.one(ctx, i, part, key, kind, fmt.Sprintf("%s-%d", kind, i), want) })
	}
	wg.Wait()
	return rows
}

func printRows(out io.Writer, rows []row) error {
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PART\tJOB\tSTATE\tATTEMPT\tTIME\tREASON")
	bad := 0
	for _, r := range rows {
		reason := r.view.Reason
		if r.err != nil {
			reason = r.err.Error()
		}
		if r.err != nil || r.view.State != r.want {
			bad++
			reason = fmt.Sprintf("WANT %s: %s", r.want, reason)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", r.part, r.view.ID, r.view.State, r.view.Attempt, r.taken.Round(time.Millisecond), reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d: %w", bad, len(rows), errUnexpected)
	}
	return nil
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
