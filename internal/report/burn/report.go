package burn

import (
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
)

// The windows of the burn rates. A window ends with the current minute, which may be
// incomplete.
const (
	fastShortWindow = 5 * time.Minute
	fastLongWindow  = time.Hour
	slowShortWindow = 30 * time.Minute
	slowLongWindow  = 6 * time.Hour
	longestWindow   = slowLongWindow
)

// The alert thresholds of the two pairs of windows.
const (
	FastThreshold = 14.4 // 2 % of a 30 day budget in an hour
	SlowThreshold = 6.0  // 5 % of a 30 day budget in six hours
)

// Alert identifies the pair of windows whose burn rates are above the threshold.
type Alert string

// The alerts. FastAlert takes precedence over SlowAlert.
const (
	NoAlert   Alert = ""
	FastAlert Alert = "fast"
	SlowAlert Alert = "slow"
)

// Rates holds the burn rate over each window, 0 where no request was counted.
type Rates struct {
	Hour          float64 `json:"hour"`
	FiveMinutes   float64 `json:"fiveMinutes"`
	SixHours      float64 `json:"sixHours"`
	ThirtyMinutes float64 `json:"thirtyMinutes"`
}

// alert returns the alert that the rates raise.
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

// Line is the report on the requests of one client account, or of all accounts, to one
// service.
type Line struct {
	Service    string  `json:"service"`
	Account    string  `json:"account,omitempty"`  // empty: all accounts together
	Target     float64 `json:"target,omitempty"`   // share of good requests; 0: no objective
	WithinMS   int64   `json:"withinMs,omitempty"` // ms
	Good       int64   `json:"good"`               // in the last six hours, like Bad
	Bad        int64   `json:"bad"`
	BudgetLeft float64 `json:"budgetLeft"` // share of the six hours' budget; below 0: overspent
	Burn       Rates   `json:"burn"`
	Alert      Alert   `json:"alert,omitempty"`
	P50MS      int64   `json:"p50Ms"` // latency quantiles in ms
	P90MS      int64   `json:"p90Ms"`
	P99MS      int64   `json:"p99Ms"`
	// History holds the burn rate over 30 minutes at each HistoryStep, from the oldest
	// to the current one. It is set only for all accounts together.
	History []float64 `json:"history,omitempty"`
}

// HistoryStep is the interval between two values of a history.
const HistoryStep = 5 * time.Minute

// Report is the burn report of one or several hosts.
type Report struct {
	At      time.Time `json:"at"`
	Hosts   []string  `json:"hosts"`
	Dropped int64     `json:"dropped,omitempty"` // requests that were not counted
	Lines   []Line    `json:"lines"`             // by service; all accounts together first, then each
}

// Report computes the report at the given time. It returns an error if the snapshot has
// counts or latencies that are out of range. The snapshot's series must be sorted, as
// Snapshot and Merge return them.
func (s Snapshot) Report(now time.Time, objectives Objectives) (Report, error) {
	if err := s.check(nil); err != nil {
		return Report{}, fmt.Errorf("burn report: %w", err)
	}
	out := Report{At: now.UTC(), Hosts: s.Hosts, Dropped: s.Dropped, Lines: []Line{}}
	series := slices.Clone(s.Series)
	for len(series) > 0 {
		service := series[0].Service
		end := slices.IndexFunc(series, func(entry Series) bool { return entry.Service != service })
		if end < 0 {
			end = len(series)
		}
		out.Lines = append(out.Lines, linesOf(series[:end], objectives[service], now)...)
		series = series[end:]
	}
	return out, nil
}

// linesOf returns the lines of one service: all accounts together first, then each.
func linesOf(accounts []Series, o catalog.Objective, now time.Time) []Line {
	total := newSum()
	lines := make([]Line, 1, len(accounts)+1)
	for _, account := range accounts {
		accountSum := newSum()
		accountSum.add(account)
		total.add(account)
		lines = append(lines, lineOf(seriesKey{account.Service, account.Account}, accountSum, o, now))
	}
	lines[0] = lineOf(seriesKey{service: accounts[0].Service}, total, o, now)
	lines[0].History = history(total.sorted(), o.Target, now)
	return lines
}

// lineOf returns the line for the counts of one or all accounts of a service.
func lineOf(key seriesKey, s *sum, o catalog.Objective, now time.Time) Line {
	minutes := s.sorted()
	good, bad := count(minutes, longestWindow, now)
	rates := Rates{
		Hour:          rate(minutes, fastLongWindow, o.Target, now),
		FiveMinutes:   rate(minutes, fastShortWindow, o.Target, now),
		SixHours:      rate(minutes, slowLongWindow, o.Target, now),
		ThirtyMinutes: rate(minutes, slowShortWindow, o.Target, now),
	}
	return Line{
		Service: key.service, Account: key.account, Target: o.Target, WithinMS: o.Within.Milliseconds(),
		Good: good, Bad: bad, BudgetLeft: 1 - rates.SixHours, Burn: rates, Alert: rates.alert(),
		P50MS: s.latency.ValueAtQuantile(50), P90MS: s.latency.ValueAtQuantile(90), P99MS: s.latency.ValueAtQuantile(99),
	}
}

// count sums the minutes of a window that ends with the current minute.
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

// rate returns the burn rate over a window, 0 if there are no requests or no objective.
func rate(minutes []Minute, window time.Duration, target float64, now time.Time) float64 {
	good, bad := count(minutes, window, now)
	if good+bad == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - target)
}

// history returns the burn rates over 30 minutes for all times at which every minute of
// the window is still kept.
func history(minutes []Minute, target float64, now time.Time) []float64 {
	var out []float64
	for back := longestWindow - slowShortWindow; back >= 0; back -= HistoryStep {
		out = append(out, rate(minutes, slowShortWindow, target, now.Add(-back)))
	}
	return out
}
