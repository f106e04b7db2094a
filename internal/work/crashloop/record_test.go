package crashloop_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/work/crashloop"
)

var kinds = map[rune]crashloop.Kind{'r': crashloop.Running, 't': crashloop.Together, 's': crashloop.Shared, 'o': crashloop.Sole}

// A task is blamed for losses that point at it, and not for those that have other causes.
func TestVerdict(t *testing.T) {
	for losses, want := range map[string]crashloop.Verdict{
		"": crashloop.Clear, "o": crashloop.Clear, "oo": crashloop.Clear, "ooo": crashloop.Guilty, "soo": crashloop.Guilty,
		"roo": crashloop.Guilty, "sso": crashloop.Clear, "rrr": crashloop.Clear, "sss": crashloop.Clear, "ssss": crashloop.Guilty,
		"ssso": crashloop.Guilty, "rrrr": crashloop.Clear, "rrsso": crashloop.Guilty, "tttt": crashloop.Clear, "toto": crashloop.Guilty, "ttttt": crashloop.Guilty, "rrrrr": crashloop.Guilty,
	} {
		t.Run(losses, func(t *testing.T) {
			is := is.New(t)
			var r crashloop.Record
			for i, k := range losses {
				r.Add(crashloop.Loss{Target: fmt.Sprint(i), Kind: kinds[k]}, time.Time{})
			}
			is.Equal(r.Verdict(time.Time{}), want)
		})
	}
}

// A target that only seemed lost does not count: until that is known, the task waits.
func TestOpenLosses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var r crashloop.Record
	r.Add(crashloop.Loss{Target: "a", Kind: crashloop.Sole}, now)
	r.Add(crashloop.Loss{Target: "b", Kind: crashloop.Sole}, now)
	r.Add(crashloop.Loss{Target: "c", Kind: crashloop.Sole, Open: true}, now.Add(time.Second))
	is.Equal(r.Verdict(now), crashloop.Pending)
	is.Equal(r.Verdict(now.Add(time.Second)), crashloop.Guilty)
	is.True(r.Settle("c"))
	is.Equal(r.Verdict(now), crashloop.Guilty)
	is.True(!r.Settle("c"))
	is.True(r.Withdraw("c"))
	is.Equal(r.Verdict(now.Add(time.Hour)), crashloop.Clear)
	is.Equal(r.Targets(), "a, b")
}

// A run that has lasted shows that its start crashes no target, and after a long time that
// it crashes none at all.
func TestLasted(t *testing.T) {
	is := is.New(t)
	var r crashloop.Record
	for name, k := range map[string]crashloop.Kind{"a": crashloop.Running, "b": crashloop.Together, "c": crashloop.Shared, "d": crashloop.Sole} {
		r.Add(crashloop.Loss{Target: name, Kind: k}, time.Time{})
	}
	is.Equal(r.Suspicious(), 2)
	is.Equal(r.AtStart(), 3)
	is.True(!r.Lasted(crashloop.ProvingTime - 1))
	is.True(r.Lasted(crashloop.ProvingTime))
	is.Equal(r.Losses(), []crashloop.Loss{{Target: "a"}})
	is.Equal(r.Suspicious(), 0)
	is.True(!r.Lasted(crashloop.ForgetTime - 1))
	is.True(r.Lasted(crashloop.ForgetTime))
	is.True(r.Empty())
}

// obviousVerdict is Verdict without open losses, by the definition.
func obviousVerdict(kinds string) bool {
	sole, shared := strings.Count(kinds, "o"), strings.Count(kinds, "s")
	return len(kinds) >= 5 || sole+shared >= 4 || len(kinds) >= 3 && sole >= 2
}

// Whatever is added, settled and withdrawn, the verdict follows from the losses that are
// left, and a task is never blamed for fewer than three.
func TestVerdictProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r crashloop.Record
		now := time.Unix(1000, 0)
		left := map[string]string{}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			target := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				r.Withdraw(target)
				delete(left, target)
			case 1:
				r.Settle(target)
			default:
				k := rapid.SampledFrom([]rune("rtso")).Draw(t, "kind")
				r.Add(crashloop.Loss{Target: target, Kind: kinds[k], Open: rapid.Bool().Draw(t, "open")}, now)
				left[target] = string(k)
			}
		}
		all := ""
		for _, k := range left {
			all += k
		}
		if guilty := r.Verdict(now) == crashloop.Guilty; guilty != obviousVerdict(all) || guilty && len(all) < 3 {
			t.Fatalf("losses %q: guilty %t", all, guilty)
		}
	})
}
