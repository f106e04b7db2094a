package text

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// Config is what an accepted text means. It never changes once made. A nil
// Config has no services, accounts or guarantees.
type Config struct {
	services   map[string]Service
	accounts   map[string]Account
	guarantees map[string][]shape.Guarantee // by zone
	leaving    map[string]bool              // workers that an operator takes out
	evacuated  map[string]bool              // zones in which nothing is started
}

// Service returns a service by name; ok is false if there is none.
func (c *Config) Service(name string) (s Service, ok bool) {
	if c == nil {
		return Service{}, false
	}
	s, ok = c.services[name]
	return s, ok
}

// Services returns the names of the services, sorted.
func (c *Config) Services() []string {
	if c == nil {
		return nil
	}
	return sortedKeys(c.services)
}

// Account returns a client account by name; ok is false if there is none.
func (c *Config) Account(name string) (a Account, ok bool) {
	if c == nil {
		return Account{}, false
	}
	a, ok = c.accounts[name]
	return a, ok
}

// Accounts returns the names of the client accounts, sorted.
func (c *Config) Accounts() []string {
	if c == nil {
		return nil
	}
	return sortedKeys(c.accounts)
}

// Guarantees returns what is guaranteed in a zone, in the order of the text.
func (c *Config) Guarantees(zone string) []shape.Guarantee {
	if c == nil {
		return nil
	}
	return c.guarantees[zone]
}

// GuaranteedAccelerators returns how many accelerators an account is guaranteed
// over all zones.
func (c *Config) GuaranteedAccelerators(account string) int {
	if c == nil {
		return 0
	}
	n := 0
	for _, gs := range c.guarantees {
		for _, g := range gs {
			if g.Account == account {
				n += g.Count * g.Shape.Total()
			}
		}
	}
	return n
}

// Leaving reports whether an operator takes the worker out.
func (c *Config) Leaving(worker string) bool { return c != nil && c.leaving[worker] }

// LeavingTargets returns the workers that an operator takes out, sorted.
func (c *Config) LeavingTargets() []string {
	var ids []string
	for _, id := range sortedKeys(c.leaving) {
		if c.leaving[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// Evacuated returns the availability zones that an operator evacuates, sorted.
func (c *Config) Evacuated() []string {
	if c == nil {
		return nil
	}
	return sortedKeys(c.evacuated)
}

// Service is what a service wants.
type Service struct {
	name          string
	completion    float64 // weight of completion time, 0 to 1
	fragmentation float64 // weight of fragmentation, 0 to 1
	dependsOn     []string
	objective     Objective
	kinds         map[string]Kind
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Completion returns the weight of completion time, 0 to 1.
func (s Service) Completion() float64 { return s.completion }

// Fragmentation returns the weight of fragmentation, 0 to 1.
func (s Service) Fragmentation() float64 { return s.fragmentation }

// Weights returns the weights of completion time and fragmentation for a job that
// the service runs: the job's own where the text gives them, or else the
// service's. A job that is not described has the service's.
func (s Service) Weights(kind string) (completion, fragmentation float64) {
	if k, ok := s.kinds[kind]; ok && k.weighted {
		return k.completion, k.fragmentation
	}
	return s.completion, s.fragmentation
}

// DependsOn returns the services that this one needs.
func (s Service) DependsOn() []string { return s.dependsOn }

// Objective returns the service-level objective.
func (s Service) Objective() Objective { return s.objective }

// Kind returns a job that the service runs; ok is false if there is none.
func (s Service) Kind(name string) (k Kind, ok bool) {
	k, ok = s.kinds[name]
	return k, ok
}

// Kinds returns the names of the jobs that the service runs, sorted.
func (s Service) Kinds() []string { return sortedKeys(s.kinds) }

// Objective is a service-level objective: a share of the requests is answered
// within a time.
type Objective struct {
	Target float64       // share of good requests, above 0 and below 1; 0: no objective
	Within time.Duration // from submission to outcome
}

// Kind is a job that a service runs.
type Kind struct {
	name       string
	shape      shape.Shape
	repeatable bool
	urgent     bool
	stoppable  bool
	guaranteed bool
	declared   time.Duration // run time, 0 if unknown
	startIn    time.Duration // given up as not run if not started within; 0: never

	weighted      bool    // the text gives the job weights of its own
	completion    float64 // valid if weighted
	fragmentation float64 // valid if weighted
}

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// Shape returns what a gang of the kind asks for.
func (k Kind) Shape() shape.Shape { return k.shape }

// Repeatable reports whether a job of the kind may be started again.
func (k Kind) Repeatable() bool { return k.repeatable }

// Urgent reports whether jobs of the kind go before others.
func (k Kind) Urgent() bool { return k.urgent }

// Stoppable reports whether jobs of the kind may be checkpointed and stopped.
func (k Kind) Stoppable() bool { return k.stoppable }

// Guaranteed reports whether jobs of the kind ask for guaranteed room.
func (k Kind) Guaranteed() bool { return k.guaranteed }

// Declared returns the run time as declared, 0 if unknown.
func (k Kind) Declared() time.Duration { return k.declared }

// StartIn returns how long a job may wait before it is given up, 0 for ever.
func (k Kind) StartIn() time.Duration { return k.startIn }

// Account is a client account.
type Account struct {
	name     string
	keyHash  string  // SHA-256 of the key, hexadecimal
	weight   float64 // share among borrowers, above 0
	operator bool    // may change the configuration
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// KeyHash returns the SHA-256 of the account's key in hexadecimal.
func (a Account) KeyHash() string { return a.keyHash }

// Weight returns the account's share among borrowers, above 0.
func (a Account) Weight() float64 { return a.weight }

// Operator reports whether the account may read and change the configuration.
func (a Account) Operator() bool { return a.operator }
