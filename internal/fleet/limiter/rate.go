package limiter

import "time"

const (
	// rateSpan is the time over which answers are counted.
	rateSpan = 50 * time.Millisecond
	// firstRate is what a host is thought to carry of which nothing is known yet.
	firstRate = 300.0
	// rateShare is the weight of the newest span.
	rateShare = 0.2
)

// rate is how many orders a second are answered while others wait: what the host
// can carry.
type rate struct {
	perSecond float64
	answers   int
	from      time.Time // begin of the span; zero: nothing waits
}

// note takes in an answer, and whether other orders wait.
func (r *rate) note(waiting bool, now time.Time) {
	if !waiting {
		r.from = time.Time{} // a span without a queue says nothing
		return
	}
	if r.from.IsZero() {
		r.from, r.answers = now, 0
		return
	}
	r.answers++
	if span := now.Sub(r.from); span >= rateSpan {
		r.perSecond += rateShare * (float64(r.answers)/span.Seconds() - r.perSecond)
		r.from, r.answers = now, 0
	}
}
