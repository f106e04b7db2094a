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

// hidden stands for a key wherever one is printed.
const hidden = "(key not shown)"

// Key is the secret that a caller proves its client account with. No way of
// printing, logging or encoding gives the secret away. The zero Key is the
// key of nobody.
type Key struct{ secret string }

// NewKey returns the key with the secret.
func NewKey(secret string) Key { return Key{secret} }

// Bearer returns the key of an Authorization header, "Bearer KEY". ok is false
// if the header is of another form.
func Bearer(header string) (k Key, ok bool) {
	scheme, secret, ok := strings.Cut(header, " ")
	secret = strings.TrimSpace(secret)
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return Key{}, false
	}
	return Key{secret}, true
}

// Hash returns the SHA-256 of the key in hexadecimal, as the configuration
// text keeps it.
func (k Key) Hash() string {
	sum := sha256.Sum256([]byte(k.secret))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether the hash, a SHA-256 in hexadecimal, is the key's. The
// time that it takes tells nothing of where the two differ. The zero Key and an
// empty hash match nothing.
func (k Key) Matches(hash string) bool {
	same := subtle.ConstantTimeCompare([]byte(k.Hash()), []byte(strings.ToLower(hash)))
	return same == 1 && k.secret != ""
}

// Account returns the client account whose key it is; ok is false if there is
// none. It compares with every account, so that the time it takes does not
// tell which one matched.
func (k Key) Account(c *text.Config) (a text.Account, ok bool) {
	for _, name := range c.Accounts() {
		candidate, _ := c.Account(name)
		if k.Matches(candidate.KeyHash()) {
			a, ok = candidate, true
		}
	}
	return a, ok
}

// String returns a fixed word.
func (k Key) String() string { return hidden }

// Format prints a fixed word for every verb, also those that show fields.
func (k Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(hidden)) }

// LogValue returns a fixed word.
func (k Key) LogValue() slog.Value { return slog.StringValue(hidden) }

// MarshalText returns a fixed word.
func (k Key) MarshalText() ([]byte, error) { return []byte(hidden), nil }
