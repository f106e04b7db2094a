package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a text table of counts, burn rates, latencies and alerts
// by service and client account.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level burn at %s, %d hosts\n", r.At.Format(time.RFC3339), len(r.Hosts))
	if r.Dropped > 0 {
		fmt.Fprintf(&b, "%d requests were not counted: too many pairs of service and account\n", r.Dropped)
	}
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "service\taccount\tobjective\tgood\tbad\tbudget left\tburn 1h\t5m\t6h\t30m\tp50\tp90\tp99\talert")
	for _, l := range r.Lines {
		fmt.Fprintln(t, strings.Join(l.cells(), "\t"))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	fmt.Fprintln(&b, "good, bad and budget: last 6 hours; latencies: last 3 to 6 hours")
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}

// cells returns the line's columns in the order of the table's head.
func (l Line) cells() []string {
	account := l.Account
	if account == "" {
		account = "(all)"
	}
	cells := []string{l.Service, account}
	counts := []string{strconv.FormatInt(l.Good, 10), strconv.FormatInt(l.Bad, 10)}
	if l.Target == 0 {
		cells = append(append(append(cells, "none"), counts...), "-", "-", "-", "-", "-")
	} else {
		cells = append(append(cells, l.objective()), counts...)
		cells = append(cells, fmt.Sprintf("%.1f%%", 100*l.BudgetLeft))
		for _, rate := range []float64{l.Burn.Hour, l.Burn.FiveMinutes, l.Burn.SixHours, l.Burn.ThirtyMinutes} {
			cells = append(cells, fmt.Sprintf("%.1f", rate))
		}
	}
	for _, ms := range []int64{l.P50MS, l.P90MS, l.P99MS} {
		cells = append(cells, (time.Duration(ms) * time.Millisecond).String())
	}
	alert := string(l.Alert)
	if alert == "" {
		alert = "-"
	}
	return append(cells, alert)
}

// objective returns the service's objective in words, such as 99% in 10s.
func (l Line) objective() string {
	share := strconv.FormatFloat(100*l.Target, 'g', 6, 64)
	if l.WithinMS == 0 {
		return share + "% in its time" // each job has its own time limit
	}
	return fmt.Sprintf("%s%% in %s", share, time.Duration(l.WithinMS)*time.Millisecond)
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}
