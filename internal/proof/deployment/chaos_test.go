package deployment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// trouble is one thing that goes wrong, from a time on and for a time.
type trouble struct {
	Kind  string
	At    time.Duration
	For   time.Duration
	Which int     // host or target
	Share float64 // how much
}

func (t trouble) String() string {
	return fmt.Sprintf("%s at %s for %s (%d, %.2f)", t.Kind, t.At, t.For, t.Which, t.Share)
}

var kinds = []string{
	"kill", "kill leader", "stop", "stop leader", "kill all", "cut store", "cut leader from store", "store down",
	"store loses", "store late", "store slow", "forget", "cut zone", "cut targets", "orders lost", "orders late",
	"target dies", "target reborn", "target hangs", "target fails", "target slow", "target drains", "target rejects", "cancel", "cut hosts",
}

// request is a job that a client hands in.
type request struct {
	At       time.Duration
	Priority int
	Steps    []graph.Step
	Work     time.Duration
	Fails    int // of 100 runs
	Cancel   time.Duration
}

func drawStep(t *rapid.T, first bool) graph.Step {
	s := graph.Step{
		Count:    rapid.IntRange(1, 12).Draw(t, "count"),
		Needs:    needs(rapid.SampledFrom([]int{1, 1, 2, 4, 8}).Draw(t, "accelerators")),
		Estimate: time.Duration(rapid.IntRange(1, 6).Draw(t, "estimate")) * time.Second,
	}
	switch rapid.IntRange(0, 5).Draw(t, "sort") {
	case 0, 1:
		s.Gang, s.Count = true, min(s.Count, 6)
		s.SameRack = rapid.Bool().Draw(t, "sameRack")
	case 2:
		s.Checkpointing = true
	case 3:
		s.PerTarget = 2
	}
	if !first {
		s.After = []int{0}
	}
	return s
}

func drawRequest(t *rapid.T) request {
	q := request{
		At:       time.Duration(rapid.IntRange(1000, 20000).Draw(t, "at")) * time.Millisecond,
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Steps:    []graph.Step{drawStep(t, true)},
		Work:     time.Duration(rapid.IntRange(300, 5000).Draw(t, "work")) * time.Millisecond,
		Fails:    rapid.SampledFrom([]int{0, 0, 5, 60}).Draw(t, "fails"),
	}
	if rapid.IntRange(0, 3).Draw(t, "more") == 0 {
		q.Steps = append(q.Steps, drawStep(t, false))
	}
	if rapid.IntRange(0, 6).Draw(t, "cancels") == 0 {
		q.Cancel = time.Duration(rapid.IntRange(20, 3000).Draw(t, "cancel")) * time.Millisecond
	}
	return q
}

func drawTrouble(t *rapid.T) trouble {
	return trouble{
		Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		At:    time.Duration(rapid.IntRange(2000, 22000).Draw(t, "at")) * time.Millisecond,
		For:   time.Duration(rapid.IntRange(300, 9000).Draw(t, "for")) * time.Millisecond,
		Which: rapid.IntRange(0, 11).Draw(t, "which"),
		Share: rapid.Float64Range(0.05, 0.6).Draw(t, "share"),
	}
}

// script is a whole day.
type script struct {
	Seed     uint64
	Requests []request
	Troubles []trouble
}

func drawScript(t *rapid.T) script {
	return script{
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Requests: rapid.SliceOfN(rapid.Custom(drawRequest), 4, 25).Draw(t, "requests"),
		Troubles: rapid.SliceOfN(rapid.Custom(drawTrouble), 1, 7).Draw(t, "troubles"),
	}
}

// Anything goes wrong, several things at once and more than once, while clients
// hand in jobs of every sort. Whatever happens, no promise is broken, and when
// all is well again every accepted job comes to its end.
func TestChaos(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		if faults, log := s.play(t); len(faults) > 0 {
			text, _ := json.Marshal(s) // plain numbers and texts
			rt.Fatalf("%v\n%s\n%s\nkeep this in testdata/chaos: %s", s.Troubles, strings.Join(faults, "\n"), log, text)
		}
	})
}

// Scripts that once showed a fault, played again. What each showed stands in
// testdata/chaos/README.md.
func TestChaosFound(t *testing.T) {
	files, err := filepath.Glob("testdata/chaos/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			var s script
			if err := json.Unmarshal(text, &s); err != nil {
				t.Fatal(err)
			}
			if faults, log := s.play(t); len(faults) > 0 {
				t.Errorf("%s\n%s", strings.Join(faults, "\n"), log)
			}
		})
	}
}

// play plays a script and returns the faults and the log.
func (s script) play(t *testing.T) (faults []string, log string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, s.Seed, 4, 3)
		defer r.close()
		began := time.Now()
		at := func(d time.Duration, f func()) {
			time.AfterFunc(time.Until(began.Add(d)), f)
		}
		events := make(chan func(), 256)
		for _, x := range s.Troubles {
			at(x.At, func() { events <- func() { r.begin(x) } })
			at(x.At+x.For, func() { events <- func() { r.heal(x) } })
		}
		for _, q := range s.Requests {
			at(q.At, func() { events <- func() { r.hand(q, events) } })
		}
		end := time.After(33 * time.Second)
		for running := true; running; {
			select {
			case f := <-events:
				f()
			case <-end:
				running = false
			}
		}
		r.healAll()
		r.settle(120 * time.Second)
		faults, log = r.faults, r.recent()
	})
	return faults, log
}

// hand hands a request in, and cancels it where it is to be cancelled.
func (r *rig) hand(q request, events chan func()) {
	j := r.graph(q.Priority, q.Steps...)
	b := works(q.Work)
	b.Fails = func(id graph.TaskID, run int) bool {
		return int(hash(id.String(), run)%100) < q.Fails
	}
	s := r.submit(j, b)
	if q.Cancel > 0 {
		time.AfterFunc(q.Cancel, func() {
			events <- func() {
				if accepted, _, _ := s.get(); accepted {
					r.cancel(s)
				}
			}
		})
	}
}

func hash(text string, n int) uint32 {
	h := uint32(2166136261) + uint32(n)*97
	for _, c := range []byte(text) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h >> 7
}

func (r *rig) host(which int) *host { return r.hosts[which%len(r.hosts)] }

// targetID returns the id of a living target.
func (r *rig) targetID(which int) string {
	id := ""
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		if list := p.Roster(); len(list) > 0 {
			id = list[which%len(list)].ID
		}
	})
	return id
}

// begin begins a trouble.
func (r *rig) begin(x trouble) {
	r.logger("test").Info("trouble", "kind", x.Kind, "for", x.For.String(), "which", x.Which, "share", x.Share)
	switch x.Kind {
	case "kill", "stop":
		r.endHost(r.host(x.Which), x.Kind == "kill")
	case "kill leader", "stop leader":
		if h := r.leader(); h != nil {
			r.endHost(h, x.Kind == "kill leader")
		}
	case "kill all":
		for _, h := range r.hosts {
			r.endHost(h, true)
		}
	case "cut hosts":
		for _, h := range r.hosts {
			r.wires.set(h.address, r.host(x.Which).address, true)
		}
	case "forget":
		r.table.Forget()
	case "cancel":
		for _, s := range r.jobs {
			if accepted, _, _ := s.get(); accepted && r.rnd.Float64() < x.Share {
				r.cancel(s)
			}
		}
	default:
		if strings.HasPrefix(x.Kind, "target") {
			r.beginTarget(x)
		} else {
			r.beginLink(x)
		}
	}
}

func (r *rig) endHost(h *host, kill bool) {
	switch {
	case h.dead:
	case kill:
		r.kill(h)
	default:
		r.stop(h)
	}
}

func (r *rig) beginLink(x trouble) {
	switch x.Kind {
	case "cut store":
		r.host(x.Which).link.Set(rows.Trouble{Silent: true})
	case "cut leader from store":
		if h := r.leader(); h != nil {
			h.link.Set(rows.Trouble{Refuse: true})
		}
	case "store down":
		r.allLinks(rows.Trouble{Silent: x.Which%2 == 0, Refuse: x.Which%2 == 1})
	case "store loses":
		r.allLinks(rows.Trouble{Lose: x.Share})
	case "store late":
		r.allLinks(rows.Trouble{Late: x.Share, LateBy: time.Duration(x.Which) * time.Second / 2})
	case "store slow":
		r.allLinks(rows.Trouble{Slow: time.Duration(x.Which) * 80 * time.Millisecond})
	case "orders lost":
		r.allLines(pool.Fault{Lose: x.Share / 2})
	case "orders late":
		r.allLines(pool.Fault{Late: x.Share / 2, LateBy: time.Duration(x.Which) * time.Second})
	case "cut targets":
		r.allLines(pool.Fault{Cut: r.some(x.Share)})
	case "cut zone":
		r.cutZone(x.Which)
	}
}

// some returns the ids of a share of the targets.
func (r *rig) some(share float64) map[string]bool {
	cut := map[string]bool{}
	for id := range r.allTargets() {
		cut[id] = float64(hash(id, 0)%100)/100 < share
	}
	return cut
}

// cutZone cuts one host and one rack off from everything else.
func (r *rig) cutZone(which int) {
	lone, zone := r.host(which), fmt.Sprintf("zone%d", which%3)
	inside, outside := map[string]bool{}, map[string]bool{}
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			inside[t.ID], outside[t.ID] = t.Zone == zone, t.Zone != zone
		}
	})
	for _, h := range r.hosts {
		if h == lone || h.dead {
			continue
		}
		r.wires.set(h.address, lone.address, true)
		h.line.Set(pool.Fault{Cut: inside})
	}
	if !lone.dead {
		lone.link.Set(rows.Trouble{Silent: true})
		lone.line.Set(pool.Fault{Cut: outside})
	}
}

func (r *rig) beginTarget(x trouble) {
	id := r.targetID(x.Which)
	if id == "" {
		return
	}
	r.shared.Do(func(p *pool.Pool, now time.Time) {
		switch x.Kind {
		case "target dies":
			p.Kill(id, now)
		case "target reborn":
			r.reborn++
			p.Add(r.target(x.Which%3, x.Which%4, 1+r.reborn), 0.99, now)
		case "target hangs":
			p.Hang(id, true)
		case "target fails":
			p.FailAll(id, true)
		case "target slow":
			p.Slow(id, 0.2)
		case "target drains":
			p.Drain(id)
		case "target rejects":
			p.Reject(id, true)
		}
	})
}

// heal ends a trouble. Links and targets become well altogether: overlapping
// troubles of the same sort end together.
func (r *rig) heal(x trouble) {
	r.logger("test").Info("healed", "kind", x.Kind)
	r.healHosts()
	r.allLinks(rows.Trouble{})
	r.allLines(pool.Fault{})
	if strings.HasPrefix(x.Kind, "target") {
		r.healTargets()
	}
}

func (r *rig) healHosts() {
	for i, h := range r.hosts {
		for _, o := range r.hosts[:i] {
			r.wires.set(h.address, o.address, false)
		}
		if h.dead {
			r.restart(h)
		}
	}
}

// healTargets makes all targets sound; one that leaves goes, and one comes in
// place of each that is missing.
func (r *rig) healTargets() {
	r.shared.Do(func(p *pool.Pool, now time.Time) {
		there := map[string]bool{}
		for _, t := range p.Roster() {
			p.Hang(t.ID, false)
			p.FailAll(t.ID, false)
			p.Slow(t.ID, 1)
			p.Reject(t.ID, false)
			if t.Draining {
				p.Kill(t.ID, now)
				continue
			}
			there[t.Address] = true
		}
		for rack := range 3 {
			for i := range 4 {
				r.reborn++
				if t := r.target(rack, i, 1+r.reborn); !there[t.Address] {
					p.Add(t, 1, now)
				}
			}
		}
	})
}

func (r *rig) healAll() {
	r.healHosts()
	r.healTargets()
	r.allLinks(rows.Trouble{})
	r.allLines(pool.Fault{})
}
