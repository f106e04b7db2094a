package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strings"

	"guavaglade.example/guavaglade/internal/config/text"
)

// redacted is printed in place of a key.
const redacted = "(key not shown)"

// Key is the secret by which a caller authenticates as a client account. Printing,
// logging and encoding a Key never reveal the secret. The zero Key belongs to no account.
type Key struct{ secret string }

// NewKey returns the key with the secret.
func NewKey(secret string) Key { return Key{secret} }

// Bearer returns the key of an Authorization header, "Bearer KEY". ok is false
// if the header has another form.
func Bearer(header string) (k Key, ok bool) {
	scheme, secret, ok := strings.Cut(header, " ")
	secret = strings.TrimSpace(secret)
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return Key{}, false
	}
	return Key{secret}, true
}

// Hash returns the SHA-256 of the key in hexadecimal, as in the configuration text.
func (k Key) Hash() string {
	sum := sha256.Sum256([]byte(k.secret))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether the hash, a SHA-256 in hexadecimal, is the key's. It takes
// constant time. The zero Key and an empty hash match nothing.
func (k Key) Matches(hash string) bool {
	same := subtle.ConstantTimeCompare([]byte(k.Hash()), []byte(strings.ToLower(hash)))
	return same == 1 && k.secret != ""
}

// Account returns the client account that the key belongs to; ok is false if there is
// none. It compares the key with every account's, so that the time it takes does not
// reveal which one matched.
func (k Key) Account(c *text.Config) (a text.Account, ok bool) {
	for _, name := range c.Accounts() {
		candidate, _ := c.Account(name)
		if k.Matches(candidate.KeyHash()) {
			a, ok = candidate, true
		}
	}
	return a, ok
}

// String returns a fixed text.
func (k Key) String() string { return redacted }

// Format prints a fixed text for every verb, including those that print fields.
func (k Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// LogValue returns a fixed text.
func (k Key) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText returns a fixed text.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }
