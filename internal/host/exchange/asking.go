package exchange

import (
	"context"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// stateBody is what the leader says of a job.
type stateBody struct {
	Told  view.JobStatus `json:"told"`
	Known bool           `json:"known"`
}

// ask returns what the leader answers, or this host's own desk if it leads.
func ask[T any](ctx context.Context, x *Exchange, method string, in any, own func() (T, error)) (T, error) {
	if x.leading.OwnTerm() != nil {
		return own()
	}
	var out T
	row := x.leading.Leader()
	if row.Address == "" {
		return out, dispatcher.ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	err := x.net.Call(ctx, row.Address, method, in, &out)
	return out, err
}

// nothing is the answer to a message that only tells.
type nothing struct{}

// Submitted tells the leader of a job that was accepted and stored.
func (x *Exchange) Submitted(ctx context.Context, j *graph.Job) error {
	_, err := ask(ctx, x, methodSubmitted, j, func() (nothing, error) { return nothing{}, x.desk.Submitted(ctx, j) })
	return err
}

// Cancelled tells the leader of a job whose cancelling was stored.
func (x *Exchange) Cancelled(ctx context.Context, id graph.JobID) error {
	_, err := ask(ctx, x, methodCancelled, id, func() (nothing, error) { return nothing{}, x.desk.Cancelled(ctx, id) })
	return err
}

// State asks the leader for a job's state.
func (x *Exchange) State(ctx context.Context, id graph.JobID) (view.JobStatus, bool, error) {
	out, err := ask(ctx, x, methodState, id, func() (stateBody, error) { return x.ownState(ctx, id) })
	return out.Told, out.Known, err
}

func (x *Exchange) ownState(ctx context.Context, id graph.JobID) (stateBody, error) {
	told, known, err := x.desk.State(ctx, id)
	return stateBody{Told: told, Known: known}, err
}
