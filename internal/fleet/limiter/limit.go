package limiter

import "time"

// Parameters of the limit on orders in flight.
const (
	// minLimit keeps a few targets that do not answer from blocking the others.
	minLimit = 4
	// maxLimit is more than a host with a whole core can use.
	maxLimit = 512
	// initialLimit is where the limit begins: a gang of common size starts at once.
	initialLimit = 16
	// targetQueueDelay is how long orders may queue in flight: well below their timeout,
	// and above the time a process waits to be scheduled on a busy host.
	targetQueueDelay = 60 * time.Millisecond
	// limitGain is the growth of the limit over as many answers as it has places, if
	// none of them queued.
	limitGain = 4
	// maxShrink bounds how much faster the limit shrinks than it grows.
	maxShrink = 4
	// baseWindow is how long a minimum delay is remembered: the path may become
	// longer permanently, for example under a new leader in another zone.
	baseWindow = 10 * time.Second
)

// limit adapts to the delay of answers. The part of a delay above the recent minimum is
// taken as queueing, on the host or on the link.
type limit struct {
	size      float64
	base      time.Duration // minimum delay of the current window and the one before
	nextBase  time.Duration // minimum delay of the current window
	windowEnd time.Time
}

func newLimit() limit { return limit{size: initialLimit} }

// observe adjusts the limit to the delay of an answer. The limit shrinks if the queueing
// delay is above targetQueueDelay. It grows if the delay is below and the limit was busy,
// that is, reached: answers below it do not show that the host can carry more.
func (l *limit) observe(delay time.Duration, busy bool, now time.Time) {
	l.updateBase(delay, now)
	off := float64(targetQueueDelay-(delay-l.base)) / float64(targetQueueDelay)
	if off > 0 && !busy {
		return
	}
	l.size += max(off, -maxShrink) * limitGain / l.size
	l.size = min(max(l.size, minLimit), maxLimit)
}

// updateBase tracks the minimum delay over one to two windows.
func (l *limit) updateBase(delay time.Duration, now time.Time) {
	if !now.Before(l.windowEnd) {
		l.base, l.nextBase, l.windowEnd = l.nextBase, 0, now.Add(baseWindow)
	}
	if l.nextBase == 0 || delay < l.nextBase {
		l.nextBase = delay
	}
	if l.base == 0 || delay < l.base {
		l.base = delay
	}
}
