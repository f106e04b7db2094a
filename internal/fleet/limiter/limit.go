package limiter

import "time"

// Figures of the limit on orders in flight.
const (
	// leastLimit lets a few targets that do not answer hold up no others.
	leastLimit = 4
	// mostLimit is more than a host with a whole core can use.
	mostLimit = 512
	// firstLimit is where the limit begins: a gang of common size at once.
	firstLimit = 16
	// queueTarget is how long orders may queue on their way: much less than they may
	// take, and more than a process waits for its turn on a busy host.
	queueTarget = 60 * time.Millisecond
	// limitGain is how many places more a whole limit of answers without a queue gives.
	limitGain = 4
	// mostShrink bounds how much faster the limit shrinks than it grows.
	mostShrink = 4
	// baseFor is how long the least delay that was seen counts: a way may become
	// longer for good, as under a new leader in another zone.
	baseFor = 10 * time.Second
)

// limit is a limit that follows the delay of answers: what an order takes beyond the
// least delay seen lately it has spent in queues, the host's own or the link's.
type limit struct {
	size      float64
	base      time.Duration // least delay of this span and the one before
	next      time.Duration // least delay of this span
	spanUntil time.Time
}

func newLimit() limit { return limit{size: firstLimit} }

// answered takes in the delay of an answer. busy tells that the limit was in use:
// what it could be is not known otherwise.
func (l *limit) answered(delay time.Duration, busy bool, now time.Time) {
	l.noteBase(delay, now)
	off := float64(queueTarget-(delay-l.base)) / float64(queueTarget)
	if off > 0 && !busy {
		return
	}
	l.size += max(off, -mostShrink) * limitGain / l.size
	l.size = min(max(l.size, leastLimit), mostLimit)
}

func (l *limit) noteBase(delay time.Duration, now time.Time) {
	if !now.Before(l.spanUntil) {
		l.base, l.next, l.spanUntil = l.next, 0, now.Add(baseFor)
	}
	if l.next == 0 || delay < l.next {
		l.next = delay
	}
	if l.base == 0 || delay < l.base {
		l.base = delay
	}
}
