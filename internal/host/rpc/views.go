package rpc

import (
	"context"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// historyReply is the leader's answer about the history of a job.
type historyReply struct {
	History view.History `json:"story"`
	Known   bool         `json:"known"`
}

// Jobs asks the leader for the jobs of a client account, or for all jobs if the account is
// empty.
func (e *Endpoint) Jobs(ctx context.Context, account string) ([]view.Job, error) {
	return callLeader(ctx, e, methodJobs, account, func() ([]view.Job, error) { return e.dispatcher.Jobs(ctx, account) })
}

// History asks the leader for a job with the decisions about it, and whether it knows the
// job.
func (e *Endpoint) History(ctx context.Context, id graph.JobID) (view.History, bool, error) {
	out, err := callLeader(ctx, e, methodHistory, id, func() (historyReply, error) { return e.localHistory(ctx, id) })
	return out.History, out.Known, err
}

// localHistory answers History on the leader.
func (e *Endpoint) localHistory(ctx context.Context, id graph.JobID) (historyReply, error) {
	history, known, err := e.dispatcher.History(ctx, id)
	return historyReply{History: history, Known: known}, err
}

// Fleet asks the leader for its view of targets and accounts.
func (e *Endpoint) Fleet(ctx context.Context) (view.Fleet, error) {
	return callLeader(ctx, e, methodFleet, nil, func() (view.Fleet, error) { return e.localFleet(ctx) })
}

// localFleet answers Fleet on the leader, and names this host as the leader.
func (e *Endpoint) localFleet(ctx context.Context) (view.Fleet, error) {
	f, err := e.dispatcher.Fleet(ctx)
	f.Leader = e.address
	return f, err
}

// InForce asks the leader for the configuration in force on it and on each host that
// watches it.
func (e *Endpoint) InForce(ctx context.Context) ([]view.InForce, error) {
	return callLeader(ctx, e, methodInForce, nil, func() ([]view.InForce, error) { return e.localInForce(), nil })
}

// localInForce answers InForce on the leader. Hosts whose last watch is older than
// watcherExpiry are left out.
func (e *Endpoint) localInForce() []view.InForce {
	list := []view.InForce{{Host: e.address, Version: e.keeper.Version(), Leads: true, StoreUp: e.storeUp(), Cores: e.cores}}
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, w := range e.watchers {
		if time.Since(w.at) <= watcherExpiry {
			list = append(list, view.InForce{Host: address, Version: w.version, StoreUp: w.storeUp, Cores: w.cores})
		}
	}
	view.SortInForce(list)
	return list
}

// Burn asks all hosts that the leader knows for their counts of ended jobs, from which burn
// rates are computed, and merges them. Hosts that do not answer and counts that cannot be
// merged are logged and left out. It fails if the leader does not answer. The hosts are asked
// one after the other.
func (e *Endpoint) Burn(ctx context.Context) (burn.Snapshot, error) {
	hosts, err := e.InForce(ctx)
	if err != nil {
		return burn.Snapshot{}, fmt.Errorf("burn report: %w", err)
	}
	snapshots := []burn.Snapshot{e.burnSnapshot()}
	for _, h := range hosts {
		if h.Host == e.address {
			continue
		}
		s, err := e.burnOf(ctx, h.Host)
		if err != nil {
			e.log.Info("burn report incomplete", "step", "ask", "peer", h.Host, "error", err.Error())
			continue
		}
		snapshots = append(snapshots, s)
	}
	merged, err := burn.Merge(snapshots...)
	if err != nil { // inconsistent snapshots are left out of merged
		e.log.Info("burn report incomplete", "step", "merge", "error", err.Error())
	}
	return merged, nil
}

func (e *Endpoint) burnOf(ctx context.Context, address string) (burn.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out burn.Snapshot
	err := e.transport.Call(ctx, address, methodBurn, nil, &out)
	return out, err
}
