package exchange

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

// cancelBody asks to store that a job is cancelled.
type cancelBody struct {
	Job graph.JobID  `json:"job"`
	By  entry.Caller `json:"by"`
}

// settledBody says what became of a relayed request.
type settledBody struct {
	Done        bool   `json:"done"`
	NotAccepted bool   `json:"notAccepted,omitempty"` // nothing was stored and nothing will be
	NoJob       bool   `json:"noJob,omitempty"`
	Why         string `json:"why,omitempty"`
}

func settled(err error) settledBody {
	if err == nil {
		return settledBody{Done: true}
	}
	return settledBody{NotAccepted: errors.Is(err, entry.ErrNotAccepted), NoJob: errors.Is(err, entry.ErrNoJob), Why: err.Error()}
}

func (b settledBody) err() error {
	switch {
	case b.Done:
		return nil
	case b.NoJob:
		return entry.ErrNoJob
	case b.NotAccepted:
		return relayed{entry.ErrNotAccepted, b.Why}
	}
	return relayed{entry.ErrOutcomeUnknown, b.Why}
}

// relayed is what a peer could not do, in its own words.
type relayed struct {
	kind error
	why  string
}

// Error returns the peer's words.
func (r relayed) Error() string { return r.why }

// Unwrap returns the kind, one of package entry's errors.
func (r relayed) Unwrap() error { return r.kind }

// RelaySubmit implements entry.Relay.
func (x *Exchange) RelaySubmit(ctx context.Context, j *graph.Job) error {
	return x.relay(ctx, methodSubmit, j)
}

// RelayCancel implements entry.Relay.
func (x *Exchange) RelayCancel(ctx context.Context, id graph.JobID, by entry.Caller) error {
	return x.relay(ctx, methodCancel, cancelBody{Job: id, By: by})
}

// relay has another host write to the store: the first that answers of those
// that the store serves.
func (x *Exchange) relay(ctx context.Context, method string, in any) error {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	err := fmt.Errorf("%w: no host known that the store serves", entry.ErrNotAccepted)
	for _, address := range x.relays() {
		var out settledBody
		callErr := x.net.Call(ctx, address, method, in, &out)
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

// Serves reports whether clients do well to come here: a request can be stored by
// this host or by a peer that it was in touch with lately, or else the store is away
// for all, and a quick refusal is the best that any host can give. A zone that is cut
// off with its leader must not pass for that: its clients are served elsewhere. It shows
// first by the silence of all outside, before the store counts as lost.
func (x *Exchange) Serves() bool {
	if x.up() && time.Since(x.answered()) < inTouchFor {
		return true
	}
	if x.leading.OwnTerm() != nil {
		reach := x.ownReach()
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.servedPeers(0)) > 0 || reach.Zones >= x.mostZones
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.heard) >= inTouchFor {
		return false
	}
	return len(x.peers) > 0 || x.reach.StoreUp || x.reach.Zones >= x.mostZones
}

// relayTries bounds how many hosts are asked for one request.
const relayTries = 2

// relays returns the hosts to ask, in turn.
func (x *Exchange) relays() []string {
	list := x.served(0) // of a leader that the store turns away
	if len(list) == 0 {
		x.mu.Lock()
		for _, p := range x.peers {
			list = append(list, p.Address)
		}
		x.mu.Unlock()
	}
	if row := x.leading.Leader(); row.Address != "" {
		list = append([]string{row.Address}, list...)
	}
	list = slices.DeleteFunc(list, func(a string) bool { return a == x.own })
	return list[:min(len(list), relayTries)]
}
