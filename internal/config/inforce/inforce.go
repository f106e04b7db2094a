package inforce

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
)

// RetryUnreadable is the time after which a version that could not be parsed is
// fetched again, in case it was damaged on its way.
const RetryUnreadable = 10 * time.Second

// Errors of a version that is not taken. They are wrapped with the version.
var (
	// ErrConflicting says that a version came with another text than the one
	// in force under that number.
	ErrConflicting = errors.New("version is in force with another text")
	// ErrUnreadable says that the text of a newer version does not parse here.
	ErrUnreadable = errors.New("text cannot be read by this host")
)

// Text is a version of the configuration as it is passed between hosts.
type Text struct {
	Version int64  `json:"version"`
	Change  string `json:"change,omitempty"` // id of the change that made it; empty if not known
	Body    []byte `json:"body"`
}

// Counts are how often each thing happened to an offered version.
type Counts struct {
	Taken       int64
	Older       int64 // older than the one in force, or the same again
	Conflicting int64 // refused with ErrConflicting
	Unreadable  int64 // refused with ErrUnreadable
}

// Keeper holds the configuration in force. The zero Keeper holds version 0,
// which has no text. It is not safe for use by several goroutines.
type Keeper struct {
	text   Text         // its version never falls
	config *text.Config // nil at version 0
	since  time.Time    // when this host put the version in force

	unreadable int64     // newest version that did not parse; 0 for none
	failed     time.Time // when it was last tried
	fault      error     // of the newest refused version since one was taken
	counts     Counts
}

// Offer is Put for a version whose change id is not known.
func (k *Keeper) Offer(version int64, body []byte, now time.Time) (bool, error) {
	return k.Put(Text{Version: version, Body: body}, now)
}

// Put puts a version in force if it is newer than the one held. It reports
// whether it did; an older or equal version is no error. The error wraps
// ErrConflicting or ErrUnreadable; then nothing changed.
func (k *Keeper) Put(t Text, now time.Time) (bool, error) {
	if t.Version == k.text.Version && t.Version > 0 && !bytes.Equal(t.Body, k.text.Body) {
		k.counts.Conflicting++
		k.fault = fmt.Errorf("put version %d in force: %w", t.Version, ErrConflicting)
		return false, k.fault
	}
	// The guard against an old text: a platform that answers from a lagging
	// copy, a peer that was paused, or a crossed answer would else bring back
	// limits and keys that an operator has taken away.
	if t.Version <= k.text.Version {
		k.counts.Older++
		return false, nil
	}
	c, err := text.Parse(t.Body)
	if err != nil {
		k.counts.Unreadable++
		k.unreadable, k.failed = max(k.unreadable, t.Version), now
		k.fault = fmt.Errorf("put version %d in force: %w: %w", t.Version, ErrUnreadable, err)
		return false, k.fault
	}
	k.counts.Taken++
	k.text, k.config, k.since, k.fault = t, c, now, nil
	return true, nil
}

// Wants reports whether the text of a version is worth fetching: it is newer
// than the one in force, and not one that could not be read a moment ago.
func (k *Keeper) Wants(version int64, now time.Time) bool {
	if version <= k.text.Version {
		return false
	}
	return version > k.unreadable || now.Sub(k.failed) >= RetryUnreadable
}

// Text returns the version in force, to be passed on to a peer. The caller must
// not change its body.
func (k *Keeper) Text() Text { return k.text }

// Version returns the version in force, 0 for none.
func (k *Keeper) Version() int64 { return k.text.Version }

// Change returns the id of the change that made the version in force, empty if
// it is not known.
func (k *Keeper) Change() string { return k.text.Change }

// Body returns the text in force. The caller must not change it.
func (k *Keeper) Body() []byte { return k.text.Body }

// Config returns the meaning of the text in force, nil at version 0.
func (k *Keeper) Config() *text.Config { return k.config }

// Since returns when this host put the version in force.
func (k *Keeper) Since() time.Time { return k.since }

// Fault returns why the newest refused version was refused, nil if a version
// was taken since.
func (k *Keeper) Fault() error { return k.fault }

// Counts returns how often each thing happened.
func (k *Keeper) Counts() Counts { return k.counts }
