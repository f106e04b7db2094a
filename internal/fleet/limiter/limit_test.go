package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// link is a link or a processor that serves orders one after the other.
type link struct {
	delay       time.Duration // without a queue
	serviceTime time.Duration // of one order
}

// settle returns the size of a limit, and the resulting delay, after it was in full use on
// the link for a span of time.
func (k link) settle(l limit, span time.Duration) (size float64, delay time.Duration) {
	now := start
	l.observe(k.delay, false, now) // before there was a queue
	for until := start.Add(span); now.Before(until); now = now.Add(k.serviceTime) {
		delay = max(k.delay, time.Duration(l.size)*k.serviceTime)
		l.observe(delay, true, now)
	}
	return l.size, delay
}

// On links of different delay and throughput, the limit keeps the link busy and the
// queueing delay near its target.
func TestLimitSettles(t *testing.T) {
	for _, k := range []link{
		{2 * time.Millisecond, 7 * time.Millisecond},   // 2 Mbit/s and specs of 1,700 bytes
		{3 * time.Millisecond, time.Millisecond},       // a fifth of a core
		{40 * time.Millisecond, 4 * time.Millisecond},  // a far zone
		{3 * time.Millisecond, 300 * time.Microsecond}, // a whole core
	} {
		is := is.New(t)
		size, delay := k.settle(newLimit(), 9*time.Second)
		is.True(size >= 0.9*float64(k.delay)/float64(k.serviceTime)) // the link is never idle
		is.True(delay-k.delay <= targetQueueDelay+2*k.serviceTime)
		is.True(size <= maxLimit)
	}
}

// After a link becomes ten times slower, the limit of orders in flight shrinks within two
// seconds until the delay is at most twice the target, but not below its minimum.
func TestLimitShrinksOnSlowerLink(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	now := start
	l.observe(2*time.Millisecond, false, now)
	run := func(k link, span time.Duration) (delay time.Duration) {
		for until := now.Add(span); now.Before(until); now = now.Add(k.serviceTime) {
			delay = max(k.delay, time.Duration(l.size)*k.serviceTime)
			l.observe(delay, true, now)
		}
		return delay
	}
	run(link{2 * time.Millisecond, time.Millisecond}, 3*time.Second)
	delay := run(link{2 * time.Millisecond, 10 * time.Millisecond}, 2*time.Second)
	is.True(delay <= 2*targetQueueDelay)
	is.True(l.size >= minLimit)
}

// A limit that is not reached does not grow.
func TestUnusedLimitStays(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	for i := range 1000 {
		l.observe(2*time.Millisecond, false, start.Add(time.Duration(i)*time.Millisecond))
	}
	is.Equal(l.size, float64(initialLimit))
}

// The timeout of orders is minimal at usual delays, grows with them, and is bounded.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	var d delayEstimate
	is.Equal(d.timeout(), minTimeout)
	for range 50 {
		d.observe(3 * time.Millisecond)
	}
	is.Equal(d.timeout(), minTimeout)
	for range 50 {
		d.observe(500 * time.Millisecond)
	}
	is.True(d.timeout() > 500*time.Millisecond)
	for range 50 {
		d.observe(20 * time.Second)
	}
	is.Equal(d.timeout(), maxTimeout)
}

// The rate approaches the throughput while orders wait, and does not change while none does.
func TestRate(t *testing.T) {
	is := is.New(t)
	r := rate{perSecond: initialRate}
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		r.observe(true, now)
	}
	is.True(r.perSecond > 95 && r.perSecond < 105)
	before := r.perSecond
	for range 2000 {
		now = now.Add(time.Second)
		r.observe(false, now)
	}
	is.Equal(r.perSecond, before)
}
