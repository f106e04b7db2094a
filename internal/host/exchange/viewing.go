package exchange

import (
	"context"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// storyBody is what the leader says of a job's story.
type storyBody struct {
	Story view.History `json:"story"`
	Known bool         `json:"known"`
}

// Jobs asks the leader for the jobs of a client account, or for all if it is
// empty.
func (x *Exchange) Jobs(ctx context.Context, account string) ([]view.Job, error) {
	return ask(ctx, x, methodJobs, account, func() ([]view.Job, error) { return x.desk.Jobs(ctx, account) })
}

// Story asks the leader for a job with what was decided about it, and whether it
// knows the job.
func (x *Exchange) Story(ctx context.Context, id graph.JobID) (view.History, bool, error) {
	out, err := ask(ctx, x, methodStory, id, func() (storyBody, error) { return x.ownStory(ctx, id) })
	return out.Story, out.Known, err
}

func (x *Exchange) ownStory(ctx context.Context, id graph.JobID) (storyBody, error) {
	story, known, err := x.desk.History(ctx, id)
	return storyBody{Story: story, Known: known}, err
}

// Fleet asks the leader what it holds of targets and accounts.
func (x *Exchange) Fleet(ctx context.Context) (view.Fleet, error) {
	return ask(ctx, x, methodFleet, nil, func() (view.Fleet, error) { return x.ownFleet(ctx) })
}

func (x *Exchange) ownFleet(ctx context.Context) (view.Fleet, error) {
	f, err := x.desk.Fleet(ctx)
	f.Leader = x.own
	return f, err
}

// InForce asks the leader what each host that watches it has in force.
func (x *Exchange) InForce(ctx context.Context) ([]view.InForce, error) {
	return ask(ctx, x, methodInForce, nil, func() ([]view.InForce, error) { return x.ownInForce(), nil })
}

func (x *Exchange) ownInForce() []view.InForce {
	list := []view.InForce{{Host: x.own, Version: x.keeper.Version(), Leads: true, StoreUp: x.up(), Cores: x.power}}
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, w := range x.seen {
		if time.Since(w.at) <= watcherGone {
			list = append(list, view.InForce{Host: address, Version: w.version, StoreUp: w.storeUp, Cores: w.power})
		}
	}
	view.SortInForce(list)
	return list
}

// Burn asks all hosts that the leader knows for what they counted. A host that
// does not answer is left out, with a line in the log.
func (x *Exchange) Burn(ctx context.Context) (burn.Snapshot, error) {
	hosts, err := x.InForce(ctx)
	if err != nil {
		return burn.Snapshot{}, fmt.Errorf("burn report: %w", err)
	}
	all := []burn.Snapshot{x.outcomes()}
	for _, h := range hosts {
		if h.Host == x.own {
			continue
		}
		one, err := x.burnOf(ctx, h.Host)
		if err != nil {
			x.log.Info("burn report", "step", "ask", "peer", h.Host, "error", err.Error())
			continue
		}
		all = append(all, one)
	}
	merged, err := burn.Merge(all...)
	if err != nil { // what would mislead is left out; the rest is told
		x.log.Info("burn report", "step", "merge", "error", err.Error())
	}
	return merged, nil
}

func (x *Exchange) burnOf(ctx context.Context, address string) (burn.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var out burn.Snapshot
	err := x.net.Call(ctx, address, methodBurn, nil, &out)
	return out, err
}
