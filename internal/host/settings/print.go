package settings

import (
	"fmt"
	"io"
	"strings"
)

// Print writes every key in force as INI, each with its unit, its default and
// where it was set. A key that is not set, and the operator's key hash, are
// written as comments. What is written reads back as the same settings, but for
// that hash.
func (s Settings) Print(w io.Writer) error {
	var b strings.Builder
	base := defaults()
	section := ""
	for _, f := range fields {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		s.printField(&b, f, f.show(&base))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("print settings: %w", err)
	}
	return nil
}

func (s Settings) printField(b *strings.Builder, f field, base string) {
	value := f.show(&s)
	switch {
	case value == "":
		fmt.Fprintf(b, "; %s is not set", f.key)
	case f.secret:
		fmt.Fprintf(b, "; %s is set, its value is not shown", f.key)
	default:
		fmt.Fprintf(b, "%s = %s", f.key, value)
	}
	from := s.origin(f.name(), value != base)
	if base == "" {
		base = "none"
	}
	fmt.Fprintf(b, " ; %s; default %s; from %s\n", f.unit, base, from)
}

// origin returns where a key was set: a file and line, the program that made
// the settings, or nowhere.
func (s Settings) origin(name string, set bool) string {
	if at, ok := s.origins[name]; ok {
		return at
	}
	if set {
		return "the program"
	}
	return "default"
}
