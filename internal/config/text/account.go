package text

import (
	"encoding/hex"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// The range of an account's weight among borrowers.
const (
	minWeight = 0.001
	maxWeight = 1000
)

// maxGuaranteeCount is the maximum count of one guarantee.
const maxGuaranteeCount = 1 << 16

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// account reads a section [account NAME] and adds the account to the configuration
// unless its name is invalid.
func (r *reader) account(name string, section *document.Section) {
	section.Require("keyHash")
	a := Account{
		name:     name,
		keyHash:  strings.ToLower(section.Text("keyHash", "")),
		weight:   section.Float("weight", 1, minWeight, maxWeight),
		operator: section.Bool("operator", false),
	}
	if a.keyHash != "" {
		if b, err := hex.DecodeString(a.keyHash); err != nil || len(b) != keyHashBytes {
			section.Fault("keyHash", "not a SHA-256 of 64 hexadecimal digits")
		}
	}
	if !checkName(section, name) {
		return
	}
	r.config.accounts[name] = a
	r.accounts = append(r.accounts, section)
}

// guarantee reads a section [guarantee ACCOUNT.NAME] and adds the guarantee to each of
// its zones unless its name or shape is invalid. The account and the zones are checked
// once all sections are read.
func (r *reader) guarantee(fullName string, section *document.Section) {
	section.Require("zones")
	zones := section.List("zones")
	count := section.Int("count", 1, 1, maxGuaranteeCount)
	s, shapeOK := readShape(section)
	account, _, ok := splitOwnedName(section, fullName)
	if !ok || !shapeOK {
		return
	}
	g := shape.Guarantee{Account: account, Shape: s, Count: count}
	for _, zone := range zones {
		r.config.guarantees[zone] = append(r.config.guarantees[zone], g)
	}
	r.guarantees = append(r.guarantees, guaranteeSection{section, g, zones})
}

// target reads a section [target NAME], which says whether an operator drains the
// target. The target need not exist.
func (r *reader) target(name string, section *document.Section) {
	draining := section.Bool("leaving", false)
	if !targetName.MatchString(name) {
		section.Faultf("", "name %q: want 1 to 255 letters, digits and . _ : / -", name)
		return
	}
	r.config.draining[name] = draining
}
