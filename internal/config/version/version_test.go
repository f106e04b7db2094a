package version_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/version"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

const body = `
[service refill]
objectiveTarget = 0.9
objectiveWithin = 5s

[job refill.bill]
accelerators = 1
repeatable = false
urgent = true

[account norte]
keyHash = c3c7b967d6b911640ddde156241db5933de1999d65c45ccc3c697b5bd1465d79

[account ops]
operator = true
keyHash = 9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e

[guarantee norte.large]
zones = leon, celaya
members = 2
accelerators = 8
count = 3
`

// link returns a link without faults to an empty table.
func link() *rows.Link {
	return rows.NewLink(rows.New(time.Millisecond), rand.New(rand.NewPCG(1, 1)))
}

// A stored version that is malformed, or whose text has faults, is an error.
func TestDecodeCatalog(t *testing.T) {
	is := is.New(t)
	c, err := version.DecodeCatalog([]byte(`{"number":4,"change":"a","text":"[service refill]\n"}`))
	is.NoErr(err)
	is.Equal(c.Version(), int64(4))
	for _, malformed := range []string{``, `[]`, `{"number":0}`, `{"number":1,"text":"[nonsense"}`} {
		if _, err := version.DecodeCatalog([]byte(malformed)); err == nil {
			t.Errorf("%q: want an error", malformed)
		}
	}
}

// Two operators change the text concurrently, based on the same version. Exactly one
// change takes effect; the error of the other wraps ErrStaleBase and names the current
// version.
func TestConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := link()
		ctx := context.Background()
		first, err := version.Change(ctx, s, 0, "a", body)
		is.NoErr(err)
		is.Equal(first.Number, int64(1))
		results := make(chan error, 2)
		for _, change := range []string{"b", "c"} {
			go func() {
				_, err := version.Change(ctx, s, 1, change, body+"# "+change+"\n")
				results <- err
			}()
		}
		one, two := <-results, <-results
		is.True((one == nil) != (two == nil))
		is.True(errors.Is(errors.Join(one, two), version.ErrStaleBase))
	})
}

// The answer to a change was lost, and the operator submits it again with the same
// change id: the same version is returned. With another text it fails.
func TestChangeIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := link()
		ctx := context.Background()
		first, err := version.Change(ctx, s, 0, "a", body)
		is.NoErr(err)
		again, err := version.Change(ctx, s, 0, "a", body)
		is.NoErr(err)
		is.Equal(again, first)
		_, err = version.Change(ctx, s, 1, "a", body+"\n")
		is.True(errors.Is(err, version.ErrChangeIDReused))
		row, err := store.Get(ctx, s, version.Key)
		is.NoErr(err)
		stored, err := version.Decode(row.Value)
		is.NoErr(err)
		is.Equal(stored, first)
	})
}

// Each kind of job in the text becomes a queue, and an account's guarantees are summed
// over all zones.
func TestBuildCatalog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := link()
		_, err := version.Change(context.Background(), s, 0, "a", body)
		is.NoErr(err)
		row, err := store.Get(context.Background(), s, version.Key)
		is.NoErr(err)
		c, err := version.DecodeCatalog(row.Value)
		is.NoErr(err)
		q := c.Queues()[0]
		is.Equal(q.Name, "refill.bill")
		is.Equal(q.Priority, 0)
		is.Equal(q.MaxAttempts, 1)
		is.Equal(c.Accounts()[0].Guaranteed, 2*3*2*8)
		is.Equal(c.Objectives()["refill"].Within, 5*time.Second)
		is.Equal(c.Headroom(), map[string]bool{})
		c, err = version.DecodeCatalog([]byte(`{"number":4,"text":"[service refill]\nheadroom = on\n"}`))
		is.NoErr(err)
		is.Equal(c.Headroom(), map[string]bool{"refill": true})
	})
}
