package document

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"
)

// MaxText is the largest text that is read, in bytes.
const MaxText = 4 << 20

// MaxLine is the longest line that is read, in bytes.
const MaxLine = 64 << 10

const byteOrderMark = "\ufeff"

var (
	keyName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)
	section = regexp.MustCompile(`^\[([^\[\]]*)\]\s*([#;][^\]]*)?$`)
)

// place is where a key or section stands.
type place struct{ section, key string }

// lines is the pass over a text that notes places and faults. What it leaves
// in kept is read by the library without surprise.
type lines struct {
	kept    strings.Builder
	order   []string      // names of the sections as they come
	at      map[place]int // lines of sections (with an empty key) and keys
	faults  Faults
	current string // section that the pass is in
	skip    bool   // the section is a second one of its name and is left out
}

func scan(body string) *lines {
	l := &lines{at: map[place]int{}}
	for i, raw := range strings.Split(strings.TrimLeft(body, byteOrderMark), "\n") {
		text := strings.TrimSpace(raw)
		if reason := l.line(i+1, text); reason != "" {
			l.faults = append(l.faults, Fault{Line: i + 1, Section: l.current, Reason: reason})
		}
	}
	return l
}

// line takes in one line and returns what is wrong with it.
func (l *lines) line(n int, text string) string {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return ""
	}
	if reason := unreadable(text); reason != "" {
		return reason
	}
	if text[0] == '[' {
		return l.header(n, text)
	}
	return l.entry(n, text)
}

func unreadable(text string) string {
	if len(text) > MaxLine {
		return fmt.Sprintf("line of %d bytes; at most %d are read", len(text), MaxLine)
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

func (l *lines) header(n int, text string) string {
	m := section.FindStringSubmatch(text)
	if m == nil {
		l.current, l.skip = "", true
		return fmt.Sprintf("not a section: %s; write [KIND NAME]", clip(text))
	}
	name := strings.Join(strings.Fields(m[1]), " ")
	first, twice := l.at[place{section: name}]
	l.current, l.skip = name, twice || name == ""
	if name == "" {
		return "section without a name"
	}
	if twice {
		return fmt.Sprintf("section stands already on line %d; what follows is not read", first)
	}
	l.at[place{section: name}] = n
	l.order = append(l.order, name)
	fmt.Fprintf(&l.kept, "[%s]\n", name)
	return ""
}

func (l *lines) entry(n int, text string) string {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Sprintf("not a key: %s; write KEY = VALUE", clip(text))
	}
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !keyName.MatchString(key) {
		return fmt.Sprintf("key %s: want letters and digits", clip(key))
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") || strings.Contains(value, "%(") {
		return fmt.Sprintf("%s: values over several lines and references to other keys are not read", key)
	}
	if l.skip {
		return ""
	}
	if l.current == "" {
		return fmt.Sprintf("%s: stands before any section", key)
	}
	if first, twice := l.at[place{l.current, key}]; twice {
		return fmt.Sprintf("%s: stands already on line %d", key, first)
	}
	l.at[place{l.current, key}] = n
	fmt.Fprintf(&l.kept, "%s = %s\n", key, value)
	return ""
}

// clip returns a text short enough for an error, in quotes.
func clip(text string) string {
	const most = 40
	if r := []rune(text); len(r) > most {
		return fmt.Sprintf("%q...", string(r[:most]))
	}
	return fmt.Sprintf("%q", text)
}
