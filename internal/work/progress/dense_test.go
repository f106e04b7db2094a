package progress_test

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"math/big"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/crashloop"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// largeReason makes a row so large that it has the dense form.
var largeReason = strings.Repeat("r", 48<<10)

// drawStep draws the progress of a step as leaders write it: with no empty maps or lists, and sorted
// placements.
func drawStep(t *rapid.T) *progress.Step {
	task := rapid.IntRange(0, graph.MaxTasks-1)
	runs := rapid.IntRange(1, 1000)
	target := rapid.OneOf(rapid.SampledFrom([]string{"i-7", "i-7@mk3x9", ""}), rapid.String())
	s := &progress.Step{
		FailedRuns:  rapid.MapOf(task, rapid.SliceOfN(runs, 1, 4)).Draw(t, "failures"),
		Checkpoints: rapid.MapOf(task, rapid.String()).Draw(t, "checkpoints"),
		LastRuns:    rapid.MapOf(task, runs).Draw(t, "runs"),
		Losses: rapid.MapOf(task, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crashloop.Loss {
			return crashloop.Loss{Target: target.Draw(t, "lost"), Kind: crashloop.Kind(rapid.IntRange(0, 3).Draw(t, "kind")), Open: rapid.Bool().Draw(t, "open")}
		}), 1, 5)).Draw(t, "losses"),
		Placements: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) progress.Placement {
			return progress.Placement{Task: task.Draw(t, "task"), Target: target.Draw(t, "target"), Run: runs.Draw(t, "run")}
		}), 1, 20).Draw(t, "placements"),
	}
	slices.SortFunc(s.Placements, func(a, b progress.Placement) int {
		if a.Task != b.Task {
			return a.Task - b.Task
		}
		if a.Run != b.Run {
			return a.Run - b.Run
		}
		return strings.Compare(a.Target, b.Target)
	})
	if done := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "done"); done[0] != 0 {
		s.Done = new(big.Int).SetBytes(done)
	}
	for _, m := range []any{&s.FailedRuns, &s.Checkpoints, &s.LastRuns, &s.Losses} {
		if v := reflect.ValueOf(m).Elem(); v.Len() == 0 {
			v.SetZero()
		}
	}
	return s
}

// Progress that a leader records decodes to the same value for the next leader, in either form. What is
// lost would be started a second time, and what is added would never be started.
func TestAnyProgressRoundTrips(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		j := &progress.Job{
			State:   rapid.SampledFrom([]progress.State{progress.Queued, progress.Running, progress.Failed}).Draw(t, "state"),
			Ended:   rapid.Int64().Draw(t, "ended"),
			Started: rapid.Bool().Draw(t, "started"), MayHaveStarted: rapid.Bool().Draw(t, "mayHaveStarted"),
			ClosedOccurrences: rapid.SampledFrom([]*big.Int{nil, big.NewInt(5), new(big.Int).Lsh(big.NewInt(3), 9998)}).Draw(t, "closed"),
			Cause:             rapid.SampledFrom([]progress.Cause{"", progress.CrashLoop}).Draw(t, "cause"),
			Reason:            rapid.SampledFrom([]string{"", largeReason}).Draw(t, "reason"),
		}
		for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"0.0", "0.1", "3.0"}), 0, 3, rapid.ID).Draw(t, "steps") {
			if j.Steps == nil {
				j.Steps = map[string]*progress.Step{}
			}
			j.Steps[key] = drawStep(t)
		}
		b, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if plain := json.Valid(b); plain != (j.Reason == "" && len(b) <= 48<<10) {
			t.Fatalf("%d bytes, plain: %t", len(b), plain)
		}
		back, err := progress.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back, j) {
			t.Fatalf("decoded %+v, want %+v", back, j)
		}
	})
}

// The largest job that is accepted has checkpoints of random digits, and each of its tasks is placed on
// one of many targets, has failed and has lost a target. Its row must fit into the store, which refuses it
// for good otherwise.
func TestLargestRowFitsIntoTheStore(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewSource(1))
	var targets []string
	for range 350 {
		targets = append(targets, fmt.Sprintf("i-%010x@mk3x%04x", random.Int63n(1<<40), random.Intn(1<<16)))
	}
	s := &progress.Step{Checkpoints: map[int]string{}, FailedRuns: map[int][]int{}, Losses: map[int][]crashloop.Loss{}}
	for i := range graph.MaxTasks {
		s.Checkpoints[i] = fmt.Sprintf("%016x", random.Uint64())
		s.Placements = append(s.Placements, progress.Placement{Task: i, Target: targets[random.Intn(len(targets))], Run: 3 + random.Intn(2)})
		s.FailedRuns[i] = []int{1 + random.Intn(2)}
		s.Losses[i] = []crashloop.Loss{{Target: targets[random.Intn(len(targets))], Kind: crashloop.Kind(random.Intn(4))}}
	}
	j := &progress.Job{State: progress.Running, Started: true, Steps: map[string]*progress.Step{"0.0": s}}
	b, err := j.Encode()
	is.NoErr(err)
	if len(b) > 64<<10 {
		t.Errorf("%d bytes", len(b))
	}
	back, err := progress.Decode(b)
	is.NoErr(err)
	is.True(reflect.DeepEqual(back, j))
}

// A target may send a checkpoint that is not UTF-8. JSON replaces its bytes, which must not make the whole
// row malformed: the job would start again.
func TestDenseRowWithCheckpointThatIsNoText(t *testing.T) {
	is := is.New(t)
	j := &progress.Job{State: progress.Running, Reason: largeReason, Steps: map[string]*progress.Step{"0.0": {Checkpoints: map[int]string{0: "a\xff\xfeb", 1: "c"}}}}
	b, err := j.Encode()
	is.NoErr(err)
	back, err := progress.Decode(b)
	is.NoErr(err)
	is.Equal(back.Steps["0.0"].Checkpoints[1], "c")
}

// denseRow returns a dense row with a JSON text.
func denseRow(text string) []byte {
	out := bytes.NewBuffer([]byte{1})
	w, _ := flate.NewWriter(out, flate.BestSpeed)
	_, _ = w.Write([]byte(text))
	_ = w.Close()
	return out.Bytes()
}

// A dense row whose lists do not fit together, or that is cut off, is an error and is not decoded as
// another progress: tasks would be taken for done or not started.
func TestDecodeRejectsMalformedDenseRows(t *testing.T) {
	is := is.New(t)
	_, err := progress.Decode(denseRow(`{"state":"running","targets":["t"],"steps":{"0.0":{"on":{"t":[4],"n":[1],"on":[0],"i":[2]}}}}`))
	is.NoErr(err)
	for _, step := range []string{
		"null", `{"done":"x"}`,
		`{"failures":{"t":[1],"n":[2],"i":[1]}}`, `{"failures":{"t":[1],"n":[1],"i":[1,2]}}`, `{"failures":{"t":[1,2],"n":[1],"i":[1]}}`, `{"failures":{"t":[1],"n":[-1],"i":[1]}}`,
		`{"runs":{"t":[1],"n":[2],"i":[1,2]}}`, `{"runs":{"t":[1],"n":[0]}}`,
		`{"saved":{"t":[1],"n":[1],"i":[3],"text":"ab"}}`, `{"saved":{"t":[1],"n":[1],"i":[1],"text":"ab"}}`, `{"saved":{"t":[1],"n":[1],"i":[-1],"text":""}}`,
		`{"on":{"t":[1],"n":[1],"on":[1],"i":[1]}}`, `{"on":{"t":[1],"n":[1],"on":[-1],"i":[1]}}`, `{"on":{"t":[1],"n":[1],"on":[0]}}`, `{"on":{"t":[1],"n":[2],"on":[0],"i":[1]}}`,
		`{"losses":{"t":[1],"n":[1],"on":[0],"i":[1]}}`, `{"losses":{"t":[1],"n":[1],"on":[2],"i":[1],"open":[true]}}`,
	} {
		if _, err := progress.Decode(denseRow(`{"state":"running","targets":["t"],"steps":{"0.0":` + step + `}}`)); err == nil {
			t.Errorf("decoded %s", step)
		}
	}
	whole := denseRow(`{"state":"running"}`)
	for _, row := range [][]byte{whole[:1], whole[:len(whole)/2], denseRow(`{"state":"resting"}`), denseRow(""), denseRow(`{"state":"queued","reason":"` + strings.Repeat("r", 16<<20) + `"}`)} {
		_, err := progress.Decode(row)
		is.True(err != nil)
	}
}
