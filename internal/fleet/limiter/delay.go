package limiter

import "time"

// Bounds of the timeout of orders.
const (
	// minTimeout is a tenth of the time in which a gang's members must have started.
	minTimeout = 350 * time.Millisecond
	// maxTimeout leaves time for a retry within that time.
	maxTimeout = 1500 * time.Millisecond
)

// delayEstimate holds the smoothed delay of answers and its deviation, as in RFC 6298.
type delayEstimate struct {
	mean, deviation time.Duration
}

// observe adds the delay of an answer.
func (d *delayEstimate) observe(took time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = took, took/2
		return
	}
	d.deviation += ((took - d.mean).Abs() - d.deviation) / 4
	d.mean += (took - d.mean) / 8
}

// timeout returns how long to wait for an answer.
func (d *delayEstimate) timeout() time.Duration {
	return min(max(d.mean+4*d.deviation, minTimeout), maxTimeout)
}
