package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ringMinutes is the number of minutes kept: the longest window.
const ringMinutes = int64(longestWindow / time.Minute)

// The parameters of the latency histograms: 1 ms to 24 h, two significant digits.
const (
	minLatencyMS    = 1
	maxLatencyMS    = 86400 * 1e3 // longer latencies are counted as this
	latencyDigits   = 2
	histogramsKept  = 2 // each of histogramPeriod
	histogramPeriod = 3 * time.Hour
)

// Minute holds the counts of one minute.
type Minute struct {
	At   int64 `json:"at"` // minutes since the Unix epoch
	Good int64 `json:"good,omitempty"`
	Bad  int64 `json:"bad,omitempty"`
}

// Bucket holds the number of latencies in one bucket of an HDR histogram.
type Bucket struct {
	MS    int64 `json:"ms"` // lower bound of the bucket
	Count int64 `json:"count"`
}

// series counts the requests of one client account to one service in bounded memory.
type series struct {
	newest    int64               // latest minute with a request
	ring      [ringMinutes]Minute // indexed by minute modulo ringMinutes
	latencies [histogramsKept]periodHistogram
}

// periodHistogram is the latency histogram of one period.
type periodHistogram struct {
	period    int64 // in histogramPeriods since the Unix epoch
	histogram *hdrhistogram.Histogram
}

func newSeries() *series { return &series{} }

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

// periodOf returns the number of the period that contains t, in histogramPeriods since the
// Unix epoch.
func periodOf(t time.Time) int64 { return t.Unix() / int64(histogramPeriod/time.Second) }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMS, maxLatencyMS, latencyDigits)
}

// record counts one request. A request older than the ring is ignored if a newer minute
// occupies its slot.
func (s *series) record(latency time.Duration, good bool, at time.Time) {
	minute := minuteOf(at)
	if minute < 0 {
		return
	}
	counts := Minute{At: minute, Bad: 1}
	if good {
		counts = Minute{At: minute, Good: 1}
	}
	if !s.addMinute(counts) {
		return
	}
	s.recordLatency(latency.Milliseconds(), 1, at)
}

// addMinute adds the counts of a minute and returns true, unless a newer minute
// occupies its slot.
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

// recordLatency counts latencies in the histogram of their period, unless a newer period
// occupies its slot. Latencies out of range are counted as the nearest bound.
func (s *series) recordLatency(ms, count int64, at time.Time) {
	period := periodOf(at)
	slot := &s.latencies[period%histogramsKept]
	if period < slot.period {
		return
	}
	if period > slot.period || slot.histogram == nil {
		*slot = periodHistogram{period, newHistogram()}
	}
	ms = min(max(ms, minLatencyMS), maxLatencyMS)
	_ = slot.histogram.RecordValues(ms, count) // in range, so no error
}

// snapshot returns the counts of the longest window that ends at now, and the latencies
// of the last histogramsKept periods.
func (s *series) snapshot(key seriesKey, now time.Time) Series {
	out := Series{Service: key.service, Account: key.account}
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
		if l.histogram != nil && l.period <= periodOf(now) && l.period > periodOf(now)-histogramsKept {
			all.Merge(l.histogram)
		}
	}
	out.Latency = bucketsOf(all)
	return out
}
