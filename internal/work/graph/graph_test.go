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

func sound() *graph.Job {
	step := graph.Step{Count: 2, Needs: graph.Resources{CPU: 100}, Estimate: time.Second}
	after := step
	after.After = []int{0}
	return &graph.Job{ID: id, SlackFactor: 2, Allowance: time.Second, Steps: []graph.Step{step, after}}
}

// Each way in which a job cannot be accepted has its own words.
func TestCheck(t *testing.T) {
	is := is.New(t)
	is.NoErr(sound().Validate())
	for want, spoil := range map[string]func(j *graph.Job){
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
		j := sound()
		spoil(j)
		err := j.Validate()
		is.True(errors.Is(err, graph.ErrInvalid))
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%v: want %q in it", err, want)
		}
	}
}

// chain is the longest chain by trying all ways back from each step.
func chain(j *graph.Job, step int) time.Duration {
	longest := time.Duration(0)
	for _, a := range j.Steps[step].After {
		longest = max(longest, chain(j, a))
	}
	return longest + j.Steps[step].Estimate
}

func TestChainAgainstAllWays(t *testing.T) {
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
			want = max(want, chain(j, i))
		}
		if got := j.CriticalPath(); got != want {
			rt.Fatalf("chain %v, want %v", got, want)
		}
	})
}

// Two texts never name the same task.
func FuzzParseTaskID(f *testing.F) {
	for _, s := range []string{"00112233445566aa.0.0.1", "00112233445566aa.00.0.1", "x.0.0.0", "00112233445566aa.0.0.-1", "...", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := graph.ParseTaskID(text); err == nil && id.String() != text {
			t.Fatalf("%q is read as %s", text, id)
		}
	})
}

func ExampleJob_Objective() {
	j := sound()
	fmt.Println(j.CriticalPath(), j.Objective())
	// Output: 2s 5s
}

func ExampleParseTaskID() {
	id, err := graph.ParseTaskID("00112233445566aa.0.1.4")
	fmt.Println(id.Step, id.Index, err)
	// Output: 1 4 <nil>
}
