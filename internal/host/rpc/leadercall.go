package rpc

import (
	"context"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// statusReply is the leader's answer about the status of a job.
type statusReply struct {
	Status view.JobStatus `json:"told"`
	Known  bool           `json:"known"`
}

// callLeader returns the leader's answer to a call, or the result of local if this host
// leads. It waits for at most callTimeout, and fails with dispatcher.ErrNotLeading if no
// leader is known.
func callLeader[T any](ctx context.Context, e *Endpoint, method string, in any, local func() (T, error)) (T, error) {
	if e.election.OwnTerm() != nil {
		return local()
	}
	var out T
	row := e.election.Leader()
	if row.Address == "" {
		return out, dispatcher.ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.transport.Call(ctx, row.Address, method, in, &out)
	return out, err
}

// empty is the result of a call without a result.
type empty struct{}

// Submitted notifies the leader of a job that was accepted and stored.
func (e *Endpoint) Submitted(ctx context.Context, j *graph.Job) error {
	_, err := callLeader(ctx, e, methodSubmitted, j, func() (empty, error) { return empty{}, e.dispatcher.Submitted(ctx, j) })
	return err
}

// Cancelled notifies the leader of a job whose cancellation was stored.
func (e *Endpoint) Cancelled(ctx context.Context, id graph.JobID) error {
	_, err := callLeader(ctx, e, methodCancelled, id, func() (empty, error) { return empty{}, e.dispatcher.Cancelled(ctx, id) })
	return err
}

// Handover passes what a term of this host has left to the present leader.
func (e *Endpoint) Handover(ctx context.Context, h dispatch.Handover) error {
	_, err := callLeader(ctx, e, methodHandover, h, func() (empty, error) { return empty{}, e.dispatcher.AcceptHandover(ctx, h) })
	return err
}

// Status asks the leader for the status of a job, and whether it knows the job.
func (e *Endpoint) Status(ctx context.Context, id graph.JobID) (view.JobStatus, bool, error) {
	out, err := callLeader(ctx, e, methodStatus, id, func() (statusReply, error) { return e.localStatus(ctx, id) })
	return out.Status, out.Known, err
}

// localStatus answers Status on the leader.
func (e *Endpoint) localStatus(ctx context.Context, id graph.JobID) (statusReply, error) {
	status, known, err := e.dispatcher.Status(ctx, id)
	return statusReply{Status: status, Known: known}, err
}
