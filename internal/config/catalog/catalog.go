package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue takes jobs of one kind. Requests find it by the name of the virtual
// host and the longest prefix of the path.
type Queue struct {
	Name        string
	VirtualHost string
	Prefix      string // of the path, with a slash at its end
	Service     string // whose targets run the tasks
	Public      bool   // no key is needed
	Priority    int    // 0 comes first
	MaxAttempts int
	SlackFactor float64       // objective: so many times a job's longest chain of work
	Allowance   time.Duration // and so much besides
	Timeout     time.Duration // of a request; 0: none
	Advised     bool          // the advice service names the targets that may run a step
	AdviceValid time.Duration // how long a ticket holds
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
	RejectsOverload bool // its targets refuse what does not fit
	Standby         bool // its machines are off and not paid for
	Objective       Objective
}

// Objective is a service-level objective: a share of the jobs ends well within a
// time.
type Objective struct {
	Target float64       // share of good jobs, below 1; 0: no objective
	Within time.Duration // from acceptance; 0: each job's own objective
}

// Limits bound requests of clients; 0 stands for none.
type Limits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	RequestRate    float64
}

// Catalog is one version of the configuration.
type Catalog struct {
	version  int64
	queues   []Queue            // longest prefix first
	accounts []Account          //
	services map[string]Service // by name
	limits   Limits
	byHost   map[string][]int  // positions in queues, by virtual host
	byKey    map[string]string // account names, by key
	leaving  map[string]bool   // ids of targets that an operator takes out
	// evacuated are the availability zones that an operator evacuates.
	evacuated []string
}

// Option sets one property of a new catalog.
type Option func(*Catalog)

// WithLeaving names the targets that an operator takes out: they get no new work.
func WithLeaving(ids ...string) Option {
	return func(c *Catalog) {
		for _, id := range ids {
			c.leaving[id] = true
		}
	}
}

// WithEvacuated names the availability zones that an operator evacuates: nothing is
// started there.
func WithEvacuated(zones ...string) Option {
	return func(c *Catalog) { c.evacuated = append(c.evacuated, zones...) }
}

// New returns a catalog.
func New(version int64, queues []Queue, accounts []Account, services []Service, l Limits, opts ...Option) *Catalog {
	c := &Catalog{
		version: version, queues: slices.Clone(queues), accounts: slices.Clone(accounts), limits: l,
		services: map[string]Service{}, byHost: map[string][]int{}, byKey: map[string]string{}, leaving: map[string]bool{},
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

// Version returns the version, above 0.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Accounts returns the client accounts. The caller must not change them.
func (c *Catalog) Accounts() []Account { return c.accounts }

// Queues returns the queues. The caller must not change them.
func (c *Catalog) Queues() []Queue { return c.queues }

// Leaving reports whether an operator takes the target out.
func (c *Catalog) Leaving(id string) bool { return c != nil && c.leaving[id] }

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

// Objectives returns the objectives of the services that have one, by name.
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

// Find returns the queue of a request, and what follows its prefix in the path.
func (c *Catalog) Find(virtualHost, path string) (q Queue, rest string, ok bool) {
	for _, i := range c.byHost[strings.ToLower(virtualHost)] {
		if rest, ok := strings.CutPrefix(path, c.queues[i].Prefix); ok {
			return c.queues[i], rest, true
		}
	}
	return Queue{}, "", false
}

// Account returns the name of the account to which a key belongs.
func (c *Catalog) Account(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}
