package version

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/platform/store"
)

// Key is the key of the row that holds the current version.
var Key = store.Key{Table: "configuration", Name: "current"}

// Version is one version of the configuration text.
type Version struct {
	Number int64  `json:"number"` // from 1
	Change string `json:"change"` // id of the change that made it
	Text   string `json:"text"`
}

// Errors of Change.
var (
	// ErrStaleBase means that the change was based on another version than the
	// current one.
	ErrStaleBase = errors.New("based on another version than the current one")
	// ErrChangeIDReused means that the change id was used with another text.
	ErrChangeIDReused = errors.New("the change id was used with another text")
)

// Decode decodes a stored version.
func Decode(stored []byte) (Version, error) {
	var v Version
	if err := json.Unmarshal(stored, &v); err != nil {
		return Version{}, fmt.Errorf("configuration version: %w", err)
	}
	if v.Number < 1 {
		return Version{}, fmt.Errorf("configuration version: number %d is below 1", v.Number)
	}
	return v, nil
}

// DecodeCatalog decodes a stored version into a catalog. It is a catalog.Decode.
func DecodeCatalog(stored []byte) (*catalog.Catalog, error) {
	v, err := Decode(stored)
	if err != nil {
		return nil, err
	}
	c, err := text.Parse([]byte(v.Text))
	if err != nil {
		return nil, fmt.Errorf("configuration version %d: %w", v.Number, err)
	}
	return BuildCatalog(v.Number, c), nil
}

// Defaults of jobs that the text describes.
const (
	// defaultMaxAttempts is the number of failures of one task after which a repeatable
	// job fails.
	defaultMaxAttempts = 3
	// defaultSlackFactor and defaultAllowance set the objective of a job whose service
	// has none.
	defaultSlackFactor = 3
	defaultAllowance   = 10 * time.Second
)

// BuildCatalog returns the catalog of a text. Each kind of job becomes a queue of its
// own. The accounts have no keys, since the text holds only hashes of them, and requests
// are not limited.
func BuildCatalog(number int64, c *text.Config) *catalog.Catalog {
	var queues []catalog.Queue
	var services []catalog.Service
	for _, name := range c.Services() {
		s, _ := c.Service(name)
		services = append(services, catalog.Service{Name: name, Objective: catalog.Objective(s.Objective()), LearnsSpeeds: s.LearnsSpeeds(), Headroom: s.Headroom()})
		for _, kind := range s.Kinds() {
			k, _ := s.Kind(kind)
			queues = append(queues, Queue(s, k))
		}
	}
	var accounts []catalog.Account
	for _, name := range c.Accounts() {
		accounts = append(accounts, catalog.Account{Name: name, Guaranteed: c.GuaranteedAccelerators(name)})
	}
	return catalog.New(number, queues, accounts, services, catalog.Limits{}, catalog.WithDraining(c.DrainingTargets()...), catalog.WithEvacuated(c.Evacuated()...))
}

// Priorities of jobs. Urgent and guaranteed jobs have the first one, which may preempt
// jobs of the other two.
const (
	priorityUrgent = 0
	priorityNormal = 1
	priorityLow    = 2
)

// Queue returns the queue of a kind of job. An urgent or guaranteed kind has the first
// priority, another stoppable kind the last. A kind that is not repeatable has a single
// attempt.
func Queue(s text.Service, k text.Kind) catalog.Queue {
	q := catalog.Queue{
		Name: s.Name() + "." + k.Name(), Service: s.Name(), Priority: priorityNormal, MaxAttempts: defaultMaxAttempts,
		SlackFactor: defaultSlackFactor, Allowance: defaultAllowance,
	}
	if o := s.Objective(); o.Target > 0 {
		q.Allowance = o.Within
		q.SlackFactor = 1
	}
	switch {
	case k.Urgent() || k.Guaranteed():
		q.Priority = priorityUrgent
	case k.Stoppable():
		q.Priority = priorityLow
	}
	if !k.Repeatable() {
		q.MaxAttempts = 1
	}
	return q
}

// Change stores a text as the version after base and returns the version that is current
// then. It does not check the text. If the current version already has the change id and
// the text, nothing is written. The error wraps ErrStaleBase or ErrChangeIDReused, with
// the current version returned, or store.ErrUnavailable or store.ErrOutcomeUnknown.
func Change(ctx context.Context, s store.Store, base int64, change, body string) (Version, error) {
	row, err := store.Get(ctx, s, Key)
	if err != nil {
		return Version{}, fmt.Errorf("change %s: %w", change, err)
	}
	current := Version{}
	if row.Version != 0 {
		if current, err = Decode(row.Value); err != nil {
			return Version{}, fmt.Errorf("change %s: %w", change, err)
		}
	}
	switch {
	case current.Change == change && current.Text == body:
		return current, nil // an earlier attempt whose answer was lost
	case current.Change == change:
		return current, fmt.Errorf("change %s: %w", change, ErrChangeIDReused)
	case current.Number != base:
		return current, fmt.Errorf("change %s: based on %d, current is %d: %w", change, base, current.Number, ErrStaleBase)
	}
	next := Version{Number: base + 1, Change: change, Text: body}
	value, err := json.Marshal(next)
	if err != nil {
		return Version{}, fmt.Errorf("change %s: %w", change, err)
	}
	_, err = s.Commit(ctx, store.Tx{Expect: []store.Expect{{Key: Key, Version: row.Version}}, Put: []store.Put{{Key: Key, Value: value}}})
	if errors.Is(err, store.ErrConflict) {
		return Change(ctx, s, base, change, body) // a concurrent change won: return that version
	}
	if err != nil {
		return Version{}, fmt.Errorf("change %s: %w", change, err)
	}
	return next, nil
}
