package job

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// ID identifies a job in the whole system.
type ID string

// NewID returns the ID of the account's request. The same account and request
// id give the same ID on every host.
func NewID(account, request string) ID {
	h := xxhash.Sum64String(strconv.Itoa(len(account)) + ":" + account + "/" + request)
	return ID(fmt.Sprintf("%s-%s-%016x", account, request, h))
}

// Of reports whether the id is that of a request of the account.
func (id ID) Of(account string) bool {
	const suffix = 17 // the dash and the hash
	request, ok := strings.CutPrefix(string(id), account+"-")
	if !ok || len(request) < suffix {
		return false
	}
	return NewID(account, request[:len(request)-suffix]) == id
}

// Job is one request of a client account. Jobs are values and never change
// once made. The zero Job is not valid: make jobs with New.
type Job struct {
	id         ID     // never empty
	account    string // never empty
	service    string // never empty
	kind       string // the job's name in the service's configuration
	request    string // the caller's request id
	shape      cell.Shape
	repeatable bool          // may be started again after it may have run
	long       bool          // durable: its row outlives its entry host
	urgent     bool          // goes before work that is not urgent
	stoppable  bool          // may be checkpointed and stopped: may borrow idle guaranteed room
	guaranteed bool          // asks for its account's guaranteed room first
	declared   time.Duration // run time as the caller or the configuration states it; 0 if unknown
	deadline   time.Time     // not started by then: notRun; zero for none
	submitted  time.Time     // when the entry host took it
	entry      string        // address of the host that answers the caller, with its incarnation
	zone       string        // the entry's availability zone
	ticket     string        // leave to run once in a zone cut off from the platform; empty for none
	hops       int           // times passed to another zone: 0 or 1
	input      []byte        // given to each task
}

// Option sets one property of a new job.
type Option func(*Job)

// New returns a job. It refuses an empty id, account or service and a shape
// that is not valid.
func New(id ID, account, service string, s cell.Shape, opts ...Option) (Job, error) {
	j := Job{id: id, account: account, service: service, shape: s}
	for _, o := range opts {
		o(&j)
	}
	if id == "" || account == "" || service == "" {
		return Job{}, fmt.Errorf("job: id %q, account %q, service %q: none may be empty", id, account, service)
	}
	if s.Members() < 1 {
		return Job{}, fmt.Errorf("job %s: shape without members", id)
	}
	return j, nil
}

// WithKind names the job in its service's configuration.
func WithKind(kind string) Option { return func(j *Job) { j.kind = kind } }

// WithRequest sets the caller's request id.
func WithRequest(id string) Option { return func(j *Job) { j.request = id } }

// Repeatable says that the job may be started again after it may have run.
func Repeatable(on bool) Option { return func(j *Job) { j.repeatable = on } }

// Long says that the job is durable: its row in the platform outlives its host.
func Long(on bool) Option { return func(j *Job) { j.long = on } }

// Urgent lets the job go before work that is not urgent.
func Urgent(on bool) Option { return func(j *Job) { j.urgent = on } }

// Stoppable says that the job may be checkpointed and stopped while it runs.
func Stoppable(on bool) Option { return func(j *Job) { j.stoppable = on } }

// Guaranteed says that the job asks for its account's guaranteed room first.
func Guaranteed(on bool) Option { return func(j *Job) { j.guaranteed = on } }

// Declared sets the run time as stated, which may be far from the truth.
func Declared(d time.Duration) Option { return func(j *Job) { j.declared = d } }

// StartBy sets when the job is given up as not run if it has not started.
func StartBy(t time.Time) Option { return func(j *Job) { j.deadline = t } }

// SubmittedAt sets when and where the job was taken from its caller.
func SubmittedAt(t time.Time, entry, zone string) Option {
	return func(j *Job) { j.submitted, j.entry, j.zone = t, entry, zone }
}

// WithTicket sets the ticket that lets the job run once without a claim.
func WithTicket(t string) Option { return func(j *Job) { j.ticket = t } }

// WithInput sets what each task is given.
func WithInput(b []byte) Option { return func(j *Job) { j.input = b } }

// ID returns the job's identity.
func (j Job) ID() ID { return j.id }

// Account returns the client account that asked for the job.
func (j Job) Account() string { return j.account }

// Service returns the service the job belongs to.
func (j Job) Service() string { return j.service }

// Kind returns the job's name in its service's configuration.
func (j Job) Kind() string { return j.kind }

// Request returns the caller's request id.
func (j Job) Request() string { return j.request }

// Shape returns what the gang asks for.
func (j Job) Shape() cell.Shape { return j.shape }

// Repeatable reports whether the job may be started again.
func (j Job) Repeatable() bool { return j.repeatable }

// Long reports whether the job is durable.
func (j Job) Long() bool { return j.long }

// Urgent reports whether the job goes before others.
func (j Job) Urgent() bool { return j.urgent }

// Stoppable reports whether the job may be checkpointed and stopped. One that
// must not be repeated may not: going on from a checkpoint is a second start.
func (j Job) Stoppable() bool { return j.stoppable && j.repeatable }

// Guaranteed reports whether the job asks for guaranteed room.
func (j Job) Guaranteed() bool { return j.guaranteed }

// Declared returns the run time as stated, 0 if unknown.
func (j Job) Declared() time.Duration { return j.declared }

// Deadline returns when the job must have started, the zero time for never.
func (j Job) Deadline() time.Time { return j.deadline }

// Submitted returns when the entry host took the job.
func (j Job) Submitted() time.Time { return j.submitted }

// Entry returns the address of the host that answers the caller.
func (j Job) Entry() string { return j.entry }

// Zone returns the availability zone of the entry host.
func (j Job) Zone() string { return j.zone }

// Ticket returns the job's ticket, empty for none.
func (j Job) Ticket() string { return j.ticket }

// Hops returns how often the job was passed to another zone.
func (j Job) Hops() int { return j.hops }

// Input returns what each task is given. The caller must not change it.
func (j Job) Input() []byte { return j.input }

// PassedOn returns the job after one more hop to another zone.
func (j Job) PassedOn() Job {
	j.hops++
	return j
}

// AdoptedBy returns the job with another host to answer for it.
func (j Job) AdoptedBy(entry string) Job {
	j.entry = entry
	return j
}

// WithoutInput returns the job without what its tasks are given, for listings.
func (j Job) WithoutInput() Job {
	j.input = nil
	return j
}

// NeedsClaim reports whether a start of the job must first win a conditional
// write in the platform. A ticket takes the claim's place.
func (j Job) NeedsClaim() bool { return j.ticket == "" && (!j.repeatable || j.long) }

type jobBody struct {
	ID         ID         `json:"id"`
	Account    string     `json:"account"`
	Service    string     `json:"service"`
	Kind       string     `json:"kind,omitempty"`
	Request    string     `json:"request,omitempty"`
	Shape      cell.Shape `json:"shape"`
	Repeatable bool       `json:"repeatable,omitempty"`
	Long       bool       `json:"long,omitempty"`
	Urgent     bool       `json:"urgent,omitempty"`
	Stoppable  bool       `json:"stoppable,omitempty"`
	Guaranteed bool       `json:"guaranteed,omitempty"`
	DeclaredMS int64      `json:"declaredMs,omitempty"`
	Deadline   time.Time  `json:"deadline,omitzero"`
	Submitted  time.Time  `json:"submitted,omitzero"`
	Entry      string     `json:"entry,omitempty"`
	Zone       string     `json:"zone,omitempty"`
	Ticket     string     `json:"ticket,omitempty"`
	Hops       int        `json:"hops,omitempty"`
	Input      []byte     `json:"input,omitempty"`
}

// MarshalJSON writes the job for peers and the platform.
func (j Job) MarshalJSON() ([]byte, error) {
	return json.Marshal(jobBody{
		j.id, j.account, j.service, j.kind, j.request, j.shape, j.repeatable, j.long, j.urgent, j.stoppable,
		j.guaranteed, j.declared.Milliseconds(), j.deadline, j.submitted, j.entry, j.zone, j.ticket, j.hops, j.input,
	})
}

// UnmarshalJSON reads a job and refuses what New refuses.
func (j *Job) UnmarshalJSON(b []byte) error {
	var w jobBody
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("job: %w", err)
	}
	v, err := New(
		w.ID, w.Account, w.Service, w.Shape, WithKind(w.Kind), WithRequest(w.Request), Repeatable(w.Repeatable),
		Long(w.Long), Urgent(w.Urgent), Stoppable(w.Stoppable), Guaranteed(w.Guaranteed),
		Declared(time.Duration(w.DeclaredMS)*time.Millisecond), StartBy(w.Deadline),
		SubmittedAt(w.Submitted, w.Entry, w.Zone), WithTicket(w.Ticket), WithInput(w.Input),
	)
	if err != nil {
		return err
	}
	v.hops = w.Hops
	*j = v
	return nil
}
