package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Claim is what became of a claim.
type Claim struct {
	Won     bool   // this host may start the attempt
	Attempt int    // newest attempt that was claimed, by whomever; 0 for none
	By      string // host that wrote the record last
	Refused bool   // the job never ran and never will
	Ended   bool   // the job has an outcome
}

// Claim tries to win the right to start the attempt of a job that may not be
// repeated: it is won at most once, whatever the attempt. Won is true only if
// this host's write is the record. An error means that it is not known or did
// not happen; nothing may be started then. Asked again for the same lease after
// "not known", it settles the first write.
func (l *Ledger) Claim(ctx context.Context, lease target.Lease) (won bool, err error) {
	c, err := l.claim(ctx, lease, false, "")
	return c.Won, err
}

// ClaimJob is Claim for a job of any kind: one that is repeatable is won if its
// newest claimed attempt is older than the lease's. If another attempt is in
// the way, the claim tells which.
func (l *Ledger) ClaimJob(ctx context.Context, j job.Job, attempt int) (Claim, error) {
	c, err := l.claim(ctx, target.Lease{Job: j.ID(), Attempt: attempt}, j.Repeatable(), contentOf(j))
	if err == nil && c.Ended && j.Long() {
		// A job row that is left over, or was written late, would be adopted
		// again and again; the next adopter or Sweep tries again if this fails.
		_ = l.removeJob(ctx, j.Zone(), j.ID())
	}
	return c, err
}

func (l *Ledger) claim(ctx context.Context, lease target.Lease, repeatable bool, content string) (Claim, error) {
	if lease.Attempt < 1 {
		return Claim{}, fmt.Errorf("claim %s: attempts begin at 1", lease)
	}
	p := l.begin(lease)
	nonce := p.nonce
	won := false
	stands, _, err := l.update(ctx, lease.Job, nonce, func(found record) (*record, error) {
		won = found.Nonce == nonce && found.Attempt == lease.Attempt
		if won || !l.claimable(found, lease.Attempt, repeatable) {
			return nil, nil
		}
		if content != "" && found.Content != "" && found.Content != content {
			return nil, ErrOtherRequest
		}
		won = true // if the write takes effect; else the decision is made again
		found.Several = found.Several || found.Attempt > 0 && found.By != l.self
		found.Attempt = lease.Attempt
		if content != "" {
			found.Content = content
		}
		if found.Zone == "" {
			found.Until = l.now().Add(ClaimKeep)
		}
		return &found, nil
	})
	givenUp := l.end(lease, p, err)
	if err != nil {
		return Claim{}, fmt.Errorf("claim %s: %w", lease, err)
	}
	return Claim{
		Won: won && !givenUp, Attempt: stands.Attempt, By: stands.By, Refused: stands.Refused, Ended: stands.Outcome != nil,
	}, nil
}

// claimable reports whether an attempt may be claimed over a record. It is the
// guard against a second run: without it a placer that was paused, or one that
// sees other live hosts, starts a job that another one has started.
func (l *Ledger) claimable(found record, attempt int, repeatable bool) bool {
	if found.Refused || found.Outcome != nil || !found.Swept.IsZero() {
		return false
	}
	return found.Attempt == 0 || repeatable && l.round(found.Attempt) < l.round(attempt)
}

// pendingClaim is a claim of this host that is being made or is not known.
type pendingClaim struct {
	nonce   string // the same however often the claim is asked for again
	calls   int    // that make or settle it now
	givenUp bool   // the host says that the attempt did not run; never won then
}

// begin returns the claim of a lease, an earlier one if that is not settled yet.
func (l *Ledger) begin(lease target.Lease) *pendingClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.claims[lease]
	if !ok {
		p = &pendingClaim{nonce: l.nonce(), givenUp: l.givingUp[lease.Job] > 0}
		l.claims[lease] = p
	}
	p.calls++
	return p
}

// end remembers a claim that is not known and forgets one that is; it reports
// whether the claim was given up meanwhile. A claim that is forgotten for want
// of room counts as lost.
func (l *Ledger) end(lease target.Lease, p *pendingClaim, err error) (givenUp bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.calls--
	unknown := errors.Is(err, table.ErrUnknown) && !p.givenUp && len(l.claims) <= maxUnsettled
	if p.calls == 0 && !unknown && l.claims[lease] == p {
		delete(l.claims, lease)
	}
	return p.givenUp
}

// giveUp voids this host's claims of a job until done is called, and those that
// are not known for good. It comes before "not run" is said of an attempt whose
// claim may have taken effect: else a late answer, or an old row that is read
// when the claim is asked for again, lets the same host start it after all.
func (l *Ledger) giveUp(id job.ID) (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.givingUp[id]++
	for lease, p := range l.claims {
		if lease.Job != id {
			continue
		}
		p.givenUp = true
		if p.calls == 0 {
			delete(l.claims, lease)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.givingUp[id]--; l.givingUp[id] == 0 {
			delete(l.givingUp, id)
		}
	}
}

// Refuse tries to win the right to say that the job never ran and never will.
// It is won for every host once the refusal stands.
func (l *Ledger) Refuse(ctx context.Context, id job.ID) (won bool, err error) {
	stands, _, err := l.update(ctx, id, l.nonce(), func(found record) (*record, error) {
		if found.Refused || found.Outcome != nil || found.Attempt > 0 {
			return nil, nil
		}
		found.Refused = true
		found.Until = l.keptUntil()
		return &found, nil
	})
	if err != nil {
		return false, fmt.Errorf("refuse %s: %w", id, err)
	}
	notRun := stands.Outcome != nil && stands.Outcome.State == job.NotRun
	return stands.Refused || notRun, nil
}

// keptUntil returns until when a record is kept that ends now.
func (l *Ledger) keptUntil() time.Time { return l.now().Add(l.keep).UTC() }
