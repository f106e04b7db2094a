package text

import (
	"bytes"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
)

const (
	evacuationKind = "evacuation"
	evacuationKey  = "active"
)

// evacuation reads that a zone is evacuated: nothing is started there.
func (r *reader) evacuation(zone string, at *document.Section) {
	active := at.Bool(evacuationKey, true)
	if !targetName.MatchString(zone) {
		at.Faultf("", "name %q: want 1 to 255 letters, digits and . _ : / -", zone)
		return
	}
	if _, known := r.zones[zone]; !known && len(r.zones) > 0 {
		at.Faultf("", "zone %q is not described, though others are", zone)
	}
	if active {
		r.config.evacuated[zone] = true
	}
}

// SetEvacuated returns a text in which a zone is evacuated, or not any more, and that is
// the same otherwise. It reports whether the text had to be changed.
func SetEvacuated(body []byte, zone string, on bool) (changed []byte, ok bool) {
	header := "[" + evacuationKind + " " + zone + "]"
	value := evacuationKey + " = false"
	if on {
		value = evacuationKey + " = true"
	}
	lines := strings.Split(string(body), "\n")
	begin, end := section(lines, header)
	if begin < 0 {
		if !on {
			return body, false
		}
		text := bytes.TrimRight(body, "\n")
		return append(text[:len(text):len(text)], []byte("\n\n"+header+"\n"+value+"\n")...), true
	}
	for i := begin + 1; i < end; i++ {
		key, was, _ := strings.Cut(lines[i], "=")
		if strings.TrimSpace(key) != evacuationKey {
			continue
		}
		if strings.TrimSpace(was) == strings.TrimPrefix(value, evacuationKey+" = ") {
			return body, false
		}
		lines[i] = value
		return []byte(strings.Join(lines, "\n")), true
	}
	if on {
		return body, false // a section without the key is active
	}
	lines = append(lines[:begin+1:begin+1], append([]string{value}, lines[begin+1:]...)...)
	return []byte(strings.Join(lines, "\n")), true
}

// section returns the line of a section's header and the line after its last; -1 if it
// is not there.
func section(lines []string, header string) (begin, end int) {
	begin = -1
	for i, l := range lines {
		l = strings.TrimSpace(l)
		if begin >= 0 && strings.HasPrefix(l, "[") {
			return begin, i
		}
		if strings.Join(strings.Fields(l), " ") == header {
			begin = i
		}
	}
	return begin, len(lines)
}
