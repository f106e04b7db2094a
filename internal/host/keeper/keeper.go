package keeper

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaglade.example/guavaglade/internal/fleet/target"
)

// ErrMissing says that a keeper does not have the set of leases that an ask
// refers to, as after its restart.
var ErrMissing = errors.New("set of leases not known to the keeper")

// Ask asks a keeper to renew a worker's leases once.
type Ask struct {
	Token  int64          `json:"t"`           // names the ask to the placer; never used twice
	Worker string         `json:"w"`           // the worker's id
	At     string         `json:"a,omitempty"` // its IP:port; empty: as in the ask before
	Since  int64          `json:"s,omitempty"` // report tasks changed after this
	WaitMS int64          `json:"m,omitempty"` // how long to wait for a change
	Same   uint64         `json:"e,omitempty"` // digest of address and leases that are as in an ask before; 0: sent whole
	Leases []target.Lease `json:"l,omitempty"`
}

// Result is what came of an ask.
type Result struct {
	Token   int64          `json:"t"`
	Change  int64          `json:"c,omitempty"` // the worker's newest change
	Tasks   []target.Task  `json:"k,omitempty"`
	Lapsed  []target.Lease `json:"p,omitempty"`
	Leaving bool           `json:"g,omitempty"`
	Missing bool           `json:"m,omitempty"` // the keeper lacks the set: nothing was renewed
	Fault   string         `json:"f,omitempty"` // why the worker could not be asked; empty if it was
}

// ResultOf returns the result of an ask from a worker's report or error.
func ResultOf(token int64, r target.Report, err error) Result {
	if err != nil {
		return Result{Token: token, Fault: err.Error(), Missing: errors.Is(err, ErrMissing)}
	}
	return Result{Token: token, Change: r.Change, Tasks: r.Tasks, Lapsed: r.Lapsed, Leaving: r.Leaving}
}

// Report returns the worker's report in the result. The error wraps ErrMissing
// or target.ErrUnknown.
func (r Result) Report(worker string) (target.Report, error) {
	switch {
	case r.Missing:
		return target.Report{}, ErrMissing
	case r.Fault != "":
		return target.Report{}, errors.Join(target.ErrUnknown, errors.New(r.Fault))
	}
	return target.Report{Worker: worker, Change: r.Change, Tasks: r.Tasks, Lapsed: r.Lapsed, Leaving: r.Leaving}, nil
}

// Sets is one side's memory of the asks between a placer and one keeper. The zero
// Sets remembers nothing. It is not safe for use by several goroutines.
type Sets struct {
	byWorker map[string]known
}

// known is the part of an ask that the next one may leave out.
type known struct {
	digest uint64 // never 0
	at     string
	leases []target.Lease
}

// Pack leaves out of an ask what the keeper knows from one before, and remembers
// the ask.
func (s *Sets) Pack(a Ask) Ask {
	before := s.byWorker[a.Worker].digest
	now := s.remember(a)
	if before != now {
		return a
	}
	a.At, a.Leases, a.Same = "", nil, now
	return a
}

// Unpack puts back what Pack left out, and remembers the ask. The error is
// ErrMissing if it is not known here. An ask that was late, and came after the
// one that refers to another, leaves a memory of the wrong set; the digest tells.
func (s *Sets) Unpack(a Ask) (Ask, error) {
	if a.Same == 0 {
		s.remember(a)
		return a, nil
	}
	before := s.byWorker[a.Worker]
	if before.digest != a.Same {
		return a, ErrMissing
	}
	a.At, a.Leases, a.Same = before.at, before.leases, 0
	return a, nil
}

// Forget forgets what is remembered of a worker, so that the next ask is whole.
func (s *Sets) Forget(worker string) { delete(s.byWorker, worker) }

func (s *Sets) remember(a Ask) (digest uint64) {
	h := xxhash.New()
	_, _ = h.WriteString(a.At)
	for _, l := range a.Leases {
		_, _ = h.WriteString("\n" + l.String())
	}
	digest = h.Sum64() | 1 // never 0
	if s.byWorker == nil {
		s.byWorker = map[string]known{}
	}
	s.byWorker[a.Worker] = known{digest: digest, at: a.At, leases: slices.Clone(a.Leases)}
	return digest
}
