package burn_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/report/burn"
)

var (
	noon       = time.Date(2026, 12, 2, 12, 0, 30, 0, time.UTC)
	objectives = burn.Objectives{
		"refill":   {Target: 0.99, Within: 10 * time.Second},
		"planning": {Target: 0.9, Within: time.Hour},
	}
)

// recorder returns a recorder with the objectives of the tests.
func recorder(host string) *burn.Recorder {
	r := burn.New(host)
	r.SetObjectives(objectives)
	return r
}

// morningReport returns the report of two hosts over six hours of steady load, in which
// the last ten minutes have bad requests.
func morningReport(t *testing.T) burn.Report {
	t.Helper()
	a, b := recorder("10.0.0.1:9080"), recorder("10.0.0.2:9080")
	for m := range 360 {
		at := noon.Add(-time.Duration(m) * time.Minute)
		latency := time.Duration(1+m%7) * time.Second
		a.Record("refill", "kiosks", latency, m >= 10, at)
		b.Record("refill", "salons", latency, true, at)
		b.Record("refill", "kiosks", 11*time.Second*time.Duration(m%100/99), true, at) // late at 99, 199 and 299 minutes
		a.Record("catalogue", "salons", time.Millisecond, m%2 == 0, at)                // no objective
	}
	all, err := burn.Merge(a.Snapshot(noon), b.Snapshot(noon))
	if err != nil {
		t.Fatal(err)
	}
	r, err := all.Report(noon, objectives)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Each form of the morning report is compared with a golden file.
func TestReportIsWrittenAsTextJSONAndSVG(t *testing.T) {
	is := is.New(t)
	r := morningReport(t)
	for name, write := range map[string]func(*bytes.Buffer) error{
		"report.txt":  func(b *bytes.Buffer) error { return r.WriteText(b) },
		"report.json": func(b *bytes.Buffer) error { return r.WriteJSON(b) },
		"report.svg":  func(b *bytes.Buffer) error { return r.WriteSVG(b) },
	} {
		var b bytes.Buffer
		is.NoErr(write(&b))
		goldie.New(t).Assert(t, name, b.Bytes())
	}
}

// request is one request as the reference implementation keeps it.
type request struct {
	host, service, account int
	latency                time.Duration
	ok                     bool
	at                     time.Time
}

func serviceName(n int) string { return []string{"refill", "planning", "catalogue"}[n] }

// referenceRate computes the burn rate by its definition from all requests ever made.
func referenceRate(requests []request, service string, account int, window time.Duration, now time.Time) (good, bad int64, rate float64) {
	end := now.Truncate(time.Minute).Add(time.Minute)
	for _, r := range requests {
		if serviceName(r.service) != service || account >= 0 && r.account != account {
			continue
		}
		if r.at.Before(end.Add(-window)) || !r.at.Before(end) {
			continue
		}
		o := objectives[service]
		if r.ok && (o.Target == 0 || r.latency <= o.Within) {
			good++
		} else {
			bad++
		}
	}
	if o := objectives[service]; o.Target > 0 && good+bad > 0 {
		rate = float64(bad) / float64(good+bad) / (1 - o.Target)
	}
	return good, bad, rate
}

// Three hosts record requests that are random by seed. Their merged snapshots must give
// the burn rates and counts of the reference implementation.
func TestReportMatchesReference(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		hosts := []*burn.Recorder{recorder("a"), recorder("b"), recorder("c")}
		var requests []request
		now := noon
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
			r := request{
				rapid.IntRange(0, 2).Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "account"),
				time.Duration(rapid.IntRange(0, 4000).Draw(t, "latency")) * time.Second, rapid.Bool().Draw(t, "ok"),
				now.Add(-time.Duration(rapid.IntRange(0, 60).Draw(t, "late")) * time.Second),
			}
			requests = append(requests, r)
			hosts[r.host].Record(serviceName(r.service), fmt.Sprint(r.account), r.latency, r.ok, r.at)
		}
		var parts []burn.Snapshot
		for _, h := range hosts {
			parts = append(parts, encodeAndDecode(t, h.Snapshot(now)))
		}
		merged, err := burn.Merge(parts...)
		if err != nil {
			t.Fatal(err)
		}
		report, err := merged.Report(now, objectives)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range report.Lines {
			checkLine(t, l, requests, now)
		}
	})
}

// encodeAndDecode passes a snapshot through JSON, as between hosts.
func encodeAndDecode(t interface{ Fatal(...any) }, s burn.Snapshot) burn.Snapshot {
	body, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var got burn.Snapshot
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// checkLine compares the counts and rates of a line with the reference.
func checkLine(t *rapid.T, l burn.Line, requests []request, now time.Time) {
	account := -1
	if l.Account != "" {
		_, _ = fmt.Sscan(l.Account, &account)
	}
	for _, w := range []struct {
		window time.Duration
		rate   float64
	}{
		{5 * time.Minute, l.Burn.FiveMinutes},
		{30 * time.Minute, l.Burn.ThirtyMinutes},
		{time.Hour, l.Burn.Hour},
		{6 * time.Hour, l.Burn.SixHours},
	} {
		good, bad, want := referenceRate(requests, l.Service, account, w.window, now)
		if math.Abs(want-w.rate) > 1e-9 {
			t.Fatalf("%s of %q over %s: got %v, want %v", l.Service, l.Account, w.window, w.rate, want)
		}
		if w.window == 6*time.Hour && (l.Good != good || l.Bad != bad) {
			t.Fatalf("%s of %q: got %d good, %d bad, want %d, %d", l.Service, l.Account, l.Good, l.Bad, good, bad)
		}
	}
	if l.P50MS > l.P90MS || l.P90MS > l.P99MS {
		t.Fatalf("quantiles not ascending: %+v", l)
	}
}

// Bad requests in one range of minutes raise an alert only if both windows of a pair
// burn above the threshold.
func TestAlertNeedsBothWindows(t *testing.T) {
	cases := []struct {
		name              string
		badFrom, badUntil int // minutes before now that are bad
		want              burn.Alert
	}{
		{"nothing", 0, 0, burn.NoAlert},
		{"short only", 4, 0, burn.NoAlert},
		{"long and short", 30, 0, burn.FastAlert},
		{"long only, ended", 50, 35, burn.NoAlert},
		{"slow pair", 120, 10, burn.SlowAlert},
		{"slow pair, ended", 200, 60, burn.NoAlert},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := recorder("a")
			for m := 359; m >= 0; m-- {
				r.Record("refill", "kiosks", time.Second, m >= c.badFrom || m < c.badUntil, noon.Add(-time.Duration(m)*time.Minute))
			}
			report, err := r.Report(noon)
			is.NoErr(err)
			is.Equal(report.Lines[0].Alert, c.want)
		})
	}
}

// A snapshot of a host that is already counted, or with a negative count, is an error
// and leaves the merged snapshot without it.
func TestMergeSkipsInvalidSnapshots(t *testing.T) {
	is := is.New(t)
	r := recorder("a")
	r.Record("refill", "kiosks", time.Second, true, noon)
	s := r.Snapshot(noon)
	b, c := encodeAndDecode(t, s), encodeAndDecode(t, s)
	b.Hosts, b.Series[0].Latency[0].Count = []string{"b"}, -1
	c.Hosts, c.Series[0].Minutes[0].Bad = []string{"c"}, -1
	for _, invalid := range []burn.Snapshot{s, b, c} { // the first repeats the host
		merged, err := burn.Merge(s, invalid)
		is.True(err != nil)
		is.Equal(merged, s)
	}
	_, err := b.Report(noon, objectives)
	is.True(err != nil)
}

// TestMergedSnapshotsCanBeMerged covers a rolling replacement, in which each host that
// stops passes its counts to the next, which passes them on with its own. The report
// must include them, and must not count a host twice that still answers.
func TestMergedSnapshotsCanBeMerged(t *testing.T) {
	is := is.New(t)
	a, b, c := recorder("a#1"), recorder("b#1"), recorder("c#1")
	for _, r := range []*burn.Recorder{a, b, c} {
		r.Record("refill", "kiosks", time.Second, true, noon.Add(-time.Hour))
		r.Record("refill", "kiosks", time.Second, false, noon)
	}
	ab, err := burn.Merge(encodeAndDecode(t, a.Snapshot(noon)), b.Snapshot(noon))
	is.NoErr(err)
	abc, err := burn.Merge(encodeAndDecode(t, ab), c.Snapshot(noon))
	is.NoErr(err)
	merged, err := burn.Merge(abc, a.Snapshot(noon))
	is.True(err != nil) // a still answers
	report, err := merged.Report(noon, objectives)
	is.NoErr(err)
	is.Equal(report.Lines[0].Good, int64(3))
	is.Equal(report.Lines[0].Bad, int64(3))
	is.Equal(report.Hosts, []string{"a#1", "b#1", "c#1"})
}

// TestSeriesAreBounded records more accounts than MaxSeries, as after many
// configurations. Requests beyond the limit are counted as dropped, and series without
// recent requests are evicted.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	r := recorder("a")
	for i := range burn.MaxSeries + 3 {
		r.Record("refill", fmt.Sprint(i), time.Second, true, noon)
	}
	s := r.Snapshot(noon)
	is.Equal(len(s.Series), burn.MaxSeries)
	is.Equal(s.Dropped, int64(3))
	later := noon.Add(7 * time.Hour)
	r.Record("refill", "new", time.Second, true, later)
	is.Equal(len(r.Snapshot(later).Series), 1)
}

// An objective without a time limit leaves it to the caller of Record to decide whether
// a request was in time.
func TestObjectiveWithoutTimeLimit(t *testing.T) {
	is := is.New(t)
	r := burn.New("a")
	r.SetObjectives(burn.Objectives{"refill": {Target: 0.9}})
	r.Record("refill", "kiosks", time.Hour, true, noon)
	r.Record("refill", "kiosks", time.Second, false, noon)
	report, err := r.Report(noon)
	is.NoErr(err)
	is.Equal(report.Lines[0].Good, int64(1))
	is.Equal(report.Lines[0].Bad, int64(1))
	var out bytes.Buffer
	is.NoErr(report.WriteText(&out))
	is.True(bytes.Contains(out.Bytes(), []byte("90% in its time")))
}

func BenchmarkRecord(b *testing.B) {
	r := recorder("a")
	b.ReportAllocs()
	for i := range b.N {
		r.Record("refill", "kiosks", time.Second, true, noon.Add(time.Duration(i)*time.Millisecond))
	}
}
