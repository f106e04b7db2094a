package document

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"
)

// MaxTextBytes is the maximum size of a text.
const MaxTextBytes = 4 << 20

// MaxLineBytes is the maximum length of a line.
const MaxLineBytes = 64 << 10

const byteOrderMark = "\ufeff"

var (
	keyPattern    = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)
	headerPattern = regexp.MustCompile(`^\[([^\[\]]*)\]\s*([#;][^\]]*)?$`)
)

// keyPath identifies a key, or a section if the key is empty.
type keyPath struct{ section, key string }

// scanner records line numbers and faults, and collects the lines that the INI
// library interprets as intended.
type scanner struct {
	cleaned  strings.Builder
	sections []string        // names in the order of the text
	lineOf   map[keyPath]int // line numbers
	faults   Faults
	current  string // name of the current section
	skipping bool   // the current section is invalid or a duplicate; its keys are dropped
}

// scan scans a whole text, without its byte order mark. Faults are recorded in the
// result.
func scan(body string) *scanner {
	s := &scanner{lineOf: map[keyPath]int{}}
	for i, raw := range strings.Split(strings.TrimLeft(body, byteOrderMark), "\n") {
		text := strings.TrimSpace(raw)
		if reason := s.scanLine(i+1, text); reason != "" {
			s.faults = append(s.faults, Fault{Line: i + 1, Section: s.current, Reason: reason})
		}
	}
	return s
}

// scanLine processes one line and returns the reason if it is faulty.
func (s *scanner) scanLine(n int, text string) string {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return ""
	}
	if reason := checkLine(text); reason != "" {
		return reason
	}
	if text[0] == '[' {
		return s.scanHeader(n, text)
	}
	return s.scanEntry(n, text)
}

// checkLine returns why a line cannot be part of any text: it is too long, not UTF-8 or
// contains a control character. It returns "" for other lines.
func checkLine(text string) string {
	if len(text) > MaxLineBytes {
		return fmt.Sprintf("line has %d bytes; the limit is %d", len(text), MaxLineBytes)
	}
	if !utf8.ValidString(text) {
		return "not UTF-8"
	}
	for _, r := range text {
		if r < ' ' && r != '\t' {
			return fmt.Sprintf("control character %U", r)
		}
	}
	return ""
}

// scanHeader begins a section and returns the reason if the header is faulty.
// Well-formed keys after a faulty header are dropped without a fault, up to the next
// header.
func (s *scanner) scanHeader(n int, text string) string {
	m := headerPattern.FindStringSubmatch(text)
	if m == nil {
		s.current, s.skipping = "", true
		return fmt.Sprintf("invalid section header: %s; want [KIND NAME]", quote(text))
	}
	name := strings.Join(strings.Fields(m[1]), " ")
	firstLine, duplicate := s.lineOf[keyPath{section: name}]
	s.current, s.skipping = name, duplicate || name == ""
	if name == "" {
		return "section has no name"
	}
	if duplicate {
		return fmt.Sprintf("duplicate section, first on line %d; its keys are ignored", firstLine)
	}
	s.lineOf[keyPath{section: name}] = n
	s.sections = append(s.sections, name)
	fmt.Fprintf(&s.cleaned, "[%s]\n", name)
	return ""
}

// scanEntry adds a line KEY = VALUE to the current section and returns the reason if it
// is faulty.
func (s *scanner) scanEntry(n int, text string) string {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Sprintf("no equals sign: %s; want KEY = VALUE", quote(text))
	}
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !keyPattern.MatchString(key) {
		return fmt.Sprintf("invalid key %s: want a letter, then letters and digits", quote(key))
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") || strings.Contains(value, "%(") {
		return fmt.Sprintf("%s: multi-line values and references to other keys are not supported", key)
	}
	if s.skipping {
		return ""
	}
	if s.current == "" {
		return fmt.Sprintf("%s: key before the first section", key)
	}
	if firstLine, duplicate := s.lineOf[keyPath{s.current, key}]; duplicate {
		return fmt.Sprintf("%s: duplicate key, first on line %d", key, firstLine)
	}
	s.lineOf[keyPath{s.current, key}] = n
	fmt.Fprintf(&s.cleaned, "%s = %s\n", key, value)
	return ""
}

// quote returns a text in quotes, shortened for use in an error.
func quote(text string) string {
	const maxRunes = 40
	if r := []rune(text); len(r) > maxRunes {
		return fmt.Sprintf("%q...", string(r[:maxRunes]))
	}
	return fmt.Sprintf("%q", text)
}
