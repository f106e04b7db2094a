package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// way is a link or a processor that serves orders one after the other.
type way struct {
	delay time.Duration // without a queue
	each  time.Duration // that it is occupied by an order
}

// settle returns the size of a limit, and the delay that it leads to, after a time in
// which it was always in use.
func (w way) settle(l limit, span time.Duration) (size float64, delay time.Duration) {
	now := start
	l.answered(w.delay, false, now) // before there was a queue
	for until := start.Add(span); now.Before(until); now = now.Add(w.each) {
		delay = max(w.delay, time.Duration(l.size)*w.each)
		l.answered(delay, true, now)
	}
	return l.size, delay
}

// Over ways of all sorts the limit uses what the way can carry, and the queue stays
// near its target.
func TestLimitSettles(t *testing.T) {
	for _, w := range []way{
		{2 * time.Millisecond, 7 * time.Millisecond},   // 2 Mbit/s and specs of 1,700 bytes
		{3 * time.Millisecond, time.Millisecond},       // a fifth of a core
		{40 * time.Millisecond, 4 * time.Millisecond},  // a far zone
		{3 * time.Millisecond, 300 * time.Microsecond}, // a whole core
	} {
		is := is.New(t)
		size, delay := w.settle(newLimit(), 9*time.Second)
		is.True(size >= 0.9*float64(w.delay)/float64(w.each)) // the way is never idle
		is.True(delay-w.delay <= queueTarget+2*w.each)
		is.True(size <= mostLimit)
	}
}

// A way that turns ten times slower: the limit follows within a second or so, and does
// not fall to nothing.
func TestLimitFollows(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	now := start
	l.answered(2*time.Millisecond, false, now)
	run := func(w way, span time.Duration) (delay time.Duration) {
		for until := now.Add(span); now.Before(until); now = now.Add(w.each) {
			delay = max(w.delay, time.Duration(l.size)*w.each)
			l.answered(delay, true, now)
		}
		return delay
	}
	run(way{2 * time.Millisecond, time.Millisecond}, 3*time.Second)
	delay := run(way{2 * time.Millisecond, 10 * time.Millisecond}, 2*time.Second)
	is.True(delay <= 2*queueTarget)
	is.True(l.size >= leastLimit)
}

// A limit that is not in use says nothing of what it could be.
func TestLimitStaysWithoutUse(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	for i := range 1000 {
		l.answered(2*time.Millisecond, false, start.Add(time.Duration(i)*time.Millisecond))
	}
	is.Equal(l.size, float64(firstLimit))
}

// Patience is the least at usual delays, grows with them, and has a bound.
func TestPatience(t *testing.T) {
	is := is.New(t)
	var d delays
	is.Equal(d.patience(), leastPatience)
	for range 50 {
		d.note(3 * time.Millisecond)
	}
	is.Equal(d.patience(), leastPatience)
	for range 50 {
		d.note(500 * time.Millisecond)
	}
	is.True(d.patience() > 500*time.Millisecond)
	for range 50 {
		d.note(20 * time.Second)
	}
	is.Equal(d.patience(), mostPatience)
}

// What the host carries is measured while orders wait; a quiet time says nothing.
func TestRate(t *testing.T) {
	is := is.New(t)
	r := rate{perSecond: firstRate}
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		r.note(true, now)
	}
	is.True(r.perSecond > 95 && r.perSecond < 105)
	before := r.perSecond
	for range 2000 {
		now = now.Add(time.Second)
		r.note(false, now)
	}
	is.Equal(r.perSecond, before)
}
