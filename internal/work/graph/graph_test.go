package graph_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
)

const id = graph.JobID("00112233445566aa")

// validJob returns a job of two steps of one second, the second after the first.
func validJob() *graph.Job {
	step := graph.Step{Count: 2, Needs: graph.Resources{CPU: 100}, Estimate: time.Second}
	after := step
	after.After = []int{0}
	return &graph.Job{ID: id, SlackFactor: 2, Allowance: time.Second, Steps: []graph.Step{step, after}}
}

// The error for an invalid job names the property that is wrong.
func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(validJob().Validate())
	for want, invalidate := range map[string]func(j *graph.Job){
		"hexadecimal":     func(j *graph.Job) { j.ID = "x" },
		"spec":            func(j *graph.Job) { j.Spec = strings.Repeat("x", graph.MaxSpecBytes+1) },
		"0 steps":         func(j *graph.Job) { j.Steps = nil },
		"occurrences":     func(j *graph.Job) { j.Repeat = graph.MaxOccurrences + 1 },
		"interval":        func(j *graph.Job) { j.Every = -1 },
		"0 tasks":         func(j *graph.Job) { j.Steps[0].Count = 0 },
		"negative amount": func(j *graph.Job) { j.Steps[0].Needs.CPU = -1 },
		"after step 1":    func(j *graph.Job) { j.Steps[1].After = []int{1} },
		"after step -1":   func(j *graph.Job) { j.Steps[1].After = []int{-1} },
		"tasks, at most":  func(j *graph.Job) { j.Steps[0].Count, j.Steps[1].Count = graph.MaxTasks, 1 },
	} {
		j := validJob()
		invalidate(j)
		err := j.Validate()
		is.True(errors.Is(err, graph.ErrInvalid))
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
}

// longestPath returns the longest path that ends with a step, by exhaustive search.
func longestPath(j *graph.Job, step int) time.Duration {
	longest := time.Duration(0)
	for _, a := range j.Steps[step].After {
		longest = max(longest, longestPath(j, a))
	}
	return longest + j.Steps[step].Estimate
}

// The critical path of a random job of up to 7 steps is as long as the longest path that an
// exhaustive search finds.
func TestCriticalPathMatchesExhaustiveSearch(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		j := &graph.Job{ID: id}
		for i := range rapid.IntRange(1, 7).Draw(rt, "steps") {
			s := graph.Step{Count: 1, Estimate: time.Duration(rapid.IntRange(0, 9).Draw(rt, "estimate")) * time.Second}
			for a := range i {
				if rapid.Bool().Draw(rt, "after") {
					s.After = append(s.After, a)
				}
			}
			j.Steps = append(j.Steps, s)
		}
		want := time.Duration(0)
		for i := range j.Steps {
			want = max(want, longestPath(j, i))
		}
		if got := j.CriticalPath(); got != want {
			rt.Fatalf("critical path %v, want %v", got, want)
		}
	})
}

// A text that parses is the one that the parsed id is written as, so that two texts never
// name the same task.
func FuzzParseTaskID(f *testing.F) {
	for _, s := range []string{"00112233445566aa.0.0.1", "00112233445566aa.00.0.1", "x.0.0.0", "00112233445566aa.0.0.-1", "...", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := graph.ParseTaskID(text); err == nil && id.String() != text {
			t.Fatalf("%q parsed as %s", text, id)
		}
	})
}

func ExampleJob_Objective() {
	j := validJob()
	fmt.Println(j.CriticalPath(), j.Objective())
	// Output: 2s 5s
}

func ExampleParseTaskID() {
	id, err := graph.ParseTaskID("00112233445566aa.0.1.4")
	fmt.Println(id.Step, id.Index, err)
	// Output: 1 4 <nil>
}
