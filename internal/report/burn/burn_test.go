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

func recorder(host string) *burn.Recorder {
	r := burn.New(host)
	r.SetObjectives(objectives)
	return r
}

// day records a steady morning with ten bad minutes before noon on two hosts.
func day(t *testing.T) burn.Report {
	t.Helper()
	a, b := recorder("10.0.0.1:9080"), recorder("10.0.0.2:9080")
	for m := range 360 {
		at := noon.Add(-time.Duration(m) * time.Minute)
		latency := time.Duration(1+m%7) * time.Second
		a.Record("refill", "kiosks", latency, m >= 10, at)
		b.Record("refill", "salons", latency, true, at)
		b.Record("refill", "kiosks", 11*time.Second*time.Duration(m%100/99), true, at) // four are late
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

func TestReportIsWrittenAsTextJSONAndSVG(t *testing.T) {
	is := is.New(t)
	r := day(t)
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

// request is one request as the slow version keeps it.
type request struct {
	host, service, account int
	latency                time.Duration
	ok                     bool
	at                     time.Time
}

func name(n int) string { return []string{"refill", "planning", "catalogue"}[n] }

// slowRate is the definition of the burn rate, over all requests ever made.
func slowRate(all []request, service string, account int, window time.Duration, now time.Time) (good, bad int64, rate float64) {
	end := now.Truncate(time.Minute).Add(time.Minute)
	for _, r := range all {
		if name(r.service) != service || account >= 0 && r.account != account {
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

func TestReportIsThatOfTheSlowVersion(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		hosts := []*burn.Recorder{recorder("a"), recorder("b"), recorder("c")}
		var all []request
		now := noon
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
			r := request{
				rapid.IntRange(0, 2).Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "account"),
				time.Duration(rapid.IntRange(0, 4000).Draw(t, "latency")) * time.Second, rapid.Bool().Draw(t, "ok"),
				now.Add(-time.Duration(rapid.IntRange(0, 60).Draw(t, "late")) * time.Second),
			}
			all = append(all, r)
			hosts[r.host].Record(name(r.service), fmt.Sprint(r.account), r.latency, r.ok, r.at)
		}
		var parts []burn.Snapshot
		for _, h := range hosts {
			parts = append(parts, overTheWire(t, h.Snapshot(now)))
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
			checkLine(t, l, all, now)
		}
	})
}

func overTheWire(t interface{ Fatal(...any) }, s burn.Snapshot) burn.Snapshot {
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

func checkLine(t *rapid.T, l burn.Line, all []request, now time.Time) {
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
		good, bad, want := slowRate(all, l.Service, account, w.window, now)
		if math.Abs(want-w.rate) > 1e-9 {
			t.Fatalf("%s of %q over %s: got %v, want %v", l.Service, l.Account, w.window, w.rate, want)
		}
		if w.window == 6*time.Hour && (l.Good != good || l.Bad != bad) {
			t.Fatalf("%s of %q: got %d good, %d bad, want %d, %d", l.Service, l.Account, l.Good, l.Bad, good, bad)
		}
	}
	if l.P50MS > l.P90MS || l.P90MS > l.P99MS {
		t.Fatalf("quantiles fall: %+v", l)
	}
}

func TestAlertNeedsBothWindowsOfAPair(t *testing.T) {
	cases := []struct {
		name       string
		from, till int // minutes before now that are bad
		want       burn.Alert
	}{
		{"nothing", 0, 0, burn.NoAlert},
		{"short only", 4, 0, burn.NoAlert},
		{"long and short", 30, 0, burn.FastAlert},
		{"long only, it is over", 50, 35, burn.NoAlert},
		{"slow pair", 120, 10, burn.SlowAlert},
		{"slow pair, it is over", 200, 60, burn.NoAlert},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := recorder("a")
			for m := 359; m >= 0; m-- {
				r.Record("refill", "kiosks", time.Second, m >= c.from || m < c.till, noon.Add(-time.Duration(m)*time.Minute))
			}
			report, err := r.Report(noon)
			is.NoErr(err)
			is.Equal(report.Lines[0].Alert, c.want)
		})
	}
}

func TestMergeLeavesOutWhatWouldMislead(t *testing.T) {
	is := is.New(t)
	r := recorder("a")
	r.Record("refill", "kiosks", time.Second, true, noon)
	s := r.Snapshot(noon)
	b, c := overTheWire(t, s), overTheWire(t, s)
	b.Hosts, b.Series[0].Latency[0].Count = []string{"b"}, -1
	c.Hosts, c.Series[0].Minutes[0].Bad = []string{"c"}, -1
	for _, spoilt := range []burn.Snapshot{s, b, c} { // the first is the same host again
		merged, err := burn.Merge(s, spoilt)
		is.True(err != nil)
		is.Equal(merged, s)
	}
	_, err := b.Report(noon, objectives)
	is.True(err != nil)
}

// TestMergedSnapshotsMergeOn tells of a rolling replacement: each host ends as
// planned and gives its counts to the next, which passes them on with its own.
// The report must not forget them, nor count a host twice that still answers.
func TestMergedSnapshotsMergeOn(t *testing.T) {
	is := is.New(t)
	a, b, c := recorder("a#1"), recorder("b#1"), recorder("c#1")
	for _, r := range []*burn.Recorder{a, b, c} {
		r.Record("refill", "kiosks", time.Second, true, noon.Add(-time.Hour))
		r.Record("refill", "kiosks", time.Second, false, noon)
	}
	ab, err := burn.Merge(overTheWire(t, a.Snapshot(noon)), b.Snapshot(noon))
	is.NoErr(err)
	abc, err := burn.Merge(overTheWire(t, ab), c.Snapshot(noon))
	is.NoErr(err)
	merged, err := burn.Merge(abc, a.Snapshot(noon))
	is.True(err != nil) // a still answers
	report, err := merged.Report(noon, objectives)
	is.NoErr(err)
	is.Equal(report.Lines[0].Good, int64(3))
	is.Equal(report.Lines[0].Bad, int64(3))
	is.Equal(report.Hosts, []string{"a#1", "b#1", "c#1"})
}

// TestSeriesAreBounded has names without end, as after many configurations.
// What no longer gets requests makes room; what finds none is counted.
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

// Where each job has an objective of its own, who records says what was in time.
func TestJobsWithObjectivesOfTheirOwn(t *testing.T) {
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
