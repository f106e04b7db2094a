package progress_test

import (
	"math/big"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/progress"
)

// What a leader records, its successor reads.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	j := &progress.Job{State: progress.Running, Started: true, Steps: map[string]*progress.Step{
		"0.1": {
			Done: big.NewInt(0b1011), Failures: map[int][]int{2: {1, 4}}, Saved: map[int]string{2: "c"}, Runs: map[int]int{2: 5},
			Placed: map[int]progress.Place{2: {Target: "t#1", Run: 5}},
		},
	}}
	b, err := j.Encode()
	is.NoErr(err)
	back, err := progress.Decode(b)
	is.NoErr(err)
	is.True(reflect.DeepEqual(back, j))
}

// A row of another writer names no state of ours: it is refused, not taken for a
// job that has not begun.
func TestDecodeRefuses(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "{}", `{"state":"resting"}`, `{"state":7}`, `[1]`, `{"state":"running","steps":{"0.0":{"done":"x"}}}`} {
		_, err := progress.Decode([]byte(text))
		is.True(err != nil)
	}
}

func TestFinal(t *testing.T) {
	is := is.New(t)
	for s, final := range map[progress.State]bool{
		progress.Queued: false, progress.Running: false, progress.Completed: true, progress.Failed: true,
		progress.Cancelled: true, progress.NotRun: true,
	} {
		is.Equal(s.Final(), final)
	}
}

func FuzzDecode(f *testing.F) {
	for _, s := range []string{`{"state":"queued"}`, `{"state":"running","steps":{"0.0":{"done":3,"runs":{"0":1}}}}`, "null", "\x00"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		j, err := progress.Decode(value)
		if (j == nil) != (err != nil) {
			t.Fatal("progress and error do not exclude each other")
		}
		if err == nil {
			if _, err := j.Encode(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
