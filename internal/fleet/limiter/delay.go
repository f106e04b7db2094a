package limiter

import "time"

// Bounds of the time that an answer is waited for.
const (
	// leastPatience is a tenth of the time that gangs wait for their members.
	leastPatience = 350 * time.Millisecond
	// mostPatience leaves time to try again within it.
	mostPatience = 1500 * time.Millisecond
)

// delays estimates how long answers take, by RFC 6298.
type delays struct {
	mean, deviation time.Duration
}

// note takes in what an answer took.
func (d *delays) note(took time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = took, took/2
		return
	}
	d.deviation += ((took - d.mean).Abs() - d.deviation) / 4
	d.mean += (took - d.mean) / 8
}

// patience returns how long an answer is waited for.
func (d *delays) patience() time.Duration {
	return min(max(d.mean+4*d.deviation, leastPatience), mostPatience)
}
