package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ringMinutes is how many minutes are kept: the longest window.
const ringMinutes = int64(longest / time.Minute)

// The geometry of a latency histogram: from 1 ms to 24 h, exact to two digits.
const (
	leastLatency   = 1           // ms
	mostLatency    = 86400 * 1e3 // ms; what takes longer counts as this
	latencyDigits  = 2
	histogramSpans = 2 // histograms kept, each of histogramSpan
	histogramSpan  = 3 * time.Hour
)

// Minute is what was counted in one minute.
type Minute struct {
	At   int64 `json:"at"` // minutes since 1970
	Good int64 `json:"good,omitempty"`
	Bad  int64 `json:"bad,omitempty"`
}

// Bucket is how many latencies fell into one bucket of an HDR histogram.
type Bucket struct {
	MS    int64 `json:"ms"` // lower bound of the bucket
	Count int64 `json:"count"`
}

// series counts the requests of one client account to one service. Its memory
// does not grow with their number.
type series struct {
	newest    int64               // newest minute counted
	ring      [ringMinutes]Minute // minute m stands at m modulo ringMinutes
	latencies [histogramSpans]span
}

// span is a histogram of the latencies of one stretch of time.
type span struct {
	number    int64 // stretches since 1970
	histogram *hdrhistogram.Histogram
}

func newSeries() *series { return &series{} }

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func spanOf(t time.Time) int64 { return t.Unix() / int64(histogramSpan/time.Second) }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
}

// record counts one request. One that is older than the ring is dropped: its
// place may be taken by a newer minute.
func (s *series) record(latency time.Duration, good bool, at time.Time) {
	minute := minuteOf(at)
	if minute < 0 {
		return
	}
	one := Minute{At: minute, Bad: 1}
	if good {
		one = Minute{At: minute, Good: 1}
	}
	if !s.addMinute(one) {
		return
	}
	s.recordLatencies(latency.Milliseconds(), 1, at)
}

// addMinute adds the counts of a minute, unless it is older than the ring.
func (s *series) addMinute(m Minute) bool {
	slot := &s.ring[m.At%ringMinutes]
	if m.At < slot.At {
		return false
	}
	if m.At > slot.At {
		*slot = Minute{At: m.At}
	}
	slot.Good += m.Good
	slot.Bad += m.Bad
	s.newest = max(s.newest, m.At)
	return true
}

func (s *series) recordLatencies(ms, count int64, at time.Time) {
	number := spanOf(at)
	slot := &s.latencies[number%histogramSpans]
	if number < slot.number {
		return
	}
	if number > slot.number || slot.histogram == nil {
		*slot = span{number, newHistogram()}
	}
	ms = min(max(ms, leastLatency), mostLatency)
	_ = slot.histogram.RecordValues(ms, count) // in range, so never refused
}

func (s *series) snapshot(name seriesName, now time.Time) Series {
	out := Series{Service: name.service, Account: name.account}
	for m := minuteOf(now) - ringMinutes + 1; m <= minuteOf(now); m++ {
		if m < 0 {
			continue
		}
		if slot := s.ring[m%ringMinutes]; slot.At == m && slot.Good+slot.Bad > 0 {
			out.Minutes = append(out.Minutes, slot)
		}
	}
	all := newHistogram()
	for _, l := range s.latencies {
		if l.histogram != nil && l.number <= spanOf(now) && l.number > spanOf(now)-histogramSpans {
			all.Merge(l.histogram)
		}
	}
	out.Latency = bucketsOf(all)
	return out
}
