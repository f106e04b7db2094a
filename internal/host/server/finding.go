package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/job"
)

// maxListed bounds the jobs of one listing on each host.
const maxListed = 1000

// findBody asks a host what it knows of a job and, if until is not zero, to
// answer when the job is final or until has passed.
type findBody struct {
	Job   job.ID    `json:"job"`
	Until time.Time `json:"until,omitzero"`
}

// listBody asks a host for the jobs that it answers for.
type listBody struct {
	Account string `json:"account,omitempty"` // empty: of all accounts
}

// Find returns what any host or the platform knows of a job: first this host,
// then the hosts of its zone, then all others, then the outcomes in the table.
// If until is not zero, the answer waits for the job's end until then.
func (n *Node) Find(ctx context.Context, id job.ID, until time.Time) (v View, ok bool, err error) {
	if v, ok, err = n.Wait(ctx, id, until); ok || err != nil {
		return v, ok, err
	}
	near, far, err := n.others(ctx)
	if err != nil {
		return View{}, false, err
	}
	for _, ids := range [][]string{near, far} {
		found := gather[View](ctx, n, ids, "entry.find", findBody{Job: id})
		i := slices.IndexFunc(found, func(v View) bool { return v.State != "" })
		if i < 0 {
			continue
		}
		return n.waitAt(ctx, found[i], until), true, nil
	}
	o, ok, err := n.ledger.Outcome(ctx, id)
	return View{State: o.State, Outcome: o, Durable: ok}, ok, err
}

// others returns the live hosts of this zone and those of all other zones,
// without this host.
func (n *Node) others(ctx context.Context) (near, far []string, err error) {
	err = n.ask(ctx, func() {
		now := time.Now()
		near = n.peerIDs(n.settings.Zone(), now)
		far = slices.DeleteFunc(n.peerIDs("", now), func(id string) bool { return slices.Contains(near, id) })
	})
	return near, far, err
}

// waitAt waits at the host that answers for the job. If that host fails
// meanwhile, what it said before is returned.
func (n *Node) waitAt(ctx context.Context, v View, until time.Time) View {
	if v.State.Final() || !time.Now().Before(until) {
		return v
	}
	bounded, cancel := context.WithDeadline(ctx, until.Add(callTime))
	defer cancel()
	var later View
	body := findBody{Job: v.Job.ID(), Until: until}
	if err := n.net.Call(bounded, addressOf(v.Entry), "entry.find", body, &later); err != nil || later.State == "" {
		return v
	}
	return later
}

// Jobs returns the jobs of one account, or of all if it is empty, that any host
// answers for, sorted by the time of submission. Each host lists a bounded
// number; jobs that ended long ago are forgotten.
func (n *Node) Jobs(ctx context.Context, account string) ([]View, error) {
	own, err := n.ownJobs(ctx, account)
	if err != nil {
		return nil, err
	}
	near, far, err := n.others(ctx)
	if err != nil {
		return nil, err
	}
	views := own
	for _, vs := range gather[[]View](ctx, n, append(near, far...), "entry.list", listBody{Account: account}) {
		views = append(views, vs...)
	}
	slices.SortStableFunc(views, func(a, b View) int {
		return cmp.Or(a.Job.Submitted().Compare(b.Job.Submitted()), cmp.Compare(a.Job.ID(), b.Job.ID()))
	})
	return slices.CompactFunc(views, func(a, b View) bool { return a.Job.ID() == b.Job.ID() }), nil
}

// ownJobs returns the jobs that this host answers for, without their inputs,
// answers and stories.
func (n *Node) ownJobs(ctx context.Context, account string) ([]View, error) {
	var views []View
	err := n.ask(ctx, func() {
		for _, r := range n.entry.Records() {
			if account != "" && r.Job().Account() != account || len(views) == maxListed {
				continue
			}
			v := n.viewOf(r)
			v.Job, v.Lines, v.Outcome.Answer = v.Job.WithoutInput(), nil, job.Answer{}
			views = append(views, v)
		}
	})
	return views, err
}

// gather asks hosts at once and returns what those that answered said.
func gather[T any](ctx context.Context, n *Node, hosts []string, method string, params any) []T {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, len(hosts))
	for _, h := range hosts {
		n.spawn(func() {
			var a answer
			a.err = n.call(ctx, h, method, params, &a.value)
			answers <- a
		})
	}
	var values []T
	for range hosts {
		if a := <-answers; a.err == nil {
			values = append(values, a.value)
		}
	}
	return values
}
