package text

import (
	"encoding/hex"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// The bounds of an account's weight among borrowers.
const (
	leastWeight = 0.001
	mostWeight  = 1000
)

// mostGangs bounds the count of one guarantee.
const mostGangs = 1 << 16

// hashBytes is the length of a SHA-256.
const hashBytes = 32

func (r *reader) account(name string, at *document.Section) {
	at.Require("keyHash")
	a := Account{
		name:     name,
		keyHash:  strings.ToLower(at.Text("keyHash", "")),
		weight:   at.Float("weight", 1, leastWeight, mostWeight),
		operator: at.Bool("operator", false),
	}
	if a.keyHash != "" {
		if b, err := hex.DecodeString(a.keyHash); err != nil || len(b) != hashBytes {
			at.Fault("keyHash", "not a SHA-256 of 64 hexadecimal digits")
		}
	}
	if !named(at, name) {
		return
	}
	r.config.accounts[name] = a
	r.accounts = append(r.accounts, at)
}

func (r *reader) guarantee(full string, at *document.Section) {
	at.Require("zones")
	zones := at.List("zones")
	count := at.Int("count", 1, 1, mostGangs)
	s, shaped := shapeOf(at)
	account, _, ok := owned(at, full)
	if !ok || !shaped {
		return
	}
	g := shape.Guarantee{Account: account, Shape: s, Count: count}
	for _, zone := range zones {
		r.config.guarantees[zone] = append(r.config.guarantees[zone], g)
	}
	r.guarantees = append(r.guarantees, promise{at, g, zones})
}

func (r *reader) target(name string, at *document.Section) {
	leaving := at.Bool("leaving", false)
	if !targetName.MatchString(name) {
		at.Faultf("", "name %q: want 1 to 255 letters, digits and . _ : / -", name)
		return
	}
	r.config.leaving[name] = leaving
}
