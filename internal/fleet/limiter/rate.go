package limiter

import "time"

const (
	// rateWindow is the time over which answers are counted.
	rateWindow = 50 * time.Millisecond
	// initialRate is the assumed throughput in orders per second before any measurement.
	initialRate = 300.0
	// rateSmoothing is the weight of the newest window in the moving average.
	rateSmoothing = 0.2
)

// rate measures the host's throughput of orders: how many are answered per second while
// others wait.
type rate struct {
	perSecond   float64
	answers     int
	windowStart time.Time // zero: nothing waits
}

// observe counts an answer; waiting says whether other orders wait. The first answer with
// others waiting opens a window. Without others waiting, the window is dropped and perSecond
// stays as it is.
func (r *rate) observe(waiting bool, now time.Time) {
	if !waiting {
		r.windowStart = time.Time{} // without a queue the throughput is not reached
		return
	}
	if r.windowStart.IsZero() {
		r.windowStart, r.answers = now, 0
		return
	}
	r.answers++
	if elapsed := now.Sub(r.windowStart); elapsed >= rateWindow {
		r.perSecond += rateSmoothing * (float64(r.answers)/elapsed.Seconds() - r.perSecond)
		r.windowStart, r.answers = now, 0
	}
}
