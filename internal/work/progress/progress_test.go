package progress_test

import (
	"fmt"
	"math/big"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/progress"
)

// Progress that a leader records decodes to the same value for the next leader.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	j := &progress.Job{State: progress.Running, Started: true, Steps: map[string]*progress.Step{
		"0.1": {
			Done: big.NewInt(0b1011), FailedRuns: map[int][]int{2: {1, 4}}, Checkpoints: map[int]string{2: "c"}, LastRuns: map[int]int{2: 5},
			Placements: []progress.Placement{{Task: 2, Target: "t#1", Run: 5}, {Task: 2, Target: "t#2", Run: 6}, {Task: 4, Target: "t#1", Run: 1}},
		},
	}}
	b, err := j.Encode()
	is.NoErr(err)
	back, err := progress.Decode(b)
	is.NoErr(err)
	is.True(reflect.DeepEqual(back, j))
}

// A leader takes over from one of an earlier version, whose rows hold placements by
// task. If they were ignored, the runs would be started a second time.
func TestDecodeLegacyRows(t *testing.T) {
	is := is.New(t)
	j, err := progress.Decode([]byte(`{"state":"running","steps":{"0.0":{"runs":{"0":2,"3":1},"placed":{"3":{"target":"t#9","run":1},"0":{"target":"t#1","run":2}}}}}`))
	is.NoErr(err)
	is.Equal(j.Steps["0.0"].Placements, []progress.Placement{{Task: 0, Target: "t#1", Run: 2}, {Task: 3, Target: "t#9", Run: 1}})
}

// The row of a step is sent each time a task ends. For 78 tasks on 20 targets it must
// take less than ten bytes a task, not counting the names of the targets.
func TestWideStepRowSize(t *testing.T) {
	is := is.New(t)
	const tasks, targets, nameBytes = 78, 20, 20
	s := &progress.Step{}
	for i := range tasks {
		s.Placements = append(s.Placements, progress.Placement{Task: i, Target: fmt.Sprintf("i-%010x", i%targets), Run: 1})
	}
	j := &progress.Job{State: progress.Running, Started: true, Steps: map[string]*progress.Step{"0.0": s}}
	b, err := j.Encode()
	is.NoErr(err)
	is.True(len(b) < 100+10*tasks+nameBytes*targets)
}

// A malformed row, or one of another writer whose state is unknown, is an error and is
// not decoded as a job that has not started.
func TestDecodeRejectsMalformedRows(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "{}", `{"state":"resting"}`, `{"state":7}`, `[1]`, `{"state":"running","steps":{"0.0":{"done":"x"}}}`, `{"state":"running","steps":{"0.0":{"on":{"t":[1]}}}}`} {
		_, err := progress.Decode([]byte(text))
		is.True(err != nil)
	}
}

// Only the states that a job never leaves are final.
func TestFinal(t *testing.T) {
	is := is.New(t)
	for s, final := range map[progress.State]bool{
		progress.Queued: false, progress.Running: false, progress.Completed: true, progress.Failed: true,
		progress.Cancelled: true, progress.NotRun: true,
	} {
		is.Equal(s.Final(), final)
	}
}

// Decode returns either progress that can be encoded again or an error, whatever the row.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{`{"state":"queued"}`, `{"state":"running","steps":{"0.0":{"done":3,"runs":{"0":1}}}}`, "null", "\x00"} {
		f.Add([]byte(s))
	}
	f.Add(denseRow(`{"state":"running","targets":["t"],"steps":{"0.0":{"done":3,"saved":{"t":[4],"n":[1],"i":[2],"text":"ab"},"on":{"t":[4],"n":[1],"on":[0],"i":[2]}}}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		j, err := progress.Decode(value)
		if (j == nil) != (err != nil) {
			t.Fatal("want either progress or an error")
		}
		if err == nil {
			if _, err := j.Encode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
