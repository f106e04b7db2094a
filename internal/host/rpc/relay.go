package rpc

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// cancelRequest asks a host to store the cancellation of a job.
type cancelRequest struct {
	Job graph.JobID  `json:"job"`
	By  entry.Caller `json:"by"`
}

// relayReply reports the outcome of a relayed request.
type relayReply struct {
	Done        bool   `json:"done"`
	NotAccepted bool   `json:"notAccepted,omitempty"` // nothing was stored and nothing will be
	NoJob       bool   `json:"noJob,omitempty"`
	Cancelled   bool   `json:"cancelled,omitempty"`
	TooMany     bool   `json:"tooMany,omitempty"` // entry.ErrTooManyCancellations
	Reason      string `json:"why,omitempty"`
}

// newRelayReply returns the reply for the outcome of a request that this host wrote.
func newRelayReply(err error) relayReply {
	if err == nil {
		return relayReply{Done: true}
	}
	return relayReply{
		NotAccepted: errors.Is(err, entry.ErrNotAccepted), NoJob: errors.Is(err, entry.ErrNoJob), Cancelled: errors.Is(err, entry.ErrCancelled),
		TooMany: errors.Is(err, entry.ErrTooManyCancellations), Reason: err.Error(),
	}
}

// err returns the error that the reply reports, which wraps one of package entry's, or nil.
func (r relayReply) err() error {
	switch {
	case r.Done:
		return nil
	case r.NoJob:
		return entry.ErrNoJob
	case r.Cancelled:
		return relayError{entry.ErrCancelled, r.Reason}
	case r.TooMany:
		return relayError{entry.ErrTooManyCancellations, r.Reason}
	case r.NotAccepted:
		return relayError{entry.ErrNotAccepted, r.Reason}
	}
	return relayError{entry.ErrOutcomeUnknown, r.Reason}
}

// relayError is an error that a peer reported for a relayed request.
type relayError struct {
	kind   error
	reason string
}

// Error returns the peer's error text.
func (r relayError) Error() string { return r.reason }

// Unwrap returns the kind, one of package entry's errors.
func (r relayError) Unwrap() error { return r.kind }

// RelaySubmit implements entry.Relay.
func (e *Endpoint) RelaySubmit(ctx context.Context, j *graph.Job) error {
	return e.relay(ctx, methodSubmit, j)
}

// RelayCancel implements entry.Relay.
func (e *Endpoint) RelayCancel(ctx context.Context, id graph.JobID, by entry.Caller) error {
	return e.relay(ctx, methodCancel, cancelRequest{Job: id, By: by})
}

// relay has another host write to the store: the leader, or else one with access to the
// store. It tries the next host only if the last one certainly stored nothing. The error wraps
// entry.ErrNotAccepted, ErrOutcomeUnknown, ErrNoJob, ErrCancelled or ErrTooManyCancellations.
func (e *Endpoint) relay(ctx context.Context, method string, in any) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	err := fmt.Errorf("%w: no host known with access to the store", entry.ErrNotAccepted)
	for _, address := range e.relayPeers() {
		var out relayReply
		callErr := e.transport.Call(ctx, address, method, in, &out)
		switch {
		case callErr == nil && out.Done:
			return nil
		case callErr == nil:
			if err = out.err(); !errors.Is(err, entry.ErrNotAccepted) {
				return err
			}
		case peer.Answered(callErr), errors.Is(callErr, peer.ErrUnreached):
			err = fmt.Errorf("%w: %w", entry.ErrNotAccepted, callErr)
		default:
			return fmt.Errorf("%w: %w", entry.ErrOutcomeUnknown, callErr)
		}
	}
	return err
}

// CanServe reports whether clients should be sent to this host. That holds if a request can
// be stored by this host or by a peer that was reached recently. It also holds if the store
// is unavailable to all hosts: no host could do better than to refuse quickly. A zone that
// is disconnected together with its leader must not be taken for that case, since other
// zones can serve its clients. That is detected when neither the store nor any host
// outside the zone answers, before the store counts as down.
func (e *Endpoint) CanServe() bool {
	if e.storeUp() && time.Since(e.storeAnsweredAt()) < reachableFor {
		return true
	}
	if e.election.OwnTerm() != nil {
		reach := e.ownReach()
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.storePeers(0)) > 0 || reach.Zones >= e.maxZones
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.leaderReportedAt) >= reachableFor {
		return false
	}
	return len(e.peers) > 0 || e.reach.StoreUp || e.reach.Zones >= e.maxZones
}

// maxRelayAttempts bounds how many hosts are asked for one request.
const maxRelayAttempts = 2

// relayPeers returns the addresses of the hosts to ask, in order: the leader, then the largest
// hosts with access to the store that watch this host, or if there are none, that the leader
// last listed. There are at most maxRelayAttempts, and this host is not one of them.
func (e *Endpoint) relayPeers() []string {
	list := e.storePeerAddresses(0) // known to a leader to which the store is unavailable
	if len(list) == 0 {
		e.mu.Lock()
		for _, p := range e.peers {
			list = append(list, p.Address)
		}
		e.mu.Unlock()
	}
	if row := e.election.Leader(); row.Address != "" {
		list = append([]string{row.Address}, list...)
	}
	list = slices.DeleteFunc(list, func(a string) bool { return a == e.address })
	return list[:min(len(list), maxRelayAttempts)]
}
