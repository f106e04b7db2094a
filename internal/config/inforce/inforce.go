package inforce

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
)

// Keeper holds the configuration in force. The zero Keeper holds version 0,
// which has no text. It is not safe for use by several goroutines.
type Keeper struct {
	version int64 // never falls
	body    []byte
	config  *text.Config // nil at version 0
	since   time.Time    // when this host put the version in force
}

// Offer puts a version in force if it is newer than the one held. It reports
// whether it did; an older or equal version is no error, a text that does not
// parse is one and changes nothing.
func (k *Keeper) Offer(version int64, body []byte, now time.Time) (bool, error) {
	if version <= k.version {
		return false, nil
	}
	c, err := text.Parse(body)
	if err != nil {
		return false, fmt.Errorf("put version %d in force: %w", version, err)
	}
	k.version, k.body, k.config, k.since = version, body, c, now
	return true, nil
}

// Version returns the version in force, 0 for none.
func (k *Keeper) Version() int64 { return k.version }

// Body returns the text in force. The caller must not change it.
func (k *Keeper) Body() []byte { return k.body }

// Config returns the meaning of the text in force, nil at version 0.
func (k *Keeper) Config() *text.Config { return k.config }

// Since returns when this host put the version in force.
func (k *Keeper) Since() time.Time { return k.since }
