package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"guavaglade.example/guavaglade/internal/platform/table"
)

const (
	currentKey = "config/current"
	bodyPrefix = "config/body/"
	// KeepBodies is how many versions' texts stay in the table.
	KeepBodies = 8
	// KeepChanges is for how many versions before the current one a change id is
	// remembered. Every host polls the row that holds them.
	KeepChanges = 12
	// shortDigest is how many digits are kept of an older text's digest, to tell
	// whether a change id is used again for another text.
	shortDigest = 16
	// baseReads is how often the current version is read again when it is older
	// than a change's base.
	baseReads = 3
)

// Config is a version of the configuration.
type Config struct {
	Version int64  `json:"version"`
	Change  string `json:"change"` // the operator's change id
	Body    []byte `json:"body"`
}

// applied is a change that became current.
type applied struct {
	Version int64  `json:"version"`
	Change  string `json:"change"`
	Digest  string `json:"digest"` // SHA-256 of the text, in hexadecimal
}

// past is a change that was current before. Its version follows from its place.
type past struct {
	Change string `json:"change"`
	Digest string `json:"digest"` // the first shortDigest digits
}

// current is the row that says which version is current. The version of the
// row in the table is that of the configuration.
type current struct {
	applied
	Recent []past `json:"recent,omitempty"` // the versions before, newest first
}

func parseCurrent(row table.Row) (current, error) {
	if row.Version == 0 {
		return current{}, nil
	}
	var c current
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return current{}, fmt.Errorf("%w: %s: %w", ErrRow, row.Key, err)
	}
	if len(c.Digest) < shortDigest {
		return current{}, fmt.Errorf("%w: %s: digest %q", ErrRow, row.Key, c.Digest)
	}
	return c, nil
}

// find returns a change that became current; an older one has a short digest.
func (c current) find(change string) (applied, bool) {
	if c.Version > 0 && c.Change == change {
		return c.applied, true
	}
	i := slices.IndexFunc(c.Recent, func(p past) bool { return p.Change == change })
	if i < 0 {
		return applied{}, false
	}
	return c.before(i), true
}

// before returns the change at a place of Recent.
func (c current) before(i int) applied {
	p := c.Recent[i]
	return applied{Version: c.Version - 1 - int64(i), Change: p.Change, Digest: p.Digest}
}

func (c current) next(a applied) current {
	if c.Version == 0 {
		return current{applied: a}
	}
	recent := append([]past{{Change: c.Change, Digest: c.Digest[:shortDigest]}}, c.Recent...)
	return current{applied: a, Recent: recent[:min(len(recent), KeepChanges)]}
}

func bodyKey(a applied) string {
	return fmt.Sprintf("%s%012d/%s", bodyPrefix, a.Version, url.PathEscape(a.Change))
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// CurrentVersion reads the number of the version that is current, 0 for none.
// It costs one small read, so it may be polled.
func (l *Ledger) CurrentVersion(ctx context.Context) (int64, error) {
	c, err := l.current(ctx)
	return c.Version, err
}

func (l *Ledger) current(ctx context.Context) (current, error) {
	row, err := l.table.Get(ctx, currentKey)
	if err != nil {
		return current{}, fmt.Errorf("read current configuration: %w", err)
	}
	c, err := parseCurrent(row)
	if err != nil {
		return current{}, fmt.Errorf("read current configuration: %w", err)
	}
	return c, nil
}

// Current reads the version that is current; version 0 if there is none. The
// error wraps ErrDigest if the text is not the one that was accepted.
func (l *Ledger) Current(ctx context.Context) (Config, error) {
	c, err := l.current(ctx)
	if err != nil || c.Version == 0 {
		return Config{}, err
	}
	return l.config(ctx, c.applied)
}

func (l *Ledger) config(ctx context.Context, a applied) (Config, error) {
	row, err := l.table.Get(ctx, bodyKey(a))
	if err != nil {
		return Config{}, fmt.Errorf("read configuration %d: %w", a.Version, err)
	}
	if digestOf(row.Value) != a.Digest {
		return Config{}, fmt.Errorf("read configuration %d: %w", a.Version, ErrDigest)
	}
	return Config{Version: a.Version, Change: a.Change, Body: row.Value}, nil
}

// Change makes the text current if base is the current version, and returns the
// configuration that it became. The same change again is no error, also after
// later ones. If another change came first, the error wraps ErrBase and the
// returned configuration is the current one, without its text if that cannot be
// read. The error wraps ErrOtherChange if the change id stands for another text,
// and table.ErrUnknown if it is not known yet whether the change was accepted;
// ask Changed, or Change again, with the same change id.
func (l *Ledger) Change(ctx context.Context, base int64, change string, body []byte) (Config, error) {
	want := applied{Version: base + 1, Change: change, Digest: digestOf(body)}
	c, err := l.change(ctx, base, want, body)
	if err != nil && !errors.Is(err, ErrBase) {
		return Config{}, fmt.Errorf("change %q of the configuration: %w", change, err)
	}
	if err == nil {
		done, _ := c.find(change)
		l.dropBody(ctx, c)
		return Config{Version: done.Version, Change: change, Body: body}, nil
	}
	stands, readErr := l.config(ctx, c.applied)
	if readErr != nil {
		stands = Config{Version: c.Version, Change: c.applied.Change}
	}
	return stands, fmt.Errorf("change %q of the configuration: base %d, current %d: %w", change, base, c.Version, err)
}

func (l *Ledger) change(ctx context.Context, base int64, want applied, body []byte) (current, error) {
	c, err := l.currentFrom(ctx, base)
	if err != nil {
		return current{}, err
	}
	if done, ok := c.find(want.Change); ok {
		return c, sameText(done, want)
	}
	if c.Version != base {
		return c, ErrBase
	}
	if err := l.writeBody(ctx, want, body); err != nil {
		return current{}, err
	}
	value, err := json.Marshal(c.next(want))
	if err != nil {
		return current{}, err
	}
	applies := func(value []byte) bool {
		c, err := parseCurrent(table.Row{Version: 1, Value: value})
		_, ok := c.find(want.Change)
		return err == nil && ok
	}
	_, row, err := l.write(ctx, table.Write{Key: currentKey, Value: value, Expect: base}, applies)
	if err != nil {
		return current{}, fmt.Errorf("make version %d current: %w", want.Version, err)
	}
	if c, err = parseCurrent(row); err != nil {
		return current{}, err
	}
	if done, ok := c.find(want.Change); ok {
		return c, sameText(done, want)
	}
	return c, ErrBase
}

func sameText(done, want applied) error {
	if !strings.HasPrefix(want.Digest, done.Digest) {
		return ErrOtherChange
	}
	return nil
}

// currentFrom reads the current version, again if what it reads is older than
// the base that an operator has seen: the platform may serve an older row.
func (l *Ledger) currentFrom(ctx context.Context, base int64) (current, error) {
	pauses := l.pauses()
	for read := 1; ; read++ {
		c, err := l.current(ctx)
		if err != nil || c.Version >= base || read == baseReads || pauses.wait(ctx) != nil {
			return c, err
		}
	}
}

func (l *Ledger) writeBody(ctx context.Context, a applied, body []byte) error {
	same := func(value []byte) bool { return digestOf(value) == a.Digest }
	ok, _, err := l.write(ctx, table.Write{Key: bodyKey(a), Value: body}, same)
	if err != nil {
		// No text became current by this: the caller need not settle anything.
		return fmt.Errorf("write the text: %w: %v", table.ErrUnavailable, err)
	}
	if !ok {
		return ErrOtherChange
	}
	return nil
}

// dropBody removes the text that is one version too old. What is left over by
// a failure, or by a change that lost its race, is removed by Sweep.
func (l *Ledger) dropBody(ctx context.Context, c current) {
	if len(c.Recent) < KeepBodies {
		return
	}
	w := table.Write{Key: bodyKey(c.before(KeepBodies - 1)), Delete: true, Expect: table.AnyVersion}
	_, _ = l.table.Apply(ctx, []table.Write{w})
}

// Changed settles a change that is not known yet, by its change id: ok is true
// if it became current, then as which version. False is final only if a version
// after the change's base is current already.
func (l *Ledger) Changed(ctx context.Context, change string) (version int64, ok bool, err error) {
	c, err := l.current(ctx)
	if err != nil {
		return 0, false, err
	}
	a, ok := c.find(change)
	return a.Version, ok, nil
}
