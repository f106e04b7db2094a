package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/work/job"
)

// stopPoll is how often a planned stop looks whether all is settled.
const stopPoll = 50 * time.Millisecond

// Stop ends the host's part as planned. The balancer is told first and new
// requests are still taken while it lags; peers are told, so another host
// places; callers who wait are answered if their job ends before the grace is
// over, and told where to ask again if not; jobs without an outcome are handed
// to another host of the zone.
func (n *Node) Stop(ctx context.Context, grace time.Time) error {
	n.log.Info("stop", "step", "begin", "host", n.id)
	if err := n.ask(ctx, func() { n.stopping = true }); err != nil {
		return err
	}
	if err := sleep(ctx, n.settings.UnreadyTime()); err != nil {
		return err
	}
	if err := n.ask(ctx, func() {
		now := time.Now()
		n.members.Leave()
		n.followPlacers(context.WithoutCancel(ctx), now)
		n.beat(context.WithoutCancel(ctx), now)
	}); err != nil {
		return err
	}
	if err := n.settle(ctx, grace); err != nil {
		return err
	}
	err := n.handOver(ctx)
	n.log.Info("stop", "step", "end", "host", n.id)
	return err
}

// settle waits until nothing is unsettled or the grace is over.
func (n *Node) settle(ctx context.Context, grace time.Time) error {
	for time.Now().Before(grace) {
		open := 0
		if err := n.ask(ctx, func() { open = n.unsettled() }); err != nil || open == 0 {
			return err
		}
		if err := sleep(ctx, stopPoll); err != nil {
			return err
		}
	}
	return nil
}

// unsettled counts what the host must not leave behind: callers who wait,
// outcomes on their way, and a placer that has starts to complete while another
// host places already.
func (n *Node) unsettled() int {
	open := len(n.waiting) + len(n.delivering)
	if n.placer != nil && n.placer.Draining() {
		open++
	}
	return open
}

// handOver gives the jobs without an outcome to another host and tells whoever
// still waits where to ask again.
func (n *Node) handOver(ctx context.Context) error {
	var open []job.Job
	var heirs []string
	if err := n.ask(ctx, func() {
		// A host of the zone first: it can go on with jobs that run there.
		now := time.Now()
		heirs = append(n.peerIDs(n.settings.Zone(), now), n.peerIDs("", now)...)
		for _, r := range n.entry.Records() {
			if !r.State().Final() {
				open = append(open, r.Job())
			}
		}
	}); err != nil {
		return err
	}
	counted, err := n.ownBurn(ctx, time.Now())
	if err != nil {
		return err
	}
	var to adoptAnswer
	err = fmt.Errorf("hand over %d jobs: no other host is live", len(open))
	for _, h := range heirs {
		if err = n.call(ctx, h, "entry.adopt", adoptBody{Jobs: open, Burn: counted}, &to); err == nil {
			break
		}
	}
	if len(open) == 0 {
		err = nil
	}
	return errors.Join(err, n.ask(ctx, func() { n.release(to.CallerAddress) }))
}

// release wakes all who wait; they are told where to ask again.
func (n *Node) release(askAgainAt string) {
	n.askAgainAt = askAgainAt
	for id, done := range n.waiting {
		close(done)
		delete(n.waiting, id)
	}
}

type adoptBody struct {
	Jobs []job.Job     `json:"jobs,omitempty"`
	Burn burn.Snapshot `json:"burn"` // what the host has counted
}

type adoptAnswer struct {
	CallerAddress string `json:"callerAddress"`
}

func (n *Node) adopt(ctx context.Context, b adoptBody, now time.Time) {
	if len(b.Burn.Hosts) > 0 {
		n.inherited = append(n.inherited, b.Burn)
	}
	for _, j := range b.Jobs {
		n.stepEntry(ctx, intake.Accepted{Job: j.AdoptedBy(n.id), Adopted: true}, now)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
