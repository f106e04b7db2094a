package placer

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"guavaglade.example/guavaglade/internal/work/gang"
)

// Option sets one property of a new Machine.
type Option func(*Machine)

// WithIdentity names the placer: its host's address with its incarnation. Two
// placers with different identities never share a lease; without an identity
// two placers at once may.
func WithIdentity(self string) Option {
	return func(m *Machine) { m.salt = int(xxhash.Sum64String(self) % gang.MaxSalt) }
}

// WithRand sets the random source of the jitter in backoffs. Without it a
// source with a fixed seed is used.
func WithRand(r *rand.Rand) Option { return func(m *Machine) { m.random = r } }

// WithShare limits the workers whose leases this machine renews. Without it, it
// renews them all.
func WithShare(mine func(worker string) bool) Option {
	return func(m *Machine) { m.keeper.share = mine }
}

// WithKeepers says that renewals may go by way of another host. A renewal then
// reaches its worker later by the time that one more message takes at the most.
func WithKeepers() Option { return func(m *Machine) { m.hop = gang.MessageMax } }
