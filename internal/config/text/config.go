package text

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// Config is the immutable result of parsing a valid text. A nil Config has no
// services, accounts or guarantees.
type Config struct {
	services   map[string]Service
	accounts   map[string]Account
	guarantees map[string][]shape.Guarantee // by zone
	draining   map[string]bool              // targets that an operator drains
	evacuated  map[string]bool              // zones in which no task is started
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

// Guarantees returns the guarantees in a zone, in the order of the text.
func (c *Config) Guarantees(zone string) []shape.Guarantee {
	if c == nil {
		return nil
	}
	return c.guarantees[zone]
}

// GuaranteedAccelerators returns the number of accelerators guaranteed to an account
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

// Draining reports whether an operator drains the target.
func (c *Config) Draining(target string) bool { return c != nil && c.draining[target] }

// DrainingTargets returns the targets that an operator drains, sorted. c must not be
// nil.
func (c *Config) DrainingTargets() []string {
	var ids []string
	for _, id := range sortedKeys(c.draining) {
		if c.draining[id] {
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

// Service holds a service's scheduling weights, dependencies, objective and job kinds.
type Service struct {
	name          string
	completion    float64 // weight of completion time, 0 to 1
	fragmentation float64 // weight of fragmentation, 0 to 1
	dependsOn     []string
	objective     Objective
	learnsSpeeds  bool
	headroom      bool
	kinds         map[string]Kind
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Completion returns the weight of completion time, 0 to 1.
func (s Service) Completion() float64 { return s.completion }

// Fragmentation returns the weight of fragmentation, 0 to 1.
func (s Service) Fragmentation() float64 { return s.fragmentation }

// Weights returns the weights of completion time and fragmentation for jobs of a kind:
// the kind's own if the text sets them, otherwise the service's. An unknown kind has
// the service's weights.
func (s Service) Weights(kind string) (completion, fragmentation float64) {
	if k, ok := s.kinds[kind]; ok && k.weighted {
		return k.completion, k.fragmentation
	}
	return s.completion, s.fragmentation
}

// DependsOn returns the names of the services that this one depends on.
func (s Service) DependsOn() []string { return s.dependsOn }

// Headroom reports whether capacity is kept free for urgent jobs of the service.
func (s Service) Headroom() bool { return s.headroom }

// Objective returns the service-level objective.
func (s Service) Objective() Objective { return s.objective }

// LearnsSpeeds reports whether the long-term speeds of the service's targets are learned. Otherwise they
// are taken to be alike.
func (s Service) LearnsSpeeds() bool { return s.learnsSpeeds }

// Kind returns a job kind of the service by name; ok is false if there is none.
func (s Service) Kind(name string) (k Kind, ok bool) {
	k, ok = s.kinds[name]
	return k, ok
}

// Kinds returns the names of the service's job kinds, sorted.
func (s Service) Kinds() []string { return sortedKeys(s.kinds) }

// Objective is a service-level objective: the share of requests that must succeed
// within a time.
type Objective struct {
	Target float64       // share of good requests, between 0 and 1 exclusive; 0: no objective
	Within time.Duration // from submission to outcome
}

// Kind describes one kind of job that a service runs.
type Kind struct {
	name            string
	shape           shape.Shape
	repeatable      bool
	urgent          bool
	stoppable       bool
	guaranteed      bool
	declaredRunTime time.Duration // 0 if unknown
	startIn         time.Duration // a job not started within this time ends as not run; 0: no limit

	weighted      bool    // the text sets the kind's own weights
	completion    float64 // valid if weighted
	fragmentation float64 // valid if weighted
}

// Name returns the kind's name.
func (k Kind) Name() string { return k.name }

// Shape returns the resources that a gang of the kind requests.
func (k Kind) Shape() shape.Shape { return k.shape }

// Repeatable reports whether a job of the kind may be restarted.
func (k Kind) Repeatable() bool { return k.repeatable }

// Urgent reports whether jobs of the kind take precedence over others.
func (k Kind) Urgent() bool { return k.urgent }

// Stoppable reports whether jobs of the kind may be checkpointed and stopped.
func (k Kind) Stoppable() bool { return k.stoppable }

// Guaranteed reports whether jobs of the kind request guaranteed capacity.
func (k Kind) Guaranteed() bool { return k.guaranteed }

// DeclaredRunTime returns the run time set in the text, 0 if unknown.
func (k Kind) DeclaredRunTime() time.Duration { return k.declaredRunTime }

// StartIn returns how long a job may wait for its start before it ends as not run, 0
// if there is no limit.
func (k Kind) StartIn() time.Duration { return k.startIn }

// Account is a client account.
type Account struct {
	name     string
	keyHash  string  // SHA-256 of the key, hexadecimal
	weight   float64 // weight among borrowers, above 0
	operator bool    // may change the configuration
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// KeyHash returns the SHA-256 of the account's key in hexadecimal.
func (a Account) KeyHash() string { return a.keyHash }

// Weight returns the account's weight among borrowers, above 0.
func (a Account) Weight() float64 { return a.weight }

// Operator reports whether the account may read and change the configuration.
func (a Account) Operator() bool { return a.operator }
