package burn

import (
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
)

// The windows that are watched. A window ends with the minute of now, which may
// not be over, and is that minute and those before it.
const (
	shortOfFast = 5 * time.Minute
	longOfFast  = time.Hour
	shortOfSlow = 30 * time.Minute
	longOfSlow  = 6 * time.Hour
	longest     = longOfSlow
)

// The thresholds of the two pairs of windows.
const (
	FastThreshold = 14.4 // 2 % of a 30 day budget in an hour
	SlowThreshold = 6.0  // 5 % of a 30 day budget in six hours
)

// Alert says which pair of windows burns too fast.
type Alert string

// The alerts. The fast one goes before the slow one.
const (
	NoAlert   Alert = ""
	FastAlert Alert = "fast"
	SlowAlert Alert = "slow"
)

// Rates are burn rates over the watched windows; 0 where nothing was counted.
type Rates struct {
	Hour          float64 `json:"hour"`
	FiveMinutes   float64 `json:"fiveMinutes"`
	SixHours      float64 `json:"sixHours"`
	ThirtyMinutes float64 `json:"thirtyMinutes"`
}

// alert returns what the rates call for.
func (r Rates) alert() Alert {
	switch {
	case r.Hour > FastThreshold && r.FiveMinutes > FastThreshold:
		return FastAlert
	case r.SixHours > SlowThreshold && r.ThirtyMinutes > SlowThreshold:
		return SlowAlert
	default:
		return NoAlert
	}
}

// Line is the report on one client account's requests to one service, or on
// those of all accounts.
type Line struct {
	Service    string  `json:"service"`
	Account    string  `json:"account,omitempty"`  // empty: all accounts together
	Target     float64 `json:"target,omitempty"`   // share of good requests; 0: no objective
	WithinMS   int64   `json:"withinMs,omitempty"` // ms
	Good       int64   `json:"good"`               // in the last six hours, as Bad
	Bad        int64   `json:"bad"`
	BudgetLeft float64 `json:"budgetLeft"` // share of the six hours' budget; below 0: overspent
	Burn       Rates   `json:"burn"`
	Alert      Alert   `json:"alert,omitempty"`
	P50MS      int64   `json:"p50Ms"` // latency in ms, as P90MS and P99MS
	P90MS      int64   `json:"p90Ms"`
	P99MS      int64   `json:"p99Ms"`
	// History holds, for all accounts together only, the burn rate over 30
	// minutes at each HistoryStep, the oldest first, the newest at now.
	History []float64 `json:"history,omitempty"`
}

// HistoryStep is the time between two values of a history.
const HistoryStep = 5 * time.Minute

// Report is the burn report of one or several hosts.
type Report struct {
	At      time.Time `json:"at"`
	Hosts   []string  `json:"hosts"`
	Dropped int64     `json:"dropped,omitempty"` // requests that were not counted
	Lines   []Line    `json:"lines"`             // by service; all accounts first, then each
}

// Report works out the report at a time. It refuses a snapshot whose counts or
// latencies cannot be right.
func (s Snapshot) Report(now time.Time, objectives Objectives) (Report, error) {
	if err := s.check(nil); err != nil {
		return Report{}, fmt.Errorf("burn report: %w", err)
	}
	out := Report{At: now.UTC(), Hosts: s.Hosts, Dropped: s.Dropped, Lines: []Line{}}
	series := slices.Clone(s.Series)
	for len(series) > 0 {
		service := series[0].Service
		end := slices.IndexFunc(series, func(one Series) bool { return one.Service != service })
		if end < 0 {
			end = len(series)
		}
		out.Lines = append(out.Lines, linesOf(series[:end], objectives[service], now)...)
		series = series[end:]
	}
	return out, nil
}

// linesOf returns the lines of one service: all accounts first, then each.
func linesOf(accounts []Series, o catalog.Objective, now time.Time) []Line {
	total := newSum()
	lines := make([]Line, 1, len(accounts)+1)
	for _, one := range accounts {
		alone := newSum()
		alone.add(one)
		total.add(one)
		lines = append(lines, lineOf(seriesName{one.Service, one.Account}, alone, o, now))
	}
	lines[0] = lineOf(seriesName{service: accounts[0].Service}, total, o, now)
	lines[0].History = history(total.sorted(), o.Target, now)
	return lines
}

func lineOf(name seriesName, s *sum, o catalog.Objective, now time.Time) Line {
	minutes := s.sorted()
	good, bad := count(minutes, longest, now)
	rates := Rates{
		Hour:          rate(minutes, longOfFast, o.Target, now),
		FiveMinutes:   rate(minutes, shortOfFast, o.Target, now),
		SixHours:      rate(minutes, longOfSlow, o.Target, now),
		ThirtyMinutes: rate(minutes, shortOfSlow, o.Target, now),
	}
	return Line{
		Service: name.service, Account: name.account, Target: o.Target, WithinMS: o.Within.Milliseconds(),
		Good: good, Bad: bad, BudgetLeft: 1 - rates.SixHours, Burn: rates, Alert: rates.alert(),
		P50MS: s.latency.ValueAtQuantile(50), P90MS: s.latency.ValueAtQuantile(90), P99MS: s.latency.ValueAtQuantile(99),
	}
}

// count sums up the minutes of a window that ends with the minute of now.
func count(minutes []Minute, window time.Duration, now time.Time) (good, bad int64) {
	last := minuteOf(now)
	first := last - int64(window/time.Minute) + 1
	for _, m := range minutes {
		if m.At >= first && m.At <= last {
			good += m.Good
			bad += m.Bad
		}
	}
	return good, bad
}

// rate returns the burn rate over a window, 0 without requests or objective.
func rate(minutes []Minute, window time.Duration, target float64, now time.Time) float64 {
	good, bad := count(minutes, window, now)
	if good+bad == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - target)
}

// history returns the 30 minute burn rates over the time for which all minutes
// of the window are kept.
func history(minutes []Minute, target float64, now time.Time) []float64 {
	var out []float64
	for back := longest - shortOfSlow; back >= 0; back -= HistoryStep {
		out = append(out, rate(minutes, shortOfSlow, target, now.Add(-back)))
	}
	return out
}
