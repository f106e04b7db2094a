package request_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/request"
)

const configText = `
[service refill]
objectiveTarget = 0.9
objectiveWithin = 5s

[job refill.label]
accelerators = 1
cores = 2
memory = 4096
declared = 3s

[job refill.plan]
members = 4
accelerators = 8
adjacency = rack
stoppable = true
startIn = 10s

[job refill.bill]
members = 2
accelerators = 3
cores = 1
adjacency = worker
repeatable = false
`

// config returns the parsed configText.
func config(t *testing.T) *text.Config {
	t.Helper()
	c, err := text.Parse([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// A job has the needs, the shape and the limits of its kind in the configuration.
func TestResolve(t *testing.T) {
	is := is.New(t)
	c := config(t)
	label, err := request.Request{RequestID: "r1", Service: "refill", Job: "label", Input: []byte("x")}.Resolve(c, "norte", noon)
	is.NoErr(err)
	is.Equal(label.Queue, "refill.label")
	is.Equal(label.Spec, "x")
	is.Equal(label.Steps[0].Needs, graph.Resources{CPU: 2000, MemoryMB: 4096, Accelerators: 1})
	is.Equal(label.Steps[0].Estimate, 3*time.Second)
	is.True(!label.Steps[0].Gang && !label.AtMostOnce)

	plan, err := request.Request{RequestID: "r2", Service: "refill", Job: "plan"}.Resolve(c, "norte", noon)
	is.NoErr(err)
	is.True(plan.Steps[0].Gang && plan.Steps[0].SameRack && plan.Steps[0].Checkpointing)
	is.Equal(plan.Steps[0].Count, 4)
	is.Equal(plan.StartBy, noon.Add(10*time.Second).UnixMilli())

	// Members that share a worker are one task with the needs of all.
	bill, err := request.Request{RequestID: "r3", Service: "refill", Job: "bill"}.Resolve(c, "norte", noon)
	is.NoErr(err)
	is.True(bill.AtMostOnce && !bill.Steps[0].Gang)
	is.Equal(bill.Steps[0].Count, 1)
	is.Equal(bill.Steps[0].Needs, graph.Resources{CPU: 2000, MemoryMB: 2048, Accelerators: 6})
	is.Equal(bill.MaxAttempts, 1)
}

// A malformed request is ErrInvalid; a service or job that the configuration lacks is
// ErrNotFound.
func TestResolveRejectsInvalidRequests(t *testing.T) {
	c := config(t)
	for name, r := range map[string]request.Request{
		"no request id": {Service: "refill", Job: "label"},
		"malformed id":  {RequestID: "a b", Service: "refill", Job: "label"},
		"large input":   {RequestID: "a", Service: "refill", Job: "label", Input: []byte(strings.Repeat("x", request.MaxInputBytes+1))},
	} {
		if _, err := r.Resolve(c, "norte", noon); !errors.Is(err, request.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
		}
	}
	for _, r := range []request.Request{{RequestID: "a", Service: "x", Job: "label"}, {RequestID: "a", Service: "refill", Job: "x"}} {
		if _, err := r.Resolve(c, "norte", noon); !errors.Is(err, request.ErrNotFound) {
			t.Errorf("%v: got %v, want ErrNotFound", r, err)
		}
	}
}

// A request that is sent again is the same job, whichever host receives it. Job ids
// of two accounts never collide, even if account name and request id concatenate to
// the same text.
func TestJobIDIsStableAndUnique(t *testing.T) {
	is := is.New(t)
	is.Equal(request.JobID("norte", "r1"), request.JobID("norte", "r1"))
	is.True(request.JobID("norte", "r1") != request.JobID("sur", "r1"))
	is.True(request.JobID("a/", "b") != request.JobID("a", "/b"))
	is.True(request.JobID("norte", "r1").Valid())
}
