package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue accepts jobs of one kind. A request is routed to it by its virtual host and
// the longest matching prefix of its path.
type Queue struct {
	Name        string
	VirtualHost string
	Prefix      string // of the path, with a trailing slash
	Service     string // whose targets run the tasks
	Public      bool   // requests need no key
	Priority    int    // 0 is the highest
	MaxAttempts int
	SlackFactor float64       // of the objective: multiple of a job's critical path
	Allowance   time.Duration // of the objective: added to that multiple
	Timeout     time.Duration // of a request; 0: none
	Advised     bool          // only targets that the advice service permits may run a step
	AdviceValid time.Duration // validity of a ticket from the advice service
}

// Account is a client account.
type Account struct {
	Name       string
	Keys       []string
	Guaranteed int // accelerators for its jobs of priority 0, at all times
}

// Service is a pool of targets.
type Service struct {
	Name            string
	RejectsOverload bool // its targets refuse tasks that exceed their capacity
	Standby         bool // its machines are powered off and not paid for
	Objective       Objective
	LearnsSpeeds    bool // its targets may be of several speeds, which are learned; otherwise they are alike
	Headroom        bool // capacity is kept free for urgent jobs that cannot wait for a preemption
}

// Objective is a service-level objective: the share of jobs that complete within a
// time.
type Objective struct {
	Target float64       // share, below 1; 0: no objective
	Within time.Duration // from acceptance; 0: each job's own objective
}

// Limits bound clients' requests. 0 means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	RequestRate    float64
}

// Catalog is one version of the configuration. Draining, Evacuated and Objectives may be
// called on a nil Catalog, which stands for no configuration.
type Catalog struct {
	version  int64
	queues   []Queue // longest prefix first
	accounts []Account
	services map[string]Service // by name
	limits   Limits
	byHost   map[string][]int  // indexes of queues, by lower-case virtual host
	byKey    map[string]string // account names, by key
	draining map[string]bool   // ids of targets that an operator drains
	// evacuated are the availability zones that an operator evacuates.
	evacuated []string
}

// Option configures a new catalog.
type Option func(*Catalog)

// WithDraining sets the targets that an operator drains: they get no new tasks.
func WithDraining(ids ...string) Option {
	return func(c *Catalog) {
		for _, id := range ids {
			c.draining[id] = true
		}
	}
}

// WithEvacuated sets the availability zones that an operator evacuates: nothing is
// started there.
func WithEvacuated(zones ...string) Option {
	return func(c *Catalog) { c.evacuated = append(c.evacuated, zones...) }
}

// New returns a catalog. It copies the slices of queues and accounts.
func New(version int64, queues []Queue, accounts []Account, services []Service, l Limits, opts ...Option) *Catalog {
	c := &Catalog{
		version: version, queues: slices.Clone(queues), accounts: slices.Clone(accounts), limits: l,
		services: map[string]Service{}, byHost: map[string][]int{}, byKey: map[string]string{}, draining: map[string]bool{},
	}
	slices.SortStableFunc(c.queues, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	for i, q := range c.queues {
		host := strings.ToLower(q.VirtualHost)
		c.byHost[host] = append(c.byHost[host], i)
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, a := range accounts {
		for _, k := range a.Keys {
			c.byKey[k] = a.Name
		}
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Version returns the version, which is above 0.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Accounts returns the client accounts. The caller must not change them.
func (c *Catalog) Accounts() []Account { return c.accounts }

// Queues returns the queues. The caller must not change them.
func (c *Catalog) Queues() []Queue { return c.queues }

// Draining reports whether an operator drains the target.
func (c *Catalog) Draining(id string) bool { return c != nil && c.draining[id] }

// Evacuated returns the availability zones that an operator evacuates. The caller must
// not change them.
func (c *Catalog) Evacuated() []string {
	if c == nil {
		return nil
	}
	return c.evacuated
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// LearnsSpeeds returns the names of the services that learn the speeds of their targets. It may be called
// on a nil Catalog.
func (c *Catalog) LearnsSpeeds() map[string]bool {
	names := map[string]bool{}
	if c == nil {
		return names
	}
	for name, s := range c.services {
		if s.LearnsSpeeds {
			names[name] = true
		}
	}
	return names
}

// Headroom returns the services on which capacity is kept free for urgent jobs.
func (c *Catalog) Headroom() map[string]bool {
	services := map[string]bool{}
	for name, s := range c.services {
		if s.Headroom {
			services[name] = true
		}
	}
	return services
}

// Objectives returns the services' objectives by the service's name. Services without
// one are left out.
func (c *Catalog) Objectives() map[string]Objective {
	byName := map[string]Objective{}
	if c == nil {
		return byName
	}
	for name, s := range c.services {
		if s.Objective.Target > 0 {
			byName[name] = s.Objective
		}
	}
	return byName
}

// Find returns the queue of a request, and the rest of the path after its prefix; ok is
// false if no queue matches.
func (c *Catalog) Find(virtualHost, path string) (q Queue, rest string, ok bool) {
	for _, i := range c.byHost[strings.ToLower(virtualHost)] {
		if rest, ok := strings.CutPrefix(path, c.queues[i].Prefix); ok {
			return c.queues[i], rest, true
		}
	}
	return Queue{}, "", false
}

// Account returns the name of the account to which a key belongs, false if there is
// none.
func (c *Catalog) Account(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}
