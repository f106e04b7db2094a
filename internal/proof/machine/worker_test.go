package machine

import (
	"encoding/json"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/standin/fleet"
	"guavaglade.example/guavaglade/internal/work/job"
)

// worker is a worker with the lease rules of the stand-in on the virtual clock.
// It notes what was held and started, against which the invariants are checked.
type worker struct {
	*fleet.Worker
	node
	w       *world
	waiting []func() bool // renewals that wait for a change; true when answered
	leaves  bool
}

// track is what the workers saw of one lease.
type track struct {
	held, started map[string]bool
	members       map[int]string // which worker started a member
	workers       int
}

type gangBook map[target.Lease]*track

func newWorker(w *world, zone string, i int) *worker {
	id := fmt.Sprintf("%s%d", zone, i)
	c, err := cell.NewWorker(id, zone, "r", 4, 16, 16000, 4)
	if err != nil {
		panic(err)
	}
	return &worker{Worker: fleet.NewWorker(c), node: node{id, zone}, w: w}
}

func (k *worker) listed() table.Target {
	return table.Target{ID: k.name, Zone: k.zone, Rack: "r", Accelerators: 4, Cores: 16, Memory: 16000, Slots: 4, Leaving: k.leaves}
}

func (k *worker) track(l target.Lease) *track {
	t, ok := k.w.gangs[l]
	if !ok {
		t = &track{held: map[string]bool{}, started: map[string]bool{}, members: map[int]string{}}
		k.w.gangs[l] = t
	}
	return t
}

func (k *worker) hold(h target.Hold, ttl time.Duration) error {
	err := k.Hold(h, ttl, k.w.now)
	k.w.logf("%s holds %s: %v", k.name, h.Lease, err)
	if err == nil {
		t := k.track(h.Lease)
		t.held[k.name], t.workers = true, h.Workers
		for _, g := range h.Grants {
			t.members[g.Member] = k.name
		}
	}
	k.changed()
	return err
}

// start runs what is held and checks what may have started.
func (k *worker) start(l target.Lease, deadline time.Time, by *host) error {
	before := k.Starts(l.Job)
	err := k.Start(l, k.w.now)
	if k.Starts(l.Job) > before {
		k.started(l, by)
		if late := k.w.now.Sub(deadline); late > slowest {
			k.w.violate("lateStart", "%s started on %s %s after its holder's deadline", l, k.name, late)
		}
	}
	k.changed()
	return err
}

func (k *worker) started(l target.Lease, by *host) {
	t, j := k.track(l), k.w.jobs[l.Job]
	k.w.logf("%s starts %s for %s", k.name, l, by.id())
	t.started[k.name] = true
	if len(t.held) < t.workers {
		k.w.violate("partlyHeld", "%s started on %s while held on %d of %d workers", l, k.name, len(t.held), t.workers)
	}
	j.attempts[l] = true
	if !j.job.Repeatable() && (len(j.attempts) > 1 || k.Starts(l.Job) > 1) {
		k.w.violate("atMostOnce", "%s started again as %s on %s", l.Job, l, k.name)
	}
	if j.notRun {
		k.w.violate("notRun", "%s was told not run and started on %s", l.Job, k.name)
	}
	for _, source := range []string{"list ", "word "} {
		if at, ok := by.toldLeaving[source+k.name]; ok && k.w.now.Sub(at) > leavingIn {
			k.w.violate("leaving", "%s started %s for %s, told %s before that it leaves", k.name, l, by.id(), k.w.now.Sub(at))
		}
	}
}

// renew renews, checks what is renewed, and answers at a change or by the wait.
func (k *worker) renew(r target.Renewal, ttl time.Duration, until time.Time, answer func(target.Report)) {
	rep := k.Renew(r.Leases, ttl, r.Since, k.w.now)
	lapsed := map[target.Lease]bool{}
	for _, l := range rep.Lapsed {
		lapsed[l] = true
	}
	for _, l := range r.Leases {
		if t := k.track(l); !lapsed[l] && len(t.started) < t.workers {
			k.w.violate("partlyStarted", "%s renewed on %s while started on %d of %d workers", l, k.name, len(t.started), t.workers)
		}
	}
	poll := func() bool {
		if len(rep.Tasks) == 0 && len(rep.Lapsed) == 0 {
			rep = k.Renew(nil, 0, r.Since, k.w.now)
		}
		if len(rep.Tasks) == 0 && len(rep.Lapsed) == 0 && k.w.now.Before(until) {
			return false
		}
		answer(rep)
		return true
	}
	k.changed()
	if poll() {
		return
	}
	done := false
	once := func() bool { done = done || poll(); return done }
	k.waiting = append(k.waiting, once)
	k.w.at(until, func() { once() })
}

// changed wakes the renewals that wait and plans the next change.
func (k *worker) changed() {
	k.Advance(k.w.now)
	still := k.waiting[:0]
	for _, poll := range k.waiting {
		if !poll() {
			still = append(still, poll)
		}
	}
	k.waiting = still
	if next := k.Next(); !next.IsZero() {
		k.w.at(next.Add(time.Millisecond), func() {
			if n := k.Next(); !n.IsZero() && !n.After(k.w.now) {
				k.changed()
			}
		})
	}
}

// cut returns the report as it arrives when an answer in it lost its end.
func cut(r target.Report) target.Report {
	tasks := append([]target.Task(nil), r.Tasks...)
	for i := range tasks {
		if tasks[i].Answer.Length() == 0 {
			continue
		}
		a := tasks[i].Answer
		body, err := json.Marshal(struct {
			Length int    `json:"length"`
			Digest string `json:"digest"`
			Body   []byte `json:"body"`
		}{a.Length(), a.Digest(), a.Body()[:a.Length()/2]})
		if err == nil {
			err = json.Unmarshal(body, &tasks[i].Answer)
		}
		if err != nil {
			panic(err)
		}
	}
	r.Tasks = tasks
	return r
}

// mend makes the cut answers of a report look whole, which is what a reader
// without the digest would take them for.
func mend(r target.Report) target.Report {
	for i := range r.Tasks {
		r.Tasks[i].Answer = job.NewAnswer(r.Tasks[i].Answer.Body())
	}
	return r
}
