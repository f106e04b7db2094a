package schedule_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
)

// mix is one kind of job of a stream.
type mix struct {
	kind    string
	account string
	shape   string  // members accelerators adjacency
	flags   string  // keys of the configuration text that are true
	median  float64 // run time, s
	share   float64 // of the offered accelerator time
	burst   int     // largest burst, 1 for none
	count   int     // guaranteed gangs of the shape, 0 for none
}

// Both users have one availability zone of 50 workers here, 8 a rack: gangs are
// whole racks and more than a third of a zone at a third of that size. Services
// and accounts are the brief's; shares and run times are assumptions.
var users = map[string]struct {
	cores                     int
	completion, fragmentation float64
	mixes                     []mix
}{
	"recargaBella": {64, 0.8, 0.2, []mix{
		{"confirmWindow", "kioscos", "1 1 any", "", 40, 0.16, 60, 0},
		{"checkBatch", "formulas", "1 2 any", "stoppable", 90, 0.14, 30, 0},
		{"routeDay", "entregas", "1 4 worker", "stoppable", 240, 0.15, 4, 0},
		{"planJars", "entregas", "2 8 rack", "stoppable", 400, 0.12, 2, 0},
		{"fitDemand", "formulas", "8 8 rack", "stoppable", 600, 0.10, 1, 0},
		{"scoreSalons", "salones", "16 1 any", "stoppable", 300, 0.08, 2, 0},
		{"planStations", "salones", "4 8 rack", "guaranteed", 500, 0.15, 2, 2},
		{"refillNow", "kioscos", "1 8 worker", "guaranteed urgent", 120, 0.10, 3, 4},
	}},
	"spf": {128, 0.3, 0.7, []mix{
		{"disclosureCheck", "creators", "1 1 any", "", 60, 0.12, 50, 0},
		{"scanCreative", "planners", "1 2 any", "stoppable", 120, 0.12, 20, 0},
		{"scoreReach", "planners", "1 4 worker", "stoppable", 300, 0.12, 4, 0},
		{"simulateReach", "brands", "4 8 rack", "stoppable", 600, 0.14, 2, 0},
		{"matchAudience", "agencies", "8 8 rack", "stoppable", 900, 0.14, 1, 0},
		{"embedPosts", "creators", "64 1 any", "stoppable", 300, 0.08, 1, 0},
		{"forecastReach", "brands", "4 8 rack", "guaranteed", 600, 0.18, 2, 2},
		{"checkNow", "agencies", "2 8 rack", "guaranteed urgent", 120, 0.10, 2, 2},
	}},
}

// request is one job of a stream, with what the scheduler is not told.
type request struct {
	job    job.Job
	at     time.Duration
	run    time.Duration
	cancel time.Duration // 0 for never
}

type loss struct {
	worker   cell.Worker
	at, back time.Duration
}

type stream struct {
	config   *text.Config
	workers  []cell.Worker
	requests []request
	losses   []loss
}

const arrivals = time.Hour // of a stream

var epoch = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// newStream draws a user's stream: bursts of small jobs and gangs, declared run
// times wrong by up to ten times, single cancellations and two waves of them,
// and four workers lost for five minutes each.
func newStream(tb testing.TB, user string, load float64, seed uint64) *stream {
	u := users[user]
	rng := rand.New(rand.NewPCG(seed, math.Float64bits(load)))
	s := &stream{config: parse(tb, configText(user))}
	for i := range 50 {
		w, err := cell.NewWorker(fmt.Sprintf("w%02d", i), "z", fmt.Sprintf("r%d", i/8), 8, u.cores, 256<<10, 8)
		if err != nil {
			tb.Fatal(err)
		}
		s.workers = append(s.workers, w)
	}
	for _, m := range u.mixes {
		s.draw(tb, m, load*float64(8*len(s.workers)), rng)
	}
	sort.SliceStable(s.requests, func(i, j int) bool { return s.requests[i].at < s.requests[j].at })
	for i := range 4 {
		at := time.Duration(i)*arrivals/4 + time.Duration(rng.Int64N(int64(arrivals/5)))
		s.losses = append(s.losses, loss{s.workers[rng.IntN(len(s.workers))], at, at + 5*time.Minute})
	}
	return s
}

func (s *stream) draw(tb testing.TB, m mix, accelerators float64, rng *rand.Rand) {
	shape := shapeOf(tb, m.shape)
	mean := m.median * math.Exp(0.8*0.8/2)
	rate := m.share * accelerators / (float64(shape.Total()) * mean) // jobs a second
	size := func() int {
		if rng.Float64() < 0.9 {
			return 1
		}
		return 1 + rng.IntN(m.burst)
	}
	meanSize := 0.9 + 0.1*float64(m.burst+1)/2
	for x := rng.ExpFloat64() * meanSize / rate; x < arrivals.Seconds(); x += rng.ExpFloat64() * meanSize / rate {
		at := peaked(x)
		for range size() {
			run := min(max(m.median*math.Exp(0.8*rng.NormFloat64()), 2), 3600)
			r := request{at: seconds(at), run: seconds(run)}
			r.cancel = cancelAt(r.at, m.account, rng)
			flag := func(f string) bool { return strings.Contains(m.flags, f) }
			id := fmt.Sprintf("%s-%d", m.kind, len(s.requests))
			j, err := job.New(job.ID(id), m.account, "s", shape, job.WithKind(m.kind), job.Repeatable(true),
				job.Stoppable(flag("stoppable")), job.Guaranteed(flag("guaranteed")), job.Urgent(flag("urgent")),
				job.Declared(seconds(run*math.Pow(10, 2*rng.Float64()-1))), job.SubmittedAt(epoch.Add(r.at), "", "z"))
			if err != nil {
				tb.Fatal(err)
			}
			r.job = j
			s.requests = append(s.requests, r)
		}
	}
}

// peaked maps evenly spread times to times of which half fall into two peaks of
// eight minutes, when a shift begins: small jobs and gangs come in bursts alike.
func peaked(x float64) float64 {
	const base, peak = 0.5, 0.5 + 0.5*60/16
	at := 0.0
	for _, phase := range []struct{ minutes, rate float64 }{{10, base}, {8, peak}, {17, base}, {8, peak}, {17, base}} {
		if work := phase.minutes * 60 * phase.rate; x > work {
			x -= work
			at += phase.minutes * 60
		} else {
			return at + x/phase.rate
		}
	}
	return at
}

// cancelAt draws when a request is cancelled: two in a hundred at any time, and
// half of an account's of the last five minutes in a wave at 20 and 40 minutes.
func cancelAt(at time.Duration, account string, rng *rand.Rand) time.Duration {
	if rng.Float64() < 0.02 {
		return at + seconds(rng.Float64()*120)
	}
	for wave, victim := range map[time.Duration]string{20 * time.Minute: "kioscos creators", 40 * time.Minute: "formulas planners"} {
		if at < wave && at > wave-5*time.Minute && strings.Contains(victim, account) && rng.IntN(2) == 0 {
			return wave
		}
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func shapeOf(tb interface{ Fatal(...any) }, text string) cell.Shape {
	var members, accelerators int
	var adjacency string
	if _, err := fmt.Sscan(text, &members, &accelerators, &adjacency); err != nil {
		tb.Fatal(err)
	}
	s, err := cell.NewShape(members, accelerators, 2*accelerators, 8<<10*accelerators, cell.Adjacency(adjacency))
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func parse(tb testing.TB, body string) *text.Config {
	c, err := text.Parse([]byte(body))
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func configText(user string) string {
	u := users[user]
	var b strings.Builder
	fmt.Fprintf(&b, "[service s]\ncompletionWeight = %g\nfragmentationWeight = %g\n", u.completion, u.fragmentation)
	accounts := map[string]bool{}
	for _, m := range u.mixes {
		var members, accelerators int
		var adjacency string
		fmt.Sscan(m.shape, &members, &accelerators, &adjacency)
		if !accounts[m.account] {
			fmt.Fprintf(&b, "[account %s]\noperator = true\nkeyHash = %064d\nweight = 1\n", m.account, len(accounts))
		}
		accounts[m.account] = true
		shape := fmt.Sprintf("members = %d\naccelerators = %d\ncores = %d\nmemory = %d\nadjacency = %s\n", members, accelerators, 2*accelerators, 8<<10*accelerators, adjacency)
		fmt.Fprintf(&b, "[job s.%s]\n%s", m.kind, shape)
		if m.count > 0 {
			fmt.Fprintf(&b, "[guarantee %s.%s]\n%szones = z\ncount = %d\n", m.account, m.kind, shape, m.count)
		}
	}
	return b.String()
}
