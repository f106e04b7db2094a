package server

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
)

// stepEntry gives the entry an event and carries out what it asks for.
func (n *Node) stepEntry(ctx context.Context, ev intake.Event, now time.Time) {
	for _, c := range n.entry.Step(ev, now) {
		switch c := c.(type) {
		case intake.Give:
			if c.Known {
				n.confirm(ctx, c)
				continue
			}
			n.spawn(func() { n.give(ctx, c) })
		case intake.CancelAt:
			n.spawn(func() { n.cancelAt(ctx, c) })
		case intake.Finish:
			n.finished(ctx, c)
		}
	}
}

func (n *Node) give(ctx context.Context, c intake.Give) {
	if err := n.call(ctx, c.Placer, "placer.submit", c.Job, nil); err != nil {
		n.log.Info("job", "job", c.Job.ID(), "step", "give", "peer", c.Placer, "error", err.Error())
		if !peer.Answered(err) {
			n.post(ctx, func() { n.members.Unreachable(addressOf(c.Placer)) })
		}
		if peer.Answered(err) || errors.Is(err, errNotPlacer) {
			n.post(ctx, func() { n.stepEntry(ctx, intake.NotTaken{Job: c.Job.ID(), Placer: c.Placer}, time.Now()) })
		}
		return
	}
	n.post(ctx, func() { n.stepEntry(ctx, intake.Taken{Job: c.Job.ID(), Placer: c.Placer}, time.Now()) })
}

func (n *Node) cancelAt(ctx context.Context, c intake.CancelAt) {
	body := struct {
		Job job.ID `json:"job"`
	}{c.Job}
	if err := n.call(ctx, c.Placer, "placer.cancel", body, nil); err != nil {
		n.log.Info("job", "job", c.Job, "step", "cancel", "peer", c.Placer, "error", err.Error())
	}
}

// outcomeArrived gives the entry a placer's word, from the loop. For a job that
// its zone refused it names the zones which could run it.
func (n *Node) outcomeArrived(ctx context.Context, b outcomeBody, now time.Time) {
	ev := intake.OutcomeArrived{Placer: b.Placer, Outcome: b.Outcome}
	if r, ok := n.entry.Record(b.Outcome.Job); ok && b.Outcome.State == job.NotRun {
		ev.Zones = n.zonesFor(r.Job().Shape(), now)
	}
	n.stepEntry(ctx, ev, now)
}

// zonesFor returns the zones whose listed workers could hold the shape if all
// were free, the one with the most free accelerators first. It is never nil.
func (n *Node) zonesFor(s cell.Shape, now time.Time) []string {
	byZone := map[string]*placement.Zone{}
	for _, t := range n.targets {
		w, err := cell.NewWorker(t.ID, t.Zone, t.Rack, t.Accelerators, t.Cores, t.Memory, t.Slots)
		if err != nil || t.Leaving {
			continue
		}
		if byZone[t.Zone] == nil {
			byZone[t.Zone] = placement.NewZone(nil)
		}
		byZone[t.Zone].AddWorker(w)
	}
	zones := []string{}
	for z, fleet := range byZone {
		if fleet.CanEver(s) == nil {
			zones = append(zones, z)
		}
	}
	free := func(z string) int {
		load, _ := n.members.LoadOf(z, now)
		return load.Free
	}
	slices.SortFunc(zones, func(a, b string) int { return cmp.Or(cmp.Compare(free(b), free(a)), cmp.Compare(a, b)) })
	return zones
}

func (n *Node) finished(ctx context.Context, c intake.Finish) {
	id := c.Job.ID()
	if done, ok := n.waiting[id]; ok {
		close(done)
		delete(n.waiting, id)
	}
	if c.Job.Long() && !n.durable[id] {
		n.spawn(func() { n.dropCopies(ctx, c.Job) })
	}
	n.score(c)
	n.metrics.Tagged(map[string]string{"state": string(c.Outcome.State)}).Counter("jobs_finished").Inc(1)
	n.log.Info("job", "job", id, "step", "answered", "state", string(c.Outcome.State), "attempt", gang.Round(c.Outcome.Attempt),
		"reason", c.Outcome.Reason)
}

// score counts the request for the burn report. One that its caller took back
// is neither good nor bad; nor is one that could never be served.
func (n *Node) score(c intake.Finish) {
	o := c.Outcome
	never := o.State == job.NotRun && o.RetryAfter.IsZero() && c.Job.Deadline().IsZero()
	if o.State == job.Cancelled || never {
		return
	}
	now := time.Now()
	n.spawn(func() {
		n.serviceEnded(context.Background(), c.Job.Service(), o.State == job.Failed || o.State == job.Lost)
	})
	n.burn.Record(c.Job.Service(), c.Job.Account(), now.Sub(c.Job.Submitted()), o.State == job.Succeeded, now)
}

// View is what a host knows of a job.
type View struct {
	Job     job.Job       `json:"job"`
	State   job.State     `json:"state"`
	Outcome job.Outcome   `json:"outcome,omitzero"` // valid if the state is final
	Lines   []intake.Line `json:"lines,omitempty"`
	// Durable says that the job outlives its host; Entry is the host that answers.
	Durable    bool   `json:"durable,omitempty"`
	Entry      string `json:"entry,omitempty"`
	AskAgainAt string `json:"askAgainAt,omitempty"` // IP:port for callers; set at a planned stop
}

func (n *Node) viewOf(r *intake.Record) View {
	v := View{Job: r.Job(), State: r.State(), Lines: r.Lines(), Durable: n.durable[r.Job().ID()], Entry: n.id}
	if o, ok := r.Outcome(); ok {
		v.Outcome = o
		return v
	}
	v.AskAgainAt = n.askAgainAt
	return v
}

// local returns what this host itself knows of a job.
func (n *Node) local(ctx context.Context, id job.ID) (v View, ok bool, err error) {
	err = n.ask(ctx, func() {
		if r, found := n.entry.Record(id); found {
			v, ok = n.viewOf(r), true
		}
	})
	return v, ok, err
}

// Accept takes a job and answers for it from now on. Accepting it again
// changes nothing.
func (n *Node) Accept(ctx context.Context, j job.Job) error {
	return n.ask(ctx, func() {
		n.stepEntry(context.WithoutCancel(ctx), intake.Accepted{Job: j}, time.Now())
	})
}

// Cancel says that the caller no longer wants a job that was found. It is the
// host that answers for the job which cancels it.
func (n *Node) Cancel(ctx context.Context, v View) error {
	if v.State.Final() {
		return nil
	}
	body := struct {
		Job job.ID `json:"job"`
	}{v.Job.ID()}
	return n.call(ctx, v.Entry, "entry.cancel", body, nil)
}

// Wait returns what is known of a job when it is final or the deadline has
// passed, whichever is first; ok is false if this host does not know the job.
func (n *Node) Wait(ctx context.Context, id job.ID, deadline time.Time) (v View, ok bool, err error) {
	var done chan struct{}
	err = n.ask(ctx, func() {
		r, found := n.entry.Record(id)
		if !found || r.State().Final() {
			return
		}
		if n.waiting[id] == nil {
			n.waiting[id] = make(chan struct{})
		}
		done = n.waiting[id]
	})
	if err != nil {
		return View{}, false, err
	}
	if done != nil {
		bounded, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case <-done:
		case <-bounded.Done():
		}
	}
	return n.local(ctx, id)
}
