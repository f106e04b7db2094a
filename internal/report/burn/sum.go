package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sum is several series added up.
type sum struct {
	minutes map[int64]Minute // by Minute.At
	latency *hdrhistogram.Histogram
}

func newSum() *sum { return &sum{map[int64]Minute{}, newHistogram()} }

// add adds a series that was checked.
func (s *sum) add(one Series) {
	for _, l := range one.Latency {
		_ = s.latency.RecordValues(l.MS, l.Count) // in range, so never refused
	}
	for _, m := range one.Minutes {
		before := s.minutes[m.At]
		s.minutes[m.At] = Minute{m.At, before.Good + m.Good, before.Bad + m.Bad}
	}
}

// sorted returns the minutes as they come.
func (s *sum) sorted() []Minute {
	out := make([]Minute, 0, len(s.minutes))
	for _, m := range s.minutes {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Minute) int { return cmp.Compare(a.At, b.At) })
	return out
}

func (s *sum) series(name seriesName) Series {
	return Series{name.service, name.account, s.sorted(), bucketsOf(s.latency)}
}

// bucketsOf returns the buckets of a histogram that are not empty. Recorded
// into a histogram of the same geometry they give the same one.
func bucketsOf(h *hdrhistogram.Histogram) []Bucket {
	var out []Bucket
	for _, bar := range h.Distribution() {
		if bar.Count > 0 {
			out = append(out, Bucket{bar.From, bar.Count})
		}
	}
	return out
}
