package document

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section is one section of a document. Its methods read values: a value that
// is not there gives the default, a value that is wrong is a fault and gives
// the default too.
type Section struct {
	doc    *Document
	name   string
	line   int // 0: not in the text
	values map[string]entry
	asked  []string // keys that were read, in order
}

type entry struct {
	key  *ini.Key
	line int
}

func newSection(d *Document, l *lines, from *ini.Section) *Section {
	s := &Section{doc: d, name: from.Name(), line: l.at[place{section: from.Name()}], values: map[string]entry{}}
	for _, k := range from.Keys() {
		s.values[k.Name()] = entry{k, l.at[place{from.Name(), k.Name()}]}
	}
	return s
}

// Name returns the section's name, with single spaces.
func (s *Section) Name() string { return s.name }

// Line returns the line that the section begins on, 0 if the text has none.
func (s *Section) Line() int { return s.line }

// KeyLine returns the line of a key, that of its section if it is not there.
func (s *Section) KeyLine(key string) int {
	if e, ok := s.values[key]; ok {
		return e.line
	}
	return s.line
}

// Has reports whether the text gives the key.
func (s *Section) Has(key string) bool {
	_, ok := s.values[key]
	return ok
}

// Fault notes what is wrong with a key, or with the section if key is empty.
func (s *Section) Fault(key, reason string) {
	f := Fault{Line: s.KeyLine(key), Section: s.name, Key: key, Reason: reason}
	s.doc.faults = append(s.doc.faults, f)
}

// Faultf is Fault with a format.
func (s *Section) Faultf(key, format string, args ...any) {
	s.Fault(key, fmt.Sprintf(format, args...))
}

// Require notes a fault if the text does not give the key.
func (s *Section) Require(key string) {
	if !s.Has(key) {
		s.Fault(key, "missing")
	}
}

// raw returns a value that is there and not empty.
func (s *Section) raw(key string) (value string, ok bool) {
	if !slices.Contains(s.asked, key) {
		s.asked = append(s.asked, key)
	}
	e, ok := s.values[key]
	if !ok {
		return "", false
	}
	if e.key.Value() == "" {
		s.Fault(key, "without a value; take the line out for the default")
		return "", false
	}
	return e.key.Value(), true
}

// Text returns a value as it stands.
func (s *Section) Text(key, otherwise string) string {
	if v, ok := s.raw(key); ok {
		return v
	}
	return otherwise
}

// List returns the parts of a value between commas, nil if it is not there. An
// empty part is a fault, and so is one that comes twice.
func (s *Section) List(key string) []string {
	v, ok := s.raw(key)
	if !ok {
		return nil
	}
	var parts []string
	for _, p := range strings.Split(v, ",") {
		p = strings.TrimSpace(p)
		switch {
		case p == "":
			s.Fault(key, "empty part between commas")
		case slices.Contains(parts, p):
			s.Faultf(key, "%s stands twice", clip(p))
		default:
			parts = append(parts, p)
		}
	}
	return parts
}

// Int returns a whole number from least to most.
func (s *Section) Int(key string, otherwise, least, most int) int {
	return number(s, key, otherwise, least, most, "whole number", strconv.Atoi)
}

// Float returns a number from least to most.
func (s *Section) Float(key string, otherwise, least, most float64) float64 {
	parse := func(v string) (float64, error) { return strconv.ParseFloat(v, 64) }
	return number(s, key, otherwise, least, most, "number", parse)
}

// Duration returns a time span from least to most, such as 1500ms, 2s or 1h30m.
func (s *Section) Duration(key string, otherwise, least, most time.Duration) time.Duration {
	return number(s, key, otherwise, least, most, "duration such as 1500ms, 2s or 1h30m", time.ParseDuration)
}

// Bool returns true or false.
func (s *Section) Bool(key string, otherwise bool) bool {
	v, ok := s.raw(key)
	if !ok {
		return otherwise
	}
	b, err := s.values[key].key.Bool()
	if err != nil {
		s.Faultf(key, "%s is not true or false", clip(v))
		return otherwise
	}
	return b
}

// Choice returns one of the words.
func (s *Section) Choice(key, otherwise string, words ...string) string {
	v, ok := s.raw(key)
	if !ok {
		return otherwise
	}
	if !slices.Contains(words, v) {
		s.Faultf(key, "%s is not one of %s", clip(v), strings.Join(words, ", "))
		return otherwise
	}
	return v
}

// Unknown notes a fault for each key that was never read.
func (s *Section) Unknown() {
	for key := range s.values {
		if !slices.Contains(s.asked, key) {
			s.Faultf(key, "unknown key; known here: %s", strings.Join(s.asked, ", "))
		}
	}
}

func number[N cmp.Ordered](s *Section, key string, otherwise, least, most N, what string, parse func(string) (N, error)) N {
	v, ok := s.raw(key)
	if !ok {
		return otherwise
	}
	n, err := parse(v)
	if err != nil {
		s.Faultf(key, "%s is not a %s", clip(v), what)
		return otherwise
	}
	// Written so that a value that is not a number is refused as well.
	if !(n >= least && n <= most) {
		s.Faultf(key, "%s is out of range, want %v to %v", clip(v), least, most)
		return otherwise
	}
	return n
}
