package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/remote"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// stepPlacer gives the placer an event and carries out what it asks for.
func (n *Node) stepPlacer(ctx context.Context, ev placer.Event, now time.Time) {
	for _, c := range n.placer.Step(ev, now) {
		n.carryOut(ctx, c)
	}
}

// placerEvent gives an event to the placer that asked for it. An answer that
// comes after this host ceased to place, or began again, is dropped: the later
// placer starts from the workers' lists.
func (n *Node) placerEvent(ctx context.Context, term int, ev placer.Event) {
	n.post(ctx, func() {
		if n.placer != nil && n.term == term {
			n.stepPlacer(ctx, ev, time.Now())
		}
	})
}

func (n *Node) carryOut(ctx context.Context, c placer.Command) {
	term := n.term
	switch c := c.(type) {
	case placer.HoldOn:
		n.atWorker(c.Worker, func(w target.Worker) {
			n.placerEvent(ctx, term, placer.HoldAnswered{Worker: c.Worker, Lease: c.Hold.Lease, Err: w.Hold(ctx, c.Hold)})
		})
	case placer.StartOn:
		n.atWorker(c.Worker, func(w target.Worker) {
			n.placerEvent(ctx, term, placer.StartAnswered{Worker: c.Worker, Lease: c.Lease, Err: startBefore(ctx, w, c)})
		})
	case placer.RenewOn:
		n.renew(ctx, c, time.Now())
	case placer.StopOn:
		n.atWorker(c.Worker, func(w target.Worker) {
			err := w.Stop(ctx, c.Stop)
			if err != nil && !errors.Is(err, target.ErrLapsed) {
				n.log.Info("worker", "step", "stop", "peer", c.Worker, "job", c.Stop.Lease.Job, "error", err.Error())
			}
			n.placerEvent(ctx, term, placer.StopAnswered{Worker: c.Worker, Lease: c.Stop.Lease, Err: err})
		})
	case placer.ThrottleOn:
		n.atWorker(c.Worker, func(w target.Worker) {
			if err := w.Throttle(ctx, c.Lease, c.Cores); err != nil {
				n.log.Info("worker", "step", "throttle", "peer", c.Worker, "job", c.Lease.Job, "error", err.Error())
			}
		})
	case placer.ClaimRow:
		n.spawn(func() { n.claim(ctx, term, c) })
	case placer.ClaimTicket:
		n.spawn(func() { n.claimTicket(ctx, term, c) })
	case placer.Answer:
		n.deliver(ctx, term, c)
	case placer.Tell:
		n.tell(ctx, c)
	}
}

// startBefore starts what is held unless the lease's deadline has passed: a
// process that was paused must not act on a lease that it only believes to hold.
func startBefore(ctx context.Context, w target.Worker, c placer.StartOn) error {
	if !time.Now().Before(c.Deadline) {
		return fmt.Errorf("start %s: the deadline has passed: %w", c.Lease, target.ErrUnreached)
	}
	return w.Start(ctx, c.Lease)
}

// atWorker runs f with the worker's client outside of the loop. A worker that
// is not on the list has no address and f is not called; the lease lapses.
func (n *Node) atWorker(id string, f func(target.Worker)) {
	address, ok := n.workerAt[id]
	if !ok {
		n.log.Info("worker", "step", "find", "peer", id, "error", "not on the platform's list")
		return
	}
	w := n.workerOf(id, address)
	n.spawn(func() { f(w) })
}

// workerOf returns the client of a worker at an address.
func (n *Node) workerOf(id, address string) target.Worker {
	if n.addresses[id] != address {
		n.addresses[id], n.workers[id] = address, remote.New(address, n.workerRT)
	}
	return n.workers[id]
}

// deliver records the outcome if it must outlive its hosts and gives it to an
// entry. The placer asks again until both are done.
func (n *Node) deliver(ctx context.Context, term int, c placer.Answer) {
	key := delivery{job: c.Job.ID(), entry: c.Job.Entry()}
	if n.delivering[key] {
		return
	}
	n.delivering[key] = true
	n.spawn(func() {
		o, err := n.recordOutcome(ctx, c)
		if err == nil {
			err = n.call(ctx, key.entry, "entry.outcome", outcomeBody{Placer: n.id, Outcome: o}, nil)
		}
		n.post(ctx, func() { delete(n.delivering, key) })
		if err != nil {
			n.log.Info("outcome", "step", "deliver", "job", key.job, "peer", key.entry, "error", err.Error())
			return
		}
		n.placerEvent(ctx, term, placer.OutcomeTaken{Job: key.job, Entry: key.entry})
	})
}

// delivery is an outcome on its way to one entry.
type delivery struct {
	job   job.ID
	entry string
}

// tell logs a line of a job's story and passes it on to the job's entry.
func (n *Node) tell(ctx context.Context, c placer.Tell) {
	if c.Job.ID() == "" {
		n.log.Info("placer", "step", c.Step, "text", c.Text)
		return
	}
	n.log.Info("job", "job", c.Job.ID(), "step", c.Step, "state", string(c.State), "text", c.Text)
	line := intake.Line{At: time.Now(), State: c.State, Step: c.Step, Peer: n.id, Text: c.Text}
	told := toldBody{Job: c.Job.ID(), Line: line}
	entry := c.Job.Entry()
	if entry == n.id {
		n.stepEntry(ctx, intake.Told(told), line.At)
		return
	}
	_, sending := n.stories[entry]
	n.stories[entry] = append(n.stories[entry], told)
	if !sending {
		n.spawn(func() { n.sendStories(ctx, entry) })
	}
}

// sendStories passes an entry's lines on in their order, all that have gathered
// in one call, until there are no more. Lines sent side by side would cross,
// and a job that runs would look as if it were still starting.
func (n *Node) sendStories(ctx context.Context, entry string) {
	for {
		var lines []toldBody
		if err := n.ask(ctx, func() {
			if lines = n.stories[entry]; len(lines) == 0 {
				delete(n.stories, entry)
				return
			}
			n.stories[entry] = nil
		}); err != nil || len(lines) == 0 {
			return
		}
		if err := n.call(ctx, entry, "entry.told", lines, nil); err != nil {
			n.metrics.Counter("stories_lost").Inc(int64(len(lines)))
		}
	}
}

type outcomeBody struct {
	Placer  string      `json:"placer"`
	Outcome job.Outcome `json:"outcome"`
}

type toldBody struct {
	Job  job.ID      `json:"job"`
	Line intake.Line `json:"line"`
}
