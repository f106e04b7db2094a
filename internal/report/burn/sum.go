package burn

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sum is several series added up.
type sum struct {
	minutes map[int64]Minute // by Minute.At
	latency *hdrhistogram.Histogram
}

func newSum() *sum { return &sum{map[int64]Minute{}, newHistogram()} }

// add refuses a series that cannot be right, and may then have added a part.
func (s *sum) add(one Series) error {
	for _, l := range one.Latency {
		if l.Count < 0 {
			return fmt.Errorf("latencies of %s for %s: count below 0", one.Service, one.Account)
		}
		if err := s.latency.RecordValues(l.MS, l.Count); err != nil {
			return fmt.Errorf("latencies of %s for %s: %w", one.Service, one.Account, err)
		}
	}
	for _, m := range one.Minutes {
		if m.Good < 0 || m.Bad < 0 {
			return fmt.Errorf("minutes of %s for %s: count below 0", one.Service, one.Account)
		}
		before := s.minutes[m.At]
		s.minutes[m.At] = Minute{m.At, before.Good + m.Good, before.Bad + m.Bad}
	}
	return nil
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
