package settings

import (
	"fmt"
	"io"
	"strings"
)

// Print writes all settings as INI, each with its unit, its default and where it was set.
// Keys that are not set and the operator's key hash are written as comments. Parsing the
// output gives the same settings, without that hash.
func (s Settings) Print(w io.Writer) error {
	var b strings.Builder
	defaultSettings := defaults()
	section := ""
	for _, f := range fields {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		s.printField(&b, f, f.format(&defaultSettings))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("print settings: %w", err)
	}
	return nil
}

// printField writes the line of a key: its value, unit, default and where it was set. The
// line is a comment if the key is not set or its value is secret, which is not shown.
func (s Settings) printField(b *strings.Builder, f field, defaultValue string) {
	value := f.format(&s)
	switch {
	case value == "":
		fmt.Fprintf(b, "; %s is not set", f.key)
	case f.secret:
		fmt.Fprintf(b, "; %s is set, its value is not shown", f.key)
	default:
		fmt.Fprintf(b, "%s = %s", f.key, value)
	}
	source := s.source(f.name(), value != defaultValue)
	if defaultValue == "" {
		defaultValue = "none"
	}
	fmt.Fprintf(b, " ; %s; default %s; from %s\n", f.unit, defaultValue, source)
}

// source returns where a key was set: a file and line, the program that created the
// settings, or the default.
func (s Settings) source(name string, set bool) string {
	if location, ok := s.sources[name]; ok {
		return location
	}
	if set {
		return "the program"
	}
	return "default"
}
