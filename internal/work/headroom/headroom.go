package headroom

import (
	"math"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

const (
	// Window is the span of recent arrivals that count. A burst lasts some seconds: over a
	// longer window headroom would follow it too late, and over a shorter one the few
	// arrivals would give no stable rate.
	Window = 4 * time.Second
	// maxShare is the part of the usable accelerators that headroom may reach.
	maxShare = 1.0 / 8
	// maxJobShare is the part of that bound that one job counts as. Without it, a single
	// large gang would keep much of the capacity free for the whole window.
	maxJobShare = 1.0 / 3
	// deviations is the number of standard deviations that are kept free beyond what is
	// expected, since the jobs are gangs of different sizes. In simulated bursts, 0.37 of the
	// urgent jobs were late with one, and 0.31 with two.
	deviations = 2
)

// Arrivals are counted in buckets by their time.
const (
	bucketMS = 100
	buckets  = int64(Window / time.Millisecond / bucketMS)
)

// Arrival is an urgent job that was accepted.
type Arrival struct {
	At    int64           // when it was accepted, in milliseconds since 1970
	Needs graph.Resources // of all tasks that may start at once
	Slack time.Duration   // how long its start may take without making it late
}

// Tracker tracks the arrivals of one service's urgent jobs.
type Tracker struct {
	stopTime time.Duration
	buckets  [buckets]bucket
}

// bucket sums the arrivals of a span of bucketMS.
type bucket struct {
	index   int64 // time divided by bucketMS
	needs   graph.Resources
	squares float64 // sum of the squares of the accelerators
	largest int     // accelerators of the largest arrival
}

// New returns a tracker without arrivals. stopTime is how long a stop takes at most.
func New(stopTime time.Duration) *Tracker { return &Tracker{stopTime: stopTime} }

// Arrived counts an arrival, unless it can wait for a preemption, needs no accelerators or
// is older than the window. Arrivals may be passed in any order. One that is later than
// nowMS, by the clock of the host that accepted it, counts as of nowMS.
func (t *Tracker) Arrived(a Arrival, nowMS int64) {
	if a.Slack >= t.stopTime || a.Needs.Accelerators <= 0 {
		return
	}
	index, current := min(a.At, nowMS)/bucketMS, nowMS/bucketMS
	if index <= current-buckets {
		return
	}
	b := &t.buckets[index%buckets]
	if b.index != index { // what it holds is outside the window
		*b = bucket{index: index}
	}
	n := a.Needs.Accelerators
	b.needs = b.needs.Plus(a.Needs)
	b.squares += float64(n) * float64(n)
	b.largest = max(b.largest, n)
}

// Headroom returns the capacity to keep free at a time, in milliseconds since 1970, of a
// number of usable accelerators: whole accelerators, with the cores and memory that the
// arrivals of the window need beside as many. It is zero if nothing arrived in the window.
func (t *Tracker) Headroom(nowMS int64, usable int) graph.Resources {
	total := bucket{}
	current := nowMS / bucketMS
	for i := range t.buckets {
		if b := &t.buckets[i]; b.index > current-buckets && b.index <= current {
			total.needs = total.needs.Plus(b.needs)
			total.squares += b.squares
			total.largest = max(total.largest, b.largest)
		}
	}
	if total.needs.Accelerators == 0 {
		return graph.Resources{}
	}
	limit := float64(usable) * maxShare
	return proportional(total.needs, int(min(t.expected(total, limit), limit)))
}

// expected returns the accelerators that arrivals are expected to need during a stop, plus
// some standard deviations, if they come independently at the rate of the window. The largest
// arrival counts as at most a part of a limit.
func (t *Tracker) expected(arrivals bucket, limit float64) float64 {
	sum, squares := float64(arrivals.needs.Accelerators), arrivals.squares
	if largest, most := float64(arrivals.largest), limit*maxJobShare; largest > most {
		sum -= largest - most
		squares -= largest*largest - most*most
	}
	stops := t.stopTime.Seconds() / Window.Seconds()
	return sum*stops + deviations*math.Sqrt(squares*stops)
}

// proportional returns a number of accelerators with the cores and memory that all needs
// have beside as many.
func proportional(needs graph.Resources, accelerators int) graph.Resources {
	return graph.Resources{
		CPU:          needs.CPU * accelerators / needs.Accelerators,
		MemoryMB:     needs.MemoryMB * accelerators / needs.Accelerators,
		Accelerators: accelerators,
	}
}
