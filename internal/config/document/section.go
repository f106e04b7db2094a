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

// Section is one section of a document. The methods that read a value return the
// default if the key is missing; if the value is invalid they add a fault and return
// the default.
type Section struct {
	doc    *Document
	name   string
	line   int // 0: the text has no such section
	values map[string]entry
	known  []string // keys requested so far, in order
}

// entry is a key with its value and line number.
type entry struct {
	key  *ini.Key
	line int
}

// newSection returns a section that the INI library has read, with the line numbers of
// the scan.
func newSection(d *Document, scanned *scanner, source *ini.Section) *Section {
	s := &Section{doc: d, name: source.Name(), line: scanned.lineOf[keyPath{section: source.Name()}], values: map[string]entry{}}
	for _, k := range source.Keys() {
		s.values[k.Name()] = entry{k, scanned.lineOf[keyPath{source.Name(), k.Name()}]}
	}
	return s
}

// Name returns the section's name, with runs of spaces collapsed.
func (s *Section) Name() string { return s.name }

// Line returns the line number of the section's header, 0 if the text has no such
// section.
func (s *Section) Line() int { return s.line }

// KeyLine returns the line number of a key, or of the section if the key is missing.
func (s *Section) KeyLine(key string) int {
	if e, ok := s.values[key]; ok {
		return e.line
	}
	return s.line
}

// Has reports whether the section contains the key. Unlike reading the value, it does
// not make the key known to CheckUnknownKeys.
func (s *Section) Has(key string) bool {
	_, ok := s.values[key]
	return ok
}

// Fault adds a fault of a key, or of the section if key is empty. Its line is that of
// KeyLine.
func (s *Section) Fault(key, reason string) {
	f := Fault{Line: s.KeyLine(key), Section: s.name, Key: key, Reason: reason}
	s.doc.faults = append(s.doc.faults, f)
}

// Faultf is like Fault but formats the reason.
func (s *Section) Faultf(key, format string, args ...any) {
	s.Fault(key, fmt.Sprintf(format, args...))
}

// Require adds a fault if the key is missing.
func (s *Section) Require(key string) {
	if !s.Has(key) {
		s.Fault(key, "missing")
	}
}

// raw returns the value of a key and makes the key known to CheckUnknownKeys; ok is
// false if it is missing or empty. An empty value is a fault.
func (s *Section) raw(key string) (value string, ok bool) {
	if !slices.Contains(s.known, key) {
		s.known = append(s.known, key)
	}
	e, ok := s.values[key]
	if !ok {
		return "", false
	}
	if e.key.Value() == "" {
		s.Fault(key, "empty value; remove the line to use the default")
		return "", false
	}
	return e.key.Value(), true
}

// Text returns a value unchanged.
func (s *Section) Text(key, defaultValue string) string {
	if v, ok := s.raw(key); ok {
		return v
	}
	return defaultValue
}

// List returns the elements of a comma-separated value, nil if the key is missing.
// Empty and duplicate elements are faults.
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
			s.Fault(key, "empty element in the list")
		case slices.Contains(parts, p):
			s.Faultf(key, "duplicate element %s", quote(p))
		default:
			parts = append(parts, p)
		}
	}
	return parts
}

// Int returns a whole number from minValue to maxValue.
func (s *Section) Int(key string, defaultValue, minValue, maxValue int) int {
	return parseInRange(s, key, defaultValue, minValue, maxValue, "whole number", strconv.Atoi)
}

// Float returns a number from minValue to maxValue.
func (s *Section) Float(key string, defaultValue, minValue, maxValue float64) float64 {
	parse := func(v string) (float64, error) { return strconv.ParseFloat(v, 64) }
	return parseInRange(s, key, defaultValue, minValue, maxValue, "number", parse)
}

// Duration returns a duration from minValue to maxValue, such as 1500ms, 2s or 1h30m.
func (s *Section) Duration(key string, defaultValue, minValue, maxValue time.Duration) time.Duration {
	return parseInRange(s, key, defaultValue, minValue, maxValue, "duration such as 1500ms, 2s or 1h30m", time.ParseDuration)
}

// Bool returns a boolean, written in one of the forms of the INI library, such as true,
// yes, on or 1.
func (s *Section) Bool(key string, defaultValue bool) bool {
	v, ok := s.raw(key)
	if !ok {
		return defaultValue
	}
	b, err := s.values[key].key.Bool()
	if err != nil {
		s.Faultf(key, "%s is not true or false", quote(v))
		return defaultValue
	}
	return b
}

// Choice returns a value that is one of the choices.
func (s *Section) Choice(key, defaultValue string, choices ...string) string {
	v, ok := s.raw(key)
	if !ok {
		return defaultValue
	}
	if !slices.Contains(choices, v) {
		s.Faultf(key, "%s is not one of %s", quote(v), strings.Join(choices, ", "))
		return defaultValue
	}
	return v
}

// CheckUnknownKeys adds a fault for each key whose value has not been read. It must be
// called after all known keys were read.
func (s *Section) CheckUnknownKeys() {
	for key := range s.values {
		if !slices.Contains(s.known, key) {
			s.Faultf(key, "unknown key; known here: %s", strings.Join(s.known, ", "))
		}
	}
}

// parseInRange reads and parses a value. If the key is missing, or the value is invalid
// or out of range, which are faults, it returns the default.
func parseInRange[N cmp.Ordered](s *Section, key string, defaultValue, minValue, maxValue N, typeName string, parse func(string) (N, error)) N {
	v, ok := s.raw(key)
	if !ok {
		return defaultValue
	}
	n, err := parse(v)
	if err != nil {
		s.Faultf(key, "%s is not a %s", quote(v), typeName)
		return defaultValue
	}
	// The negated form also rejects NaN.
	if !(n >= minValue && n <= maxValue) {
		s.Faultf(key, "%s is out of range, want %v to %v", quote(v), minValue, maxValue)
		return defaultValue
	}
	return n
}
