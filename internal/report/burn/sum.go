package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sum is the sum of several series.
type sum struct {
	minutes map[int64]Minute // by Minute.At
	latency *hdrhistogram.Histogram
}

func newSum() *sum { return &sum{map[int64]Minute{}, newHistogram()} }

// add adds a series that has passed check.
func (s *sum) add(added Series) {
	for _, l := range added.Latency {
		_ = s.latency.RecordValues(l.MS, l.Count) // in range, so no error
	}
	for _, m := range added.Minutes {
		previous := s.minutes[m.At]
		s.minutes[m.At] = Minute{m.At, previous.Good + m.Good, previous.Bad + m.Bad}
	}
}

// sorted returns the minutes in chronological order.
func (s *sum) sorted() []Minute {
	out := make([]Minute, 0, len(s.minutes))
	for _, m := range s.minutes {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Minute) int { return cmp.Compare(a.At, b.At) })
	return out
}

func (s *sum) series(key seriesKey) Series {
	return Series{key.service, key.account, s.sorted(), bucketsOf(s.latency)}
}

// bucketsOf returns the non-empty buckets of a histogram. Recording them into a
// histogram with the same parameters reproduces it.
func bucketsOf(h *hdrhistogram.Histogram) []Bucket {
	var out []Bucket
	for _, bucket := range h.Distribution() {
		if bucket.Count > 0 {
			out = append(out, Bucket{bucket.From, bucket.Count})
		}
	}
	return out
}
