package catalog_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/catalog"
)

// sample returns a catalog with two queues on one virtual host, an account with two
// keys, and two services, one of them with an objective.
func sample(version int64) *catalog.Catalog {
	return catalog.New(version,
		[]catalog.Queue{{Name: "all", VirtualHost: "Jobs.Example", Prefix: "/"}, {Name: "plan", VirtualHost: "jobs.example", Prefix: "/plan/"}},
		[]catalog.Account{{Name: "norte", Keys: []string{"k1", "k2"}, Guaranteed: 8}},
		[]catalog.Service{{Name: "refill", Objective: catalog.Objective{Target: 0.9, Within: time.Second}}, {Name: "plan"}},
		catalog.Limits{},
	)
}

// A request is routed to the queue with the longest matching prefix; virtual hosts are
// compared without regard to case.
func TestFind(t *testing.T) {
	is := is.New(t)
	c := sample(1)
	q, rest, ok := c.Find("JOBS.example", "/plan/7")
	is.True(ok)
	is.Equal(q.Name, "plan")
	is.Equal(rest, "7")
	q, rest, ok = c.Find("jobs.example", "/other")
	is.True(ok)
	is.Equal(q.Name, "all")
	is.Equal(rest, "other")
	_, _, ok = c.Find("elsewhere", "/plan/7")
	is.True(!ok)
}

// Each key of an account identifies it; an unknown key belongs to no account.
func TestAccount(t *testing.T) {
	is := is.New(t)
	name, ok := sample(1).Account("k2")
	is.True(ok)
	is.Equal(name, "norte")
	_, ok = sample(1).Account("k3")
	is.True(!ok)
}

// Services without an objective are left out, and a nil catalog has no objectives.
func TestObjectives(t *testing.T) {
	is := is.New(t)
	is.Equal(sample(1).Objectives(), map[string]catalog.Objective{"refill": {Target: 0.9, Within: time.Second}})
	is.Equal((*catalog.Catalog)(nil).Objectives(), map[string]catalog.Objective{})
}

// Only services that the configuration names keep headroom.
func TestHeadroom(t *testing.T) {
	is := is.New(t)
	c := catalog.New(1, nil, nil, []catalog.Service{{Name: "refill", Headroom: true}, {Name: "plan"}}, catalog.Limits{})
	is.Equal(c.Headroom(), map[string]bool{"refill": true})
}

// A configuration reaches a host from the store and from its peers, in any order and
// more than once. Neither an older version nor a malformed one replaces the one in
// force.
func TestKeeperIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	errMalformed := errors.New("malformed")
	k := catalog.NewKeeper(func(stored []byte) (*catalog.Catalog, error) {
		if stored[0] == 'x' {
			return nil, errMalformed
		}
		return sample(int64(stored[0] - '0')), nil
	})
	is.Equal(k.Version(), int64(0))
	offer := func(s string) bool {
		ok, err := k.Offer([]byte(s))
		is.NoErr(err)
		return ok
	}
	is.True(offer("2"))
	is.True(!offer("1"))
	is.True(!offer("2"))
	_, err := k.Offer([]byte("x"))
	is.True(errors.Is(err, errMalformed))
	is.Equal(k.Version(), int64(2))
	is.True(offer("5"))
	is.Equal(k.Stored(), []byte("5"))
}
