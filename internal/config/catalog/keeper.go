package catalog

import (
	"fmt"
	"sync"
)

// Decode decodes the stored form of a configuration.
type Decode func(stored []byte) (*Catalog, error)

// Keeper holds the configuration in force on a host. Its version only rises. It is
// safe for concurrent use.
type Keeper struct {
	decode  Decode
	mu      sync.RWMutex
	current *Catalog // nil if there is none yet
	stored  []byte   // encoded form of current, for peers
}

// NewKeeper returns a keeper without a configuration.
func NewKeeper(d Decode) *Keeper { return &Keeper{decode: d} }

// Current returns the configuration in force, or nil if there is none yet.
func (k *Keeper) Current() *Catalog {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.current
}

// Version returns the version in force, 0 for none.
func (k *Keeper) Version() int64 {
	if c := k.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// Stored returns the stored form of the configuration in force, nil for none. The caller
// must not change it.
func (k *Keeper) Stored() []byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.stored
}

// Offer decodes a stored configuration and puts it in force if it is newer than the
// current one. It reports whether it did. One that cannot be decoded is an error and
// changes nothing.
func (k *Keeper) Offer(stored []byte) (bool, error) {
	c, err := k.decode(stored)
	if err != nil {
		return false, fmt.Errorf("configuration: %w", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && k.current.Version() >= c.Version() {
		return false, nil
	}
	k.current, k.stored = c, stored
	return true, nil
}
