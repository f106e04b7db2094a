package headroom_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/headroom"
)

// Times of the tests, in milliseconds since 1970.
const (
	start  = int64(1_700_000_000_000)
	second = int64(1000)
)

const (
	shortStop = 400 * time.Millisecond
	longStop  = 900 * time.Millisecond
	usable    = 4000 // accelerators
)

// gang returns the needs of a gang whose tasks together need a number of accelerators.
func gang(accelerators int) graph.Resources {
	return graph.Resources{CPU: 4000 * accelerators, MemoryMB: 16000 * accelerators, Accelerators: accelerators}
}

// arrivals passes jobs of 20 accelerators at a rate per second to a tracker, from one time
// to another.
func arrivals(t *headroom.Tracker, rate, from, to int64, slack time.Duration) {
	for at := from; at < to; at += second / rate {
		t.Arrived(headroom.Arrival{At: at, Needs: gang(20), Slack: slack}, at)
	}
}

// At a steady rate, headroom is what arrives during one stop plus two standard deviations, and
// does not change from second to second.
func TestSteadyRate(t *testing.T) {
	is := is.New(t)
	h := headroom.New(longStop)
	want := int(180 + 2*math.Sqrt(9*400)) // 9 jobs in 900 ms
	arrivals(h, 10, start, start+5*second, 0)
	for at := start + 5*second; at < start+20*second; at += second {
		is.Equal(h.Headroom(at-1, usable), gang(want))
		arrivals(h, 10, at, at+second, 0)
	}
}

// During a burst of two to three times the rate, headroom rises to the new rate within the
// window, and each second before shows a part of it.
func TestBurst(t *testing.T) {
	for _, factor := range []int64{2, 3} {
		is := is.New(t)
		h := headroom.New(longStop)
		arrivals(h, 5, start, start+10*second, 0)
		before := h.Headroom(start+10*second-1, usable).Accelerators
		last := before
		for n := range int64(6) {
			from := start + (10+n)*second
			arrivals(h, 5*factor, from, from+second, 0)
			now := h.Headroom(from+second-1, usable).Accelerators
			is.Equal(now > last, n < 4)
			last = now
		}
		is.True(float64(last) > 1.4*float64(before)) // the deviation grows less than the rate
	}
}

// After a burst, headroom is back at what the steady rate needs once the window has passed,
// so that no capacity idles for a burst that is over.
func TestBurstEnds(t *testing.T) {
	is := is.New(t)
	h := headroom.New(longStop)
	arrivals(h, 5, start, start+10*second, 0)
	before := h.Headroom(start+10*second-1, usable)
	arrivals(h, 15, start+10*second, start+16*second, 0)
	arrivals(h, 5, start+16*second, start+20*second, 0)
	is.Equal(h.Headroom(start+20*second-1, usable), before)
}

// Without urgent work nothing is kept free: neither before the first arrival nor a window
// after the last.
func TestNoUrgentWork(t *testing.T) {
	is := is.New(t)
	h := headroom.New(longStop)
	is.Equal(h.Headroom(start, usable), graph.Resources{})
	arrivals(h, 10, start, start+5*second, 0)
	is.True(h.Headroom(start+5*second, usable).Accelerators > 0)
	is.Equal(h.Headroom(start+9*second, usable), graph.Resources{})
}

// Jobs that can wait for a preemption need no headroom.
func TestMuchSlack(t *testing.T) {
	is := is.New(t)
	h := headroom.New(longStop)
	arrivals(h, 10, start, start+10*second, longStop)
	is.Equal(h.Headroom(start+10*second, usable), graph.Resources{})
	arrivals(h, 10, start+10*second, start+20*second, longStop-time.Millisecond)
	is.True(h.Headroom(start+20*second-1, usable).Accelerators > 0)
}

// A single arrival, however large, keeps under 5 % of the capacity free. It cannot be started
// at once anyway, and other work would wait for seconds.
func TestHugeGang(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{64, 512, 100_000} {
		for _, fleet := range []int{80, usable} {
			h := headroom.New(longStop)
			h.Arrived(headroom.Arrival{At: start, Needs: gang(size)}, start)
			is.True(float64(h.Headroom(start, fleet).Accelerators) <= 0.05*float64(fleet))
		}
	}
}

// However much urgent work arrives, headroom leaves most of the capacity to other work.
func TestBoundedShare(t *testing.T) {
	is := is.New(t)
	h := headroom.New(longStop)
	arrivals(h, 500, start, start+5*second, 0)
	is.Equal(h.Headroom(start+5*second-1, usable).Accelerators, usable/8)
	is.Equal(h.Headroom(start+5*second-1, 0), graph.Resources{})
}

// Where stops are short, less arrives during a stop and more jobs can wait for one: the same
// arrivals need less headroom, or none.
func TestStopTimes(t *testing.T) {
	is := is.New(t)
	short, long := headroom.New(shortStop), headroom.New(longStop)
	for _, h := range []*headroom.Tracker{short, long} {
		arrivals(h, 10, start, start+5*second, 500*time.Millisecond)
	}
	is.Equal(short.Headroom(start+5*second-1, usable), graph.Resources{})
	is.Equal(long.Headroom(start+5*second-1, usable), gang(300))
	for _, h := range []*headroom.Tracker{short, long} {
		arrivals(h, 10, start+5*second, start+10*second, 100*time.Millisecond)
	}
	is.Equal(short.Headroom(start+10*second-1, usable), gang(160))
	is.Equal(long.Headroom(start+10*second-1, usable), gang(300))
}

// A new leader learns of arrivals in any order, and of some from hosts whose clocks are ahead.
// A clock that is set back must not make headroom count times that have not come.
func TestClocks(t *testing.T) {
	is := is.New(t)
	forward, restored := headroom.New(longStop), headroom.New(longStop)
	for n := range int64(30) {
		forward.Arrived(headroom.Arrival{At: start + 100*n, Needs: gang(20)}, start+100*n)
		restored.Arrived(headroom.Arrival{At: start + 100*(29-n), Needs: gang(20)}, start+2900)
	}
	is.Equal(restored.Headroom(start+2900, usable), forward.Headroom(start+2900, usable))
	ahead := headroom.New(longStop)
	ahead.Arrived(headroom.Arrival{At: start + 3600*second, Needs: gang(20)}, start)
	is.True(ahead.Headroom(start, usable).Accelerators > 0)
	is.Equal(ahead.Headroom(start-second, usable), graph.Resources{})
	is.Equal(ahead.Headroom(start+4*second, usable), graph.Resources{})
}

// slow computes headroom from a list of all arrivals.
func slow(list []headroom.Arrival, stop time.Duration, nowMS int64, usable int) graph.Resources {
	total, squares, largest := graph.Resources{}, 0.0, 0
	for _, a := range list {
		if age := nowMS/100 - a.At/100; age < 0 || age >= 40 || a.Slack >= stop || a.Needs.Accelerators <= 0 {
			continue
		}
		n := a.Needs.Accelerators
		total, squares, largest = total.Plus(a.Needs), squares+float64(n*n), max(largest, n)
	}
	if total.Accelerators == 0 {
		return graph.Resources{}
	}
	limit := float64(usable) / 8
	sum := float64(total.Accelerators)
	if over := float64(largest); over > limit/3 {
		sum, squares = sum-over+limit/3, squares-over*over+limit*limit/9
	}
	stops := stop.Seconds() / 4
	n := int(min(limit, sum*stops+2*math.Sqrt(squares*stops)))
	return graph.Resources{CPU: total.CPU * n / total.Accelerators, MemoryMB: total.MemoryMB * n / total.Accelerators, Accelerators: n}
}

// The buckets give what the list of all arrivals gives, for any arrivals that come in the order
// of time, some of them late.
func TestLikeSlowVersion(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		stop := time.Duration(rapid.IntRange(50, 2000).Draw(t, "stop")) * time.Millisecond
		h := headroom.New(stop)
		var list []headroom.Arrival
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, 700).Draw(t, "pause")
			a := headroom.Arrival{
				At: now - rapid.SampledFrom([]int64{0, 0, 0, 50, 900, 3950, 6000}).Draw(t, "late"),
				Needs: graph.Resources{
					CPU: rapid.IntRange(0, 64000).Draw(t, "cpu"), MemoryMB: rapid.IntRange(0, 300000).Draw(t, "memory"),
					Accelerators: rapid.IntRange(0, 128).Draw(t, "accelerators"),
				},
				Slack: time.Duration(rapid.IntRange(-500, 2500).Draw(t, "slack")) * time.Millisecond,
			}
			h.Arrived(a, now)
			list = append(list, a)
			capacity := rapid.IntRange(0, 3000).Draw(t, "usable")
			if got, want := h.Headroom(now, capacity), slow(list, stop, now, capacity); got != want {
				t.Fatalf("after %d arrivals: %+v, want %+v", len(list), got, want)
			}
		}
	})
}
